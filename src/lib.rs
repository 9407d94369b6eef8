//! Commands, settings and logging of the `radishpin` binary.
//!
//! [`main`] selects a [`Command`], reads its settings from flags and environment variables, and
//! runs it.

mod client;
mod command;
mod error;
mod logging;
mod output;
mod role;
mod run;
mod settings;

pub use command::{Command, CommandSpec, explain_request};
pub use error::CommandError;
pub use logging::{
    LINES_PER_EVENT_S, LineLimit, LogOutput, NonBlockingWriter, PendingLines, format_record,
    start_logging,
};
pub use run::{Outcome, evaluate, main};
pub use settings::{Fault, Input, Kind, Presence, Setting, TimeSpec, Value, Values};
