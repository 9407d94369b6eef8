//! Token bucket.

use std::time::Duration;

/// Share of a second's allowance that may be taken at once.
const BURST_SECONDS: f64 = 0.25;

/// Allows a number of calls a second, with a burst of a quarter of a second's calls.
#[derive(Clone, Debug)]
pub struct Rate {
    tokens: f64,
    filled_at: Duration,
    per_second: f64,
}

impl Rate {
    /// A full bucket.
    pub fn new(per_second: f64, now: Duration) -> Self {
        Self {
            tokens: burst(per_second),
            filled_at: now,
            per_second,
        }
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Duration) -> bool {
        let elapsed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        self.tokens = (self.tokens + elapsed * self.per_second).min(burst(self.per_second));
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

fn burst(per_second: f64) -> f64 {
    (per_second * BURST_SECONDS).max(1.0)
}
