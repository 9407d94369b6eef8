//! What a report of the endpoint changes in the ledger.

use super::{
    Mutation, ReplicaLedger,
    replica::{Replica, ReplicaState, Stage},
};
use crate::process::{EngineReport, Fencing, OrderNumber, Target};
use radishpin_protocol::prelude::*;

/// Identity of the newest report that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct Observed {
    sequence: u64,
    instance: u64,
    asked_at: Duration,
    as_of: OrderNumber,
}

impl ReplicaLedger {
    /// Takes a report; a late or reordered one is ignored.
    ///
    /// A report settles an order only where it is newer than the order. An order without a known
    /// outcome is settled once it can no longer take effect: where the endpoint checks numbers,
    /// by a report newer than a later order; where not, after the longest life of an order.
    pub fn apply_report(&mut self, report: &EngineReport, now: Duration) {
        if self.is_late(report) {
            return;
        }
        if self.fencing == Fencing::Checked && report.as_of.incarnation > self.incarnation {
            self.superseded = true;
            return;
        }
        if self.instance().is_some_and(|last| last != report.instance) {
            self.endpoint_restarted();
        }
        self.observed = Some(Observed {
            sequence: report.sequence,
            instance: report.instance,
            asked_at: report.asked_at,
            as_of: report.as_of,
        });
        // The endpoint may have restarted since it answered, before any report of that life.
        self.acted = self.acted.min(report.as_of);
        if !self.contents_known && !self.settles_predecessor(report) {
            return;
        }
        self.contents_known = true;
        self.update_replicas(report, now);
        self.record_reported(report, now);
    }

    /// Life of the endpoint that the newest report came from.
    pub(super) fn instance(&self) -> Option<u64> {
        self.observed.map(|observed| observed.instance)
    }

    /// Whether absence can be vouched for: contents are known, no other agent was registered,
    /// and no order of an earlier agent can take effect any more.
    pub(super) fn may_confirm(&self) -> bool {
        let fenced = match self.fencing {
            Fencing::Checked => self.as_of().incarnation == self.incarnation,
            Fencing::Ignored { .. } => true,
        };
        self.contents_known && fenced && !self.superseded
    }

    /// Newest order that the endpoint is known to have acted on in its present life.
    pub(super) fn as_of(&self) -> OrderNumber {
        self.observed
            .map(|observed| observed.as_of)
            .unwrap_or_default()
    }

    fn is_late(&self, report: &EngineReport) -> bool {
        if self.rules.broken(Mutation::TakeLateReports) {
            return false;
        }
        let Some(last) = self.observed else {
            return false;
        };
        if report.sequence <= last.sequence {
            return true;
        }
        report.instance == last.instance
            && match self.fencing {
                Fencing::Checked => report.as_of < last.as_of,
                Fencing::Ignored { .. } => report.asked_at < last.asked_at,
            }
    }

    fn endpoint_restarted(&mut self) {
        self.acted = OrderNumber::default();
        for replica in self.replicas.values_mut() {
            replica.settled = None;
            let done = replica
                .pending
                .is_some_and(|pending| matches!(pending.stage, Stage::Done(_)));
            if done {
                replica.pending = None;
            }
        }
    }

    fn settles_predecessor(&self, report: &EngineReport) -> bool {
        if self.rules.broken(Mutation::TrustFirstReport) {
            return true;
        }
        match self.fencing {
            Fencing::Checked => report.as_of.incarnation == self.incarnation,
            Fencing::Ignored { order_life } => report.asked_at > self.started_at + order_life,
        }
    }

    fn update_replicas(&mut self, report: &EngineReport, now: Duration) {
        let settled: Vec<Target> = self
            .replicas
            .iter()
            .filter(|(_, replica)| self.settles(report, replica))
            .map(|(target, _)| target.clone())
            .collect();
        for target in settled {
            match reported_state(report, &target) {
                Some(state) => self.set_reported(&target, state, now),
                None => self.forget(&target),
            }
        }
    }

    /// Whether the report is newer than every order about the replica.
    fn settles(&self, report: &EngineReport, replica: &Replica) -> bool {
        if let Some(pending) = replica.pending {
            return match pending.stage {
                Stage::InFlight => false,
                Stage::Done(at) => self.is_newer(report, pending.number, at),
                Stage::Unknown => self.outlives(report, pending.number, pending.sent_at),
            };
        }
        replica
            .settled
            .is_none_or(|(number, at)| self.is_newer(report, number, at))
    }

    fn is_newer(&self, report: &EngineReport, number: OrderNumber, at: Duration) -> bool {
        match self.fencing {
            Fencing::Checked => report.as_of >= number,
            Fencing::Ignored { .. } => report.asked_at > at,
        }
    }

    fn outlives(&self, report: &EngineReport, number: OrderNumber, sent_at: Duration) -> bool {
        if self.rules.broken(Mutation::SettleUnknownByAnyReport) {
            return true;
        }
        match self.fencing {
            Fencing::Checked => report.as_of >= number,
            Fencing::Ignored { order_life } => report.asked_at > sent_at + order_life,
        }
    }

    fn set_reported(&mut self, target: &Target, state: ReplicaState, now: Duration) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        if replica.state == ReplicaState::Loading && state == ReplicaState::Loaded {
            replica.last_used = now;
        }
        replica.state = state;
        replica.pending = None;
    }

    /// Counts the memory of what the endpoint holds although no order of this ledger asked it to.
    fn record_reported(&mut self, report: &EngineReport, now: Duration) {
        let groups = [
            (&report.loaded, ReplicaState::Loaded),
            (&report.loading, ReplicaState::Loading),
            (&report.unloading, ReplicaState::Unloading),
        ];
        for (targets, state) in groups {
            for (target, size_mb) in targets {
                self.memory.record(target, *size_mb);
                self.replicas
                    .entry(target.clone())
                    .or_insert_with(|| Replica::reported(state, now));
            }
        }
    }
}

fn reported_state(report: &EngineReport, target: &Target) -> Option<ReplicaState> {
    if report.unloading.contains_key(target) {
        Some(ReplicaState::Unloading)
    } else if report.loaded.contains_key(target) {
        Some(ReplicaState::Loaded)
    } else if report.loading.contains_key(target) {
        Some(ReplicaState::Loading)
    } else {
        None
    }
}
