//! The node and agent processes of radishpin.

mod rpc;
mod settings;

pub use settings::{AgentSettings, NodeSettings, OrderCheck, Token};
