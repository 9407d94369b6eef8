//! Configuration views that the agent receives from nodes.

mod sync;
