//! Local concurrency limit on loads from the weight store, for use while the store's shared
//! budget is unreachable.

use radishpin_protocol::prelude::*;

/// One concurrent load, in the unit of the limit: thousandths of a load.
const ONE_LOAD: u64 = 1_000;
/// Lowest limit: one load at a time, followed by a pause of seven times its duration.
const LIMIT_MIN: u64 = ONE_LOAD / 8;
/// A load whose time per mebibyte exceeds this percentage of the best one counts as slow and lowers
/// the limit.
const SLOW_LOAD_PERCENT: u64 = 150;
/// Divides the best time per mebibyte to get its increase with each load, so that an outdated best
/// time decays.
const DECAY_DIVISOR: u64 = 100;

/// Limit by additive increase and multiplicative decrease (AIMD), driven by observed load times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadLimit {
    // In thousandths of a load, as `limit_max`.
    limit: u64,
    limit_max: u64,
    in_flight: u32,
    // 0 before the first load.
    best_us_per_mb: u64,
    not_before: Duration,
    decreased_at: Duration,
}

impl LoadLimit {
    /// Creates a limit that starts at one load and grows to at most `max` concurrent loads.
    pub fn new(max: u32) -> Self {
        Self {
            limit: ONE_LOAD,
            limit_max: u64::from(max.max(1)) * ONE_LOAD,
            in_flight: 0,
            best_us_per_mb: 0,
            not_before: Duration::ZERO,
            decreased_at: Duration::ZERO,
        }
    }

    /// Starts a load and returns `true` if the limit permits it at `now`.
    pub fn try_start(&mut self, now: Duration) -> bool {
        let in_flight_after = u64::from(self.in_flight + 1) * ONE_LOAD;
        let has_room = in_flight_after <= self.limit.max(ONE_LOAD);
        if !has_room || now < self.not_before {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Records a successful load of `size_mb` mebibytes that took `took`, and adjusts the limit.
    pub fn finish(&mut self, size_mb: SizeMb, took: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let us_per_mb = load_us_per_mb(size_mb, took);
        let is_slow = self.best_us_per_mb > 0
            && us_per_mb.saturating_mul(100)
                > self.best_us_per_mb.saturating_mul(SLOW_LOAD_PERCENT);
        self.update_best(us_per_mb);
        if is_slow {
            self.decrease(took, now);
        } else {
            let increase = ONE_LOAD * ONE_LOAD / self.limit.max(1);
            self.limit = (self.limit + increase.min(ONE_LOAD)).min(self.limit_max);
        }
        self.delay_next(took, now);
    }

    /// Records a load that failed or timed out after `took`, and lowers the limit.
    pub fn fail(&mut self, took: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.decrease(took, now);
        self.delay_next(took, now);
    }

    /// Number of loads that have started and not ended.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Current limit in thousandths of a load; below 1000, one load at a time with pauses.
    pub fn limit_milli(&self) -> u64 {
        self.limit
    }

    /// Earliest time at which the next load may start.
    pub fn not_before(&self) -> Duration {
        self.not_before
    }

    fn update_best(&mut self, us_per_mb: u64) {
        let decayed = self
            .best_us_per_mb
            .saturating_add(self.best_us_per_mb / DECAY_DIVISOR);
        self.best_us_per_mb = if self.best_us_per_mb == 0 {
            us_per_mb
        } else {
            decayed.min(us_per_mb)
        };
    }

    /// Halves the limit, but only once for loads that ran concurrently: they were slow for the same
    /// reason.
    fn decrease(&mut self, took: Duration, now: Duration) {
        let started = now.saturating_sub(took);
        if started < self.decreased_at {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit / 2).max(LIMIT_MIN);
    }

    /// For a limit below one load, delays the next load so that the average load rate stays within
    /// the limit.
    fn delay_next(&mut self, took: Duration, now: Duration) {
        if self.limit >= ONE_LOAD {
            return;
        }
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let pause_us = took_us.saturating_mul(ONE_LOAD - self.limit) / self.limit;
        self.not_before = now.saturating_add(Duration::from_micros(pause_us));
    }
}

fn load_us_per_mb(size_mb: SizeMb, took: Duration) -> u64 {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    (took_us / u64::from(size_mb.max(1))).max(1)
}
