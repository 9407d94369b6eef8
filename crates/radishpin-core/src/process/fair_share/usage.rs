//! What customers and routes asked for and got, and the level of their shares.

use crate::version::{Customer, QuotaUnit};
use radishpin_protocol::prelude::*;

/// Time constant of shares: a surge of 5 s shows, and the smallest gateways count several requests of an
/// average customer.
const SHARE_DECAY_MS: u64 = 4_000;
/// Time constant of the floor. What was sent before a surge hides for about this time that nothing is
/// sent now; with 4 s, a surge of 11 s was nearly over by then.
const FLOOR_DECAY_MS: u64 = 1_000;
pub(super) const SHARE_DECAY: Duration = Duration::from_millis(SHARE_DECAY_MS);

/// Usage that shares follow from.
pub(super) type ShareUsage = Usage<SHARE_DECAY_MS>;
/// Usage that is compared with the floor.
pub(super) type FloorUsage = Usage<FLOOR_DECAY_MS>;

/// Requests that were asked for and that were sent to endpoints, decaying exponentially.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct Usage<const DECAY_MS: u64> {
    asked: f64,
    sent: f64,
    updated_at: Duration,
}

impl<const DECAY_MS: u64> Usage<DECAY_MS> {
    pub(super) fn count(&mut self, is_sent: bool, now: Duration) {
        *self = Self {
            asked: self.asked(now) + 1.0,
            sent: self.sent(now) + f64::from(u8::from(is_sent)),
            updated_at: now,
        };
    }

    pub(super) fn asked(&self, now: Duration) -> f64 {
        self.asked * self.decay_factor(now)
    }

    pub(super) fn sent(&self, now: Duration) -> f64 {
        self.sent * self.decay_factor(now)
    }

    /// Part of what was asked for that was sent, from 0 to 1; 1 if nothing was asked for.
    pub(super) fn sent_part(&self) -> f64 {
        if self.asked > 0.0 {
            self.sent / self.asked
        } else {
            1.0
        }
    }

    fn decay_factor(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at);
        (-age.as_secs_f64() * 1_000.0 / DECAY_MS as f64).exp()
    }
}

/// Usage of one customer, with what its weight follows from.
#[derive(Clone, Debug, Default)]
pub(super) struct CustomerUsage {
    pub(super) usage: ShareUsage,
    pub(super) recent: FloorUsage,
    /// Rate of its quota in the quota's unit; `None` if it has no quota.
    rate_per_s: Option<f64>,
    /// Average cost of its requests in the quota's unit.
    cost: f64,
}

impl CustomerUsage {
    pub(super) fn count(
        &mut self,
        customer: Option<&Customer>,
        token_count: Option<u64>,
        is_sent: bool,
        now: Duration,
    ) {
        self.usage.count(is_sent, now);
        self.recent.count(is_sent, now);
        let quota = customer.and_then(|customer| customer.quota.as_ref());
        self.rate_per_s = quota.map(|quota| quota.rate_per_s);
        let cost = match quota {
            Some(quota) if quota.unit != QuotaUnit::Requests => quota.cost(token_count) as f64,
            _ => 1.0,
        };
        // The newest request is a part of `1 / asked` of those that the average is over.
        self.cost += (cost - self.cost) / self.usage.asked(now);
    }

    /// Requests a second that its quota allows for; `None` if it has no quota.
    pub(super) fn weight(&self) -> Option<f64> {
        /// A request may state 0 tokens.
        const COST_MIN: f64 = 1.0;
        Some(self.rate_per_s? / self.cost.max(COST_MIN))
    }
}

/// What one customer asked for, and its weight.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub(super) asked: f64,
    pub(super) weight: f64,
}

/// Returns the level at which the sum of `min(asked, weight x level)` over all claims is `sent`; `None` if
/// all claims can be met.
pub(super) fn fair_level(mut claims: Vec<Claim>, sent: f64) -> Option<f64> {
    claims.sort_by(|a, b| (a.asked / a.weight).total_cmp(&(b.asked / b.weight)));
    let mut left = sent;
    let mut weights: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in claims {
        let level = left / weights;
        if claim.asked > claim.weight * level {
            return Some(level.max(0.0));
        }
        left -= claim.asked;
        weights -= claim.weight;
    }
    None
}
