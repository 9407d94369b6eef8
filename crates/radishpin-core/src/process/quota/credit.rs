//! Leased credit at a gateway, and where it asks for more.

use super::{
    CreditAnswer, CreditAsk, PartLimit, QuotaBounds, QuotaLimit,
    account::{Account, Lease, Part},
    holder::Bucket,
    holders::PartHolders,
    search::{CreditSearch, Look, NextAsk, ReachedPart, look},
};
use crate::version::CustomerId;
use radishpin_protocol::prelude::*;
use std::{net::SocketAddr, sync::Arc};

/// Time for which a holder that did not answer is not asked again.
pub const HOLDER_BACKOFF: Duration = Duration::from_millis(500);
/// Shortest time after which a rejected caller may retry.
const RETRY_MIN: Duration = Duration::from_millis(50);
/// Time whose expected usage is leased ahead of need.
const AHEAD: Duration = Duration::from_millis(100);

/// A request that needs credit.
#[derive(Clone, Copy, Debug)]
pub struct CreditQuery<'a> {
    /// Its customer.
    pub customer: &'a str,
    /// Version of the configuration that the limit comes from.
    pub version: u64,
    /// Limit of the customer.
    pub limit: QuotaLimit,
    /// Cost of the request.
    pub cost: u64,
    /// Number of gateways, as far as it is known.
    pub gateways: u32,
    /// Random number of the request, from which its first part follows.
    pub random: u64,
}

/// What a request does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TakeCredit {
    /// It has its credit.
    Taken(SpentCredit),
    /// It asks this holder and takes again, once it has recorded the answer or after a while without one.
    Ask {
        /// Address of the holder.
        holder: SocketAddr,
        /// What it asks for.
        ask: CreditAsk,
    },
    /// It takes again once the next answer has come or is given up.
    Await,
    /// It is over the quota.
    Denied {
        /// Time after which there is credit.
        wait: Duration,
        /// Whether no holder could be asked.
        alone: bool,
    },
}

/// Credit that was taken for one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SpentCredit {
    /// The customer.
    pub customer: CustomerId,
    /// Whether it is the gateway's own share, because it reached no holder.
    pub alone: bool,
    pub(super) leases: Vec<Lease>,
}

/// Credit that a gateway holds for all customers.
#[derive(Debug)]
pub struct CreditBook {
    bounds: QuotaBounds,
    started_at: Duration,
    accounts: BTreeMap<CustomerId, Account>,
    silent_holders: BTreeMap<SocketAddr, Duration>,
    holders: Arc<PartHolders>,
    sidecars_version: u64,
}

impl CreditBook {
    /// Creates the book of a gateway that starts now.
    pub fn new(bounds: QuotaBounds, now: Duration) -> Self {
        Self {
            bounds,
            started_at: now,
            accounts: BTreeMap::new(),
            silent_holders: BTreeMap::new(),
            holders: Arc::default(),
            sidecars_version: 0,
        }
    }

    /// Sets the allowed excess, which operators may change while the gateway runs.
    pub fn set_bounds(&mut self, bounds: QuotaBounds) {
        self.bounds = bounds;
    }

    /// Sets the sidecars among which holders are chosen, each when it is first needed.
    pub fn set_sidecars(&mut self, sidecars: BTreeSet<SocketAddr>) {
        if self.holders.sidecars != sidecars {
            let holders = PartHolders::choose(&PartHolders::default(), sidecars, []);
            self.set_holders(Arc::new(holders));
        }
    }

    /// Sets holders that were chosen before.
    pub fn set_holders(&mut self, holders: Arc<PartHolders>) {
        let sidecars = &holders.sidecars;
        if self.holders.sidecars != *sidecars {
            self.silent_holders.retain(|one, _| sidecars.contains(one));
            self.sidecars_version += 1;
        }
        self.holders = holders;
    }

    /// Forgets customers that the configuration does not name.
    pub fn retain_customers(&mut self, is_customer: impl Fn(&str) -> bool) {
        self.accounts.retain(|name, _| is_customer(name));
    }

    /// Time of the last answer of a holder about a customer; `None` before the first.
    pub fn answered_at(&self, customer: &str) -> Option<Duration> {
        self.accounts.get(customer)?.answered_at
    }

    /// Credit that can be spent now.
    pub fn credit_left(&self, customer: &str, now: Duration) -> u64 {
        let account = self.accounts.get(customer);
        account.map_or(0, |account| account.available(now))
    }

    /// Usage of a customer at this gateway, per second.
    pub fn usage_per_s(&self, customer: &str) -> f64 {
        let account = self.accounts.get(customer);
        account.map_or(0.0, |account| account.usage_per_s)
    }

    /// Asks that make a customer's parts known to holders, so that their buckets fill before the first
    /// request; empty if they are known.
    pub fn announcements(
        &mut self,
        query: &CreditQuery<'_>,
        now: Duration,
    ) -> Vec<(SocketAddr, CreditAsk)> {
        let version = self.sidecars_version;
        let account = self.account(query.customer, now);
        if std::mem::replace(&mut account.announced_to, version) == version {
            return Vec::new();
        }
        let mut asks = Vec::new();
        for part in 0..self.bounds.parts(query.limit) {
            let holder = self.holder(query.customer, part, now);
            let known_at = self.part(query.customer, part).known_at;
            if let Some(holder) = holder
                && known_at != Some(holder)
            {
                let next = NextAsk {
                    part,
                    holder,
                    least: 0,
                    gathers: false,
                };
                asks.push((holder, self.ask(query, &next, now)));
            }
        }
        asks
    }

    /// Takes the credit of a request, or tells whom to ask for it.
    pub fn take(
        &mut self,
        query: &CreditQuery<'_>,
        search: &mut CreditSearch,
        now: Duration,
    ) -> TakeCredit {
        let account = self.account(query.customer, now);
        if let Some(leases) = account.spend(query.cost, now) {
            return TakeCredit::Taken(SpentCredit {
                customer: query.customer.to_owned(),
                alone: false,
                leases,
            });
        }
        let missing = query
            .cost
            .saturating_sub(self.credit_left(query.customer, now));
        let (reached, some_silent) = self.reached_parts(query, now);
        match look(query, &self.bounds, search, &reached, missing, now) {
            Look::Ask(next) => {
                search.record_ask(&next);
                let ask = self.ask(query, &next, now);
                TakeCredit::Ask {
                    holder: next.holder,
                    ask,
                }
            }
            Look::Denied { .. } if search.awaits_answers() => TakeCredit::Await,
            Look::Denied { credit_at, reached } => {
                if !reached || some_silent || search.has_given_up() {
                    let own = self.take_alone(query, now);
                    if !reached || matches!(own, TakeCredit::Taken(_)) {
                        return own;
                    }
                }
                let wait = credit_at.map_or(RETRY_MIN, |at| at.saturating_sub(now));
                TakeCredit::Denied {
                    wait: wait.max(RETRY_MIN),
                    alone: false,
                }
            }
        }
    }

    /// Parts of a customer's bucket whose holders answer, in the order in which a request asks them, and
    /// whether there are others.
    fn reached_parts(
        &mut self,
        query: &CreditQuery<'_>,
        now: Duration,
    ) -> (Vec<ReachedPart>, bool) {
        let parts = self.bounds.parts(query.limit);
        let first = (query.random % u64::from(parts)) as u8;
        let mut reached = Vec::with_capacity(usize::from(parts));
        for part in (0..parts).map(|n| (first + n) % parts) {
            if let Some(holder) = self.holder(query.customer, part, now)
                && !self.is_silent(holder, now)
            {
                let state = self.part(query.customer, part);
                reached.push(ReachedPart {
                    part,
                    holder,
                    state,
                });
            }
        }
        let some_silent = reached.len() < usize::from(parts);
        (reached, some_silent)
    }

    /// Records the answer to an ask that was sent at `sent_at`.
    pub fn record_answer(
        &mut self,
        ask: &CreditAsk,
        answer: CreditAnswer,
        sent_at: Duration,
        now: Duration,
    ) {
        let account = self.account(&ask.customer, now);
        account.answered_at = Some(now);
        match answer {
            CreditAnswer::Granted(0) => {}
            CreditAnswer::Granted(amount) => {
                account.add_lease(ask.part, amount, sent_at);
                account.parts.entry(ask.part).or_default().record_grant(now);
            }
            CreditAnswer::Denied { wait_ms } => {
                let wait = Duration::from_millis(wait_ms);
                let part = account.parts.entry(ask.part).or_default();
                part.record_denial(ask.least, ask.limit, wait, now);
            }
        }
    }

    /// Records that a holder did not answer. What was returned with the ask is lost.
    pub fn record_silence(&mut self, holder: SocketAddr, now: Duration) {
        self.silent_holders.insert(holder, now + HOLDER_BACKOFF);
    }

    /// Takes the credit back of a request that has not run and never will.
    pub fn give_back(&mut self, spent: SpentCredit, now: Duration) {
        if spent.alone {
            return;
        }
        let account = self.account(&spent.customer, now);
        account.restore(spent);
    }

    fn account(&mut self, customer: &str, now: Duration) -> &mut Account {
        if !self.accounts.contains_key(customer) {
            let account = Account::new(now);
            self.accounts.insert(customer.to_owned(), account);
        }
        let account = self.accounts.entry(customer.to_owned());
        let account = account.or_insert_with(|| Account::new(now));
        account.expire(now);
        account
    }

    fn part(&self, customer: &str, part: u8) -> Part {
        let account = self.accounts.get(customer);
        let part = account.and_then(|account| account.parts.get(&part));
        part.copied().unwrap_or_default()
    }

    fn is_silent(&self, holder: SocketAddr, now: Duration) -> bool {
        let until = self.silent_holders.get(&holder);
        until.is_some_and(|until| *until > now)
    }

    /// The holder of a part, which is chosen anew when the sidecars have changed.
    fn holder(&mut self, customer: &str, part: u8, now: Duration) -> Option<SocketAddr> {
        let version = self.sidecars_version;
        let state = self.part(customer, part);
        if state.chosen_from == version {
            return state.holder;
        }
        let holder = self.holders.holder(customer, part);
        let account = self.account(customer, now);
        let state = account.parts.entry(part).or_default();
        if state.holder != holder {
            // What the earlier holder said does not hold for this one, nor has it granted what was not spent.
            *state = Part::default();
        }
        state.holder = holder;
        state.chosen_from = version;
        holder
    }

    fn ask(&mut self, query: &CreditQuery<'_>, next: &NextAsk, now: Duration) -> CreditAsk {
        let limit = self.bounds.part_limit(query.limit);
        let account = self.account(query.customer, now);
        let missing = query.cost.saturating_sub(account.available(now));
        let usage_per_s = account.usage_per_s;
        let state = account.parts.entry(next.part).or_default();
        let returned = std::mem::take(&mut state.returned);
        state.known_at = state.holder;
        // Casts of floats saturate.
        let ahead = (usage_per_s * AHEAD.as_secs_f64()) as u64;
        let least = next.least;
        let most = if next.gathers {
            missing
        } else if ahead >= query.cost {
            least.saturating_add(ahead)
        } else {
            // Less than a request's cost would expire before the next request.
            least
        };
        CreditAsk {
            customer: query.customer.to_owned(),
            part: next.part,
            version: query.version,
            limit,
            least,
            most: most.min(least.max(limit.burst)),
            returned,
        }
    }

    /// Takes credit from the gateway's own share.
    fn take_alone(&mut self, query: &CreditQuery<'_>, now: Duration) -> TakeCredit {
        let limit: PartLimit = self.bounds.alone_limit(query.limit, query.gateways);
        let (version, started_at) = (query.version, self.started_at);
        let account = self.account(query.customer, now);
        let empty = || Bucket::empty(limit, version, started_at);
        let bucket = account.alone.get_or_insert_with(empty);
        bucket.update(limit, version, now);
        match bucket.take_exactly(query.cost) {
            Ok(()) => {
                account.count(query.cost, now);
                TakeCredit::Taken(SpentCredit {
                    customer: query.customer.to_owned(),
                    alone: true,
                    leases: Vec::new(),
                })
            }
            Err(wait) => TakeCredit::Denied {
                wait: wait.clamp(RETRY_MIN, HOLDER_BACKOFF),
                alone: true,
            },
        }
    }
}
