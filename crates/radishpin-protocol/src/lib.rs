//! Ids, messages, durable records and result codes shared by all radishpin crates.

mod code;
mod document;
mod error_body;
mod id;
mod profile;
mod record;
mod view;

pub mod engine;

/// RPC messages of nodes and agents, generated from `proto/radishpin.proto`.
#[allow(missing_docs, clippy::all, clippy::use_self)]
pub mod wire {
    include!("generated/radishpin.v1.rs");
}

pub mod prelude;

pub use code::{Ran, ResultCode};
pub use document::{DocumentError, read_document};
pub use error_body::{ErrorBody, ErrorDetail};
pub use id::*;
pub use profile::{PROFILE_FORMAT, Profile, ProfileError, WorkloadClass};
pub use record::*;
pub use view::{AgentView, ClusterView, ModelGrant, ResolvedModel, RowError, StoredRow};
