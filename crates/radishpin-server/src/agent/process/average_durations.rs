//! Smoothed times that the agent reports with its load.

use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::Duration,
};

/// Weight of a new sample is one in this many.
const SMOOTHING_DIVISOR: u64 = 8;

/// Smoothed service and load times of one endpoint.
#[derive(Debug, Default)]
pub(in crate::agent) struct AverageDurations {
    service_us: AtomicU64,
    load_us: AtomicU64,
}

impl AverageDurations {
    /// Takes the time that a call held its place.
    pub(in crate::agent) fn record_service(&self, took: Duration) {
        add_sample(&self.service_us, took);
    }

    /// Takes the time of a load.
    pub(in crate::agent) fn record_load(&self, took: Duration) {
        add_sample(&self.load_us, took);
    }

    /// Smoothed time that a call holds its place; 0 before the first.
    pub(in crate::agent) fn service_time_ms(&self) -> u64 {
        self.service_us.load(Ordering::Relaxed) / 1_000
    }

    /// Smoothed time of a load; 0 before the first.
    pub(in crate::agent) fn load_time_ms(&self) -> u64 {
        self.load_us.load(Ordering::Relaxed) / 1_000
    }
}

/// A sample lost to a concurrent one does no harm to an average.
fn add_sample(average_us: &AtomicU64, took: Duration) {
    let sample_us = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    let old_us = average_us.load(Ordering::Relaxed);
    let new_us = match old_us {
        0 => sample_us,
        _ => old_us - old_us / SMOOTHING_DIVISOR + sample_us / SMOOTHING_DIVISOR,
    };
    average_us.store(new_us, Ordering::Relaxed);
}
