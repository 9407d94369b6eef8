//! The agent's listener for nodes, given what no sound node sends.

#![allow(clippy::unwrap_used)]

mod authorization;
mod fixture;
mod invalid_fields;
mod malformed_input;
mod random_messages;
