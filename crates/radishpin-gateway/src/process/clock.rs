//! The monotonic clock of the process.

use std::time::{Duration, Instant};

/// Measures the time since the process started.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    pub(crate) fn now(self) -> Duration {
        self.started_at.elapsed()
    }
}
