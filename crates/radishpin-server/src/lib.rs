//! Node and agent processes.

pub mod operator;
mod settings;
mod token;

pub use settings::{AgentSettings, Fencing, NodeSettings};
pub use token::{Token, TokenError};
