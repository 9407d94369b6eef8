//! Routes a request: it is sent to an endpoint, waits for a load, or is refused.

use super::{
    FIRST_TOKEN_LATENCY, Fleet, LoadTarget, Pick, PickQuery, Refusal, RefusalReason, SlotWait,
    Wait, WaitEntry, eligibility::is_usable, endpoint::Endpoint, loader::LoadQuery,
    refusal::ABSENT_RETRY,
};
use crate::{process::Standing, rendezvous::rendezvous_hash};
use radishpin_protocol::prelude::*;

/// Cost of an endpoint in another availability zone. Costs are in units of endpoint load: 1.0 is
/// an endpoint with all slots in use.
const OTHER_ZONE_COST: f32 = 0.02;
/// Cost of an endpoint that has not loaded the request's adapter, before a spread of up to as much
/// again.
const NO_ADAPTER_COST: f32 = 0.3;
/// Extra cost of such an endpoint while it loads or unloads a model, since adapters wait for that.
const BUSY_ADAPTER_COST: f32 = 1.0;
/// Cost of an endpoint with a failure rate of 1; lower rates cost in proportion.
const FAILING_COST: f32 = 2.0;
/// Cost of an endpoint that states a limit: it is in need, and a slot must be asked for.
const LIMITED_COST: f32 = 1.0;
/// Cost of an endpoint whose sidecar timed out, since its host may be frozen.
const UNRESPONSIVE_COST: f32 = 2.0;
/// Load per slot from which an endpoint takes no more requests of the most urgent priority.
const LOAD_MAX_URGENT: f32 = 1.5;
/// The same limit for all other requests.
const LOAD_MAX: f32 = 1.1;
/// Load per slot from which customers over their share are rejected. What lies between this and
/// [`LOAD_MAX`] is reserved for the others.
const CONTENDED_LOAD: f32 = 1.0;
/// Longest wait of a request for an adapter load.
const ADAPTER_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// A waiting request moves to another endpoint only for a gain larger than this.
const MOVE_GAIN_MIN: Duration = Duration::from_millis(600);
/// Outstanding prefill time that costs as much as an endpoint with all slots in use.
const PREFILL_COST_UNIT: Duration = Duration::from_millis(250);
/// Longest backoff of the only endpoint with a model for which the model is not loaded elsewhere.
const SHORT_BACKOFF_MAX: Duration = Duration::from_secs(2);
/// Retry-After base when the cheapest endpoint is full: by then slots should be free.
const BUSY_RETRY: Duration = Duration::from_millis(700);

impl Fleet {
    /// Decides where a request goes.
    ///
    /// A request that is to be sent is counted at its endpoint and must be ended by
    /// [`Self::end_request`].
    pub fn pick(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        if !self.lists_version(query) {
            let reason = RefusalReason::VersionGone;
            return Pick::Refuse(Refusal::new(reason, ABSENT_RETRY, query.random));
        }
        let best = self.cheapest_endpoint(query, now);
        let Some((endpoint, cost)) = best else {
            return self.pick_without_endpoint(query, now);
        };
        if let Standing::Over { retry_in } = query.standing
            && cost.load_share >= CONTENDED_LOAD
            && !self.has_free_slot(query, now)
        {
            return Pick::Refuse(Refusal::new(
                RefusalReason::OverShare,
                retry_in,
                query.random,
            ));
        }
        let load_max = if query.priority == 0 || query.standing.goes_first() {
            LOAD_MAX_URGENT
        } else {
            LOAD_MAX
        };
        if cost.load_share >= load_max {
            return Pick::Refuse(Refusal::new(RefusalReason::Busy, BUSY_RETRY, query.random));
        }
        if let Some((model, Some(_))) = query.target
            && !cost.has_adapter
        {
            return self.pick_adapter(query, model, endpoint, now);
        }
        self.send(endpoint, query, now)
    }

    /// Whether any endpoint of the service runs the software version that the request needs.
    fn lists_version(&self, query: &PickQuery<'_>) -> bool {
        let needed = query.software_version;
        let mut in_service = self
            .endpoints
            .values()
            .filter(|endpoint| endpoint.entry.service == query.service);
        needed.is_none() || in_service.any(|endpoint| endpoint.may_serve_version(needed))
    }

    pub(super) fn send(&mut self, id: EndpointId, query: &PickQuery<'_>, now: Duration) -> Pick {
        let Some(endpoint) = self.endpoints.get_mut(&id) else {
            return Pick::Refuse(Refusal::new(
                RefusalReason::NoEndpoint,
                ABSENT_RETRY,
                query.random,
            ));
        };
        let snapshot = endpoint.snapshot(now);
        endpoint.begin_request(query.target);
        endpoint.begin_prefill(query.prompt_tokens, now);
        Pick::Send {
            endpoint: id,
            address: endpoint.entry.address,
            snapshot,
        }
    }

    /// The endpoints that a request can be sent to at once.
    fn usable_endpoints<'a>(
        &'a self,
        query: &'a PickQuery<'_>,
        now: Duration,
    ) -> impl Iterator<Item = (&'a EndpointId, &'a Endpoint)> {
        self.endpoints.iter().filter(move |(id, endpoint)| {
            is_usable(id, endpoint, query, now) && endpoint.limit.slot_wait(now).is_zero()
        })
    }

    /// Whether any endpoint that a request can be sent to has a free slot. The cheapest one may be full
    /// and cheap for other reasons.
    fn has_free_slot(&self, query: &PickQuery<'_>, now: Duration) -> bool {
        let mut usable = self.usable_endpoints(query, now);
        usable.any(|(_, endpoint)| endpoint.has_free_slot())
    }

    fn cheapest_endpoint(
        &self,
        query: &PickQuery<'_>,
        now: Duration,
    ) -> Option<(EndpointId, Cost)> {
        let usable = self.usable_endpoints(query, now);
        let costs = usable.map(|(id, endpoint)| (id, self.cost(id, endpoint, query, now)));
        let best = costs.min_by(|(_, a), (_, b)| a.total.total_cmp(&b.total))?;
        Some((best.0.clone(), best.1))
    }

    fn cost(&self, id: &str, endpoint: &Endpoint, query: &PickQuery<'_>, now: Duration) -> Cost {
        let slot_count = endpoint.entry.slots.max(1) as f32;
        let load_share = endpoint.load() as f32 / slot_count;
        let prefill = endpoint.prefill_time(now).as_secs_f32() / PREFILL_COST_UNIT.as_secs_f32();
        let mut total = load_share + prefill + endpoint.failure_rate() * FAILING_COST;
        if endpoint.entry.zone != self.availability_zone {
            total += OTHER_ZONE_COST;
        }
        if endpoint.unresponsive {
            total += UNRESPONSIVE_COST;
        }
        if endpoint.limit.rate().is_some() {
            total += LIMITED_COST;
        }
        let mut has_adapter = true;
        if let Some((model, Some(adapter))) = query.target {
            has_adapter = endpoint.has_adapter(model, adapter);
            if !has_adapter {
                // At similar loads, all requests for an adapter choose the same endpoint.
                let spread = rendezvous_hash(adapter, id) as f32 / u64::MAX as f32;
                total += NO_ADAPTER_COST * (1.0 + spread);
                if endpoint.is_busy() {
                    total += BUSY_ADAPTER_COST;
                }
            }
        }
        Cost {
            total,
            load_share,
            has_adapter,
        }
    }

    fn pick_adapter(
        &mut self,
        query: &PickQuery<'_>,
        model: &str,
        endpoint: EndpointId,
        now: Duration,
    ) -> Pick {
        let can_load_now = |fleet: &Self, id: &str| {
            let endpoint = fleet.endpoints.get(id);
            endpoint.is_some_and(|e| {
                e.accepts_loads()
                    && e.serves(model)
                    && e.accepts_requests(now)
                    && e.requested_backoff_left(now).is_zero()
                    && e.may_serve_version(query.software_version)
                    && !e.is_busy()
            })
        };
        let target = query.load_target();
        let assigned = target.as_ref().and_then(|target| self.waits.get(target));
        let assigned = assigned.map(|wait| wait.endpoint.clone());
        let endpoint = match assigned {
            Some(assigned) if can_load_now(self, &assigned) => assigned,
            _ => endpoint,
        };
        let can_load = self
            .endpoints
            .get(&endpoint)
            .is_some_and(Endpoint::accepts_loads);
        let too_late = query.waited >= ADAPTER_WAIT_MAX || query.time_left <= FIRST_TOKEN_LATENCY;
        if too_late || !can_load {
            let reason = RefusalReason::NoLoader;
            return Pick::Refuse(Refusal::new(reason, ABSENT_RETRY, query.random));
        }
        if let Some(target) = &target {
            self.move_waiters(target, &endpoint);
        }
        Pick::Wait(Wait {
            endpoint,
            estimate: Duration::ZERO,
        })
    }

    fn pick_without_endpoint(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        let refuse = |reason, base| Pick::Refuse(Refusal::new(reason, base, query.random));
        let (Some((model, _)), Some(target)) = (query.target, query.load_target()) else {
            return self.pick_any_ready(query, now);
        };
        let service = self.catalog.services.get(query.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return self.pick_any_ready(query, now);
        };
        let Some(spec) = engine.models.get(model) else {
            return refuse(RefusalReason::UnknownModel, ABSENT_RETRY);
        };
        let load = LoadQuery {
            service: query.service,
            model,
            spec,
            software_version: query.software_version,
        };
        if self.store_use.is_none() {
            self.store_use = Some(self.find_store_use());
        }
        let waiting_at = self.waits.get(&target).map(|wait| wait.endpoint.clone());
        let assigned = waiting_at.or_else(|| self.expected_retries.endpoint(&target, now).cloned());
        let current = assigned.and_then(|id| {
            let estimate = self.load_estimate(&id, load, now)?;
            Some((id, estimate))
        });
        let best = match current {
            Some(current) if !query.reconsider => Some(current),
            current => {
                let best = self.best_loader(load, |_, _| true, now);
                keep_or_move(current, best)
            }
        };
        let load_in = best.as_ref().map(|(_, estimate)| *estimate);
        let next_slot = self.next_slot(query, now);
        if let Some((slot, wait)) = &next_slot {
            let wait_max = slot.wait_max.min(load_in.unwrap_or(Duration::MAX));
            if *wait <= wait_max {
                return Pick::TakeSlot(SlotWait {
                    wait_max,
                    ..slot.clone()
                });
            }
        }
        let next_slot_in = next_slot.map(|(_, wait)| (wait, RefusalReason::Limited));
        let backoff_left =
            self.backoff_left(query.service, Some(model), query.software_version, now);
        let backoff_left = backoff_left.map(|left| (left, RefusalReason::EndpointBackoff));
        let free_in = next_slot_in.into_iter().chain(backoff_left).min();
        let Some((endpoint, estimate)) = best else {
            return match free_in {
                Some((wait, reason)) => refuse(reason, wait),
                None => refuse(RefusalReason::NoLoader, ABSENT_RETRY),
            };
        };
        if let Some((left, reason)) = backoff_left
            && left <= estimate.max(SHORT_BACKOFF_MAX)
            && !self.is_loading(&endpoint, model)
        {
            return refuse(reason, left);
        }
        self.move_waiters(&target, &endpoint);
        if estimate + FIRST_TOKEN_LATENCY >= query.time_left {
            if query.stopping {
                return Pick::Refuse(Refusal::stopping(query.random));
            }
            if let Some((wait, reason)) = free_in.filter(|(wait, _)| *wait < estimate) {
                return refuse(reason, wait);
            }
            let refusal = Refusal::until_loaded(endpoint.clone(), estimate, query.random);
            self.expected_retries
                .add(target, &endpoint, refusal.retry_after, now);
            return Pick::Refuse(refusal);
        }
        Pick::Wait(Wait { endpoint, estimate })
    }

    fn move_waiters(&mut self, target: &LoadTarget, endpoint: &str) {
        if let Some(WaitEntry {
            endpoint: current, ..
        }) = self.waits.get_mut(target)
            && current != endpoint
        {
            endpoint.clone_into(current);
        }
    }

    /// Sends to the cheapest ready endpoint even if it is backing off or its engine is reported
    /// down: for a plain service that is better than a refusal.
    fn pick_any_ready(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        if let Some((slot, wait)) = self.next_slot(query, now) {
            if wait <= slot.wait_max {
                return Pick::TakeSlot(slot);
            }
            let refusal = Refusal::new(RefusalReason::Limited, wait, query.random);
            return Pick::Refuse(refusal);
        }
        let listed = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.entry.service == query.service
                && endpoint.is_ready()
                && endpoint.requested_backoff_left(now).is_zero()
                && endpoint.may_serve_version(query.software_version)
                && !query.tried.contains(*id)
                && endpoint.limit.slot_wait(now).is_zero()
        });
        let costs = listed.map(|(id, endpoint)| (id, self.cost(id, endpoint, query, now).total));
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        match best.map(|(id, _)| id.clone()) {
            Some(id) => self.send(id, query, now),
            None => Pick::Refuse(self.refuse_without_endpoint(query, now)),
        }
    }

    fn refuse_without_endpoint(&self, query: &PickQuery<'_>, now: Duration) -> Refusal {
        let backoff_left = self.backoff_left(query.service, None, query.software_version, now);
        match backoff_left {
            Some(left) => Refusal::endpoint_backoff(left, query.random),
            None => Refusal::new(RefusalReason::NoEndpoint, ABSENT_RETRY, query.random),
        }
    }
}

/// Keeps the endpoint that a request already waits for, unless another one is sooner by more
/// than [`MOVE_GAIN_MIN`].
fn keep_or_move(
    current: Option<(EndpointId, Duration)>,
    best: Option<(EndpointId, Duration)>,
) -> Option<(EndpointId, Duration)> {
    match (current, best) {
        (Some(current), Some(best)) if best.1 + MOVE_GAIN_MIN < current.1 => Some(best),
        (Some(current), _) => Some(current),
        (None, best) => best,
    }
}

#[derive(Clone, Copy, Debug)]
struct Cost {
    total: f32,
    load_share: f32,
    has_adapter: bool,
}
