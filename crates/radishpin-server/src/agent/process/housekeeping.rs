//! Periodic tasks: reading the endpoint's reports, preloading and unloading, evicting old attempts.

use crate::agent::{Agent, connection::ledger_target};
use radishpin_core::process::{EngineReport, Order, OrderNumber, Target};
use radishpin_protocol::{ServiceKind, engine, prelude::*};
use radishpin_runtime::{Runtime, timeout};
use std::sync::Arc;

/// Interval between reads of the endpoint's report, unless a read is requested earlier.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// Minimum interval between reads, also if more are requested.
const REPORT_INTERVAL_MIN: Duration = Duration::from_millis(20);
/// Interval between rounds of preloading, unloading and eviction.
const HOUSEKEEPING_INTERVAL: Duration = Duration::from_millis(100);

impl Agent {
    /// Reads the endpoint's reports until the task is cancelled. Plain services have no reports.
    pub(super) async fn poll_reports(self: Arc<Self>) {
        if self.settings.kind == ServiceKind::Plain {
            return;
        }
        let mut sequence = 0;
        loop {
            let requested = self.report_requested.listen();
            sequence += 1;
            self.read_report(sequence).await;
            Runtime::sleep(REPORT_INTERVAL_MIN).await;
            timeout(REPORT_INTERVAL, requested).await;
        }
    }

    /// Issues due orders and evicts old attempts until the task is cancelled.
    pub(super) async fn run_housekeeping(self: Arc<Self>) {
        loop {
            Runtime::sleep(HOUSEKEEPING_INTERVAL).await;
            let now = self.clock.now();
            for order in self.due_orders(now) {
                self.spawn_order(order);
            }
            self.attempts.for_each(|ledger| ledger.expire(now));
        }
    }

    /// Always empty for a plain service, which would treat an order as an ordinary call.
    fn due_orders(&self, now: Duration) -> Vec<Order> {
        match (self.settings.kind, self.ledger.lock().as_mut()) {
            (ServiceKind::Models, Some(ledger)) => ledger.due_orders(now),
            (ServiceKind::Plain, _) | (ServiceKind::Models, None) => Vec::new(),
        }
    }

    async fn read_report(&self, sequence: u64) {
        let requested_at = self.clock.now();
        let report = match self.endpoint.report().await {
            Ok(report) => report,
            Err(cause) => {
                self.metrics.reports_missed.inc();
                log::debug!(event = "report_missed", cause:% = cause;
                    "cannot read the endpoint's report");
                return;
            }
        };
        self.tiers.lock().clone_from(&report.tiers);
        let observed = ledger_report(sequence, requested_at, &report);
        let now = self.clock.now();
        if let Some(ledger) = self.ledger.lock().as_mut() {
            ledger.apply_report(&observed, now);
        }
        self.ledger_changed.notify(usize::MAX);
    }
}

fn ledger_report(
    sequence: u64,
    requested_at: Duration,
    report: &engine::EngineReport,
) -> EngineReport {
    EngineReport {
        sequence,
        instance: report.instance,
        sampled_after: requested_at.saturating_sub(Duration::from_millis(report.lag_ms)),
        as_of: OrderNumber {
            incarnation: report.as_of.incarnation,
            sequence: report.as_of.sequence,
        },
        loaded: sizes(&report.loaded),
        loading: sizes(&report.loading),
        unloading: sizes(&report.unloading),
    }
}

fn sizes(residents: &[engine::Resident]) -> BTreeMap<Target, SizeMb> {
    let entry = |resident: &engine::Resident| (ledger_target(&resident.target), resident.size_mb);
    residents.iter().map(entry).collect()
}
