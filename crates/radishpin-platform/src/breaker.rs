//! Circuit breaker: stops calls to a platform that does not answer, and probes for its return.

use std::time::Duration;

/// Largest power of two by which the open time grows.
const MAX_DOUBLINGS: u32 = 16;

/// Limits of a breaker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BreakerSettings {
    /// Failures in a row that open it.
    pub failures: u32,
    /// Longest time for which it opens first; each failed probe doubles it.
    pub open_base: Duration,
    /// Longest time for which it opens.
    pub open_cap: Duration,
    /// Time after which a probe without an outcome is given up.
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

/// What a breaker says to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Permit {
    /// Go ahead.
    Allowed,
    /// Refused until this much time has passed.
    Refused(Duration),
}

/// State of a breaker, as its gauge shows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum BreakerState {
    /// Calls go through.
    Closed,
    /// One probe is on its way.
    HalfOpen,
    /// Calls are refused.
    Open,
}

impl BreakerState {
    /// Name in `snake_case`, the label of its counter.
    pub const fn name(self) -> &'static str {
        match self {
            Self::Closed => "closed",
            Self::HalfOpen => "half_open",
            Self::Open => "open",
        }
    }

    /// Value of the gauge.
    pub const fn gauge_value(self) -> i64 {
        match self {
            Self::Closed => 0,
            Self::HalfOpen => 1,
            Self::Open => 2,
        }
    }
}

/// A circuit breaker; starts closed.
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
    /// A closed breaker.
    pub fn new(settings: BreakerSettings) -> Self {
        Self {
            settings,
            phase: Phase::Closed { failures: 0 },
        }
    }

    /// Asks for leave to call.
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

    /// Notes that the platform answered.
    pub fn record_success(&mut self) {
        self.phase = Phase::Closed { failures: 0 };
    }

    /// Notes that the platform did not answer. `random`, between 0 and 1, spreads the open time
    /// from half of its length to the whole, so that processes do not probe together.
    pub fn record_failure(&mut self, now: Duration, random: f64) {
        match self.phase {
            Phase::Closed { failures } if failures + 1 < self.settings.failures => {
                let failures = failures + 1;
                self.phase = Phase::Closed { failures };
            }
            Phase::Closed { .. } => self.open(now, 0, random),
            Phase::HalfOpen { openings, .. } => self.open(now, openings, random),
            // A call that began before the breaker opened says nothing new.
            Phase::Open { .. } => {}
        }
    }

    /// Its state.
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
