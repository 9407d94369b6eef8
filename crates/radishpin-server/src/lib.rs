//! The node and agent processes of radishpin.

pub mod operator;
mod rpc;
mod settings;
mod token;

pub use settings::{AgentSettings, Fencing, NodeSettings};
pub use token::{Token, TokenError};
