//! Signals that ask the process to stop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// SIGINT and SIGTERM, which no longer end the process by themselves.
#[derive(Debug)]
pub struct StopSignals(Signals);

impl StopSignals {
    /// Handles the signals from now on; those that come before [`Self::wait`] are kept for it.
    ///
    /// # Errors
    /// The operating system does not register the signal handlers.
    pub fn register() -> io::Result<Self> {
        Signals::new([Signal::Int, Signal::Term]).map(Self)
    }

    /// Waits for one of the signals.
    ///
    /// # Errors
    /// The signals cannot be read.
    pub async fn wait(&mut self) -> io::Result<()> {
        match self.0.next().await {
            Some(Err(cause)) => Err(cause),
            Some(Ok(_)) | None => Ok(()),
        }
    }
}
