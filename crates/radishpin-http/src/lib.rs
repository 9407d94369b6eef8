//! HTTP server and client over `async-h1` and `smol`, with the guards that callers need.

mod client;
mod fault;
mod server;

pub use client::{Client, ClientError, ClientLimits};
pub use fault::HttpFault;
pub use server::{Handler, Received, Server, ServerLimits, Shutdown};
