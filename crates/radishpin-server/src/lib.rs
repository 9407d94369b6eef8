//! The node and agent processes of radishpin.

mod rpc;
pub mod settings;
mod token;

pub use token::{Token, TokenError};
