//! Connections of a node: the HTTP API for callers, and the RPC links to agents and other nodes.

mod agent_link;
mod callers;
mod peer_link;
mod peer_service;

pub(super) use agent_link::AgentLink;
pub(super) use callers::CallersApi;
pub(super) use peer_link::{PeerError, PeerLink};
pub(super) use peer_service::PeerService;
