//! AdaptiveRateLimiter of calls after the platform's rate limit was met: additive increase, multiplicative
//! decrease, with nothing to configure as the number of processes grows.

use std::time::Duration;

/// Interval between calls after the first refusal.
const FIRST_INTERVAL: Duration = Duration::from_millis(50);
/// Longest interval between calls.
const MAX_INTERVAL: Duration = Duration::from_secs(4);
/// Calls a second that each served call adds to the pace.
const INCREASE_PER_CALL: f64 = 0.1;
/// AdaptiveRateLimiter from which on calls are no longer spaced.
const UNLIMITED_CALLS_PER_SECOND: f64 = 200.0;

/// Spacing of the calls of one kind; starts without any.
#[derive(Clone, Debug, Default)]
pub struct AdaptiveRateLimiter {
    interval: Duration,
    next_slot_at: Duration,
    slowed_down_at: Duration,
}

impl AdaptiveRateLimiter {
    /// Takes the next place and returns the wait until then; `None` where the wait would be
    /// longer than `max_wait`, and no place is taken.
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

    /// Notes that a call was served.
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

    /// Notes that a call met the rate limit; calls that were on their way together slow the
    /// pace once. `random`, between 0 and 1, spreads the next call over the interval.
    pub fn record_rate_limited(&mut self, now: Duration, random: f64) {
        if !self.interval.is_zero() && now < self.slowed_down_at + self.interval {
            return;
        }
        self.slowed_down_at = now;
        self.interval = (self.interval * 2).clamp(FIRST_INTERVAL, MAX_INTERVAL);
        self.next_slot_at = now + self.interval.mul_f64(random.clamp(0.0, 1.0));
    }

    /// Interval between calls; zero where they are not spaced.
    pub fn interval(&self) -> Duration {
        self.interval
    }
}
