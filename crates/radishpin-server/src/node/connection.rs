//! What lives for a connection: callers' HTTP, and the links to agents.

mod agent_link;
mod callers;

pub(super) use agent_link::AgentLink;
pub(super) use callers::CallersApi;
