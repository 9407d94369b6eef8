//! The node and agent processes of radishpin.

mod agent;
mod clock;
mod http_fault;
mod metrics;
mod node;
pub mod operator;
mod platform;
mod rpc;
mod settings;
mod shards;
mod token;
mod wire_header;

pub use agent::{Agent, AgentError, RunningAgent};
pub use node::{Node, NodeError, RunningNode};
pub use rpc::{Channel, ChannelError};
pub use settings::{AgentSettings, Fencing, NodeSettings};
pub use token::{Token, TokenError};
