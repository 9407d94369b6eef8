//! Selects the model to evict for another one.

use super::{
    Action, DemandReason, Residency,
    queue::{EVICTION_TIME_ESTIMATE, LoadCandidate},
};
use crate::request::Tier;
use radishpin_protocol::prelude::*;

/// Shortest time that a model stays loaded, so that it can serve the callers that waited for it.
const MIN_RESIDENCY: Duration = Duration::from_millis(600);
/// Shortest time that a model stays loaded before it may be evicted for a model without waiting
/// callers.
const MIN_RESIDENCY_WITHOUT_CALLERS: Duration = Duration::from_secs(2);
/// Largest `ModelUsage::loss_per_s` at which a model may be evicted for a prefetch.
const PREFETCH_LOSS_MAX_PER_S: f32 = 0.5;

/// Estimated time until the active requests of a model have ended.
const REQUEST_DRAIN_TIME: Duration = Duration::from_millis(1_500);
/// Estimated time until a model that is still needed can be evicted.
const NEEDED_MODEL_WAIT: Duration = Duration::from_secs(5);

/// Eviction order; the smallest rank is evicted first: idle models before models in use, then by
/// lowest loss, then by longest residency.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct EvictionRank {
    in_use: bool,
    loss_per_s: f32,
    held_since_s: f64,
}

impl Residency {
    /// The model to evict for `next`, by `EvictionRank`; `None` if no model may be evicted now.
    pub(super) fn choose_victim(&self, next: &LoadCandidate, now: Duration) -> Option<ModelId> {
        let report = self.report.as_ref()?;
        let min_residency = match next.reason {
            DemandReason::Waiting => MIN_RESIDENCY,
            DemandReason::Replica | DemandReason::Prefetch => MIN_RESIDENCY_WITHOUT_CALLERS,
        };
        let prefetch = next.reason == DemandReason::Prefetch;
        let evictable = report.models.keys().filter(|model| {
            let since = self.held_since.get(*model).copied().unwrap_or(now);
            // A prefetch must not evict the only local copy of a model's weights.
            let keeps_local_copy = !prefetch || self.tier(model) != Tier::Remote;
            now.saturating_sub(since) >= min_residency && !self.is_needed(model) && keeps_local_copy
        });
        let ranked = evictable.map(|model| (self.rank(model), model));
        let (rank, model) = ranked
            .min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))?;
        if prefetch && (rank.in_use || rank.loss_per_s > PREFETCH_LOSS_MAX_PER_S) {
            return None;
        }
        Some(model.clone())
    }

    /// Estimated time to make room for one more model, plus a penalty for the requests that the
    /// evicted model would lose: one second per request per second, up to 5 s.
    pub(super) fn room_time(&self, now: Duration) -> Duration {
        let (Some(spec), Some(report)) = (&self.spec, &self.report) else {
            return NEEDED_MODEL_WAIT;
        };
        let largest = spec.models.iter().max_by_key(|(_, model)| model.weights_mb);
        if largest.is_none_or(|(model, _)| self.fits_after(spec, &Action::Load(model.clone()))) {
            return Duration::ZERO;
        }
        let times = report.models.keys().map(|model| {
            if self.is_needed(model) {
                return NEEDED_MODEL_WAIT;
            }
            let since = self.held_since.get(model).copied().unwrap_or(now);
            let remaining_residency = (since + MIN_RESIDENCY).saturating_sub(now);
            let rank = self.rank(model);
            let drain_time = if rank.in_use {
                REQUEST_DRAIN_TIME
            } else {
                Duration::ZERO
            };
            let loss =
                Duration::from_secs_f32(rank.loss_per_s.min(NEEDED_MODEL_WAIT.as_secs_f32()));
            EVICTION_TIME_ESTIMATE + remaining_residency.max(drain_time) + loss
        });
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Whether a gateway needs this replica to handle its load or has callers waiting for it.
    fn is_needed(&self, model: &str) -> bool {
        let keep_requested = self.usages(model).any(|usage| usage.keep);
        let has_waiting_callers = self.gateways.values().any(|gateway| {
            let demands = gateway.report.demands.iter();
            let mut waiting = demands.filter(|demand| demand.reason == DemandReason::Waiting);
            waiting.any(|demand| demand.model == model)
        });
        keep_requested || has_waiting_callers
    }

    fn rank(&self, model: &str) -> EvictionRank {
        let held_since = self.held_since.get(model).copied().unwrap_or_default();
        EvictionRank {
            in_use: self.usages(model).any(|usage| usage.active > 0),
            loss_per_s: self.usages(model).map(|usage| usage.loss_per_s).sum(),
            held_since_s: held_since.as_secs_f64(),
        }
    }
}
