//! The process's steady clock.

use std::time::{Duration, Instant};

/// Time since the start of the process.
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
