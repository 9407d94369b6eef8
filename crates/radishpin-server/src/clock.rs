//! The process's clocks: monotonic time since its start, and time since the Unix epoch.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Monotonic clock; its readings are durations since its start, as `radishpin-core` expects them.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
}

impl Clock {
    /// A clock that reads zero now.
    pub fn start() -> Self {
        Self {
            started: Instant::now(),
        }
    }

    /// Time since [`Self::start`].
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }
}

/// Milliseconds since the Unix epoch; 0 if the system clock is set before it.
///
/// For times that are compared between processes: planned stops, which operators give as times of
/// day, and the expiry of idempotency keys.
pub fn unix_now_ms() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}
