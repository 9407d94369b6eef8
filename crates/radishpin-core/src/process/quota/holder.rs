//! Parts of customers' buckets at their holder.

use super::{CreditAnswer, CreditAsk, LeaseRequest, PartLimit, ceil_ms};
use crate::version::CustomerId;
use radishpin_protocol::prelude::*;

/// Most parts that one holder keeps.
pub const PARTS_HELD_MAX: usize = 16_384;
/// Time without a request after which a part may be forgotten for a new one; it starts empty again.
const IDLE_TIME: Duration = Duration::from_secs(60);
/// Most gateways whose last message is remembered.
const GATEWAYS_MAX: usize = 2_048;
/// Longest wait that a denied gateway is told.
const WAIT_MAX: Duration = Duration::from_secs(60);

/// Longest time without a grant that lets a full part grant more than it holds. Windows of quotas are not
/// shorter, and gateways ask for no more than what comes within one.
const IDLE_CREDIT_TIME: Duration = Duration::from_secs(8);

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Bucket {
    /// Credit; negative after a request that cost more than a full bucket.
    level: f64,
    /// Credit that came since the bucket was full, and that it could not hold. A request that costs more than a
    /// full bucket may use it: within any window it adds nothing to the rate, as nothing was granted meanwhile.
    idle_credit: f64,
    limit: PartLimit,
    version: u64,
    filled_at: Duration,
}

impl Bucket {
    /// Creates an empty bucket: what an earlier holder granted is not known.
    pub(super) fn empty(limit: PartLimit, version: u64, now: Duration) -> Self {
        Self {
            level: 0.0,
            idle_credit: 0.0,
            limit,
            version,
            filled_at: now,
        }
    }

    fn fill(&mut self, now: Duration) {
        let time = now.saturating_sub(self.filled_at);
        let level = self.level + self.limit.rate_per_s() * time.as_secs_f64();
        self.level = level.min(self.limit.burst());
        let idle_max = self.limit.rate_per_s() * IDLE_CREDIT_TIME.as_secs_f64();
        self.idle_credit = (self.idle_credit + level - self.level).min(idle_max);
        self.filled_at = self.filled_at.max(now);
    }

    /// Fills the bucket under its old limit until now; a limit of an older configuration is ignored.
    pub(super) fn update(&mut self, limit: PartLimit, version: u64, now: Duration) {
        self.fill(now);
        if version >= self.version {
            if limit != self.limit {
                self.idle_credit = 0.0;
            }
            self.limit = limit;
            self.version = version;
            self.level = self.level.min(limit.burst());
        }
    }

    fn give_back(&mut self, credit: u64) {
        self.level = (self.level + credit as f64).min(self.limit.burst());
    }

    /// Takes between `least` and `most`. A bucket that was full for a while grants more than it holds, and owes
    /// the rest.
    pub(super) fn take(&mut self, least: u64, most: u64) -> Result<u64, Duration> {
        if self.held() < least as f64 {
            return Err(self.time_until(least as f64));
        }
        let granted = (self.level.max(0.0) as u64).min(most).max(least);
        self.level -= granted as f64;
        self.idle_credit = 0.0;
        Ok(granted)
    }

    /// Most credit that one request can take now.
    fn held(&self) -> f64 {
        if self.level < self.limit.burst() {
            return self.level;
        }
        self.level + self.idle_credit
    }

    /// Takes this much, and nothing if the bucket holds less.
    pub(super) fn take_exactly(&mut self, cost: u64) -> Result<(), Duration> {
        if self.level < cost as f64 {
            return Err(self.time_until(cost as f64));
        }
        self.level -= cost as f64;
        Ok(())
    }

    fn time_until(&self, level: f64) -> Duration {
        let seconds = (level - self.held()) / self.limit.rate_per_s();
        if seconds.is_finite() {
            Duration::from_secs_f64(seconds.clamp(0.0, WAIT_MAX.as_secs_f64()))
        } else {
            WAIT_MAX
        }
    }
}

/// The parts that a sidecar holds.
#[derive(Debug, Default)]
pub struct QuotaHolder {
    parts: BTreeMap<(CustomerId, u8), Bucket>,
    /// Sequence number of the last message of each gateway.
    sequences: BTreeMap<u64, (u64, Duration)>,
}

impl QuotaHolder {
    /// Answers each ask of a gateway, in their order.
    pub fn answer(&mut self, request: &LeaseRequest, now: Duration) -> Vec<CreditAnswer> {
        let is_new = self.is_new(request, now);
        let asks = request.asks.iter();
        asks.map(|ask| self.answer_ask(ask, is_new, now)).collect()
    }

    fn answer_ask(&mut self, ask: &CreditAsk, is_new: bool, now: Duration) -> CreditAnswer {
        let Some(bucket) = self.bucket(ask, now) else {
            let wait_ms = ceil_ms(IDLE_TIME);
            return CreditAnswer::Denied { wait_ms };
        };
        bucket.update(ask.limit, ask.version, now);
        if is_new {
            bucket.give_back(ask.returned);
        }
        if ask.least == 0 {
            return CreditAnswer::Granted(0);
        }
        match bucket.take(ask.least, ask.most) {
            Ok(granted) => CreditAnswer::Granted(granted),
            Err(wait) => CreditAnswer::Denied {
                wait_ms: ceil_ms(wait).max(1),
            },
        }
    }

    fn bucket(&mut self, ask: &CreditAsk, now: Duration) -> Option<&mut Bucket> {
        let key = (ask.customer.clone(), ask.part);
        if !self.parts.contains_key(&key) && self.parts.len() >= PARTS_HELD_MAX {
            self.parts
                .retain(|_, part| now.saturating_sub(part.filled_at) < IDLE_TIME);
            if self.parts.len() >= PARTS_HELD_MAX {
                return None;
            }
        }
        let empty = || Bucket::empty(ask.limit, ask.version, now);
        Some(self.parts.entry(key).or_insert_with(empty))
    }

    /// Whether this message of a gateway comes for the first time.
    fn is_new(&mut self, request: &LeaseRequest, now: Duration) -> bool {
        let last = self.sequences.get(&request.gateway);
        if last.is_some_and(|(last, _)| request.sequence <= *last) {
            return false;
        }
        if last.is_none() && self.sequences.len() >= GATEWAYS_MAX {
            let oldest = self.sequences.iter().min_by_key(|(_, (_, at))| *at);
            if let Some(gateway) = oldest.map(|(gateway, _)| *gateway) {
                self.sequences.remove(&gateway);
            }
        }
        self.sequences
            .insert(request.gateway, (request.sequence, now));
        true
    }
}
