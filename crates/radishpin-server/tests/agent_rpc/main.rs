//! Robustness of the agent's RPC listener against input that a correct node never sends.

#![allow(clippy::unwrap_used)]

mod authorization;
mod fixture;
mod invalid_fields;
mod malformed_input;
mod random_messages;
