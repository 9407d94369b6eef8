//! HTTP/1.1 server and client over `async-h1` and `smol`, with size limits, timeouts, strict
//! framing checks and detection of disconnects.

mod chunk;
mod client;
mod encode_buffer;
mod fault;
mod head_reader;
mod headers;
mod server;
mod socket;

pub use client::{Client, ClientError, ClientLimits, read_body};
pub use fault::HttpFault;
pub use server::{Handler, ReceivedRequest, Server, ServerLimits, Shutdown};
