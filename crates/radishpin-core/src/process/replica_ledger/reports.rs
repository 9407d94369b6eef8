//! Updates of the ledger by the endpoint's reports.

use super::{
    Mutation, ReplicaLedger,
    replica::{Replica, ReplicaState, Stage},
};
use crate::process::{EngineReport, Fencing, OrderNumber, Target};
use radishpin_protocol::prelude::*;

/// What is kept of the newest report that was applied, to detect late reports and restarts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub(super) struct AppliedReport {
    sequence: u64,
    instance: u64,
    asked_at: Duration,
    as_of: OrderNumber,
}

impl ReplicaLedger {
    /// Applies a report; late and reordered ones are ignored.
    ///
    /// A report resolves an order only if it is newer than the order. An order with an unknown
    /// outcome is resolved once it can no longer take effect: if the endpoint checks fencing
    /// numbers, by a report newer than a later order; otherwise, by a report from after the
    /// longest time that an order can remain in transit.
    pub fn apply_report(&mut self, report: &EngineReport, now: Duration) {
        if self.is_late(report) {
            return;
        }
        if self.fencing == Fencing::Checked && report.as_of.incarnation > self.incarnation {
            self.superseded = true;
            return;
        }
        if self.instance().is_some_and(|last| last != report.instance) {
            self.reset_after_restart();
        }
        self.last_report = Some(AppliedReport {
            sequence: report.sequence,
            instance: report.instance,
            asked_at: report.sampled_after,
            as_of: report.as_of,
        });
        // An order may have been executed by an instance that restarted before any of its reports
        // arrived; only what the running instance has processed counts.
        self.last_executed = self.last_executed.min(report.as_of);
        if !self.contents_known && !self.rules_out_predecessor_orders(report) {
            return;
        }
        self.contents_known = true;
        self.update_replicas(report, now);
        self.add_reported_replicas(report, now);
    }

    /// Instance of the endpoint that sent the newest report.
    pub(super) fn instance(&self) -> Option<u64> {
        self.last_report.map(|last_report| last_report.instance)
    }

    /// Whether the agent can confirm that a model is absent: the contents are known, no other agent
    /// was registered, and no order of an earlier agent can take effect any more.
    pub(super) fn can_confirm_absence(&self) -> bool {
        let fenced = match self.fencing {
            Fencing::Checked => self.reported_order().incarnation == self.incarnation,
            Fencing::Ignored { .. } => true,
        };
        self.contents_known && fenced && !self.superseded
    }

    /// Newest order that the running instance of the endpoint has reported to have processed.
    pub(super) fn reported_order(&self) -> OrderNumber {
        self.last_report
            .map(|last_report| last_report.as_of)
            .unwrap_or_default()
    }

    fn is_late(&self, report: &EngineReport) -> bool {
        if self.rules.is_broken(Mutation::AcceptLateReports) {
            return false;
        }
        let Some(last) = self.last_report else {
            return false;
        };
        if report.sequence <= last.sequence {
            return true;
        }
        report.instance == last.instance
            && match self.fencing {
                Fencing::Checked => report.as_of < last.as_of,
                Fencing::Ignored { .. } => report.sampled_after < last.asked_at,
            }
    }

    /// Discards what was known about orders to the previous instance of the endpoint. Orders whose
    /// outcome is unknown or outstanding stay, as the new instance may still execute them.
    fn reset_after_restart(&mut self) {
        self.last_executed = OrderNumber::default();
        for replica in self.replicas.values_mut() {
            replica.last_resolved = None;
            let done = replica
                .pending
                .is_some_and(|pending| matches!(pending.stage, Stage::Done(_)));
            if done {
                replica.pending = None;
            }
        }
    }

    /// Whether no order of an earlier incarnation could take effect after the report was taken.
    fn rules_out_predecessor_orders(&self, report: &EngineReport) -> bool {
        if self.rules.is_broken(Mutation::TrustFirstReport) {
            return true;
        }
        match self.fencing {
            Fencing::Checked => report.as_of.incarnation == self.incarnation,
            Fencing::Ignored { order_life } => report.sampled_after > self.started_at + order_life,
        }
    }

    fn update_replicas(&mut self, report: &EngineReport, now: Duration) {
        let resolved: Vec<Target> = self
            .replicas
            .iter()
            .filter(|(_, replica)| self.resolves(report, replica))
            .map(|(target, _)| target.clone())
            .collect();
        for target in resolved {
            match reported_state(report, &target) {
                Some(state) => self.set_reported_state(&target, state, now),
                None => self.remove_replica(&target),
            }
        }
    }

    /// Whether the report is newer than every order about the replica, so that it shows their
    /// effect.
    fn resolves(&self, report: &EngineReport, replica: &Replica) -> bool {
        if let Some(pending) = replica.pending {
            return match pending.stage {
                Stage::InFlight => false,
                Stage::Done(at) => self.is_newer(report, pending.number, at),
                Stage::Unknown => self.is_past_expiry(report, pending.number, pending.sent_at),
            };
        }
        replica
            .last_resolved
            .is_none_or(|(number, at)| self.is_newer(report, number, at))
    }

    fn is_newer(&self, report: &EngineReport, number: OrderNumber, at: Duration) -> bool {
        match self.fencing {
            Fencing::Checked => report.as_of >= number,
            Fencing::Ignored { .. } => report.sampled_after > at,
        }
    }

    /// Whether an order with an unknown outcome could no longer take effect when the report was
    /// taken.
    fn is_past_expiry(
        &self,
        report: &EngineReport,
        number: OrderNumber,
        sent_at: Duration,
    ) -> bool {
        if self.rules.is_broken(Mutation::SettleUnknownByAnyReport) {
            return true;
        }
        match self.fencing {
            Fencing::Checked => report.as_of >= number,
            Fencing::Ignored { order_life } => report.sampled_after > sent_at + order_life,
        }
    }

    fn set_reported_state(&mut self, target: &Target, state: ReplicaState, now: Duration) {
        let Some(replica) = self.replicas.get_mut(target) else {
            return;
        };
        if replica.state == ReplicaState::Loading && state == ReplicaState::Loaded {
            replica.last_used = now;
        }
        replica.state = state;
        replica.pending = None;
    }

    /// Records reported targets and their memory, also those that this ledger never ordered, such
    /// as targets loaded by an earlier agent.
    fn add_reported_replicas(&mut self, report: &EngineReport, now: Duration) {
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
