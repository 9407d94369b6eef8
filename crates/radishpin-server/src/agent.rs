//! The agent: the one process that gives orders to its endpoint and passes calls to it.

mod connection;
mod process;
mod request;
mod version;

pub use process::{Agent, AgentError, RunningAgent};
