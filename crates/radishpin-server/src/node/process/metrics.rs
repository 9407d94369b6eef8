//! Prometheus metrics of a node.

use crate::metrics::{counter, counter_vec, gauge, histogram};
use prometheus::{Histogram, IntCounter, IntCounterVec, IntGauge, Registry};
use radishpin_core::request::RetryReason;
use radishpin_protocol::prelude::*;

/// Upper bounds of the buckets of `radishpin_answer_seconds`.
const ANSWER_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 60.0,
];

/// Metrics of one node, with their own registry.
#[derive(Debug)]
pub(in crate::node) struct NodeMetrics {
    pub(in crate::node) registry: Registry,
    pub(in crate::node) requests: IntCounter,
    pub(in crate::node) view_version: IntGauge,
    pub(in crate::node) running: IntGauge,
    pub(in crate::node) replays: IntCounter,
    pub(in crate::node) rows_swept: IntCounter,
    pub(in crate::node) shards_held: IntGauge,
    pub(in crate::node) polls_failed: IntCounter,
    pub(in crate::node) heartbeats_failed: IntCounter,
    pub(in crate::node) grant_writes: IntCounterVec,
    refusals: IntCounterVec,
    retries: IntCounterVec,
    answer_seconds: Histogram,
}

impl NodeMetrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new();
        let refusals = counter_vec(
            &registry,
            "radishpin_refusals_total",
            "Requests refused, by result code.",
            &["code"],
        );
        for code in ResultCode::ALL {
            refusals.with_label_values(&[code.name()]);
        }
        let retries = counter_vec(
            &registry,
            "radishpin_retries_total",
            "Attempts after the first, by reason.",
            &["reason"],
        );
        for reason in RetryReason::ALL {
            retries.with_label_values(&[reason.name()]);
        }
        Self {
            requests: counter(&registry, "radishpin_requests_total", "Requests received."),
            view_version: gauge(
                &registry,
                "radishpin_view_version",
                "Version of the configuration in force.",
            ),
            running: gauge(
                &registry,
                "radishpin_requests_running",
                "Requests being served.",
            ),
            replays: counter(
                &registry,
                "radishpin_replays_total",
                "Keyed calls answered with the stored answer of an earlier one.",
            ),
            rows_swept: counter(
                &registry,
                "radishpin_rows_swept_total",
                "Rows of operations and keys deleted after their time.",
            ),
            shards_held: gauge(
                &registry,
                "radishpin_shards_held",
                "Shards of the control work whose lease the node holds.",
            ),
            polls_failed: counter(
                &registry,
                "radishpin_view_polls_failed_total",
                "Reads of the configuration that failed.",
            ),
            heartbeats_failed: counter(
                &registry,
                "radishpin_heartbeats_failed_total",
                "Heartbeats that an agent did not answer in time.",
            ),
            grant_writes: counter_vec(
                &registry,
                "radishpin_grant_writes_total",
                "Writes of grants, by outcome.",
                &["outcome"],
            ),
            refusals,
            retries,
            answer_seconds: histogram(
                &registry,
                "radishpin_answer_seconds",
                "Time to the start of an answer.",
                ANSWER_BUCKETS_SECONDS.to_vec(),
            ),
            registry,
        }
    }

    /// Counts a request that was refused with `code`.
    pub(in crate::node) fn count_refusal(&self, code: ResultCode) {
        self.refusals.with_label_values(&[code.name()]).inc();
    }

    /// Counts an attempt after the first.
    pub(in crate::node) fn count_retry(&self, reason: RetryReason) {
        self.retries.with_label_values(&[reason.name()]).inc();
    }

    /// Records the time from a request to the start of its answer.
    pub(in crate::node) fn observe_time_to_answer(&self, took: Duration) {
        self.answer_seconds.observe(took.as_secs_f64());
    }
}
