//! Circuit breaker: refuses calls while the platform does not respond, and probes it for recovery.

use std::time::Duration;

/// Limit of the exponent, so that the shift in [`Breaker::open`] cannot overflow.
const MAX_DOUBLINGS: u32 = 16;

/// Thresholds and times of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Consecutive failures after which the breaker opens.
    pub failures: u32,
    /// Maximum time for which the breaker first stays open; each failed probe doubles it.
    pub open_base: Duration,
    /// Maximum time for which the breaker stays open, after any number of failed probes.
    pub open_cap: Duration,
    /// Time after which a probe without a result is abandoned and another one is allowed.
    pub probe_timeout: Duration,
}

impl Default for BreakerSettings {
    fn default() -> Self {
        Self {
            failures: 5,
            open_base: Duration::from_millis(500),
            open_cap: Duration::from_secs(5),
            probe_timeout: Duration::from_secs(2),
        }
    }
}

/// Decision of a breaker about a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// The call may be sent; its result must be recorded.
    Allowed,
    /// The call must not be sent; the breaker may allow one after this time.
    Refused(Duration),
}

/// State of a breaker, as exported in its metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakerState {
    /// Calls are allowed.
    Closed,
    /// One probe was allowed and its result is awaited; other calls are refused.
    HalfOpen,
    /// Calls are refused until the open time has passed.
    Open,
}

impl BreakerState {
    /// Name in `snake_case`, used as a metric label.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::HalfOpen => "half_open",
            Self::Open => "open",
        }
    }

    /// Value of the `radishpin_platform_breaker_state` gauge.
    pub const fn gauge_value(self) -> i64 {
        match self {
            Self::Closed => 0,
            Self::HalfOpen => 1,
            Self::Open => 2,
        }
    }
}

/// A circuit breaker; the caller passes in the time and serializes access.
#[derive(Clone, Debug)]
pub struct Breaker {
    settings: BreakerSettings,
    phase: Phase,
}

#[derive(Clone, Copy, Debug)]
enum Phase {
    Closed { failures: u32 },
    Open { until: Duration, openings: u32 },
    HalfOpen { until: Duration, openings: u32 },
}

impl Breaker {
    /// Creates a breaker in the closed state.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            phase: Phase::Closed { failures: 0 },
        }
    }

    /// Decides whether a call may be sent; an open breaker turns half open once its time is over.
    pub fn permit(&mut self, now: Duration) -> Permit {
        match self.phase {
            Phase::Closed { .. } => Permit::Allowed,
            Phase::Open { until, .. } | Phase::HalfOpen { until, .. } if now < until => {
                Permit::Refused(until - now)
            }
            Phase::Open { openings, .. } | Phase::HalfOpen { openings, .. } => {
                let until = now + self.settings.probe_timeout;
                self.phase = Phase::HalfOpen { until, openings };
                Permit::Allowed
            }
        }
    }

    /// Records that the platform responded, which closes the breaker.
    pub fn record_success(&mut self) {
        self.phase = Phase::Closed { failures: 0 };
    }

    /// Records that the platform did not respond.
    ///
    /// `random`, between 0 and 1, scales the open time from half of its length to all of it, so
    /// that processes do not probe at the same time.
    pub fn record_failure(&mut self, now: Duration, random: f64) {
        match self.phase {
            Phase::Closed { failures } if failures + 1 < self.settings.failures => {
                let failures = failures + 1;
                self.phase = Phase::Closed { failures };
            }
            Phase::Closed { .. } => self.open(now, 0, random),
            Phase::HalfOpen { openings, .. } => self.open(now, openings, random),
            // The call was sent before the breaker opened, so it must not extend the open time.
            Phase::Open { .. } => {}
        }
    }

    /// Current state; the passage of time alone does not change it.
    pub fn state(&self) -> BreakerState {
        match self.phase {
            Phase::Closed { .. } => BreakerState::Closed,
            Phase::HalfOpen { .. } => BreakerState::HalfOpen,
            Phase::Open { .. } => BreakerState::Open,
        }
    }

    fn open(&mut self, now: Duration, openings: u32, random: f64) {
        let factor = 1_u32 << openings.min(MAX_DOUBLINGS);
        let longest = self.settings.open_base.saturating_mul(factor);
        let longest = longest.min(self.settings.open_cap);
        let time = longest.mul_f64(0.5 + 0.5 * random.clamp(0.0, 1.0));
        self.phase = Phase::Open {
            until: now + time,
            openings: openings.saturating_add(1),
        };
    }
}
