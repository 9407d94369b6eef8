//! Time since the start of a process, as the pure decisions take it.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// A monotonic clock that starts at zero.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since the start.
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Milliseconds since the Unix epoch, for planned stops, which operators write as times of day.
pub fn unix_now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
