//! The order that the sidecar before this one may have left without an answer.

use super::{
    Action, ActionOutcome, EndpointReport, Residency,
    accounting::{ResourceUse, UNANSWERED_ORDER_LIFETIME},
};
use crate::version::EngineSpec;
use radishpin_protocol::{UnixMs, prelude::*};

/// What is known of an order of the previous sidecar process, which may still take effect in an engine
/// that restarted since the order was sent.
#[derive(Clone, Debug)]
pub(super) struct PredecessorOrder {
    /// Start of this sidecar; the order was sent before.
    started_at: Duration,
    /// The same as Unix time.
    started_unix_ms: UnixMs,
    /// Start of the engine and its sequence in the first report of that process.
    first_report: Option<(UnixMs, u64)>,
    /// Orders of this sidecar that the engine may have accepted.
    own_orders: u64,
}

impl PredecessorOrder {
    /// Whether the engine's report proves that the order can no longer exceed what the engine holds.
    ///
    /// An engine executes an order only at its sequence. One that has run since before the order was
    /// sent is then in the state for which the order was decided, so that only an order from before the
    /// engine's start counts. Orders that the engine accepted and that are not of this sidecar are
    /// the predecessor's.
    fn is_settled(&mut self, report: &EndpointReport, now: Duration) -> bool {
        let first_report = self
            .first_report
            .filter(|(started_unix_ms, _)| *started_unix_ms == report.started_unix_ms);
        let first = first_report.unwrap_or((report.started_unix_ms, report.sequence));
        self.first_report = Some(first);
        let elapsed = now.saturating_sub(self.started_at);
        let age_at_start_ms = self.started_unix_ms.saturating_sub(report.started_unix_ms);
        let engine_age = elapsed + Duration::from_millis(age_at_start_ms);
        // A clock that was set forward makes a new engine look old; a new one has accepted nothing.
        let is_old = engine_age >= UNANSWERED_ORDER_LIFETIME && first.1 > 0;
        let took_effect = report.sequence > first.1 + self.own_orders;
        elapsed >= UNANSWERED_ORDER_LIFETIME || is_old || took_effect
    }
}

impl Residency {
    /// Accounts for one order of a sidecar that ran before this one, which started at `now`, until the
    /// engine's reports settle it or its lifetime has passed.
    pub fn with_predecessor(mut self, now: Duration, unix_ms: UnixMs) -> Self {
        self.predecessor = Some(PredecessorOrder {
            started_at: now,
            started_unix_ms: unix_ms,
            first_report: None,
            own_orders: 0,
        });
        self
    }

    /// Whether an order of the predecessor may still take effect in addition to what this sidecar orders.
    pub fn awaits_predecessor(&self) -> bool {
        self.predecessor.is_some()
    }

    /// Forgets the predecessor's order if the report settles it.
    pub(super) fn settle_predecessor(&mut self, report: &EndpointReport, now: Duration) {
        self.predecessor
            .take_if(|order| order.is_settled(report, now));
    }

    /// Counts an order of this sidecar that the engine may have accepted.
    pub(super) fn count_own_order(&mut self, outcome: ActionOutcome) {
        let may_be_accepted = matches!(outcome, ActionOutcome::Accepted | ActionOutcome::Unknown);
        if let Some(order) = self.predecessor.as_mut().filter(|_| may_be_accepted) {
            order.own_orders += 1;
        }
    }

    /// The most that the predecessor's order may occupy after `next`: the largest model that the engine
    /// lacks then, or an adapter.
    pub(super) fn predecessor_resource_use(
        &self,
        spec: &EngineSpec,
        report: &EndpointReport,
        next: &Action,
    ) -> ResourceUse {
        if self.predecessor.is_none() {
            return ResourceUse::default();
        }
        let is_present = |model: &ModelId| match next {
            Action::Load(loaded) if loaded == model => true,
            Action::Unload(unloaded) if unloaded == model => false,
            _ => report.models.contains_key(model),
        };
        let sizes = spec.models.iter().map(|(id, model)| {
            if is_present(id) {
                return model.adapter_mb;
            }
            model.weights_mb.max(model.adapter_mb)
        });
        ResourceUse {
            weights_mb: sizes.max().unwrap_or(0),
            adapters: 1,
        }
    }
}
