//! One target in an endpoint's memory and the order about it that is not settled.

use super::super::{OrderKind, OrderNumber, OrderOutcome};
use radishpin_protocol::prelude::*;

/// State of a target that takes memory; an absent one has none.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum ReplicaState {
    /// Ordered, or reported as being loaded.
    Loading,
    /// Loaded.
    Loaded,
    /// Ordered to unload; takes memory until a report shows it gone.
    Unloading,
    /// The outcome of an order is not known; takes memory until a report settles it.
    Uncertain,
}

/// A target in an endpoint's memory, for reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReplicaStatus {
    /// Its state.
    pub state: ReplicaState,
    /// Memory reserved for it.
    pub size_mb: SizeMb,
    /// Uses that have begun and not ended.
    pub uses: u32,
    /// Time of the last use, or of the load, since the start of the process.
    pub last_used: Duration,
}

/// How far an order has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) enum Stage {
    /// Its outcome is awaited.
    InFlight,
    /// It was carried out; known since then.
    Done(Duration),
    /// Whether it was or will be carried out is not known.
    Unknown,
}

/// An order that is not settled.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Pending {
    pub(super) number: OrderNumber,
    pub(super) kind: OrderKind,
    pub(super) stage: Stage,
    pub(super) sent_at: Duration,
    /// Life of the endpoint when the order was given, where known.
    pub(super) instance: Option<u64>,
}

/// A target that takes memory.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Replica {
    pub(super) state: ReplicaState,
    pub(super) pending: Option<Pending>,
    /// Newest settled order about it; older reports say nothing of it.
    pub(super) settled: Option<(OrderNumber, Duration)>,
    pub(super) last_used: Duration,
}

impl Replica {
    pub(super) const fn loading(pending: Pending, now: Duration) -> Self {
        Self {
            state: ReplicaState::Loading,
            pending: Some(pending),
            settled: None,
            last_used: now,
        }
    }

    pub(super) const fn reported(state: ReplicaState, now: Duration) -> Self {
        Self {
            state,
            pending: None,
            settled: None,
            last_used: now,
        }
    }

    pub(super) fn in_flight(&self, number: OrderNumber) -> bool {
        let pending = self.pending.filter(|p| p.stage == Stage::InFlight);
        pending.is_some_and(|pending| pending.number == number)
    }

    /// Whether a failure of the pending order leaves the target absent.
    pub(super) fn failed(&self) -> bool {
        let pending = self.pending;
        pending.is_some_and(|pending| pending.kind == OrderKind::Load)
    }

    /// Takes the outcome of the pending order; a failed load is not settled here.
    pub(super) fn settle(&mut self, outcome: OrderOutcome, now: Duration) {
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
                self.settled = Some((pending.number, now));
                self.pending = None;
                self.state = ReplicaState::Loaded;
                self.last_used = now;
            }
        }
    }
}
