//! The node process: routes callers' requests to endpoints and returns their answers.

mod connection;
mod process;
mod request;
mod version;

pub use process::{Node, NodeError, RunningNode};
