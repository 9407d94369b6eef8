//! Client-side rate limiter that adapts to the platform's rate limit by additive increase and
//! multiplicative decrease, so that no rate has to be configured for the number of processes.

use std::time::Duration;

/// Interval between calls after the first call that exceeded the rate limit.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum interval between calls.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Calls per second by which each successful call raises the rate.
const INCREASE_PER_CALL: f64 = 0.1;
/// Rate at and above which calls are no longer delayed.
const UNLIMITED_CALLS_PER_SECOND: f64 = 200.0;

/// Rate limiter for the reads or the writes of one client; starts without a limit.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveRateLimiter {
    interval: Duration,
    next_slot_at: Duration,
    slowed_down_at: Duration,
}

impl AdaptiveRateLimiter {
    /// Reserves the next slot and returns the time until it. Returns `None` and reserves nothing if
    /// that would be longer than `max_wait`.
    pub fn reserve(&mut self, now: Duration, max_wait: Duration) -> Option<Duration> {
        if self.interval.is_zero() {
            return Some(Duration::ZERO);
        }
        let at = self.next_slot_at.max(now);
        let wait = at - now;
        if wait > max_wait {
            return None;
        }
        self.next_slot_at = at + self.interval;
        Some(wait)
    }

    /// Raises the rate after a call that the platform answered within its rate limit.
    pub fn record_success(&mut self) {
        if self.interval.is_zero() {
            return;
        }
        let per_second = 1.0 / self.interval.as_secs_f64() + INCREASE_PER_CALL;
        self.interval = if per_second >= UNLIMITED_CALLS_PER_SECOND {
            Duration::ZERO
        } else {
            Duration::from_secs_f64(1.0 / per_second)
        };
    }

    /// Lengthens the interval after a call that exceeded the platform's rate limit: to 50 ms first,
    /// then to twice its length, up to 4 s.
    ///
    /// Calls that were in flight together lengthen it only once. `random`, between 0 and 1, delays
    /// the next call by that fraction of the interval.
    pub fn record_rate_limited(&mut self, now: Duration, random: f64) {
        if !self.interval.is_zero() && now < self.slowed_down_at + self.interval {
            return;
        }
        self.slowed_down_at = now;
        self.interval = (self.interval * 2).clamp(FIRST_INTERVAL, MAX_INTERVAL);
        self.next_slot_at = now + self.interval.mul_f64(random.clamp(0.0, 1.0));
    }

    /// Interval between calls; zero if calls are not delayed.
    pub fn interval(&self) -> Duration {
        self.interval
    }
}
