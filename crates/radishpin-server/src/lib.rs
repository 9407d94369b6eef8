//! The node and agent processes of radishpin.

pub mod operator;
mod rpc;
pub mod settings;
mod token;

pub use token::{Token, TokenError};
