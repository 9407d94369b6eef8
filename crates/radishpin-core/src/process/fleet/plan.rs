//! Which replicas the load needs, and which weights are copied ahead of demand.

use super::{Fleet, loader::FULL_SPEED_LOADS, rendezvous::rendezvous_hash};
use crate::{
    process::{Demand, DemandReason, Status},
    version::EngineSpec,
};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Requests a second from which a model is kept loaded on as many endpoints as its load needs.
const BUSY_PER_S: f32 = 1.0;
/// Share of an endpoint's places that one busy model is meant to take.
const PLACES_PER_MODEL: f32 = 0.5;
/// Requests of one busy model at one replica, at most: an engine reads the prompts of new requests
/// between the tokens of others, whose gaps grow with the number of requests.
const REQUESTS_PER_REPLICA: f32 = 14.0;
/// Replicas of a busy model beyond those that its load needs: one endpoint may be lost.
const SPARE_REPLICAS: usize = 1;
/// Weight of a replica among others: the loss of one of several is no loss at once.
const REDUNDANT_WEIGHT: f32 = 0.1;

/// A model whose load needs replicas that stay.
#[derive(Clone, Debug)]
struct BusyModel {
    model: ModelId,
    /// Replicas that its load needs.
    replicas: usize,
    /// Endpoints that hold it and have not been told to keep it.
    holders: Vec<EndpointId>,
    /// Loads of it in progress.
    coming: usize,
}

impl Fleet {
    /// Renews which replicas are kept, and what sidecars are asked to load ahead of callers.
    pub fn plan(&mut self, now: Duration) {
        self.planned_demands.clear();
        self.kept_replicas.clear();
        let catalog = Arc::clone(&self.catalog);
        for (name, service) in &catalog.services {
            if let Some(engine) = &service.engine {
                self.plan_service(name, engine, now);
            }
        }
    }

    fn plan_service(&mut self, service: &str, engine: &EngineSpec, now: Duration) {
        let demand = self.demand(service, now);
        let busy = demand
            .into_iter()
            .filter(|(model, per_s)| *per_s >= BUSY_PER_S && engine.models.contains_key(model))
            .map(|(model, per_s)| self.busy_model(service, engine, model, per_s))
            .collect();
        self.plan_replicas(service, engine, busy, now);
        self.plan_prefetch(service, engine);
    }

    /// Requests a second for each model, over all gateways as far as is known.
    fn demand(&self, service: &str, now: Duration) -> BTreeMap<ModelId, f32> {
        let own = self
            .rates
            .iter()
            .map(|(model, rate)| (model.clone(), rate.recent_per_s(now)));
        let mut demand: BTreeMap<ModelId, f32> = own.collect();
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
            let usable = endpoint.entry.service == service && endpoint.accepts_loads();
            let status = endpoint.status.as_ref()?;
            usable.then_some((id, status))
        })
    }

    fn busy_model(
        &self,
        service: &str,
        engine: &EngineSpec,
        model: ModelId,
        per_s: f32,
    ) -> BusyModel {
        let duration_s = self
            .rates
            .get(&model)
            .copied()
            .unwrap_or_default()
            .duration_s();
        let places = (engine.slots.max(1) as f32) * PLACES_PER_MODEL;
        let places = places.min(REQUESTS_PER_REPLICA);
        let by_load = (per_s * duration_s / places).ceil().max(1.0) as usize;
        let mut holders = Vec::new();
        let mut coming = 0;
        for (id, status) in self.statuses(service) {
            if status.models.get(&model).is_some_and(|held| !held.leaving) {
                holders.push(id.clone());
            } else if status
                .loading
                .as_ref()
                .is_some_and(|load| load.model == model)
            {
                coming += 1;
            }
        }
        BusyModel {
            model,
            replicas: by_load + SPARE_REPLICAS,
            holders,
            coming,
        }
    }

    /// Gives each busy model its first replica before any gets its second, and so on. Kept
    /// replicas are spread, and leave each engine a place that other models can take.
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
                    busy.holders.retain(|holder| *holder != id);
                    self.kept_replicas.insert((id, busy.model.clone()));
                } else if busy.coming > 0 {
                    busy.coming -= 1;
                } else {
                    self.plan_replica(service, engine, &busy.model, max_kept, now);
                    busy.replicas = 0;
                }
            }
        }
    }

    /// The holder that keeps its replica next.
    fn next_holder_to_keep(&self, busy: &BusyModel, max_kept: usize) -> Option<EndpointId> {
        let open = busy
            .holders
            .iter()
            .filter(|id| self.kept_replicas_at(id) < max_kept);
        let spread =
            |id: &&EndpointId| (self.kept_replicas_at(id), rendezvous_hash(&busy.model, id));
        open.min_by_key(spread).cloned()
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
        let has_or_full = |id: &EndpointId, status: &Status| {
            status.models.contains_key(model) || self.kept_replicas_at(id) >= max_kept
        };
        let excluded: Vec<EndpointId> = self
            .statuses(service)
            .filter(|(id, status)| has_or_full(id, status))
            .map(|(id, _)| id.clone())
            .collect();
        let best = self.best_loader(service, model, spec, &excluded, now);
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

    /// Busy models' replicas that an endpoint is to keep.
    pub(super) fn kept_replicas_at(&self, endpoint: &str) -> usize {
        self.kept_replicas
            .iter()
            .filter(|(id, _)| id == endpoint)
            .count()
    }

    /// Has idle endpoints copy weights that no endpoint has at hand, within what the weight store
    /// serves at full speed. All gateways come to the same list.
    fn plan_prefetch(&mut self, service: &str, engine: &EngineSpec) {
        let mut at_hand: BTreeSet<&ModelId> = BTreeSet::new();
        let mut idle: Vec<EndpointId> = Vec::new();
        let mut engines = 0;
        for (id, status) in self.statuses(service) {
            engines += 1;
            at_hand.extend(status.models.keys());
            at_hand.extend(&status.in_memory);
            at_hand.extend(&status.on_disk);
            at_hand.extend(status.loading.iter().map(|loading| &loading.model));
            if status.loading.is_none() && !status.busy && status.queue.is_empty() {
                idle.push(id.clone());
            }
        }
        let mut missing: Vec<&ModelId> = engine
            .models
            .keys()
            .filter(|model| !at_hand.contains(model))
            .collect();
        missing.sort_by_key(|model| rendezvous_hash(model, ""));
        let allowed = FULL_SPEED_LOADS.min(engines / 2 + 1);
        let free_loads = allowed.saturating_sub(self.store_loads()) as usize;
        idle.sort_by_key(|id| rendezvous_hash("", id));
        let pairs: Vec<(EndpointId, ModelId)> = idle
            .into_iter()
            .zip(missing.into_iter().cloned())
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

    /// Requests a second that would find no replica if one of a model's replicas went.
    pub(super) fn loss_per_s(&self, model: &str, per_s: f32) -> f32 {
        let holders = self.endpoints.values().filter(|e| e.serves(model)).count();
        match holders {
            0 | 1 => per_s,
            _ => per_s * REDUNDANT_WEIGHT / holders as f32,
        }
    }
}

/// Replicas that one engine keeps for busy models at most.
fn max_kept_replicas(engine: &EngineSpec) -> usize {
    let largest_mb = engine.models.values().map(|model| model.weights_mb).max();
    let places = engine.memory_mb / largest_mb.unwrap_or(1).max(1);
    (places as usize).saturating_sub(1).max(1)
}
