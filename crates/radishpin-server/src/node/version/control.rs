//! Writing grants: in the background for the shards that this node holds, and on demand for a
//! model that a caller waits for.

use crate::node::Node;
use radishpin_core::version::{EndpointStanding, GrantChange, GrantFacts, plan};
use radishpin_platform::{
    CallError, ChangeOutcome, Condition, PlatformClient, RowChange, ViewChange, ViewWriter,
};
use radishpin_protocol::{ENDPOINT_PREFIX, MODEL_PREFIX, ModelRecord, prelude::*};
use radishpin_runtime::{Runtime, timeout};
use std::sync::Arc;

/// Time between two rounds without a reason.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two rounds.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Models changed by one commit at most.
const MODELS_PER_COMMIT: usize = 50;
/// Time for which a refusal for lack of memory speaks for moving a grant.
const UNABLE_KEEP: Duration = Duration::from_secs(2);

impl Node {
    /// Plans and writes grants until the process ends.
    pub(in crate::node) async fn control_grants(self: Arc<Self>, client: PlatformClient) {
        let writer = ViewWriter::new(client);
        loop {
            let wanted = self.control_wanted.listen();
            let view = self.view();
            let changes = self.plan_changes(&view);
            for batch in changes.chunks(MODELS_PER_COMMIT) {
                self.write_batch(&writer, &view, batch).await;
            }
            Runtime::sleep(ROUND_PAUSE).await;
            timeout(ROUND_INTERVAL, wanted).await;
        }
    }

    /// Notes that an endpoint refused a load for lack of memory.
    pub(in crate::node) fn note_unable(&self, model: &ModelId, endpoint: &EndpointId) {
        let key = (model.clone(), endpoint.clone());
        self.unable.lock().insert(key, self.clock.now());
        self.control_wanted.notify(1);
    }

    fn plan_changes(&self, view: &ClusterView) -> Vec<Planned> {
        let now = self.clock.now();
        let unable = self.take_unable(now);
        let mut wanted = std::mem::take(&mut *self.unmet.lock());
        let confirmations = self.confirmations();
        // Only the nodes that send an agent heartbeats hear what it released, and the holder of
        // the model's shard is seldom one of them.
        wanted.extend(
            confirmations
                .values()
                .flat_map(|c| c.released.iter().cloned()),
        );
        if wanted.is_empty() && unable.is_empty() && self.leases.held(now) == 0 {
            return Vec::new();
        }
        let mut endpoints = self.standings(view);
        let no_endpoints = BTreeSet::new();
        let mut changes = Vec::new();
        for (model_id, model) in &view.models {
            let lease = self.leases.condition(model_id, now);
            let unable = unable.get(model_id);
            let on_demand = wanted.contains(model_id) || unable.is_some();
            if lease.is_none() && !on_demand {
                continue;
            }
            let Some(profile) = view.profile_of(&model.service) else {
                continue;
            };
            let key = format!("{MODEL_PREFIX}{model_id}");
            let facts = GrantFacts {
                model_id,
                model,
                row_version: view.row_versions.get(&key).copied().unwrap_or_default(),
                head_version: view.version,
                profile,
                endpoints: &endpoints,
                confirmations: &confirmations,
                unable: unable.unwrap_or(&no_endpoints),
            };
            let row_version = facts.row_version;
            if let Some(change) = plan(&facts) {
                promise_memory(&mut endpoints, model, &change.record);
                changes.push(Planned {
                    key,
                    row_version,
                    lease,
                    change,
                });
            }
        }
        changes
    }

    fn take_unable(&self, now: Duration) -> BTreeMap<ModelId, BTreeSet<EndpointId>> {
        let mut noted = self.unable.lock();
        noted.retain(|_, at| now.saturating_sub(*at) < UNABLE_KEEP);
        let mut unable: BTreeMap<ModelId, BTreeSet<EndpointId>> = BTreeMap::new();
        for (model, endpoint) in noted.keys() {
            unable
                .entry(model.clone())
                .or_default()
                .insert(endpoint.clone());
        }
        unable
    }

    async fn write_batch(&self, writer: &ViewWriter, view: &ClusterView, batch: &[Planned]) {
        let outcome = match writer.commit(&batch_change(view, batch)).await {
            Ok(ChangeOutcome::Accepted(version)) => {
                log::info!(event = "grants_written", version, models = batch.len(); "grants written");
                self.view_wanted.notify(usize::MAX);
                "accepted"
            }
            Ok(ChangeOutcome::Conflict { key, .. }) => {
                log::debug!(event = "grants_conflict", key = key.as_str(); "planned from an old view");
                self.view_wanted.notify(usize::MAX);
                "conflict"
            }
            Err(CallError::Refused { cause, .. }) => {
                log::debug!(event = "grants_refused", cause:% = cause; "grants not written");
                "refused"
            }
            Err(CallError::Unknown { cause, .. }) => {
                log::warn!(event = "grants_unknown", cause:% = cause; "the view will tell");
                "unknown"
            }
        };
        self.metrics
            .grant_writes
            .with_label_values(&[outcome])
            .inc();
    }
}

/// A change of one model's row.
#[derive(Clone, Debug)]
struct Planned {
    key: String,
    row_version: Version,
    lease: Option<Condition>,
    change: GrantChange,
}

impl Planned {
    fn row(&self) -> Option<RowChange> {
        let record: &ModelRecord = &self.change.record;
        Some(RowChange {
            key: self.key.clone(),
            expected_version: self.row_version,
            value: Some(serde_json::to_string(record).ok()?),
        })
    }
}

/// Counts the grants of a planned record, so that the next model of the round goes elsewhere.
fn promise_memory(
    endpoints: &mut BTreeMap<EndpointId, EndpointStanding>,
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

/// Rows of a batch, on condition of what they were planned from.
fn batch_change(view: &ClusterView, batch: &[Planned]) -> ViewChange {
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
        rows: batch.iter().filter_map(Planned::row).collect(),
        unchanged: endpoint_rows.chain(leases.into_values().cloned()).collect(),
        whole_view: Some(view.version),
    }
}
