//! Time of a stand-in: the system's, or set by hand.

use parking_lot::Mutex;
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

/// A clock; clones share it.
#[derive(Clone, Debug)]
pub enum Clock {
    /// The system's monotonic clock, counted from this instant.
    System(Instant),
    /// A clock that only [`Clock::advance`] moves.
    Manual(Arc<Mutex<Duration>>),
}

impl Clock {
    /// The system's clock, starting at zero.
    pub fn system() -> Self {
        Self::System(Instant::now())
    }

    /// A clock that stands at zero.
    pub fn manual() -> Self {
        Self::Manual(Arc::default())
    }

    /// Time since the clock's start.
    pub fn now(&self) -> Duration {
        match self {
            Self::System(start) => start.elapsed(),
            Self::Manual(now) => *now.lock(),
        }
    }

    /// Moves a manual clock forward; the system's clock is left alone.
    pub fn advance(&self, by: Duration) {
        if let Self::Manual(now) = self {
            *now.lock() += by;
        }
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::system()
    }
}
