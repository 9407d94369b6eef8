//! One target in an endpoint's memory, and the outstanding order about it.

use super::super::{OrderKind, OrderNumber, OrderOutcome};
use radishpin_protocol::prelude::*;

/// State of a target that takes memory; absent targets are not recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaState {
    /// A load was ordered, or the endpoint reported one.
    Loading,
    /// The endpoint answered or reported that the target is loaded.
    Loaded,
    /// An unload was ordered or reported; the memory stays reserved until a report shows that the
    /// target is gone.
    Unloading,
    /// The outcome of an order is unknown; the memory stays reserved until a report resolves it.
    Uncertain,
}

/// Snapshot of a target in an endpoint's memory, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Whether the target is loaded, being loaded or unloaded, or uncertain.
    pub state: ReplicaState,
    /// Accelerator memory reserved for the target.
    pub size_mb: SizeMb,
    /// Number of requests that are using the target.
    pub uses: u32,
    /// When the target was last used, or loaded if it was not used since; measured from the start
    /// of the agent's process.
    pub last_used: Duration,
}

/// Progress of an outstanding order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// The order was issued and its outcome has not arrived.
    InFlight,
    /// The endpoint answered, at this time, that it executed the order.
    Done(Duration),
    /// The order may have been executed, or may still be.
    Unknown,
}

/// An outstanding order: unanswered, of unknown outcome, or an unload that no report has confirmed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct PendingOrder {
    pub(super) number: OrderNumber,
    pub(super) kind: OrderKind,
    pub(super) stage: Stage,
    pub(super) sent_at: Duration,
    /// Endpoint instance when the order was issued; `None` before the first report.
    pub(super) instance: Option<u64>,
}

/// A target that takes memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub(super) state: ReplicaState,
    pub(super) pending: Option<PendingOrder>,
    /// Newest order about the target whose outcome is known, and when it was recorded; reports that
    /// are not newer are ignored for this target.
    pub(super) last_resolved: Option<(OrderNumber, Duration)>,
    pub(super) last_used: Duration,
}

impl Replica {
    pub(super) const fn loading(pending: PendingOrder, now: Duration) -> Self {
        Self {
            state: ReplicaState::Loading,
            pending: Some(pending),
            last_resolved: None,
            last_used: now,
        }
    }

    pub(super) const fn reported(state: ReplicaState, now: Duration) -> Self {
        Self {
            state,
            pending: None,
            last_resolved: None,
            last_used: now,
        }
    }

    pub(super) fn has_in_flight(&self, number: OrderNumber) -> bool {
        let pending = self.pending.filter(|p| p.stage == Stage::InFlight);
        pending.is_some_and(|pending| pending.number == number)
    }

    /// Whether a failure of the pending order means that the target is absent, as for loads.
    pub(super) fn absent_if_failed(&self) -> bool {
        let pending = self.pending;
        pending.is_some_and(|pending| pending.kind == OrderKind::Load)
    }

    /// Applies the outcome of the pending order; the caller handles failed loads.
    pub(super) fn apply_outcome(&mut self, outcome: OrderOutcome, now: Duration) {
        let Some(pending) = &mut self.pending else {
            return;
        };
        match (pending.kind, outcome) {
            (_, OrderOutcome::Unknown) => {
                pending.stage = Stage::Unknown;
                self.state = ReplicaState::Uncertain;
            }
            (OrderKind::Unload, OrderOutcome::Done) => pending.stage = Stage::Done(now),
            (OrderKind::Load, _) | (OrderKind::Unload, OrderOutcome::Failed) => {
                self.last_resolved = Some((pending.number, now));
                self.pending = None;
                self.state = ReplicaState::Loaded;
                self.last_used = now;
            }
        }
    }
}
