//! What lives for a connection: calls to the endpoint and calls from nodes.

mod endpoint;
mod handlers;
mod orders;
mod status_api;

pub(super) use endpoint::{Endpoint, EndpointError, EndpointResponse, StreamEvent};
pub(super) use handlers::AgentService;
pub(super) use orders::{ledger_target, load_target};
pub(super) use status_api::StatusApi;
