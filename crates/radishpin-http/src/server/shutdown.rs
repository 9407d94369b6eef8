//! Tells servers to stop.

use async_channel::{Receiver, Sender};

/// Tells a server to stop: no new connections or requests, running ones end.
///
/// Clones tell the same servers.
#[derive(Clone, Debug)]
pub struct Shutdown {
    // Closed when the stop begins; nothing is ever sent.
    sender: Sender<()>,
    receiver: Receiver<()>,
}

impl Default for Shutdown {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Self { sender, receiver }
    }
}

impl Shutdown {
    /// Starts the stop; idempotent.
    pub fn begin(&self) {
        self.sender.close();
    }

    /// Whether the stop has begun.
    pub fn has_begun(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the stop has begun.
    pub async fn begun(&self) {
        // The only outcome is that the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
