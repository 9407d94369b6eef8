//! Operator commands against the operator API of a node over loopback.

mod cluster;
mod failures;
mod profile;
mod status;
mod stop;
