//! Estimates of how soon each endpoint could serve a model that it has not loaded.

use super::{Fleet, endpoint::Endpoint};
use crate::{process::Status, rendezvous::rendezvous_hash, request::Tier, version::ModelSpec};
use radishpin_protocol::prelude::*;

/// Concurrent loads that the weight store serves at full speed; with more, each slows down in
/// proportion.
pub(super) const FULL_SPEED_LOADS: u32 = 4;
/// Estimates are rounded down to this step, so that gateways with similar views choose alike.
const ESTIMATE_STEP_MS: u128 = 100;
/// Added to the estimate for each replica of a busy model that an endpoint keeps: a load makes
/// requests for adapters of that model wait.
const KEPT_REPLICA_COST: Duration = Duration::from_millis(500);
/// Added to the estimate of an endpoint that states a limit on its requests, as it is in need.
const LIMITED_COST: Duration = Duration::from_secs(1);
/// Time until the platform lists an engine that replaced another one at its address.
const LISTING_LAG: Duration = Duration::from_millis(800);

/// A model that an endpoint is to load, and which endpoints may.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadQuery<'a> {
    pub(super) service: &'a str,
    pub(super) model: &'a str,
    pub(super) spec: &'a ModelSpec,
    /// Software version of the endpoints that may load it; `None` if any may.
    pub(super) software_version: Option<&'a str>,
}

impl Fleet {
    /// The endpoint that could serve a model soonest, of those that `may_load` it, with its estimated time.
    pub(super) fn best_loader(
        &self,
        query: LoadQuery<'_>,
        may_load: impl Fn(&EndpointId, &Status) -> bool,
        now: Duration,
    ) -> Option<(EndpointId, Duration)> {
        let store_loaders = self.store_loaders(query.service, query.software_version);
        let candidates = self.endpoints.iter().filter(|(id, endpoint)| {
            let status = endpoint.status.as_ref();
            status.is_some_and(|status| {
                may_load(id, status)
                    && (!needs_store(status, query.model) || store_loaders.contains(*id))
            })
        });
        let estimates = candidates.filter_map(|(id, _)| {
            let estimate = self.load_estimate(id, query, now)?;
            let step = estimate.as_millis() / ESTIMATE_STEP_MS;
            Some((step, rendezvous_hash(query.model, id), id, estimate))
        });
        let (_, _, id, estimate) = estimates.min()?;
        Some((id.clone(), estimate))
    }

    /// Estimated time until an endpoint serves a model that it has not loaded; `None` where it
    /// can't load.
    pub(super) fn load_estimate(
        &self,
        id: &str,
        query: LoadQuery<'_>,
        now: Duration,
    ) -> Option<Duration> {
        let model = query.model;
        let endpoint = self.endpoints.get(id)?;
        let can_load = endpoint.accepts_loads()
            && endpoint.accepts_requests(now)
            && endpoint.entry.service == query.service
            && endpoint.may_serve_version(query.software_version);
        let is_limited = endpoint.limit.rate().is_some();
        let backoff_left = endpoint.requested_backoff_left(now);
        let turns_away = is_limited || !backoff_left.is_zero();
        if !can_load || (turns_away && endpoint.serves(model)) {
            return None;
        }
        let estimate = self.estimate_of_loader(id, endpoint, query)?;
        Some(estimate.max(backoff_left))
    }

    /// Estimated time until an endpoint that can load a model has loaded it; `None` without a status.
    fn estimate_of_loader(
        &self,
        id: &str,
        endpoint: &Endpoint,
        query: LoadQuery<'_>,
    ) -> Option<Duration> {
        let LoadQuery { model, spec, .. } = query;
        let status = endpoint.status.as_ref()?;
        if let Some(loading) = &status.loading
            && loading.model == model
        {
            return Some(Duration::from_millis(loading.remaining_ms));
        }
        if endpoint.replaced && status.models.contains_key(model) {
            return Some(LISTING_LAG);
        }
        let queue_time = Duration::from_millis(status.queue_ms);
        if status.queue.iter().any(|queued| queued == model) {
            return Some(queue_time);
        }
        let tier = status.tier(model);
        let load_time = spec.load_time(tier).mul_f64(self.store_slowdown(tier));
        let room_time = Duration::from_millis(status.room_ms);
        let kept_cost =
            KEPT_REPLICA_COST * u32::try_from(self.kept_replicas_at(id)).unwrap_or(u32::MAX);
        let limited_cost = match endpoint.limit.rate() {
            Some(_) => LIMITED_COST,
            None => Duration::ZERO,
        };
        Some(queue_time + load_time + room_time + kept_cost + limited_cost)
    }

    /// Whether an endpoint's sidecar reports that it is loading a model.
    pub(super) fn is_loading(&self, id: &str, model: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        let status = endpoint.and_then(|endpoint| endpoint.status.as_ref());
        let loading = status.and_then(|status| status.loading.as_ref());
        loading.is_some_and(|loading| loading.model == model)
    }

    /// Factor by which loads in progress from the weight store slow down one more load; 1 or more.
    fn store_slowdown(&self, tier: Tier) -> f64 {
        if tier != Tier::Remote {
            return 1.0;
        }
        let loads = self.store_loads() + 1;
        (f64::from(loads) / f64::from(FULL_SPEED_LOADS)).max(1.0)
    }
}

/// Whether an endpoint has to fetch a model from the weight store to load it.
fn needs_store(status: &Status, model: &str) -> bool {
    let loading = status.loading.as_ref();
    let is_loading = loading.is_some_and(|loading| loading.model == model);
    !is_loading && !status.models.contains_key(model) && status.tier(model) == Tier::Remote
}
