//! Credit of one customer at a gateway.

use super::{LEASE_LIFE, PartLimit, credit::SpentCredit, holder::Bucket};
use radishpin_protocol::prelude::*;
use std::net::SocketAddr;

/// Time after the end of a lease within which its credit is given back. Credit that is older belongs to an
/// earlier window, and its bucket has refilled since.
const RETURN_TIME: Duration = Duration::from_secs(1);
/// Time over which usage is averaged.
const USAGE_TIME: Duration = Duration::from_secs(1);
/// Longest time for which a part that denied credit is not asked again: it may have more for a request that
/// costs less, or get some back.
const DENIAL_MAX: Duration = Duration::from_millis(200);

/// Credit from one part, until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Lease {
    pub(super) part: u8,
    pub(super) amount: u64,
    pub(super) expires_at: Duration,
}

/// What a gateway knows of one part.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Part {
    denied_until: Duration,
    /// Smallest credit that it denied.
    denied: u64,
    /// Time at which the holder expects to have credit.
    pub(super) credit_at: Duration,
    /// Credit that it held at `level_at`, as far as its answers tell.
    level: f64,
    level_at: Duration,
    /// Credit to give back with the next ask.
    pub(super) returned: u64,
    /// Its holder, and the version of the sidecars that it was chosen from.
    pub(super) holder: Option<SocketAddr>,
    pub(super) chosen_from: u64,
    /// Holder that knows of the part.
    pub(super) known_at: Option<SocketAddr>,
}

impl Part {
    /// Whether it denied this much or less so recently that it is not asked again.
    pub(super) fn denies(&self, credit: u64, now: Duration) -> bool {
        self.denied_until > now && credit >= self.denied
    }

    /// Credit that it holds now, if no other gateway took any since its last answer.
    pub(super) fn level(&self, limit: PartLimit, now: Duration) -> u64 {
        let time = now.saturating_sub(self.level_at).as_secs_f64();
        let level = self.level + limit.rate_per_s() * time;
        // Casts of floats saturate.
        level.min(limit.burst()) as u64
    }

    /// Records that it granted credit; it may have none left.
    pub(super) fn record_grant(&mut self, now: Duration) {
        self.level = 0.0;
        self.level_at = now;
    }

    /// Records that it denied `least`, and has that much after `wait`.
    pub(super) fn record_denial(
        &mut self,
        least: u64,
        limit: PartLimit,
        wait: Duration,
        now: Duration,
    ) {
        let still_denied = self.denied_until > now;
        self.denied = match still_denied {
            true => self.denied.min(least),
            false => least,
        };
        self.credit_at = now + wait;
        self.denied_until = now + wait.min(DENIAL_MAX);
        let missing = limit.rate_per_s() * wait.as_secs_f64();
        self.level = (least as f64 - missing).max(0.0);
        self.level_at = now;
    }
}

/// Leases, parts and usage of a customer.
#[derive(Debug)]
pub(super) struct Account {
    pub(super) leases: Vec<Lease>,
    pub(super) parts: BTreeMap<u8, Part>,
    pub(super) alone: Option<Bucket>,
    pub(super) usage_per_s: f64,
    used_at: Duration,
    /// Version of the sidecars at the last announcement.
    pub(super) announced_to: u64,
    pub(super) answered_at: Option<Duration>,
}

impl Account {
    pub(super) fn new(now: Duration) -> Self {
        Self {
            leases: Vec::new(),
            parts: BTreeMap::new(),
            alone: None,
            usage_per_s: 0.0,
            used_at: now,
            announced_to: 0,
            answered_at: None,
        }
    }

    pub(super) fn available(&self, now: Duration) -> u64 {
        let live = self.leases.iter().filter(|lease| lease.expires_at > now);
        live.fold(0, |sum, lease| sum.saturating_add(lease.amount))
    }

    /// Adds credit that was asked for at `sent_at`.
    pub(super) fn add_lease(&mut self, part: u8, amount: u64, sent_at: Duration) {
        self.leases.push(Lease {
            part,
            amount,
            expires_at: sent_at + LEASE_LIFE,
        });
    }

    /// Takes credit back of a request that has not run.
    pub(super) fn restore(&mut self, spent: SpentCredit) {
        self.leases.extend(spent.leases);
    }

    /// Moves credit that can no longer be spent to what is given back.
    pub(super) fn expire(&mut self, now: Duration) {
        let parts = &mut self.parts;
        self.leases.retain(|lease| {
            let is_live = lease.expires_at > now;
            if !is_live && now < lease.expires_at + RETURN_TIME {
                let part = parts.entry(lease.part).or_default();
                part.returned = part.returned.saturating_add(lease.amount);
            }
            is_live
        });
    }

    /// Spends credit, what expires first before the rest.
    pub(super) fn spend(&mut self, cost: u64, now: Duration) -> Option<Vec<Lease>> {
        if self.available(now) < cost {
            return None;
        }
        self.leases.sort_by_key(|lease| lease.expires_at);
        let mut missing = cost;
        let mut spent = Vec::new();
        for lease in &mut self.leases {
            let amount = lease.amount.min(missing);
            if amount > 0 {
                spent.push(Lease { amount, ..*lease });
            }
            lease.amount -= amount;
            missing -= amount;
        }
        self.leases.retain(|lease| lease.amount > 0);
        self.count(cost, now);
        Some(spent)
    }

    pub(super) fn count(&mut self, cost: u64, now: Duration) {
        let time = now.saturating_sub(self.used_at).as_secs_f64();
        let span = USAGE_TIME.as_secs_f64();
        self.usage_per_s = self.usage_per_s * (-time / span).exp() + cost as f64 / span;
        self.used_at = now;
    }
}
