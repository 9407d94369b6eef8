//! Requests to endpoints that state limits: what the limits are, and who has a slot under them.

use super::{
    FIRST_TOKEN_LATENCY, Fleet, Pick, PickQuery, SlotWait,
    eligibility::{has_adapter, is_usable},
};
use crate::{
    process::{EndpointLimit, SLOT_WAIT_MAX},
    request::LimitStatement,
};
use radishpin_protocol::prelude::*;

impl Fleet {
    /// Records what the answer to a request that was sent at `sent_at` states about its endpoint's
    /// limit; returns whether the limit is another one now.
    pub fn record_limit(
        &mut self,
        endpoint: &str,
        statement: LimitStatement,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        let endpoint = self.endpoints.get_mut(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.limit.record(statement, sent_at, now))
    }

    /// Applies a limit that another gateway learned of; returns whether it is another one now.
    pub fn learn_limit(&mut self, limit: &EndpointLimit, now: Duration) -> bool {
        let learned_at = now.saturating_sub(Duration::from_millis(limit.age_ms));
        let endpoint = self.endpoints.get_mut(&limit.endpoint);
        endpoint.is_some_and(|endpoint| endpoint.limit.learn(limit.limit, learned_at, now))
    }

    /// The limits that endpoints state, for other gateways.
    pub fn limits(&self, now: Duration) -> Vec<EndpointLimit> {
        let limited = self.endpoints.iter().filter_map(|(id, endpoint)| {
            let limit = endpoint.limit.rate()?;
            let age = now.saturating_sub(endpoint.limit.changed_at());
            Some(EndpointLimit {
                endpoint: id.clone(),
                limit: Some(limit),
                age_ms: u64::try_from(age.as_millis()).unwrap_or(u64::MAX),
            })
        });
        limited.collect()
    }

    /// Decides where a request goes that has a slot at an endpoint: there, unless that has changed.
    pub fn pick_with_slot(&mut self, id: &str, query: &PickQuery<'_>, now: Duration) -> Pick {
        let endpoint = self.endpoints.get(id);
        let is_usable =
            |endpoint| is_usable(id, endpoint, query, now) && has_adapter(endpoint, query);
        if endpoint.is_some_and(is_usable) {
            return self.send(id.to_owned(), query, now);
        }
        self.pick(query, now)
    }

    /// Records that an endpoint that states a limit gives no slot before `next_slot_at`.
    pub fn await_slot(&mut self, endpoint: &str, next_slot_at: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.limit.await_slot(next_slot_at);
        }
    }

    /// The endpoint that could serve a request but for its limit and has the next slot, with the time
    /// until that.
    pub(super) fn next_slot(
        &self,
        query: &PickQuery<'_>,
        now: Duration,
    ) -> Option<(SlotWait, Duration)> {
        let limited = self.endpoints.iter().filter_map(|(id, endpoint)| {
            let limit = endpoint.limit.rate()?;
            let is_usable = is_usable(id, endpoint, query, now) && has_adapter(endpoint, query);
            is_usable.then_some((id, endpoint.limit.slot_wait(now), limit))
        });
        let (id, wait, limit) = limited.min_by_key(|(_, wait, _)| *wait)?;
        let time_left = query.time_left.saturating_sub(FIRST_TOKEN_LATENCY);
        let slot = SlotWait {
            endpoint: id.clone(),
            limit,
            wait_max: time_left.min(SLOT_WAIT_MAX),
        };
        Some((slot, wait))
    }
}
