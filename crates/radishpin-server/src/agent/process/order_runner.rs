//! Sends the ledger's orders to the endpoint, each in a task of its own, and counts loads.

use crate::agent::Agent;
use parking_lot::Mutex;
use radishpin_core::process::{Order, OrderKind, OrderOutcome, Target};
use radishpin_protocol::prelude::*;
use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

/// Counts of loads in flight and of loads that failed or whose outcome is unknown.
#[derive(Debug, Default)]
pub(in crate::agent) struct LoadCounters {
    in_flight: AtomicU32,
    failures: Mutex<BTreeMap<Target, u64>>,
}

impl LoadCounters {
    /// Number of load orders that were sent and have no outcome yet.
    pub(in crate::agent) fn in_flight(&self) -> u32 {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Number of failed loads of the target since the process started. For an adapter, failed loads
    /// of its model are included.
    pub(in crate::agent) fn failures(&self, target: &Target) -> u64 {
        let failures = self.failures.lock();
        let count_of = |target: &Target| failures.get(target).copied().unwrap_or_default();
        match target {
            Target::Model(_) => count_of(target),
            Target::Adapter { model, .. } => {
                count_of(target) + count_of(&Target::Model(model.clone()))
            }
        }
    }

    fn count_failure(&self, target: &Target) {
        *self.failures.lock().entry(target.clone()).or_default() += 1;
    }
}

impl Agent {
    /// Sends an order in a task of its own. The task outlives an attempt that is cancelled, because
    /// other attempts may wait for the same order and the ledger needs its outcome.
    pub(in crate::agent) fn spawn_order(self: &Arc<Self>, order: Order) {
        let agent = Arc::clone(self);
        self.runtime.spawn_detached(async move {
            agent.run_order(&order).await;
        });
    }

    /// Unloads idle targets to make room; targets that came into use in the meantime are skipped.
    pub(in crate::agent) fn evict(self: &Arc<Self>, targets: &[Target]) {
        let now = self.clock.now();
        let orders: Vec<Order> = match self.ledger.lock().as_mut() {
            Some(ledger) => targets
                .iter()
                .filter_map(|target| ledger.request_unload(target, now))
                .collect(),
            None => Vec::new(),
        };
        for order in orders {
            self.metrics.evictions.inc();
            self.spawn_order(order);
        }
    }

    async fn run_order(&self, order: &Order) {
        let started_at = self.clock.now();
        let loading = order.kind == OrderKind::Load;
        if loading {
            self.load_counters.in_flight.fetch_add(1, Ordering::Relaxed);
        }
        let outcome = self.endpoint.order(order, self.settings.order_life).await;
        let duration = self.clock.now().saturating_sub(started_at);
        if loading {
            self.load_counters.in_flight.fetch_sub(1, Ordering::Relaxed);
            self.record_load_outcome(order, outcome, duration);
        }
        log::info!(
            event = "order",
            kind:? = order.kind,
            target:? = order.target,
            incarnation = order.number.incarnation,
            sequence = order.number.sequence,
            outcome:? = outcome,
            took_ms = duration.as_millis() as u64;
            "order settled"
        );
        self.metrics.order(order.kind, outcome);
        self.record_order_outcome(order, outcome);
    }

    fn record_load_outcome(&self, order: &Order, outcome: OrderOutcome, duration: Duration) {
        match outcome {
            OrderOutcome::Done => self.average_durations.record_load(duration),
            OrderOutcome::Failed | OrderOutcome::Unknown => {
                self.load_counters.count_failure(&order.target);
            }
        }
    }

    fn record_order_outcome(&self, order: &Order, outcome: OrderOutcome) {
        let now = self.clock.now();
        if let Some(ledger) = self.ledger.lock().as_mut() {
            ledger.record_outcome(order.number, outcome, now);
        }
        self.ledger_changed.notify(usize::MAX);
        if outcome != OrderOutcome::Done {
            self.report_requested.notify(1);
        }
    }
}
