//! The agent: runs beside one endpoint, forwards calls to it and is the only process that sends it
//! orders to load and unload.

mod connection;
mod process;
mod request;
mod version;

pub use process::{Agent, AgentError, RunningAgent};
