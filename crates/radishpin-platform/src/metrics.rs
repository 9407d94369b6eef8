//! Prometheus metrics of the platform client and the view reader.

use crate::{BreakerState, Cause};
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Counters and gauges of one client, or of several clients that share them; clones share values.
#[derive(Clone, Debug)]
pub struct PlatformMetrics {
    calls: IntCounterVec,
    retries: IntCounterVec,
    retries_refused: IntCounter,
    settled: IntCounterVec,
    breaker_state: IntGauge,
    breaker_changes: IntCounterVec,
    view_rows_malformed: IntCounter,
    view_listings: IntCounterVec,
}

impl PlatformMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    /// Fails if the registry already has metrics with these names.
    pub fn register(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self::unregistered()?;
        registry.register(Box::new(metrics.calls.clone()))?;
        registry.register(Box::new(metrics.retries.clone()))?;
        registry.register(Box::new(metrics.retries_refused.clone()))?;
        registry.register(Box::new(metrics.settled.clone()))?;
        registry.register(Box::new(metrics.breaker_state.clone()))?;
        registry.register(Box::new(metrics.breaker_changes.clone()))?;
        registry.register(Box::new(metrics.view_rows_malformed.clone()))?;
        registry.register(Box::new(metrics.view_listings.clone()))?;
        Ok(metrics)
    }

    /// Creates the metrics without a registry, so they are counted but not exported.
    ///
    /// # Errors
    /// Fails only if a metric name is invalid, which the fixed names are not.
    pub fn unregistered() -> Result<Self, prometheus::Error> {
        Ok(Self {
            calls: counter_vec(
                "radishpin_platform_calls_total",
                "Tries sent to the platform, by call and outcome",
                &["call", "outcome"],
            )?,
            retries: counter_vec(
                "radishpin_platform_retries_total",
                "Tries after the first, by call and by cause of the failure before",
                &["call", "cause"],
            )?,
            retries_refused: IntCounter::new(
                "radishpin_platform_retries_refused_total",
                "Retries not made, as the retry budget was spent",
            )?,
            settled: counter_vec(
                "radishpin_platform_settled_total",
                "Unknown outcomes of commits that were settled, by what was found",
                &["outcome"],
            )?,
            breaker_state: IntGauge::new(
                "radishpin_platform_breaker_state",
                "State of the breaker: 0 closed, 1 half open, 2 open",
            )?,
            breaker_changes: counter_vec(
                "radishpin_platform_breaker_changes_total",
                "Changes of the breaker, by the state entered",
                &["state"],
            )?,
            view_rows_malformed: IntCounter::new(
                "radishpin_view_rows_malformed_total",
                "Rows that could not be read and were left as they stood before",
            )?,
            view_listings: counter_vec(
                "radishpin_view_listings_total",
                "Listings read for the view, by whether the round was the first",
                &["round"],
            )?,
        })
    }

    pub(crate) fn record_call(&self, call: &str, outcome: &str) {
        self.calls.with_label_values(&[call, outcome]).inc();
    }

    pub(crate) fn record_retry(&self, call: &str, cause: &Cause) {
        self.retries.with_label_values(&[call, cause.name()]).inc();
    }

    pub(crate) fn record_refused_retry(&self) {
        self.retries_refused.inc();
    }

    pub(crate) fn record_settled(&self, outcome: &str) {
        self.settled.with_label_values(&[outcome]).inc();
    }

    pub(crate) fn record_breaker_state(&self, before: BreakerState, after: BreakerState) {
        if before != after {
            self.breaker_state.set(after.gauge_value());
            self.breaker_changes
                .with_label_values(&[after.name()])
                .inc();
        }
    }

    pub(crate) fn record_malformed_row(&self) {
        self.view_rows_malformed.inc();
    }

    pub(crate) fn record_listing(&self, first_round: bool) {
        let round = if first_round { "first" } else { "repeated" };
        self.view_listings.with_label_values(&[round]).inc();
    }
}

fn counter_vec(
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    IntCounterVec::new(Opts::new(name, help), labels)
}
