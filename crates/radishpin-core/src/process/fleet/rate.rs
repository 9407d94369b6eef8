//! Request rate and mean request duration of a model.

use radishpin_protocol::prelude::*;

/// Decay time of the rate that sizes replicas: after it a request counts for 1/e.
const FAST_DECAY: Duration = Duration::from_secs(2);
/// Decay time of the rate that ranks replicas for eviction; longer, for rarely used models.
const SLOW_DECAY: Duration = Duration::from_secs(10);
/// Assumed mean duration before the first request has ended.
const DURATION_DEFAULT_S: f32 = 2.0;
/// Weight of the newest duration in the mean, an exponential moving average.
const DURATION_WEIGHT: f32 = 0.1;

/// Request rates and durations of one model at this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    fast_per_s: f32,
    slow_per_s: f32,
    updated_at: Duration,
    duration_s: f32,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            fast_per_s: 0.0,
            slow_per_s: 0.0,
            updated_at: Duration::ZERO,
            duration_s: DURATION_DEFAULT_S,
        }
    }
}

impl Rate {
    pub(super) fn count(&mut self, now: Duration) {
        self.fast_per_s = self.recent_per_s(now) + 1.0 / FAST_DECAY.as_secs_f32();
        self.slow_per_s = self.per_s(now) + 1.0 / SLOW_DECAY.as_secs_f32();
        self.updated_at = now;
    }

    /// Requests a second, averaged over about [`FAST_DECAY`].
    pub(super) fn recent_per_s(&self, now: Duration) -> f32 {
        self.fast_per_s * self.decay_factor(FAST_DECAY, now)
    }

    /// Requests a second, averaged over about [`SLOW_DECAY`].
    pub(super) fn per_s(&self, now: Duration) -> f32 {
        self.slow_per_s * self.decay_factor(SLOW_DECAY, now)
    }

    fn decay_factor(&self, decay: Duration, now: Duration) -> f32 {
        let age_s = now.saturating_sub(self.updated_at).as_secs_f32();
        (-age_s / decay.as_secs_f32()).exp()
    }

    pub(super) fn record_duration(&mut self, took: Duration) {
        self.duration_s += (took.as_secs_f32() - self.duration_s) * DURATION_WEIGHT;
    }

    pub(super) fn duration_s(&self) -> f32 {
        self.duration_s
    }
}
