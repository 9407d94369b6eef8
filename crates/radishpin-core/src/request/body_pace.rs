//! The slowest pace at which a caller may send a body.

use radishpin_protocol::prelude::*;

/// Limits on the pace of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PaceLimits {
    /// Longest time without any byte, and time before the rate counts.
    pub idle_max: Duration,
    /// Smallest average rate after that, in bytes a second; 0 sets no limit.
    pub bytes_per_s_min: u32,
}

/// The pace of a body that is being received.
#[derive(Clone, Copy, Debug)]
pub struct BodyPace {
    limits: PaceLimits,
    started_at: Duration,
    progress_at: Duration,
    received: usize,
}

impl BodyPace {
    /// Begins to receive a body at `now`.
    pub fn new(limits: PaceLimits, now: Duration) -> Self {
        Self {
            limits,
            started_at: now,
            progress_at: now,
            received: 0,
        }
    }

    /// Records bytes that were received at `now`.
    pub fn record(&mut self, bytes: usize, now: Duration) {
        if bytes > 0 {
            self.received += bytes;
            self.progress_at = now;
        }
    }

    /// Time at which the body is too slow unless more of it is received.
    pub fn ends_at(&self) -> Duration {
        let idle_until = self.progress_at + self.limits.idle_max;
        if self.limits.bytes_per_s_min == 0 {
            return idle_until;
        }
        let paid_for = self.received as f64 / f64::from(self.limits.bytes_per_s_min);
        let paid_for = Duration::try_from_secs_f64(paid_for).unwrap_or(Duration::MAX);
        let rate_until = (self.started_at + self.limits.idle_max).saturating_add(paid_for);
        idle_until.min(rate_until)
    }
}
