//! Planning and writing of grants: periodically for the shards that this node holds, and on demand
//! for models that calls wait for.

use crate::node::Node;
use radishpin_core::version::{
    Confirmation, EndpointSummary, GrantChange, GrantPlanInput, plan_grants,
};
use radishpin_platform::{
    CallError, ChangeOutcome, Condition, PlatformClient, RowChange, ViewChange, ViewWriter,
};
use radishpin_protocol::{ENDPOINT_PREFIX, MODEL_PREFIX, ModelRecord, prelude::*};
use radishpin_runtime::{Runtime, timeout};
use std::sync::Arc;

/// Time between two rounds of planning, unless one is requested earlier.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest pause between two rounds of planning.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Largest number of models that one commit changes.
const MODELS_PER_COMMIT: usize = 50;
/// Time for which a load refused for lack of memory counts as a reason to move the grant.
const MEMORY_REFUSAL_RETENTION: Duration = Duration::from_secs(2);

impl Node {
    /// Plans and writes grants until the process ends.
    pub(in crate::node) async fn control_grants(self: Arc<Self>, client: PlatformClient) {
        let writer = ViewWriter::new(client);
        loop {
            let requested = self.planning_requested.listen();
            let view = self.view();
            let changes = self.plan_changes(&view);
            for batch in changes.chunks(MODELS_PER_COMMIT) {
                self.write_batch(&writer, &view, batch).await;
            }
            Runtime::sleep(ROUND_PAUSE).await;
            timeout(ROUND_INTERVAL, requested).await;
        }
    }

    /// Records that an endpoint refused a load for lack of memory, and requests planning.
    pub(in crate::node) fn record_memory_refusal(&self, model: &ModelId, endpoint: &EndpointId) {
        let key = (model.clone(), endpoint.clone());
        self.memory_refusals.lock().insert(key, self.clock.now());
        self.planning_requested.notify(1);
    }

    fn plan_changes(&self, view: &ClusterView) -> Vec<PlannedChange> {
        let now = self.clock.now();
        let confirmations = self.confirmations();
        let demand = self.take_demand(&confirmations, now);
        if demand.is_empty() && self.leases.held_count(now) == 0 {
            return Vec::new();
        }
        let mut round = PlanningRound {
            view,
            endpoints: self.endpoint_summaries(view),
            confirmations,
        };
        let mut changes = Vec::new();
        for (id, model) in &view.models {
            let lease = self.leases.condition(id, now);
            if lease.is_some() || demand.includes(id) {
                let memory_refusals = demand.memory_refusals.get(id);
                changes.extend(round.plan(id, model, memory_refusals, lease));
            }
        }
        changes
    }

    /// Takes the models that this node plans even if another node holds their shard.
    ///
    /// These include released models: only the nodes that send heartbeats to an agent learn what it
    /// has released, and the node that holds the model's shard is rarely one of them.
    fn take_demand(
        &self,
        confirmations: &BTreeMap<EndpointId, Confirmation>,
        now: Duration,
    ) -> Demand {
        let mut models = std::mem::take(&mut *self.models_awaiting_endpoint.lock());
        let released = confirmations.values().flat_map(|c| c.released.iter());
        models.extend(released.cloned());
        Demand {
            models,
            memory_refusals: self.recent_memory_refusals(now),
        }
    }

    fn recent_memory_refusals(&self, now: Duration) -> BTreeMap<ModelId, BTreeSet<EndpointId>> {
        let mut recorded = self.memory_refusals.lock();
        recorded.retain(|_, at| now.saturating_sub(*at) < MEMORY_REFUSAL_RETENTION);
        let mut memory_refusals: BTreeMap<ModelId, BTreeSet<EndpointId>> = BTreeMap::new();
        for (model, endpoint) in recorded.keys() {
            memory_refusals
                .entry(model.clone())
                .or_default()
                .insert(endpoint.clone());
        }
        memory_refusals
    }

    async fn write_batch(&self, writer: &ViewWriter, view: &ClusterView, batch: &[PlannedChange]) {
        let outcome = match writer.commit(&batch_change(view, batch)).await {
            Ok(ChangeOutcome::Accepted(version)) => {
                log::info!(event = "grants_written", version, models = batch.len(); "grants written");
                self.view_poll_requested.notify(usize::MAX);
                "accepted"
            }
            Ok(ChangeOutcome::Conflict { key, .. }) => {
                log::debug!(event = "grants_conflict", key = key.as_str();
                    "grants not written: planned from an outdated view");
                self.view_poll_requested.notify(usize::MAX);
                "conflict"
            }
            Err(CallError::Refused { cause, .. }) => {
                log::debug!(event = "grants_refused", cause:% = cause;
                    "grants not written: commit refused");
                "refused"
            }
            Err(CallError::Unknown { cause, .. }) => {
                log::warn!(event = "grants_unknown", cause:% = cause;
                    "unknown whether the grants were written; the next view shows it");
                "unknown"
            }
        };
        self.metrics
            .grant_writes
            .with_label_values(&[outcome])
            .inc();
    }
}

/// Models to plan regardless of which node holds their shard.
struct Demand {
    /// Models that calls wait for, or that an agent has released.
    models: BTreeSet<ModelId>,
    /// Endpoints that recently refused to load the model for lack of memory, by model.
    memory_refusals: BTreeMap<ModelId, BTreeSet<EndpointId>>,
}

impl Demand {
    fn is_empty(&self) -> bool {
        self.models.is_empty() && self.memory_refusals.is_empty()
    }

    fn includes(&self, model: &str) -> bool {
        self.models.contains(model) || self.memory_refusals.contains_key(model)
    }
}

/// One round of planning; memory reserved for a model is not available to the following models.
struct PlanningRound<'a> {
    view: &'a ClusterView,
    endpoints: BTreeMap<EndpointId, EndpointSummary>,
    confirmations: BTreeMap<EndpointId, Confirmation>,
}

impl PlanningRound<'_> {
    fn plan(
        &mut self,
        model_id: &ModelId,
        model: &ModelRecord,
        memory_refusals: Option<&BTreeSet<EndpointId>>,
        lease: Option<Condition>,
    ) -> Option<PlannedChange> {
        let key = format!("{MODEL_PREFIX}{model_id}");
        let row_versions = &self.view.row_versions;
        let row_version = row_versions.get(&key).copied().unwrap_or_default();
        let change = plan_grants(&GrantPlanInput {
            model_id,
            model,
            row_version,
            head_version: self.view.version,
            profile: self.view.profile_of(&model.service)?,
            endpoints: &self.endpoints,
            confirmations: &self.confirmations,
            lacking_memory: memory_refusals.unwrap_or(&BTreeSet::new()),
        })?;
        reserve_memory(&mut self.endpoints, model, &change.record);
        Some(PlannedChange {
            key,
            row_version,
            lease,
            change,
        })
    }
}

/// A planned change of one model's row, with the row version and lease that it depends on.
#[derive(Clone, Debug)]
struct PlannedChange {
    key: String,
    row_version: Version,
    lease: Option<Condition>,
    change: GrantChange,
}

impl PlannedChange {
    fn row(&self) -> Option<RowChange> {
        let record: &ModelRecord = &self.change.record;
        Some(RowChange {
            key: self.key.clone(),
            expected_version: self.row_version,
            value: Some(serde_json::to_string(record).ok()?),
        })
    }
}

/// Updates the granted memory of endpoints whose grant for the model is added or removed, so that
/// the following models of the round are planned with it.
fn reserve_memory(
    endpoints: &mut BTreeMap<EndpointId, EndpointSummary>,
    old: &ModelRecord,
    new: &ModelRecord,
) {
    for id in new.grants.keys().filter(|id| !old.grants.contains_key(*id)) {
        if let Some(endpoint) = endpoints.get_mut(id) {
            endpoint.granted_mb = endpoint.granted_mb.saturating_add(new.size_mb);
        }
    }
    for id in old.grants.keys().filter(|id| !new.grants.contains_key(*id)) {
        if let Some(endpoint) = endpoints.get_mut(id) {
            endpoint.granted_mb = endpoint.granted_mb.saturating_sub(old.size_mb);
        }
    }
}

/// A change that writes the rows of a batch, conditional on the view, leases and endpoint rows that
/// the batch was planned from.
fn batch_change(view: &ClusterView, batch: &[PlannedChange]) -> ViewChange {
    let endpoints: BTreeSet<&EndpointId> = batch
        .iter()
        .flat_map(|planned| &planned.change.depends_on)
        .collect();
    let endpoint_rows = endpoints.into_iter().map(|endpoint| {
        let key = format!("{ENDPOINT_PREFIX}{endpoint}");
        let version = view.row_versions.get(&key).copied().unwrap_or_default();
        Condition { key, version }
    });
    let leases: BTreeMap<&String, &Condition> = batch
        .iter()
        .filter_map(|planned| planned.lease.as_ref())
        .map(|lease| (&lease.key, lease))
        .collect();
    ViewChange {
        rows: batch.iter().filter_map(PlannedChange::row).collect(),
        unchanged: endpoint_rows.chain(leases.into_values().cloned()).collect(),
        whole_view: Some(view.version),
    }
}
