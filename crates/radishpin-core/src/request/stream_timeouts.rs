//! Timeouts of a stream between two events, from how long its caller waits.

use radishpin_protocol::prelude::*;

/// Lower bound of the inactivity timeout, unless the caller's patience is shorter still.
const INACTIVITY_TIMEOUT_MIN: Duration = Duration::from_secs(1);
/// The inactivity timeout is this fraction of the caller's patience; the rest is left for another
/// endpoint to resume the stream.
const INACTIVITY_TIMEOUT_DIVISOR: u32 = 2;

/// Limits on the pauses in a stream.
///
/// A caller's patience (`patience_ms` of the profile) bounds each pause between two events,
/// including the time that another endpoint needs to resume the stream. It does not bound the
/// duration of the stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTimeouts {
    patience: Duration,
}

impl StreamTimeouts {
    /// Timeouts for a caller that waits for at most `patience` between two events.
    pub fn new(patience: Duration) -> Self {
        Self { patience }
    }

    /// Time without an event after which the attempt counts as failed and the stream is resumed.
    pub fn inactivity_timeout(self) -> Duration {
        let lower_bound = INACTIVITY_TIMEOUT_MIN.min(self.patience);
        (self.patience / INACTIVITY_TIMEOUT_DIVISOR).max(lower_bound)
    }

    /// When the stream ends with an error unless the next event has arrived.
    pub fn next_event_deadline(self, last_event_at: Duration) -> Duration {
        last_event_at + self.patience
    }
}
