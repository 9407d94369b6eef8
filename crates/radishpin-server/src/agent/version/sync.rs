//! Handling of a node's heartbeat: it carries the configuration view and returns the endpoint's
//! state.

use crate::agent::{Agent, connection::load_target};
use radishpin_core::process::{ReplicaState, Target};
use radishpin_protocol::{
    Grant, GrantState, ModelGrant,
    engine::Tier,
    prelude::*,
    wire::{self, GrantView, ReplicaReport, SyncReply, SyncRequest},
};

impl Agent {
    /// Applies the node's view unless it is older than the current one, and returns the endpoint's
    /// state.
    pub(in crate::agent) fn sync(&self, request: SyncRequest) -> SyncReply {
        let stop_in = request.stop_in_ms.map(Duration::from_millis);
        let now = self.clock.now();
        if self
            .leaving_state
            .record_notice(request.leaving, stop_in, now)
        {
            log::info!(event = "leaving"; "the endpoint is leaving; queued attempts are refused");
            self.slots.clear_queue();
        }
        if request.registered_incarnation > self.incarnation() {
            self.stop_if_superseded();
        }
        if request.full {
            self.apply(&request);
        }
        SyncReply {
            endpoint: self.settings.name.clone(),
            incarnation: self.incarnation(),
            view_version: self.view_version(),
            load: Some(self.load()),
            replicas: self.replica_reports(),
            released: self.released(),
            memory_idle_mb: self.memory_idle_mb(),
        }
    }

    /// Stops issuing orders, because another agent was registered for the endpoint.
    fn stop_if_superseded(&self) {
        if let Some(ledger) = self.ledger.lock().as_mut()
            && self.incarnation() > 0
            && !ledger.superseded()
        {
            ledger.supersede();
            log::warn!(event = "superseded";
                "another agent was registered for the endpoint; this one issues no more orders");
        }
    }

    /// Version of the current view; 0 before the first one was applied.
    pub fn view_version(&self) -> Version {
        let ledger = self.ledger.lock();
        ledger.as_ref().map_or(0, |ledger| ledger.view_version())
    }

    fn released(&self) -> Vec<ModelId> {
        let ledger = self.ledger.lock();
        ledger
            .as_ref()
            .map(|ledger| ledger.released())
            .unwrap_or_default()
    }

    /// Memory of loaded replicas that are idle and need not be kept loaded.
    fn memory_idle_mb(&self) -> SizeMb {
        let ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_ref() else {
            return 0;
        };
        let grants = &ledger.view().grants;
        let is_kept_loaded = |model: &str| grants.get(model).is_some_and(|grant| grant.keep_loaded);
        let replicas = ledger.replicas();
        let idle = replicas.iter().filter(|(target, status)| {
            status.state == ReplicaState::Loaded
                && status.uses == 0
                && !is_kept_loaded(target.model())
        });
        idle.map(|(_, status)| status.size_mb).sum()
    }

    fn apply(&self, request: &SyncRequest) {
        let view = AgentView {
            version: request.view_version,
            grants: request.grants.iter().filter_map(model_grant).collect(),
        };
        let mut ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_mut() else {
            return;
        };
        let version_before = ledger.view_version();
        if !ledger.apply_view(&view) {
            self.metrics.older_views.inc();
            return;
        }
        if view.version > version_before {
            self.ledger_changed.notify(usize::MAX);
            log::info!(event = "view_applied", version = view.version;
                "configuration view applied");
        }
    }

    fn replica_reports(&self) -> Vec<ReplicaReport> {
        let tiers = self.tiers.lock().clone();
        let ledger = self.ledger.lock();
        let Some(ledger) = ledger.as_ref() else {
            return Vec::new();
        };
        let replicas = ledger.replicas();
        let mut reports: BTreeMap<ModelId, ReplicaReport> = ledger
            .view()
            .grants
            .keys()
            .map(|model| (model.clone(), absent_report(model, &tiers)))
            .collect();
        for (target, status) in &replicas {
            let model = target.model();
            let report = reports
                .entry(model.clone())
                .or_insert_with(|| absent_report(model, &tiers));
            match target {
                Target::Model(_) => report.state = wire_state(status.state).into(),
                Target::Adapter { .. } => {
                    report.adapters.push(load_target(target).name().to_owned());
                }
            }
        }
        reports.into_values().collect()
    }
}

fn absent_report(model: &str, tiers: &BTreeMap<ModelId, Tier>) -> ReplicaReport {
    let tier = match tiers.get(model) {
        Some(Tier::Memory) => wire::Tier::Memory,
        Some(Tier::Disk) => wire::Tier::Disk,
        Some(Tier::Remote) | None => wire::Tier::Remote,
    };
    ReplicaReport {
        model: model.to_owned(),
        state: wire::ReplicaState::Absent.into(),
        tier: tier.into(),
        adapters: Vec::new(),
    }
}

const fn wire_state(state: ReplicaState) -> wire::ReplicaState {
    match state {
        ReplicaState::Loading => wire::ReplicaState::Loading,
        ReplicaState::Loaded => wire::ReplicaState::Loaded,
        ReplicaState::Unloading => wire::ReplicaState::Unloading,
        ReplicaState::Uncertain => wire::ReplicaState::Uncertain,
    }
}

/// Returns `None` for a grant in an unknown state, so that the endpoint may not load the model.
fn model_grant(grant: &GrantView) -> Option<(ModelId, ModelGrant)> {
    let state = match grant.state() {
        wire::GrantState::Held => GrantState::Held,
        wire::GrantState::Revoking => GrantState::Revoking,
        wire::GrantState::Unspecified => return None,
    };
    let model_grant = ModelGrant {
        size_mb: grant.size_mb,
        grant: Grant {
            state,
            since_version: grant.granted_version,
        },
        keep_loaded: grant.keep_loaded,
        idle_unload: Duration::from_millis(grant.idle_unload_ms),
    };
    Some((grant.model.clone(), model_grant))
}
