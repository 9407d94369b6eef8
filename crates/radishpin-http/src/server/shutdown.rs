//! Signal that starts the graceful shutdown of servers.

use async_channel::{Receiver, Sender};

/// Starts a server's graceful shutdown: it accepts no new connections or requests and completes
/// the running ones.
///
/// Clones share the signal.
#[derive(Clone, Debug)]
pub struct Shutdown {
    // Closed when the shutdown begins; no message is ever sent.
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
    /// Starts the shutdown; idempotent.
    pub fn begin(&self) {
        self.sender.close();
    }

    /// Whether the shutdown has begun.
    pub fn has_begun(&self) -> bool {
        self.sender.is_closed()
    }

    /// Waits until the shutdown has begun.
    pub async fn begun(&self) {
        // The only outcome is that the channel is closed.
        let _ = self.receiver.recv().await;
    }
}
