//! Prometheus counters of an agent.

use crate::metrics::{counter, counter_vec};
use prometheus::{IntCounter, IntCounterVec, Registry};
use radishpin_core::process::{OrderKind, OrderOutcome};
use radishpin_protocol::ResultCode;

/// Counters of one agent, in a registry of its own so that several agents can share a process.
#[derive(Debug)]
pub(in crate::agent) struct AgentMetrics {
    pub(in crate::agent) registry: Registry,
    refusals: IntCounterVec,
    orders: IntCounterVec,
    pub(in crate::agent) evictions: IntCounter,
    pub(in crate::agent) older_views: IntCounter,
    pub(in crate::agent) reports_missed: IntCounter,
}

impl AgentMetrics {
    pub(super) fn new() -> Self {
        let registry = Registry::new();
        Self {
            refusals: counter_vec(
                &registry,
                "radishpin_agent_refusals_total",
                "Attempts refused, by result code.",
                &["code"],
            ),
            orders: counter_vec(
                &registry,
                "radishpin_agent_orders_total",
                "Orders to the endpoint, by kind and outcome.",
                &["kind", "outcome"],
            ),
            evictions: counter(
                &registry,
                "radishpin_agent_evictions_total",
                "Idle replicas unloaded to make room.",
            ),
            older_views: counter(
                &registry,
                "radishpin_agent_older_views_total",
                "Views refused as older than the one in force.",
            ),
            reports_missed: counter(
                &registry,
                "radishpin_agent_reports_missed_total",
                "Reports that the endpoint did not give.",
            ),
            registry,
        }
    }

    /// Counts a refused attempt under the name of its result code.
    pub(in crate::agent) fn refused(&self, code: ResultCode) {
        self.refusals.with_label_values(&[code.name()]).inc();
    }

    /// Counts an order once its outcome, which may be unknown, has been determined.
    pub(in crate::agent) fn order(&self, kind: OrderKind, outcome: OrderOutcome) {
        let kind = match kind {
            OrderKind::Load => "load",
            OrderKind::Unload => "unload",
        };
        let outcome = match outcome {
            OrderOutcome::Done => "done",
            OrderOutcome::Failed => "failed",
            OrderOutcome::Unknown => "unknown",
        };
        self.orders.with_label_values(&[kind, outcome]).inc();
    }
}
