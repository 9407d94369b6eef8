//! Average durations that the agent reports together with its load.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// A new sample has a weight of one divided by this number.
const SMOOTHING_DIVISOR: u64 = 8;

/// Exponential moving averages of the duration of calls and of model loads at one endpoint.
#[derive(Debug, Default)]
pub(in crate::agent) struct AverageDurations {
    service_us: AtomicU64,
    load_us: AtomicU64,
}

impl AverageDurations {
    /// Adds the time for which a call held its slot.
    pub(in crate::agent) fn record_service(&self, duration: Duration) {
        add_sample(&self.service_us, duration);
    }

    /// Adds the duration of a successful load.
    pub(in crate::agent) fn record_load(&self, duration: Duration) {
        add_sample(&self.load_us, duration);
    }

    /// Average time for which a call holds its slot; 0 before the first sample.
    pub(in crate::agent) fn service_time_ms(&self) -> u64 {
        self.service_us.load(Ordering::Relaxed) / 1_000
    }

    /// Average duration of a load; 0 before the first sample.
    pub(in crate::agent) fn load_time_ms(&self) -> u64 {
        self.load_us.load(Ordering::Relaxed) / 1_000
    }
}

/// Updates the average without a lock: losing a sample to a concurrent update is harmless.
fn add_sample(average_us: &AtomicU64, duration: Duration) {
    let sample_us = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
    let old_us = average_us.load(Ordering::Relaxed);
    let new_us = match old_us {
        0 => sample_us,
        _ => old_us - old_us / SMOOTHING_DIVISOR + sample_us / SMOOTHING_DIVISOR,
    };
    average_us.store(new_us, Ordering::Relaxed);
}
