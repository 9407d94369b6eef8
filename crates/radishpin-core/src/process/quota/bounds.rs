//! How much of a quota's bound each mechanism may use.

use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Time after its request within which a gateway spends leased credit. Credit in leases comes on top
/// of the bucket, so a longer life leaves less of the allowed overshoot for other uses.
pub const LEASE_LIFE: Duration = Duration::from_millis(250);
/// Fewest parts of a bucket: with a third of the links cut, one gateway in 81 reaches no part.
pub const PARTS_MIN: u8 = 4;
/// Most parts of a bucket. A part that has two holders for a while, because gateways know different
/// sidecars, exceeds the quota by its share of the rate.
pub const PARTS_MAX: u8 = 8;
/// Share of the margin that is added to the burst, which absorbs the uneven use of the parts.
const BURST_SHARE: f64 = 1.0 / 3.0;
/// Share of the margin for gateways that reach no holder.
const ALONE_SHARE: f64 = 0.25;
/// Fewest gateways that are assumed, as a gateway that has no news of the others counts none.
const GATEWAYS_MIN: u32 = 32;
/// Divisor for the part of the gateway count that is added for gateways not counted yet.
const UNCOUNTED_DIVISOR: u32 = 4;
/// Burst of a customer for each of its parts, within [`PARTS_MIN`] and [`PARTS_MAX`]. A part of a small customer
/// has to hold the cost of a request.
const BURST_PER_PART: f64 = 8_500.0;
/// Largest rate or burst that is counted with; a greater one limits nothing.
const QUANTITY_MAX: f64 = 1e15;

/// What operators allow in excess of all quotas, and over which window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Window over which usage is counted.
    pub window: Duration,
    /// Allowed excess as a share of the quota in a window.
    pub overshoot: f64,
    /// Allowed excess in the unit of the quota.
    pub slack: f64,
}

/// Quota of one customer over all gateways.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaLimit {
    /// Usage allowed per second.
    pub rate_per_s: f64,
    /// Usage allowed in addition, at once.
    pub burst: f64,
}

/// Limit of one part of a bucket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartLimit {
    /// Usage allowed in 1,000 seconds.
    pub rate_per_ks: u64,
    /// Most credit that is kept while it is not used.
    pub burst: u64,
}

impl QuotaBounds {
    /// Most that may be sent and run for a customer in one window.
    pub fn most_in_window(&self, quota: QuotaLimit) -> f64 {
        let allowed = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        allowed * (1.0 + self.overshoot) + self.slack
    }

    /// What is allowed in excess of the bucket and of the credit in leases.
    fn margin(&self, quota: QuotaLimit) -> f64 {
        let allowed = quota.rate_per_s * self.window.as_secs_f64() + quota.burst;
        let leased = quota.rate_per_s * LEASE_LIFE.as_secs_f64();
        allowed * self.overshoot + self.slack - leased
    }

    /// Number of parts of a customer's bucket. It depends on the configuration alone: gateways whose settings
    /// differ for a while would lease from different parts, and exceed the rate together.
    pub fn parts(&self, quota: QuotaLimit) -> u8 {
        // Casts of floats saturate.
        ((quota.burst / BURST_PER_PART) as u8).clamp(PARTS_MIN, PARTS_MAX)
    }

    /// Limit of each part of a customer's bucket.
    pub fn part_limit(&self, quota: QuotaLimit) -> PartLimit {
        let margin = self.margin(quota);
        let share = if margin > 0.0 { BURST_SHARE } else { 1.0 };
        let burst = (quota.burst + margin * share).max(0.0);
        let parts = f64::from(self.parts(quota));
        PartLimit::new(quota.rate_per_s / parts, burst / parts)
    }

    /// Most credit that a part may grant to one request: a full part that was not used for a window.
    pub(super) fn most_of_part(&self, quota: QuotaLimit) -> u64 {
        let limit = self.part_limit(quota);
        let most = limit.burst() + limit.rate_per_s() * self.window.as_secs_f64();
        // Casts of floats saturate.
        most as u64
    }

    /// Limit of a gateway that reaches no holder: if all do, they stay within the allowed excess.
    pub fn alone_limit(&self, quota: QuotaLimit, gateways: u32) -> PartLimit {
        let gateways = gateways
            .saturating_add(gateways / UNCOUNTED_DIVISOR)
            .max(GATEWAYS_MIN);
        let share = (self.margin(quota) * ALONE_SHARE).max(0.0) / f64::from(gateways);
        // One half is the bucket, the other one refills it within a window.
        let window = self.window.as_secs_f64().max(1.0);
        PartLimit::new(share / 2.0 / window, share / 2.0)
    }
}

impl PartLimit {
    fn new(rate_per_s: f64, burst: f64) -> Self {
        Self {
            rate_per_ks: (rate_per_s * 1_000.0).clamp(0.0, QUANTITY_MAX) as u64,
            burst: burst.clamp(0.0, QUANTITY_MAX) as u64,
        }
    }

    pub(super) fn rate_per_s(self) -> f64 {
        (self.rate_per_ks as f64 / 1_000.0).min(QUANTITY_MAX)
    }

    pub(super) fn burst(self) -> f64 {
        (self.burst as f64).min(QUANTITY_MAX)
    }
}
