//! The agent's listener for nodes, given what no sound node sends.

#![allow(clippy::unwrap_used)]

mod fixture;
mod forged;
mod garbage;
mod odd_fields;
mod random;
