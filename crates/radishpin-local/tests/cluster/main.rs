//! The whole system over loopback sockets, with the faults that it must survive.

#![allow(clippy::unwrap_used)]

mod agent_status;
mod bad_input;
mod faults;
mod freezes;
mod keyed;
mod leaving;
mod loads;
mod raw;
mod restart;
mod scale;
mod streams;
mod support;
mod truth;
mod whole_path;
