//! The binary's long-running commands as processes of their own.

mod process;
mod roles;
mod separation;
mod try_it;
