//! Selects the next load, and estimates the waiting time of a further one.

use super::{DemandReason, Residency};
use crate::{request::Tier, version::EngineSpec};
use radishpin_protocol::prelude::*;

/// Estimated time of an eviction: notifying the gateways and unloading the model.
pub const EVICTION_TIME_ESTIMATE: Duration = Duration::from_millis(150);

/// A model that gateways demand and that is not loaded.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct LoadCandidate {
    pub(super) model: ModelId,
    pub(super) reason: DemandReason,
    pub(super) waiting: u32,
    demanded_since: Duration,
    load_time: Duration,
    tier: Tier,
}

impl LoadCandidate {
    /// Waiting callers served per second of load time, weighted by their waiting time so far.
    fn urgency(&self, now: Duration) -> f64 {
        let waited = now.saturating_sub(self.demanded_since).as_secs_f64();
        let callers = f64::from(self.waiting.max(1));
        callers * (1.0 + waited) / (self.load_time + EVICTION_TIME_ESTIMATE).as_secs_f64()
    }
}

impl Residency {
    /// Models to load, by descending priority: by reason of the demand, then by urgency.
    fn load_candidates(&self, spec: &EngineSpec, now: Duration) -> Vec<LoadCandidate> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let mut candidates: BTreeMap<&ModelId, LoadCandidate> = BTreeMap::new();
        let demands = self
            .gateways
            .values()
            .flat_map(|gateway| &gateway.report.demands);
        for demand in demands {
            let Some(model) = spec.models.get(&demand.model) else {
                continue;
            };
            if report.models.contains_key(&demand.model) || self.is_loading(&demand.model) {
                continue;
            }
            let tier = self.tier(&demand.model);
            let entry = candidates
                .entry(&demand.model)
                .or_insert_with(|| LoadCandidate {
                    model: demand.model.clone(),
                    reason: demand.reason,
                    waiting: 0,
                    demanded_since: self
                        .demanded_since
                        .get(&demand.model)
                        .copied()
                        .unwrap_or(now),
                    load_time: model.load_time(tier),
                    tier,
                });
            entry.reason = entry.reason.min(demand.reason);
            entry.waiting = entry.waiting.saturating_add(demand.waiting);
        }
        let mut candidates: Vec<LoadCandidate> = candidates.into_values().collect();
        candidates.sort_by(|a, b| {
            let urgency = b.urgency(now).total_cmp(&a.urgency(now));
            a.reason.cmp(&b.reason).then(urgency)
        });
        candidates
    }

    fn is_loading(&self, model: &str) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| loading.model == model)
    }

    /// The next model to load within the sidecar's share of loads from the weight store. A repeated
    /// load has already been counted against the share.
    pub(super) fn next_load(&self, spec: &EngineSpec, now: Duration) -> Option<LoadCandidate> {
        let store_allowed = self.store_load_allowed(now);
        let mut candidates = self.load_candidates(spec, now).into_iter();
        candidates.find(|candidate| {
            store_allowed
                || candidate.tier != Tier::Remote
                || self.is_unanswered_load(&candidate.model)
        })
    }

    /// Models that callers wait for, in the order in which they will be loaded.
    pub(super) fn queued(&self, now: Duration) -> Vec<ModelId> {
        let Some(spec) = &self.spec else {
            return Vec::new();
        };
        let waiting = |candidate: &LoadCandidate| candidate.reason == DemandReason::Waiting;
        let candidates = self.load_candidates(spec, now).into_iter().filter(waiting);
        candidates.map(|candidate| candidate.model).collect()
    }

    /// Estimated time until one more load could start after the current one and those in `queue`.
    pub(super) fn queue_time(&self, queue: &[ModelId], now: Duration) -> Duration {
        let loading = self.loading.as_ref();
        let mut time = loading.map_or(Duration::ZERO, |loading| loading.remaining(now));
        let Some(spec) = &self.spec else {
            return time;
        };
        for model in queue {
            if let Some(model_spec) = spec.models.get(model) {
                time += model_spec.load_time(self.tier(model)) + EVICTION_TIME_ESTIMATE;
            }
        }
        time
    }

    /// The next adapter order, for a demanded adapter of a loaded model: its load, or the unload of
    /// an unused adapter if no slot or memory is free.
    pub(super) fn next_adapter_action(&self, spec: &EngineSpec) -> Option<super::Action> {
        let report = self.report.as_ref()?;
        let held: BTreeSet<(&ModelId, &AdapterId)> = report
            .models
            .iter()
            .flat_map(|(model, held)| held.adapters.iter().map(move |adapter| (model, adapter)))
            .collect();
        let arriving = |model: &ModelId, adapter: &AdapterId| {
            report
                .arriving_adapters
                .contains(&(model.clone(), adapter.clone()))
        };
        let demands = self
            .gateways
            .values()
            .flat_map(|gateway| &gateway.report.demands);
        let missing = demands.filter_map(|demand| {
            let adapter = demand.adapter.as_ref()?;
            let model_available =
                report.models.contains_key(&demand.model) && !self.is_evicting(&demand.model);
            let adapter_present =
                held.contains(&(&demand.model, adapter)) || arriving(&demand.model, adapter);
            (model_available && !adapter_present).then_some((&demand.model, adapter))
        });
        let wanted: BTreeSet<(&ModelId, &AdapterId)> = missing.collect();
        let (model, adapter) = wanted.into_iter().next()?;
        let load = super::Action::LoadAdapter(model.clone(), adapter.clone());
        if self.fits_after(spec, &load) {
            return Some(load);
        }
        let (model, adapter) = self.unused_adapter(&held)?;
        let unload = super::Action::UnloadAdapter(model, adapter);
        self.fits_after(spec, &unload).then_some(unload)
    }

    /// The least recently used adapter that no gateway uses or demands.
    fn unused_adapter(
        &self,
        held: &BTreeSet<(&ModelId, &AdapterId)>,
    ) -> Option<(ModelId, AdapterId)> {
        let in_use: BTreeSet<(&ModelId, &AdapterId)> = self
            .gateways
            .values()
            .flat_map(|gateway| &gateway.report.usage)
            .flat_map(|(model, usage)| usage.adapters.iter().map(move |adapter| (model, adapter)))
            .collect();
        let demanded: BTreeSet<(&ModelId, &AdapterId)> = self
            .gateways
            .values()
            .flat_map(|gateway| &gateway.report.demands)
            .filter_map(|demand| Some((&demand.model, demand.adapter.as_ref()?)))
            .collect();
        let idle = held
            .iter()
            .filter(|key| !in_use.contains(*key) && !demanded.contains(*key));
        let key = |(model, adapter): (&ModelId, &AdapterId)| (model.clone(), adapter.clone());
        let least_recent =
            idle.min_by_key(|pair| self.adapter_last_used.get(&key(**pair)).copied())?;
        Some(key(*least_recent))
    }
}
