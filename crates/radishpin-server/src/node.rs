//! The node: takes callers' requests, routes them, answers or refuses.

mod connection;
mod process;
mod request;
mod version;

pub use process::{Node, NodeError, RunningNode};
