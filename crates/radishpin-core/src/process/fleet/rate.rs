//! How often a model is asked for, and how long its requests take.

use radishpin_protocol::prelude::*;

/// Time after which a request counts for 1/e of itself in the rate that sizes replicas.
const FAST_DECAY: Duration = Duration::from_secs(2);
/// The same in the rate that ranks rare models.
const SLOW_DECAY: Duration = Duration::from_secs(10);
/// Duration of a request before one has been measured.
const DURATION_DEFAULT_S: f32 = 2.0;
/// Weight of the newest duration in the mean.
const DURATION_WEIGHT: f32 = 0.1;

/// Requests for one model at this gateway.
#[derive(Clone, Copy, Debug)]
pub(super) struct Rate {
    fast_per_s: f32,
    slow_per_s: f32,
    at: Duration,
    duration_s: f32,
}

impl Default for Rate {
    fn default() -> Self {
        Self {
            fast_per_s: 0.0,
            slow_per_s: 0.0,
            at: Duration::ZERO,
            duration_s: DURATION_DEFAULT_S,
        }
    }
}

impl Rate {
    pub(super) fn count(&mut self, now: Duration) {
        self.fast_per_s = self.recent_per_s(now) + 1.0 / FAST_DECAY.as_secs_f32();
        self.slow_per_s = self.per_s(now) + 1.0 / SLOW_DECAY.as_secs_f32();
        self.at = now;
    }

    /// Requests a second over the last seconds.
    pub(super) fn recent_per_s(&self, now: Duration) -> f32 {
        self.fast_per_s * self.fade(FAST_DECAY, now)
    }

    /// Requests a second over a longer time.
    pub(super) fn per_s(&self, now: Duration) -> f32 {
        self.slow_per_s * self.fade(SLOW_DECAY, now)
    }

    fn fade(&self, decay: Duration, now: Duration) -> f32 {
        let age_s = now.saturating_sub(self.at).as_secs_f32();
        (-age_s / decay.as_secs_f32()).exp()
    }

    pub(super) fn record_duration(&mut self, took: Duration) {
        self.duration_s += (took.as_secs_f32() - self.duration_s) * DURATION_WEIGHT;
    }

    pub(super) fn duration_s(&self) -> f32 {
        self.duration_s
    }
}
