//! How long a stream may pause while its caller waits for the next event.

use radishpin_protocol::prelude::*;

/// Shortest silence after which an endpoint counts as broken; the caller's patience, where that
/// is shorter.
const SILENCE_MIN: Duration = Duration::from_secs(1);
/// Share of a caller's patience after which a silent endpoint counts as broken, as a divisor: the
/// rest is left for another one to go on.
const SILENCE_DIVISOR: u32 = 2;

/// Limits of the pauses in a stream.
///
/// A caller's patience bounds each pause between two events, with the time that another endpoint
/// takes to go on; it does not bound the stream as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimeouts {
    patience: Duration,
}

impl StreamTimeouts {
    /// Limits for a caller with this patience.
    pub fn new(patience: Duration) -> Self {
        Self { patience }
    }

    /// Silence after which an endpoint counts as broken.
    pub fn inactivity_timeout(self) -> Duration {
        let least = SILENCE_MIN.min(self.patience);
        (self.patience / SILENCE_DIVISOR).max(least)
    }

    /// When the next event has to be there, or the stream ends with the reason.
    pub fn next_event_deadline(self, last_event_at: Duration) -> Duration {
        last_event_at + self.patience
    }
}
