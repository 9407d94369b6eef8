//! Typed settings from flags and environment variables; a flag takes precedence.
//!
//! Each setting is declared once as a [`Setting`]. [`Values::read`] checks all of a command's
//! settings before any of them is used, so that every fault is reported at once.

mod args;
pub(crate) mod common;
mod fault;
mod help;
mod input;
mod kind;
mod setting;
mod values;

pub use fault::Fault;
pub(crate) use help::{command_help, overview};
pub use input::Input;
pub use kind::{Kind, TimeSpec, Value};
pub use setting::{Presence, Setting};
pub use values::Values;
