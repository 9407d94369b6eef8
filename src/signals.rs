//! Signals that ask the process to stop.

use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::io;

/// Waits for SIGINT or SIGTERM.
///
/// # Errors
/// The operating system does not register the signal handlers.
pub(crate) async fn wait_for_stop_signal() -> io::Result<()> {
    let mut signals = Signals::new([Signal::Int, Signal::Term])?;
    match signals.next().await {
        Some(Err(cause)) => Err(cause),
        Some(Ok(_)) | None => Ok(()),
    }
}
