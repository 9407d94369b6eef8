//! Server and client over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a failed test tells where")]

mod client;
mod disconnect;
mod framing;
mod keep_alive;
mod limits;
mod random_bytes;
mod support;
