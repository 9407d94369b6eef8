//! Tests of the HTTP server and client over loopback sockets.

#![allow(clippy::unwrap_used, reason = "a panic fails the test at its line")]

mod client;
mod disconnect;
mod framing;
mod keep_alive;
mod limits;
mod random_bytes;
mod support;
