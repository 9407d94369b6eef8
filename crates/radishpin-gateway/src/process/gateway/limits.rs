//! Keeps to the limits that endpoints state for all gateways together.

use super::Gateway;
use parking_lot::Mutex;
use radishpin_core::{
    process::{
        EndpointLimit, SLOT_INTERVAL_MAX, SendSlots, SharedReply, SharedRequest, Slot, SlotWait,
    },
    request::{LimitStatement, RequestRate},
};
use radishpin_protocol::prelude::*;

/// Divisors of the rate at which the holders of an endpoint's slots give them out, by rank. A holder
/// that stands in for another one may do so for some gateways only.
const RATE_DIVISORS: [u32; 3] = [1, 8, 16];
/// Smallest divisor of the rate of a gateway that reaches no holder and counts alone.
const ALONE_DIVISOR_MIN: u32 = 32;

/// Slots of this gateway while it reaches no holder.
#[derive(Debug, Default)]
pub(crate) struct LimitGuard {
    alone: Mutex<SendSlots>,
}

impl Gateway {
    /// Records what the answer to a request that was sent at `sent_at` states about its endpoint's
    /// limit, and tells the other gateways.
    pub(crate) fn record_limit(
        &self,
        endpoint: &str,
        statement: LimitStatement,
        sent_at: Duration,
    ) {
        let now = self.clock.now();
        let mut fleet = self.fleet.lock();
        if !fleet.record_limit(endpoint, statement, sent_at, now) {
            return;
        }
        drop(fleet);
        let limit = match statement {
            LimitStatement::Limited(rate) => Some(rate),
            LimitStatement::Unlimited | LimitStatement::Unreadable => None,
        };
        let limit = EndpointLimit {
            endpoint: endpoint.to_owned(),
            limit,
            age_ms: 0,
        };
        log_limit(&limit, "answer");
        self.tell_holders(&SharedRequest::RecordLimits(vec![limit]));
        self.fleet_changed.notify(usize::MAX);
    }

    /// Applies limits that other gateways learned of.
    pub(super) fn learn_limits(&self, limits: &[EndpointLimit]) {
        let now = self.clock.now();
        let mut any_changed = false;
        for limit in limits {
            if self.fleet.lock().learn_limit(limit, now) {
                any_changed = true;
                log_limit(limit, "news");
            }
        }
        if any_changed {
            self.fleet_changed.notify(usize::MAX);
        }
    }

    /// What to tell a holder of news that may know no limits; `None` if none is known here.
    pub(super) fn known_limits(&self) -> Option<SharedRequest> {
        let limits = self.fleet.lock().limits(self.clock.now());
        (!limits.is_empty()).then_some(SharedRequest::RecordLimits(limits))
    }

    /// Takes a slot at an endpoint that states a limit, if one comes in time. Returns the time until it.
    pub(crate) async fn take_slot(&self, request: &str, wait: &SlotWait) -> Option<Duration> {
        let wait_max_ms = u64::try_from(wait.wait_max.as_millis()).unwrap_or(u64::MAX);
        let take = |rank: usize| SharedRequest::TakeSlot {
            endpoint: wait.endpoint.clone(),
            rate: wait.limit.divided(RATE_DIVISORS[rank.min(2)]),
            wait_max_ms,
        };
        let (slot, holder) = match self.ask_holders(&wait.endpoint, take).await {
            Some(SharedReply::Slot(slot)) => (slot, "sidecar"),
            _ => (self.take_slot_alone(wait), "none"),
        };
        let (granted, wait_ms) = match slot {
            Slot::Granted { wait_ms } => (true, wait_ms),
            Slot::Denied { wait_ms } => (false, wait_ms),
        };
        let outcome = if granted { "granted" } else { "denied" };
        self.metrics
            .slots
            .with_label_values(&[outcome, holder])
            .inc();
        log::info!(
            event = "slot_asked", request = request, endpoint = wait.endpoint, limit_per_s:% = wait.limit,
            wait_max_ms = wait_max_ms, outcome = outcome, wait_ms = wait_ms, holder = holder;
            "asked for a slot at an endpoint that states a limit"
        );
        let until_slot = Duration::from_millis(wait_ms);
        if granted {
            return Some(until_slot);
        }
        let next_slot_at = self.clock.now() + until_slot;
        let mut fleet = self.fleet.lock();
        fleet.await_slot(&wait.endpoint, next_slot_at);
        None
    }

    /// Counts alone, at a rate that is safe even if many other gateways do too.
    fn take_slot_alone(&self, wait: &SlotWait) -> Slot {
        let now = self.clock.now();
        let gateways = self.fleet.lock().gateway_count();
        let rate = wait
            .limit
            .divided(ALONE_DIVISOR_MIN.max(gateways.saturating_mul(2)));
        let mut slots = self.limits.alone.lock();
        // Gateways that begin to count at the same time send their first requests at different times.
        let interval = rate.interval(SLOT_INTERVAL_MAX);
        let last_at = now.saturating_sub(interval.mul_f32(rand::random()));
        slots.begin(&wait.endpoint, interval, last_at, now);
        slots.take(&wait.endpoint, rate, wait.wait_max, now)
    }
}

fn log_limit(limit: &EndpointLimit, source: &str) {
    let limit_per_s = limit.limit.map(|rate: RequestRate| rate.to_string());
    log::info!(
        event = "endpoint_limit", endpoint = limit.endpoint, limit_per_s = limit_per_s.as_deref().unwrap_or("-"),
        source = source, age_ms = limit.age_ms;
        "an endpoint states another limit on its requests"
    );
}
