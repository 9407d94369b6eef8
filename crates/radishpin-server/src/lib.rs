//! Node and agent processes.

mod settings;
mod token;

pub use settings::{AgentSettings, Fencing, NodeSettings};
pub use token::{Token, TokenError};
