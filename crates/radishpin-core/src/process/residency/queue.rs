//! Which load goes next, and how long one more would wait.

use super::{DemandReason, Residency};
use crate::{request::Tier, version::EngineSpec};
use radishpin_protocol::prelude::*;

/// Time that making room takes, by estimate: the notice to the gateways and the unload.
pub const MAKE_ROOM: Duration = Duration::from_millis(150);

/// A model that is wanted and not held.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Wanted {
    pub(super) model: ModelId,
    pub(super) reason: DemandReason,
    pub(super) waiting: u32,
    since: Duration,
    load_time: Duration,
    tier: Tier,
}

impl Wanted {
    /// Waiting callers that a second of loading serves, with their wait so far counted in.
    fn urgency(&self, now: Duration) -> f64 {
        let waited = now.saturating_sub(self.since).as_secs_f64();
        let callers = f64::from(self.waiting.max(1));
        callers * (1.0 + waited) / (self.load_time + MAKE_ROOM).as_secs_f64()
    }
}

impl Residency {
    /// Models that are wanted and not held, the next one first.
    fn wanted(&self, spec: &EngineSpec, now: Duration) -> Vec<Wanted> {
        let Some(report) = &self.report else {
            return Vec::new();
        };
        let mut wanted: BTreeMap<&ModelId, Wanted> = BTreeMap::new();
        let demands = self
            .gateways
            .values()
            .flat_map(|heard| &heard.report.demands);
        for demand in demands {
            let Some(model) = spec.models.get(&demand.model) else {
                continue;
            };
            if report.models.contains_key(&demand.model) || self.is_loading(&demand.model) {
                continue;
            }
            let tier = self.tier(&demand.model);
            let entry = wanted.entry(&demand.model).or_insert_with(|| Wanted {
                model: demand.model.clone(),
                reason: demand.reason,
                waiting: 0,
                since: self.wanted_since.get(&demand.model).copied().unwrap_or(now),
                load_time: model.load_time(tier),
                tier,
            });
            entry.reason = entry.reason.min(demand.reason);
            entry.waiting = entry.waiting.saturating_add(demand.waiting);
        }
        let mut wanted: Vec<Wanted> = wanted.into_values().collect();
        wanted.sort_by(|a, b| {
            let urgency = b.urgency(now).total_cmp(&a.urgency(now));
            a.reason.cmp(&b.reason).then(urgency)
        });
        wanted
    }

    fn is_loading(&self, model: &str) -> bool {
        let loading = self.loading.as_ref();
        loading.is_some_and(|loading| loading.model == model)
    }

    /// The load that goes next, under the sidecar's share of loads from the weight store.
    pub(super) fn next_load(&self, spec: &EngineSpec, now: Duration) -> Option<Wanted> {
        let store_open = self.store_is_open(now);
        let mut wanted = self.wanted(spec, now).into_iter();
        wanted.find(|wanted| {
            store_open || wanted.tier != Tier::Remote || self.is_unanswered(&wanted.model)
        })
    }

    /// Models that callers wait for, the next one first.
    pub(super) fn queued(&self, now: Duration) -> Vec<ModelId> {
        let Some(spec) = &self.spec else {
            return Vec::new();
        };
        let waiting = |wanted: &Wanted| wanted.reason == DemandReason::Waiting;
        let wanted = self.wanted(spec, now).into_iter().filter(waiting);
        wanted.map(|wanted| wanted.model).collect()
    }

    /// Time until one more load could begin.
    pub(super) fn queue_time(&self, queue: &[ModelId], now: Duration) -> Duration {
        let loading = self.loading.as_ref();
        let mut time = loading.map_or(Duration::ZERO, |loading| loading.remaining(now));
        let Some(spec) = &self.spec else {
            return time;
        };
        for model in queue {
            if let Some(model_spec) = spec.models.get(model) {
                time += model_spec.load_time(self.tier(model)) + MAKE_ROOM;
            }
        }
        time
    }

    /// The next order on adapters of models that are held.
    pub(super) fn adapter_action(&self, spec: &EngineSpec) -> Option<super::Action> {
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
            .flat_map(|heard| &heard.report.demands);
        let missing = demands.filter_map(|demand| {
            let adapter = demand.adapter.as_ref()?;
            let usable =
                report.models.contains_key(&demand.model) && !self.is_leaving(&demand.model);
            let known =
                held.contains(&(&demand.model, adapter)) || arriving(&demand.model, adapter);
            (usable && !known).then_some((&demand.model, adapter))
        });
        let wanted: BTreeSet<(&ModelId, &AdapterId)> = missing.collect();
        let (model, adapter) = wanted.into_iter().next()?;
        let late = self.late_orders(report).adapters;
        let taken = held.len() + report.arriving_adapters.len() + late;
        let adapter_mb = spec.models.get(model).map_or(0, |model| model.adapter_mb);
        if taken < spec.adapter_slots && self.free_mb(spec) >= adapter_mb {
            return Some(super::Action::LoadAdapter(model.clone(), adapter.clone()));
        }
        let (model, adapter) = self.unused_adapter(&held)?;
        Some(super::Action::UnloadAdapter(model, adapter))
    }

    /// The adapter that no gateway uses and that was used least recently.
    fn unused_adapter(
        &self,
        held: &BTreeSet<(&ModelId, &AdapterId)>,
    ) -> Option<(ModelId, AdapterId)> {
        let in_use: BTreeSet<(&ModelId, &AdapterId)> = self
            .gateways
            .values()
            .flat_map(|heard| &heard.report.usage)
            .flat_map(|(model, usage)| usage.adapters.iter().map(move |adapter| (model, adapter)))
            .collect();
        let demanded: BTreeSet<(&ModelId, &AdapterId)> = self
            .gateways
            .values()
            .flat_map(|heard| &heard.report.demands)
            .filter_map(|demand| Some((&demand.model, demand.adapter.as_ref()?)))
            .collect();
        let idle = held
            .iter()
            .filter(|key| !in_use.contains(*key) && !demanded.contains(*key));
        let key = |(model, adapter): (&ModelId, &AdapterId)| (model.clone(), adapter.clone());
        let oldest = idle.min_by_key(|pair| self.adapter_used.get(&key(**pair)).copied())?;
        Some(key(*oldest))
    }
}
