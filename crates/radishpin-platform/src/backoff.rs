//! Capped exponential backoff with full jitter.

use std::time::Duration;

/// Limit of the exponent, so that the shift below cannot overflow.
const MAX_DOUBLINGS: u32 = 20;

/// Delays between the attempts of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Maximum delay before the first retry; doubles with each further retry.
    pub base: Duration,
    /// Maximum delay before any retry.
    pub cap: Duration,
}

impl Backoff {
    /// Maximum delay before retry number `retry`, counted from 0.
    pub fn ceiling(&self, retry: u32) -> Duration {
        let factor = 1_u32 << retry.min(MAX_DOUBLINGS);
        self.base.saturating_mul(factor).min(self.cap)
    }

    /// Delay before retry number `retry`: the ceiling multiplied by `random`, which lies between
    /// 0 and 1.
    pub fn delay(&self, retry: u32, random: f64) -> Duration {
        self.ceiling(retry).mul_f64(random.clamp(0.0, 1.0))
    }
}

/// Scales an interval by a factor between 0.5 and 1.5, so that processes that started together
/// do not poll at the same time.
///
/// `random` lies between 0 and 1 and selects the factor.
pub fn jittered(interval: Duration, random: f64) -> Duration {
    interval.mul_f64(0.5 + random.clamp(0.0, 1.0))
}
