//! The operators' commands against a node's operators' API over loopback.

mod cluster;
mod failures;
mod profile;
mod status;
mod stop;
