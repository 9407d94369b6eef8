//! Where a request goes: to an endpoint, to wait for a load, or back to its caller.

use super::{Fleet, WaitEntry, endpoint::Endpoint, rendezvous::rendezvous};
use radishpin_protocol::prelude::*;
use std::net::SocketAddr;

/// Cost of an endpoint in another availability zone, in shares of its places.
const OTHER_ZONE_COST: f32 = 0.02;
/// Cost of an endpoint without the request's adapter.
const NO_ADAPTER_COST: f32 = 0.3;
/// Cost of an endpoint that can't load the adapter before its order on a model is done.
const ADAPTER_LATER_COST: f32 = 1.0;
/// Cost of an endpoint all of whose recent requests failed.
const FAILING_COST: f32 = 2.0;
/// Cost of an endpoint whose host may stand still.
const UNRESPONSIVE_COST: f32 = 2.0;
/// Places of an endpoint that its load may reach, in shares, by whether a request is urgent.
const LOAD_MAX_URGENT: f32 = 1.5;
const LOAD_MAX: f32 = 1.1;
/// Longest time that a request waits for an adapter.
const ADAPTER_WAIT_MAX: Duration = Duration::from_millis(2_500);
/// From the end of a load to the first token; a wait that has no more left is over.
pub const FIRST_TOKEN_LATENCY: Duration = Duration::from_millis(100);
/// Time that a move of a wait has to gain.
const MOVE_GAIN_MIN: Duration = Duration::from_millis(600);
/// Prompts that wait to be read for this long cost as much as all places of an endpoint.
const PREFILL_COST_UNIT: Duration = Duration::from_millis(250);
/// Time in which places of a loaded endpoint come free.
const BUSY_RETRY: Duration = Duration::from_millis(700);
/// Time in which callers of a gateway that stops find another one.
const STOPPING_RETRY: Duration = Duration::from_millis(300);
/// Time in which an endpoint comes back, or another one is found.
const ABSENT_RETRY: Duration = Duration::from_millis(1_000);

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct PickQuery<'a> {
    /// Service that it goes to.
    pub service: &'a str,
    /// Model and adapter that it needs; `None` for a plain service.
    pub target: Option<(&'a str, Option<&'a str>)>,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Time for which its caller still waits for the first of the answer.
    pub time_left: Duration,
    /// Whether the gateway is about to stop, so that its callers are better served by another one.
    pub stopping: bool,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Whether a wait may move to another endpoint that would serve it sooner.
    pub reconsider: bool,
    /// Tokens of its prompt; 0 where it has none or doesn't tell.
    pub prompt_tokens: u32,
    /// Endpoints that it was sent to before.
    pub tried: &'a BTreeSet<EndpointId>,
    /// Random word that spreads callers that are told to come back.
    pub random: u64,
}

/// Where a request goes.
#[derive(Clone, Debug, PartialEq)]
pub enum Pick {
    /// To this endpoint; it counts as begun there.
    Send {
        /// The endpoint.
        endpoint: EndpointId,
        /// Where it takes requests.
        address: SocketAddr,
        /// What the choice rests on.
        snapshot: EndpointSnapshot,
    },
    /// It waits for a load.
    Wait(Wait),
    /// It cannot be served in time; it has not run.
    Refuse(Refusal),
}

/// What a gateway knew of the endpoint that it chose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointSnapshot {
    /// Requests that the endpoint runs or queues, by the newest word.
    pub load: u32,
    /// Version of its sidecar's status; 0 where the platform's list alone speaks for it.
    pub status_version: u64,
    /// Age of that status.
    pub status_age: Duration,
}

/// A wait for a load.
#[derive(Clone, Debug, PartialEq)]
pub struct Wait {
    /// Endpoint that loads.
    pub endpoint: EndpointId,
    /// Time until it serves, by estimate.
    pub estimate: Duration,
}

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The service has no endpoint that can be reached.
    NoEndpoint,
    /// The endpoints that could serve it have no place.
    Busy,
    /// A load would come too late.
    LoadTooLate,
    /// No endpoint can load the model.
    NoLoader,
    /// The service does not offer the model.
    UnknownModel,
    /// The gateway stops before a load is done.
    Stopping,
}

impl RefusalReason {
    /// Name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Busy => "busy",
            Self::LoadTooLate => "load_too_late",
            Self::NoLoader => "no_loader",
            Self::UnknownModel => "unknown_model",
            Self::Stopping => "stopping",
        }
    }
}

/// A refusal.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller may come back.
    pub retry_after: Duration,
    /// Endpoint that loads meanwhile what the request lacked.
    pub loads_at: Option<EndpointId>,
}

impl Refusal {
    fn new(reason: RefusalReason, base: Duration, random: u64) -> Self {
        /// Share of the base over which callers are spread, as a divisor.
        const SPREAD_DIVISOR: u64 = 2;
        let base_ms = u64::try_from(base.as_millis()).unwrap_or(u64::MAX);
        let spread_ms = random % (base_ms / SPREAD_DIVISOR).max(1);
        Self {
            reason,
            retry_after: base + Duration::from_millis(spread_ms),
            loads_at: None,
        }
    }

    /// A refusal of a gateway that stops.
    pub fn stopping(random: u64) -> Self {
        Self::new(RefusalReason::Stopping, STOPPING_RETRY, random)
    }

    /// A refusal whose caller comes back once an endpoint has loaded what it lacked. The model
    /// serves all of them then, so that they are spread over a short time only.
    fn until_loaded(endpoint: EndpointId, estimate: Duration, random: u64) -> Self {
        /// Time over which callers that wait for one load are spread, in milliseconds.
        const SPREAD_MS: u64 = 250;
        Self {
            reason: RefusalReason::LoadTooLate,
            retry_after: estimate + FIRST_TOKEN_LATENCY + Duration::from_millis(random % SPREAD_MS),
            loads_at: Some(endpoint),
        }
    }
}

impl Fleet {
    /// Finds where a request goes; one that is sent counts as begun at its endpoint.
    pub fn pick(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        let best = self.best_holder(query, now);
        let Some((endpoint, cost)) = best else {
            return self.pick_without_holder(query, now);
        };
        let load_max = if query.priority == 0 {
            LOAD_MAX_URGENT
        } else {
            LOAD_MAX
        };
        if cost.load_share >= load_max {
            return Pick::Refuse(Refusal::new(RefusalReason::Busy, BUSY_RETRY, query.random));
        }
        if let Some((model, Some(adapter))) = query.target
            && !cost.has_adapter
        {
            return self.pick_adapter(query, model, adapter, endpoint, now);
        }
        self.send(endpoint, query, now)
    }

    fn send(&mut self, id: EndpointId, query: &PickQuery<'_>, now: Duration) -> Pick {
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

    fn best_holder(&self, query: &PickQuery<'_>, now: Duration) -> Option<(EndpointId, Cost)> {
        let open = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.entry.service == query.service
                && endpoint.accepts_requests(now)
                && !query.tried.contains(*id)
                && query.target.is_none_or(|(model, _)| endpoint.serves(model))
        });
        let costs = open.map(|(id, endpoint)| (id, self.cost(id, endpoint, query, now)));
        let best = costs.min_by(|(_, a), (_, b)| a.total.total_cmp(&b.total))?;
        Some((best.0.clone(), best.1))
    }

    fn cost(&self, id: &str, endpoint: &Endpoint, query: &PickQuery<'_>, now: Duration) -> Cost {
        let places = endpoint.entry.slots.max(1) as f32;
        let load_share = endpoint.load() as f32 / places;
        let prefill = endpoint.prefill_time(now).as_secs_f32() / PREFILL_COST_UNIT.as_secs_f32();
        let mut total = load_share + prefill + endpoint.failure_rate() * FAILING_COST;
        if endpoint.entry.zone != self.availability_zone {
            total += OTHER_ZONE_COST;
        }
        if endpoint.unresponsive {
            total += UNRESPONSIVE_COST;
        }
        let mut has_adapter = true;
        if let Some((model, Some(adapter))) = query.target {
            has_adapter = endpoint.has_adapter(model, adapter);
            if !has_adapter {
                // The same endpoint for each request of an adapter, where loads are alike.
                let spread = rendezvous(adapter, id) as f32 / u64::MAX as f32;
                total += NO_ADAPTER_COST * (1.0 + spread);
                if endpoint.is_busy() {
                    total += ADAPTER_LATER_COST;
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
        adapter: &str,
        endpoint: EndpointId,
        now: Duration,
    ) -> Pick {
        let loads_now = |fleet: &Self, id: &str| {
            let endpoint = fleet.endpoints.get(id);
            endpoint.is_some_and(|e| {
                e.accepts_loads() && e.serves(model) && e.accepts_requests(now) && !e.is_busy()
            })
        };
        let target = (model.to_owned(), Some(adapter.to_owned()));
        let assigned = self.waits.get(&target).map(|wait| wait.endpoint.clone());
        let endpoint = match assigned {
            Some(assigned) if loads_now(self, &assigned) => assigned,
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
        self.assign(target, &endpoint);
        Pick::Wait(Wait {
            endpoint,
            estimate: Duration::ZERO,
        })
    }

    fn pick_without_holder(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        let refuse = |reason, base| Pick::Refuse(Refusal::new(reason, base, query.random));
        let Some((model, adapter)) = query.target else {
            return self.pick_suspected(query, now);
        };
        let service = self.catalog.services.get(query.service);
        let Some(engine) = service.and_then(|service| service.engine.as_ref()) else {
            return self.pick_suspected(query, now);
        };
        let Some(spec) = engine.models.get(model) else {
            return refuse(RefusalReason::UnknownModel, ABSENT_RETRY);
        };
        let target = (model.to_owned(), adapter.map(str::to_owned));
        let waits_at = self.waits.get(&target).map(|wait| wait.endpoint.clone());
        let assigned = waits_at.or_else(|| self.expected_retries.endpoint(&target, now).cloned());
        let kept = assigned.and_then(|id| {
            let estimate = self.load_estimate(&id, query.service, model, spec, now)?;
            Some((id, estimate))
        });
        let best = match kept {
            Some(kept) if !query.reconsider => Some(kept),
            kept => {
                let best = self.best_loader(query.service, model, spec, &[], now);
                sooner(kept, best)
            }
        };
        let Some((endpoint, estimate)) = best else {
            return refuse(RefusalReason::NoLoader, ABSENT_RETRY);
        };
        self.assign(target.clone(), &endpoint);
        if estimate + FIRST_TOKEN_LATENCY >= query.time_left {
            if query.stopping {
                return Pick::Refuse(Refusal::stopping(query.random));
            }
            let refusal = Refusal::until_loaded(endpoint.clone(), estimate, query.random);
            self.expected_retries
                .add(target, &endpoint, refusal.retry_after, now);
            return Pick::Refuse(refusal);
        }
        Pick::Wait(Wait { endpoint, estimate })
    }

    fn assign(&mut self, target: super::ModelTarget, endpoint: &str) {
        if let Some(WaitEntry {
            endpoint: known, ..
        }) = self.waits.get_mut(&target)
            && known != endpoint
        {
            endpoint.clone_into(known);
        }
    }

    /// A plain service none of whose endpoints is open: one that is only suspected is better than none.
    fn pick_suspected(&mut self, query: &PickQuery<'_>, now: Duration) -> Pick {
        let listed = self.endpoints.iter().filter(|(id, endpoint)| {
            endpoint.entry.service == query.service
                && endpoint.entry.phase == crate::process::EndpointPhase::Ready
                && !query.tried.contains(*id)
        });
        let costs = listed.map(|(id, endpoint)| (id, self.cost(id, endpoint, query, now).total));
        let best = costs.min_by(|(_, a), (_, b)| a.total_cmp(b));
        match best.map(|(id, _)| id.clone()) {
            Some(id) => self.send(id, query, now),
            None => Pick::Refuse(Refusal::new(
                RefusalReason::NoEndpoint,
                ABSENT_RETRY,
                query.random,
            )),
        }
    }
}

/// The endpoint where a request waits already, unless another one is worth the move.
fn sooner(
    kept: Option<(EndpointId, Duration)>,
    best: Option<(EndpointId, Duration)>,
) -> Option<(EndpointId, Duration)> {
    match (kept, best) {
        (Some(kept), Some(best)) if best.1 + MOVE_GAIN_MIN < kept.1 => Some(best),
        (Some(kept), _) => Some(kept),
        (None, best) => best,
    }
}

#[derive(Clone, Copy, Debug)]
struct Cost {
    total: f32,
    load_share: f32,
    has_adapter: bool,
}
