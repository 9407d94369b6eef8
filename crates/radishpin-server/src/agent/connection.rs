//! The agent's connections: HTTP calls to the endpoint, the RPC service for nodes and the status
//! API.

mod endpoint;
mod handlers;
mod orders;
mod status_api;

pub(super) use endpoint::{Endpoint, EndpointError, EndpointResponse, StreamEvent};
pub(super) use handlers::AgentService;
pub(super) use orders::{ledger_target, load_target};
pub(super) use status_api::StatusApi;
