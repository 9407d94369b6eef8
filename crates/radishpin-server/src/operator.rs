//! HTTP API of a node for operators.
//!
//! | method and path | what it does |
//! |---|---|
//! | `GET /v1/profiles` | lists the profiles |
//! | `GET /v1/profiles/NAME` | shows a profile with its version |
//! | `PUT /v1/profiles/NAME` | creates or replaces a profile |
//! | `DELETE /v1/profiles/NAME` | deletes the profile, unless a service uses it |
//! | `GET /v1/profiles/NAME/history` | shows the replaced documents of a profile |
//! | `GET /v1/services/NAME` | shows a service with its version |
//! | `PUT /v1/services/NAME` | changes the profile of a service, or creates the service |
//! | `GET /v1/stops`, `GET /v1/stops/ID` | shows planned stops with warnings |
//! | `POST /v1/stops` | plans a stop; idempotent for the same plan |
//! | `DELETE /v1/stops/ID` | cancels a stop |
//! | `GET /v1/status` | shows the cluster as seen by this node |
//!
//! Every request must carry `Authorization: Bearer TOKEN`. `PUT` and the deletion of a profile are
//! conditional: `If-Match: VERSION` holds the version that the operator expects; if it is missing
//! or 0, the document must not exist yet. A change is reported as accepted only after it is
//! durable in the platform's table.

mod api;
mod auth;
mod change;
pub mod document;
mod name;
mod profiles;
mod read;
mod refusal;
mod route;
mod services;
mod status;
mod status_cache;
mod stops;
mod table;
mod warning;

pub use api::{OperatorApi, OperatorContext, ViewSource, operator_limits};
pub use name::{MAX_NAME_LENGTH, is_name};
pub use status_cache::StatusCache;
pub use table::Table;
