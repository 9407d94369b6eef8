//! Plans replicas for busy models and prefetches weights that no endpoint has.

use super::{
    Fleet,
    loader::{FULL_SPEED_LOADS, LoadQuery},
};
use crate::{
    process::{Demand, DemandReason, Status},
    rendezvous::rendezvous_hash,
    version::EngineSpec,
};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Requests a second from which a model counts as busy and its replicas are kept loaded.
const BUSY_PER_S: f32 = 1.0;
/// Share of an endpoint's slots that one busy model should use.
const SLOT_SHARE_PER_MODEL: f32 = 0.5;
/// Most concurrent requests planned for one replica of a busy model: an engine prefills new
/// requests between the tokens of others, whose latency grows with the number of requests.
const REQUESTS_PER_REPLICA: f32 = 14.0;
/// Factor for the cost of losing one of several replicas: the others take over its requests.
const REDUNDANT_WEIGHT: f32 = 0.1;

/// A model with enough load that its replicas are kept loaded.
#[derive(Clone, Debug)]
struct BusyModel {
    model: ModelId,
    /// Replicas to keep: those that its load needs.
    replicas: usize,
    placement: Placement,
}

/// Where a model is.
#[derive(Clone, Debug, Default)]
struct Placement {
    /// Endpoints that have loaded it and were not yet chosen to keep it.
    holders: Vec<EndpointId>,
    /// Number of endpoints that are loading it.
    loads_in_progress: usize,
}

impl Fleet {
    /// Recomputes which replicas are kept and which models sidecars should load in advance.
    ///
    /// The result reaches the sidecars with the next reports.
    pub fn plan(&mut self, now: Duration) {
        self.unlisted.expire(now);
        self.planned_demands.clear();
        self.kept_replicas.clear();
        self.holders = None;
        self.store_use = Some(self.find_store_use());
        let catalog = Arc::clone(&self.catalog);
        for (name, service) in &catalog.services {
            if let Some(engine) = &service.engine {
                self.plan_service(name, engine, now);
            }
        }
    }

    fn plan_service(&mut self, service: &str, engine: &EngineSpec, now: Duration) {
        let demand = self.demand(service, now);
        let mut placements = self.placements(service);
        let busy = demand
            .into_iter()
            .filter(|(model, per_s)| *per_s >= BUSY_PER_S && engine.models.contains_key(model))
            .map(|(model, per_s)| {
                let placement = placements.remove(&model).unwrap_or_default();
                self.busy_model(engine, model, per_s, placement)
            })
            .collect();
        self.plan_replicas(service, engine, busy, now);
        self.plan_prefetch(service, engine);
    }

    /// Requests a second for each model: the higher of this gateway's own rate and the rate over
    /// all gateways that sidecars report.
    fn demand(&self, service: &str, now: Duration) -> BTreeMap<ModelId, f32> {
        let own_rates = self
            .rates
            .iter()
            .map(|(model, rate)| (model.clone(), rate.recent_per_s(now)));
        let mut demand: BTreeMap<ModelId, f32> = own_rates.collect();
        for (_, status) in self.statuses(service) {
            for (model, held) in &status.models {
                let per_s = demand.entry(model.clone()).or_default();
                *per_s = per_s.max(held.per_s);
            }
        }
        demand
    }

    fn statuses<'a>(
        &'a self,
        service: &'a str,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Status)> {
        self.endpoints.iter().filter_map(move |(id, endpoint)| {
            let included = endpoint.entry.service == service && endpoint.accepts_loads();
            let status = endpoint.status.as_ref()?;
            included.then_some((id, status))
        })
    }

    /// Where each model is loaded or being loaded.
    fn placements(&self, service: &str) -> BTreeMap<ModelId, Placement> {
        let mut placements: BTreeMap<ModelId, Placement> = BTreeMap::new();
        for (id, status) in self.statuses(service) {
            for (model, held) in &status.models {
                let placement = placements.entry(model.clone()).or_default();
                if !held.leaving {
                    placement.holders.push(id.clone());
                }
            }
            if let Some(loading) = &status.loading {
                let placement = placements.entry(loading.model.clone()).or_default();
                placement.loads_in_progress += 1;
            }
        }
        placements
    }

    fn busy_model(
        &self,
        engine: &EngineSpec,
        model: ModelId,
        per_s: f32,
        placement: Placement,
    ) -> BusyModel {
        let duration_s = self
            .rates
            .get(&model)
            .copied()
            .unwrap_or_default()
            .duration_s();
        let slots_per_model = (engine.slots.max(1) as f32) * SLOT_SHARE_PER_MODEL;
        let requests_per_replica = slots_per_model.min(REQUESTS_PER_REPLICA);
        let needed_replicas = (per_s * duration_s / requests_per_replica).ceil().max(1.0) as usize;
        BusyModel {
            model,
            replicas: needed_replicas,
            placement,
        }
    }

    /// Chooses the replicas to keep, and plans a load for each busy model that has too few.
    ///
    /// Each busy model gets its first replica before any gets its second, and so on. Kept replicas
    /// are spread over the engines and leave each engine room for one other model.
    fn plan_replicas(
        &mut self,
        service: &str,
        engine: &EngineSpec,
        mut busy: Vec<BusyModel>,
        now: Duration,
    ) {
        let max_kept = max_kept_replicas(engine);
        let rounds = busy.iter().map(|busy| busy.replicas).max().unwrap_or(0);
        for round in 0..rounds {
            for busy in busy.iter_mut().filter(|busy| round < busy.replicas) {
                if let Some(id) = self.next_holder_to_keep(busy, max_kept) {
                    busy.placement.holders.retain(|holder| *holder != id);
                    let kept = self.kept_replicas.entry(id).or_default();
                    kept.insert(busy.model.clone());
                } else if busy.placement.loads_in_progress > 0 {
                    busy.placement.loads_in_progress -= 1;
                } else {
                    self.plan_replica(service, engine, &busy.model, max_kept, now);
                    busy.replicas = 0;
                }
            }
        }
    }

    /// The holder with the fewest kept replicas; `None` if all holders are at `max_kept`.
    fn next_holder_to_keep(&self, busy: &BusyModel, max_kept: usize) -> Option<EndpointId> {
        let with_room = busy
            .placement
            .holders
            .iter()
            .filter(|id| self.kept_replicas_at(id) < max_kept);
        let order =
            |id: &&EndpointId| (self.kept_replicas_at(id), rendezvous_hash(&busy.model, id));
        with_room.min_by_key(order).cloned()
    }

    fn plan_replica(
        &mut self,
        service: &str,
        engine: &EngineSpec,
        model: &ModelId,
        max_kept: usize,
        now: Duration,
    ) {
        let Some(spec) = engine.models.get(model) else {
            return;
        };
        let may_load = |id: &EndpointId, status: &Status| {
            !status.models.contains_key(model) && self.kept_replicas_at(id) < max_kept
        };
        let query = LoadQuery {
            service,
            model,
            spec,
            software_version: None,
        };
        let best = self.best_loader(query, may_load, now);
        let Some((endpoint, _)) = best else {
            return;
        };
        self.planned_demands
            .entry(endpoint)
            .or_default()
            .push(Demand {
                model: model.clone(),
                adapter: None,
                reason: DemandReason::Replica,
                waiting: 0,
            });
    }

    /// Number of replicas that an endpoint should keep for busy models.
    pub(super) fn kept_replicas_at(&self, endpoint: &str) -> usize {
        self.kept_replicas.get(endpoint).map_or(0, BTreeSet::len)
    }

    /// Lets idle endpoints load models whose weights no endpoint has in memory or on disk, up to
    /// the number of loads that the weight store serves at full speed.
    ///
    /// Depends only on the statuses, so that gateways with the same statuses plan the same loads.
    fn plan_prefetch(&mut self, service: &str, engine: &EngineSpec) {
        let store_loaders = self.store_loaders(service, None);
        let mut nearby_models: BTreeSet<&ModelId> = BTreeSet::new();
        let mut idle: Vec<EndpointId> = Vec::new();
        let mut engines = 0;
        for (id, status) in self.statuses(service) {
            engines += 1;
            nearby_models.extend(status.models.keys());
            nearby_models.extend(&status.in_memory);
            nearby_models.extend(&status.on_disk);
            nearby_models.extend(status.loading.iter().map(|loading| &loading.model));
            let is_idle = status.loading.is_none() && !status.busy && status.queue.is_empty();
            if is_idle && store_loaders.contains(id) {
                idle.push(id.clone());
            }
        }
        let mut remote_models: Vec<&ModelId> = engine
            .models
            .keys()
            .filter(|model| !nearby_models.contains(model))
            .collect();
        remote_models.sort_by_key(|model| rendezvous_hash(model, ""));
        let max_loads = FULL_SPEED_LOADS.min(engines / 2 + 1);
        let free_loads = max_loads.saturating_sub(self.store_loads()) as usize;
        idle.sort_by_key(|id| rendezvous_hash("", id));
        let pairs: Vec<(EndpointId, ModelId)> = idle
            .into_iter()
            .zip(remote_models.into_iter().cloned())
            .take(free_loads)
            .collect();
        for (endpoint, model) in pairs {
            self.planned_demands
                .entry(endpoint)
                .or_default()
                .push(Demand {
                    model,
                    adapter: None,
                    reason: DemandReason::Prefetch,
                    waiting: 0,
                });
        }
    }

    /// Requests a second that would find no replica if one of the model's replicas was unloaded.
    pub(super) fn loss_per_s(&self, model: &str, per_s: f32) -> f32 {
        let holders = self.holders.as_ref();
        match holders.and_then(|holders| holders.get(model)).copied() {
            None | Some(0 | 1) => per_s,
            Some(holders) => per_s * REDUNDANT_WEIGHT / holders as f32,
        }
    }
}

/// Most replicas that one engine keeps for busy models: all that fit but one, and at least one.
fn max_kept_replicas(engine: &EngineSpec) -> usize {
    let largest_mb = engine.models.values().map(|model| model.weights_mb).max();
    let fitting_models = engine.memory_mb / largest_mb.unwrap_or(1).max(1);
    (fitting_models as usize).saturating_sub(1).max(1)
}
