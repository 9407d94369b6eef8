//! Which endpoint would serve a model that it lacks soonest.

use super::{Fleet, rendezvous::rendezvous};
use crate::{request::Tier, version::ModelSpec};
use radishpin_protocol::prelude::*;

/// Loads that the weight store serves at full speed; beyond, each takes longer in proportion.
pub(super) const FULL_SPEED_LOADS: u32 = 4;
/// Step in which estimates are compared, so that gateways with nearly the same view agree.
const ESTIMATE_STEP_MS: u128 = 100;
/// Added to the estimate for each busy model that an endpoint serves: its adapters wait meanwhile.
const KEPT_REPLICA_COST: Duration = Duration::from_millis(500);
/// Time until the platform lists an engine that took another one's place.
const LISTING_LAG: Duration = Duration::from_millis(800);

impl Fleet {
    /// The endpoint that would serve a model soonest, but for those in `excluded`.
    pub(super) fn best_loader(
        &self,
        service: &str,
        model: &str,
        spec: &ModelSpec,
        excluded: &[EndpointId],
        now: Duration,
    ) -> Option<(EndpointId, Duration)> {
        let candidates = self.endpoints.keys().filter(|id| !excluded.contains(id));
        let estimates = candidates.filter_map(|id| {
            let estimate = self.load_estimate(id, service, model, spec, now)?;
            let step = estimate.as_millis() / ESTIMATE_STEP_MS;
            Some((step, rendezvous(model, id), id, estimate))
        });
        let (_, _, id, estimate) = estimates.min()?;
        Some((id.clone(), estimate))
    }

    /// Time until an endpoint would serve a model that it lacks; `None` where it can't load.
    pub(super) fn load_estimate(
        &self,
        id: &str,
        service: &str,
        model: &str,
        spec: &ModelSpec,
        now: Duration,
    ) -> Option<Duration> {
        let endpoint = self.endpoints.get(id)?;
        let can_load = endpoint.accepts_loads()
            && endpoint.accepts_requests(now)
            && endpoint.entry.service == service;
        if !can_load {
            return None;
        }
        let status = endpoint.status.as_ref()?;
        if let Some(loading) = &status.loading
            && loading.model == model
        {
            return Some(Duration::from_millis(loading.remaining_ms));
        }
        if endpoint.replaced && status.models.contains_key(model) {
            return Some(LISTING_LAG);
        }
        let queue = Duration::from_millis(status.queue_ms);
        if status.queue.iter().any(|queued| queued == model) {
            return Some(queue);
        }
        let tier = status.tier(model);
        let load = spec.load_time(tier).mul_f64(self.store_pressure(tier));
        let room = Duration::from_millis(status.room_ms);
        let kept = KEPT_REPLICA_COST * u32::try_from(self.kept_replicas_at(id)).unwrap_or(u32::MAX);
        Some(queue + load + room + kept)
    }

    /// How much longer one more load takes under the present use of the weight store.
    fn store_pressure(&self, tier: Tier) -> f64 {
        if tier != Tier::Remote {
            return 1.0;
        }
        let loads = self.store_loads() + 1;
        (f64::from(loads) / f64::from(FULL_SPEED_LOADS)).max(1.0)
    }

    /// Loads from the weight store in progress.
    pub(super) fn store_loads(&self) -> u32 {
        let statuses = self.endpoints.values().filter_map(|e| e.status.as_ref());
        let loads = statuses.filter_map(|status| status.loading.as_ref());
        let count = loads.filter(|loading| loading.tier == Tier::Remote).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }
}
