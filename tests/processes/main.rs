//! Long-running commands of the binary, each run as a separate process.

mod process;
mod roles;
mod separation;
mod try_it;
