//! Local limit on loads from the weight store, for when its shared budget cannot be asked.

use radishpin_protocol::prelude::*;

/// Thousandths of a load.
const ONE_LOAD: u64 = 1_000;
/// Lowest limit: one load at a time, with pauses seven times as long between them.
const LIMIT_MIN: u64 = ONE_LOAD / 8;
/// A load that takes longer than this part of the best pace, in per cent, shows pressure.
const PRESSURE_PERCENT: u64 = 150;
/// Loads after which the best pace seen is believed to be a hundredth slower.
const DECAY_DIVISOR: u64 = 100;

/// Additive increase, multiplicative decrease on observed load times.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadLimit {
    limit: u64,
    limit_max: u64,
    in_flight: u32,
    // Microseconds a mebibyte at the best; 0 before the first load.
    best_pace: u64,
    not_before: Duration,
    decreased_at: Duration,
}

impl LoadLimit {
    /// One load at a time at first, at most `max` later.
    pub fn new(max: u32) -> Self {
        Self {
            limit: ONE_LOAD,
            limit_max: u64::from(max.max(1)) * ONE_LOAD,
            in_flight: 0,
            best_pace: 0,
            not_before: Duration::ZERO,
            decreased_at: Duration::ZERO,
        }
    }

    /// Starts a load if the limit has room for it now.
    pub fn try_start(&mut self, now: Duration) -> bool {
        let in_flight_after = u64::from(self.in_flight + 1) * ONE_LOAD;
        let room = in_flight_after <= self.limit.max(ONE_LOAD);
        if !room || now < self.not_before {
            return false;
        }
        self.in_flight += 1;
        true
    }

    /// Takes the time of a load that ended.
    pub fn finish(&mut self, size_mb: SizeMb, took: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        let pace = pace_us(size_mb, took);
        let pressed = self.best_pace > 0
            && pace.saturating_mul(100) > self.best_pace.saturating_mul(PRESSURE_PERCENT);
        self.learn(pace);
        if pressed {
            self.decrease(took, now);
        } else {
            let step = ONE_LOAD * ONE_LOAD / self.limit.max(1);
            self.limit = (self.limit + step.min(ONE_LOAD)).min(self.limit_max);
        }
        self.pause(took, now);
    }

    /// Takes a load that failed or timed out.
    pub fn fail(&mut self, took: Duration, now: Duration) {
        self.in_flight = self.in_flight.saturating_sub(1);
        self.decrease(took, now);
        self.pause(took, now);
    }

    /// Loads in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// The limit in thousandths of a load.
    pub fn limit_milli(&self) -> u64 {
        self.limit
    }

    /// Earliest time of the next start.
    pub fn not_before(&self) -> Duration {
        self.not_before
    }

    fn learn(&mut self, pace: u64) {
        let slower = self
            .best_pace
            .saturating_add(self.best_pace / DECAY_DIVISOR);
        self.best_pace = if self.best_pace == 0 {
            pace
        } else {
            slower.min(pace)
        };
    }

    /// Loads that ran beside each other tell of the same pressure: it counts once.
    fn decrease(&mut self, took: Duration, now: Duration) {
        let started = now.saturating_sub(took);
        if started < self.decreased_at {
            return;
        }
        self.decreased_at = now;
        self.limit = (self.limit / 2).max(LIMIT_MIN);
    }

    /// Below one load at a time, the time between loads makes up for the rest.
    fn pause(&mut self, took: Duration, now: Duration) {
        if self.limit >= ONE_LOAD {
            return;
        }
        let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
        let pause_us = took_us.saturating_mul(ONE_LOAD - self.limit) / self.limit;
        self.not_before = now.saturating_add(Duration::from_micros(pause_us));
    }
}

fn pace_us(size_mb: SizeMb, took: Duration) -> u64 {
    let took_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    (took_us / u64::from(size_mb.max(1))).max(1)
}
