//! The whole system over loopback sockets, with the faults that it must survive.

#![allow(clippy::unwrap_used)]

mod faults;
mod keyed;
mod leaving;
mod loads;
mod restart;
mod streams;
mod support;
mod whole_path;
