//! Capped exponential backoff with full jitter.

use std::time::Duration;

/// Largest power of two by which the base grows.
const MAX_DOUBLINGS: u32 = 20;

/// Waits between the tries of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest wait before the first retry.
    pub base: Duration,
    /// Longest wait before any retry.
    pub cap: Duration,
}

impl Backoff {
    /// Longest wait before retry `retry`, counted from 0.
    pub fn ceiling(&self, retry: u32) -> Duration {
        let factor = 1_u32 << retry.min(MAX_DOUBLINGS);
        self.base.saturating_mul(factor).min(self.cap)
    }

    /// Wait before retry `retry`, spread evenly from zero to the ceiling by `random`, which lies
    /// between 0 and 1.
    pub fn delay(&self, retry: u32, random: f64) -> Duration {
        self.ceiling(retry).mul_f64(random.clamp(0.0, 1.0))
    }
}

/// An interval spread evenly from half to one and a half times its length by `random`, which
/// lies between 0 and 1; keeps processes that started together from polling together.
pub fn jittered(interval: Duration, random: f64) -> Duration {
    interval.mul_f64(0.5 + random.clamp(0.0, 1.0))
}
