//! Which model makes room for another one.

use super::{
    DemandReason, Residency,
    queue::{MAKE_ROOM, Wanted},
};
use crate::request::Tier;
use radishpin_protocol::prelude::*;

/// How long a model stays at least once callers waited for it.
const STAY_MIN: Duration = Duration::from_millis(600);
/// How long a model stays before one that nobody waits for may take its place.
const STAY_BEFORE_PREFETCH: Duration = Duration::from_secs(2);
/// Requests a second from which a model doesn't make room for a prefetch.
const PREFETCH_LOSS_MAX_PER_S: f32 = 0.5;

/// Time until the requests at a model have ended, by estimate.
const REQUESTS_END: Duration = Duration::from_millis(1_500);
/// Time until a model can make room at an engine that needs all it holds.
const NEEDED_STAY: Duration = Duration::from_secs(5);

/// Order of preference; the smallest goes first.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct Rank {
    in_use: bool,
    loss_per_s: f32,
    held_since_s: f64,
}

impl Residency {
    /// The model that is missed least; `None` where none may go now.
    pub(super) fn choose_victim(&self, next: &Wanted, now: Duration) -> Option<ModelId> {
        let report = self.report.as_ref()?;
        let stay = match next.reason {
            DemandReason::Waiting => STAY_MIN,
            DemandReason::Replica | DemandReason::Prefetch => STAY_BEFORE_PREFETCH,
        };
        let prefetch = next.reason == DemandReason::Prefetch;
        let movable = report.models.keys().filter(|model| {
            let since = self.held_since.get(*model).copied().unwrap_or(now);
            // A copy ahead of demand must not cost the only copy that is near.
            let comes_back = !prefetch || self.tier(model) != Tier::Remote;
            now.saturating_sub(since) >= stay && !self.is_needed(model) && comes_back
        });
        let ranked = movable.map(|model| (self.rank(model), model));
        let (rank, model) = ranked
            .min_by(|(a, _), (b, _)| a.partial_cmp(b).unwrap_or(std::cmp::Ordering::Equal))?;
        if prefetch && (rank.in_use || rank.loss_per_s > PREFETCH_LOSS_MAX_PER_S) {
            return None;
        }
        Some(model.clone())
    }

    /// Time to make room for one more model; what would be missed counts in, a second for each
    /// request a second.
    pub(super) fn room_time(&self, now: Duration) -> Duration {
        let (Some(spec), Some(report)) = (&self.spec, &self.report) else {
            return NEEDED_STAY;
        };
        let largest_mb = spec.models.values().map(|model| model.weights_mb).max();
        if self.free_mb(spec) >= largest_mb.unwrap_or(0) {
            return Duration::ZERO;
        }
        let times = report.models.keys().map(|model| {
            if self.is_needed(model) {
                return NEEDED_STAY;
            }
            let since = self.held_since.get(model).copied().unwrap_or(now);
            let stay = (since + STAY_MIN).saturating_sub(now);
            let rank = self.rank(model);
            let end = if rank.in_use {
                REQUESTS_END
            } else {
                Duration::ZERO
            };
            let loss = Duration::from_secs_f32(rank.loss_per_s.min(NEEDED_STAY.as_secs_f32()));
            MAKE_ROOM + stay.max(end) + loss
        });
        times.min().unwrap_or(Duration::ZERO)
    }

    /// Whether a gateway needs this replica for the load, or its callers wait for it.
    fn is_needed(&self, model: &str) -> bool {
        let kept = self.usages(model).any(|usage| usage.keep);
        let awaited = self.gateways.values().any(|heard| {
            let demands = heard.report.demands.iter();
            let mut awaited = demands.filter(|demand| demand.reason == DemandReason::Waiting);
            awaited.any(|demand| demand.model == model)
        });
        kept || awaited
    }

    fn rank(&self, model: &str) -> Rank {
        let held_since = self.held_since.get(model).copied().unwrap_or_default();
        Rank {
            in_use: self.usages(model).any(|usage| usage.active > 0),
            loss_per_s: self.usages(model).map(|usage| usage.loss_per_s).sum(),
            held_since_s: held_since.as_secs_f64(),
        }
    }
}
