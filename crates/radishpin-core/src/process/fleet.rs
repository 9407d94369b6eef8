//! A gateway's view of the endpoints: chooses where requests go and which models to load.

mod availability;
mod decision;
mod eligibility;
mod endpoint;
mod expected_retries;
mod loader;
mod pick;
mod plan;
mod rate;
mod refusal;
mod slot;
mod stated_limit;
mod store_use;

pub use availability::{REQUESTED_BACKOFF_MAX, STATEMENT_LIFETIME, UNLISTED_STATEMENTS_MAX};
pub use decision::{EndpointSnapshot, FIRST_TOKEN_LATENCY, Pick, PickQuery, SlotWait, Wait};
pub use endpoint::{LinkLoss, RequestOutcome};
pub use refusal::{Refusal, RefusalReason};

use super::{
    Demand, DemandReason, EndpointChange, EndpointEntry, GatewayReport, ModelUsage, Status,
    StatusLoad,
};
use crate::version::Catalog;
use availability::UnlistedEndpoints;
use endpoint::Endpoint;
use expected_retries::ExpectedRetries;
use radishpin_protocol::{UnixMs, prelude::*};
use rate::Rate;
use std::sync::Arc;
use store_use::StoreUse;

/// What a status means for callers that wait for loads.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StatusNews {
    /// Nothing.
    None,
    /// Callers that wait for one of these models may go on.
    Models(BTreeSet<ModelId>),
    /// Any caller may go on, as an engine came up or became known.
    Engine,
}

/// Callers of this gateway that wait for one model or adapter, all at the same endpoint.
#[derive(Clone, Debug)]
struct WaitEntry {
    callers: u32,
    endpoint: EndpointId,
}

/// What callers wait for, and which endpoints may load it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct LoadTarget {
    /// The model to load, or the base model of the adapter.
    pub model: ModelId,
    /// The adapter to load; `None` if only the model is needed.
    pub adapter: Option<AdapterId>,
    /// Software version of the endpoints that may serve it; `None` if any may.
    pub software_version: Option<SoftwareVersion>,
}

/// The endpoints as one gateway sees them, with its own requests and waiting callers.
///
/// Built from the platform's list, the sidecars' statuses and this gateway's requests.
#[derive(Clone, Debug)]
pub struct Fleet {
    gateway: NodeId,
    incarnation: Incarnation,
    availability_zone: AvailabilityZone,
    catalog: Arc<Catalog>,
    endpoints: BTreeMap<EndpointId, Endpoint>,
    unlisted: UnlistedEndpoints,
    waits: BTreeMap<LoadTarget, WaitEntry>,
    expected_retries: ExpectedRetries,
    rates: BTreeMap<ModelId, Rate>,
    planned_demands: BTreeMap<EndpointId, Vec<Demand>>,
    /// Models that each endpoint should keep loaded.
    kept_replicas: BTreeMap<EndpointId, BTreeSet<ModelId>>,
    /// `None` before the first plan.
    store_use: Option<StoreUse>,
    /// Number of ready endpoints that serve each model; `None` if it has to be counted anew.
    holders: Option<BTreeMap<ModelId, usize>>,
    /// Number of endpoints of each service.
    endpoint_counts: BTreeMap<ServiceId, u32>,
    sequence: u64,
}

impl Fleet {
    /// Creates a fleet without endpoints and with an empty configuration.
    pub fn new(
        gateway: NodeId,
        incarnation: Incarnation,
        availability_zone: AvailabilityZone,
    ) -> Self {
        Self {
            gateway,
            incarnation,
            availability_zone,
            catalog: Arc::new(Catalog::default()),
            endpoints: BTreeMap::new(),
            unlisted: UnlistedEndpoints::default(),
            waits: BTreeMap::new(),
            expected_retries: ExpectedRetries::default(),
            rates: BTreeMap::new(),
            planned_demands: BTreeMap::new(),
            kept_replicas: BTreeMap::new(),
            store_use: None,
            holders: None,
            endpoint_counts: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Replaces the configuration; takes effect with the next request and plan.
    pub fn configure(&mut self, catalog: Arc<Catalog>) {
        self.catalog = catalog;
    }

    /// Replaces the listed endpoints.
    ///
    /// Everything recorded of an endpoint is dropped when it is no longer listed or `changes` say
    /// that it restarted, but for what its processes stated about when they take requests. A process that
    /// was listed as draining drains for good, whatever a later entry says.
    pub fn update_endpoints(
        &mut self,
        entries: &BTreeMap<EndpointId, EndpointEntry>,
        changes: &[EndpointChange],
    ) {
        for (id, endpoint) in &self.endpoints {
            if !entries.contains_key(id) {
                self.unlisted.keep(id, endpoint.availability.clone());
            }
        }
        self.endpoints.retain(|id, _| entries.contains_key(id));
        for change in changes {
            if let EndpointChange::Restarted(id) = change
                && let Some(endpoint) = self.endpoints.remove(id)
            {
                self.unlisted.keep(id, endpoint.availability);
            }
        }
        for (id, entry) in entries {
            let endpoint = self.endpoints.entry(id.clone()).or_insert_with(|| {
                let mut endpoint = Endpoint::new(entry.clone());
                endpoint.availability = self.unlisted.take(id);
                endpoint
            });
            endpoint.update_entry(entry);
        }
        self.holders = None;
        self.endpoint_counts.clear();
        for entry in entries.values() {
            let count = self.endpoint_counts.entry(entry.service.clone());
            *count.or_default() += 1;
        }
    }

    /// Replaces the starts of processes that may have taken the place of listed ones; see
    /// [`EndpointList::unconfirmed_starts`](crate::process::EndpointList::unconfirmed_starts).
    pub fn update_unconfirmed_starts(&mut self, starts: &BTreeMap<EndpointId, UnixMs>) {
        for (id, endpoint) in &mut self.endpoints {
            endpoint.unconfirmed_start_unix_ms = starts.get(id).copied();
        }
    }

    /// Endpoints of services with model engines; only these have a sidecar.
    pub fn engines(&self) -> impl Iterator<Item = (&EndpointId, &EndpointEntry)> {
        let endpoints = self.endpoints.iter();
        let entries = endpoints.map(|(id, endpoint)| (id, &endpoint.entry));
        entries.filter(|(_, entry)| {
            let service = self.catalog.services.get(&entry.service);
            service.is_some_and(|service| service.engine.is_some())
        })
    }

    /// Applies a sidecar's status, unless it is older than the last one or its endpoint is not listed;
    /// returns what that means for callers that wait.
    pub fn update_status(&mut self, id: &str, status: Status, now: Duration) -> StatusNews {
        let Some(endpoint) = self.endpoints.get_mut(id) else {
            return StatusNews::None;
        };
        let reported_id = status.engine_id.as_ref();
        endpoint.replaced = reported_id.is_some_and(|reported_id| reported_id != id);
        endpoint.update_status(status, now)
    }

    /// Applies the load that a relay reports of an engine whose status is otherwise unchanged.
    pub fn update_status_load(&mut self, id: &str, load: StatusLoad, now: Duration) {
        if let Some(endpoint) = self.endpoints.get_mut(id) {
            endpoint.update_status_load(load, now);
        }
    }

    /// Whether there is no status of a listed engine, as none came yet or it was dropped.
    pub fn lacks_status(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        endpoint.is_some_and(|endpoint| endpoint.status.is_none())
    }

    /// Incarnation and version of an engine's last status; zero if there is none.
    pub fn seen_status(&self, id: &str) -> (Incarnation, u64) {
        let endpoint = self.endpoints.get(id);
        let status = endpoint.and_then(|endpoint| endpoint.status.as_ref());
        status.map_or((0, 0), |status| (status.incarnation, status.version))
    }

    /// Whether an engine is about to unload a model, for which it waits until no request uses it.
    pub fn has_leaving_model(&self, id: &str) -> bool {
        let endpoint = self.endpoints.get(id);
        let status = endpoint.and_then(|endpoint| endpoint.status.as_ref());
        status.is_some_and(|status| status.models.values().any(|model| model.leaving))
    }

    /// Records that contact with a sidecar was lost; returns whether it had a status until now.
    pub fn link_lost(&mut self, endpoint: &str, loss: LinkLoss) -> bool {
        self.holders = None;
        let endpoint = self.endpoints.get_mut(endpoint);
        endpoint.is_some_and(|endpoint| endpoint.link_lost(loss))
    }

    /// Number of gateways: the most that any sidecar receives reports from, at least 1.
    pub fn gateway_count(&self) -> u32 {
        let statuses = self.endpoints.values().filter_map(|e| e.status.as_ref());
        statuses
            .map(|status| status.gateways)
            .max()
            .unwrap_or(1)
            .max(1)
    }

    /// Connections that this gateway may open to one endpoint of a service.
    pub fn connection_share(&self, service: &str) -> u32 {
        /// Divisor for the part of the limit that is reserved for gateways not yet counted.
        const RESERVE_DIVISOR: u32 = 4;
        const CONNECTIONS_MIN: u32 = 2;
        let service = self.catalog.services.get(service);
        let limit = service.map_or(u32::MAX, |service| service.connection_limit);
        let shared = limit - limit / RESERVE_DIVISOR;
        (shared / self.gateway_count()).max(CONNECTIONS_MIN)
    }

    /// Counts a caller that waits for a model or adapter.
    ///
    /// If others already wait for it, the caller joins them at their endpoint.
    pub fn begin_wait(&mut self, target: LoadTarget, endpoint: &str) {
        let entry = self.waits.entry(target).or_insert_with(|| WaitEntry {
            callers: 0,
            endpoint: endpoint.to_owned(),
        });
        entry.callers += 1;
    }

    /// Removes a caller counted by [`Self::begin_wait`].
    pub fn end_wait(&mut self, target: &LoadTarget) {
        if let Some(entry) = self.waits.get_mut(target) {
            entry.callers -= 1;
            if entry.callers == 0 {
                self.waits.remove(target);
            }
        }
    }

    /// Whether callers wait for what an endpoint loads.
    pub fn has_waiting_callers(&self, endpoint: &str) -> bool {
        let mut waits = self.waits.values();
        waits.any(|wait| wait.endpoint == endpoint)
    }

    /// Counts a request for a model in the rates that size its replicas and rank evictions.
    pub fn count_request(&mut self, model: &str, now: Duration) {
        let rate = self.rates.entry(model.to_owned()).or_default();
        rate.count(now);
    }

    /// Records the end of a request for which [`Self::pick`] returned [`Pick::Send`].
    pub fn end_request(
        &mut self,
        endpoint: &str,
        target: Option<(&str, Option<&str>)>,
        outcome: RequestOutcome,
        now: Duration,
    ) {
        if let (Some((model, _)), RequestOutcome::Served { took }) = (target, outcome) {
            let rate = self.rates.entry(model.to_owned()).or_default();
            rate.record_duration(took);
        }
        if outcome == RequestOutcome::Misdirected {
            self.holders = None;
        }
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.end_request(target, outcome, now);
        }
    }

    /// Records the running and queued requests that an endpoint reports in an answer's headers.
    pub fn record_load(&mut self, endpoint: &str, in_use: u32) {
        if let Some(endpoint) = self.endpoints.get_mut(endpoint) {
            endpoint.record_load(in_use);
        }
    }

    /// Records that the process of an endpoint which started at this time says that it drains; returns
    /// whether a listed endpoint is used no more because of that. An endpoint that is not listed is not used
    /// either when its entry comes back.
    pub fn record_draining(&mut self, endpoint: &str, started_unix_ms: UnixMs) -> bool {
        self.holders = None;
        match self.endpoints.get_mut(endpoint) {
            Some(endpoint) => endpoint.record_draining(started_unix_ms),
            None => {
                let statements = self.unlisted.statements_of(endpoint);
                statements.record_draining(started_unix_ms);
                false
            }
        }
    }

    /// Records that the process of an endpoint which started at this time wants no requests for a while.
    pub fn record_backoff(
        &mut self,
        endpoint: &str,
        started_unix_ms: UnixMs,
        backoff: Duration,
        now: Duration,
    ) {
        let availability = match self.endpoints.get_mut(endpoint) {
            Some(endpoint) => &mut endpoint.availability,
            None => self.unlisted.statements_of(endpoint),
        };
        availability.record_backoff(started_unix_ms, backoff, now);
    }

    /// Whether a request that is assigned to an endpoint may still be sent there: it is ready and has
    /// not asked for a backoff.
    pub fn may_send(&self, endpoint: &str, now: Duration) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(|e| e.is_ready() && e.requested_backoff_left(now).is_zero())
    }

    /// Software versions of the ready endpoints of a service; `None` for those whose version is not known.
    pub fn ready_versions(&self, service: &str) -> BTreeSet<Option<SoftwareVersion>> {
        let endpoints = self.endpoints.values();
        let ready = endpoints.filter(|e| e.entry.service == service && e.is_ready());
        ready.map(|e| e.software_version().cloned()).collect()
    }

    /// Whether an endpoint is listed as ready and has not said that it drains.
    pub fn is_ready(&self, endpoint: &str) -> bool {
        let endpoint = self.endpoints.get(endpoint);
        endpoint.is_some_and(Endpoint::is_ready)
    }

    /// Builds the next report to an endpoint's sidecar; each has a higher sequence number.
    pub fn next_report(&mut self, id: &str, now: Duration) -> GatewayReport {
        self.sequence += 1;
        self.count_holders();
        let endpoint = self.endpoints.get(id);
        let status = endpoint.and_then(|endpoint| endpoint.status.as_ref());
        GatewayReport {
            gateway: self.gateway.clone(),
            incarnation: self.incarnation,
            sequence: self.sequence,
            endpoint: id.to_owned(),
            engines: endpoint.map_or(1, |endpoint| self.engine_count(&endpoint.entry.service)),
            seen_incarnation: status.map_or(0, |status| status.incarnation),
            seen_version: status.map_or(0, |status| status.version),
            usage: endpoint
                .map(|endpoint| self.usage(id, endpoint, now))
                .unwrap_or_default(),
            demands: self.demands(id, now),
        }
    }

    fn engine_count(&self, service: &str) -> u32 {
        self.endpoint_counts.get(service).copied().unwrap_or(0)
    }

    fn count_holders(&mut self) {
        if self.holders.is_some() {
            return;
        }
        let mut holders: BTreeMap<ModelId, usize> = BTreeMap::new();
        for endpoint in self.endpoints.values().filter(|e| e.is_ready()) {
            for model in endpoint
                .held_models()
                .filter(|model| endpoint.serves(model))
            {
                *holders.entry(model.clone()).or_default() += 1;
            }
        }
        self.holders = Some(holders);
    }

    fn usage(&self, id: &str, endpoint: &Endpoint, now: Duration) -> BTreeMap<ModelId, ModelUsage> {
        let held = endpoint.held_models();
        let models: BTreeSet<&ModelId> = held.chain(endpoint.active.keys()).collect();
        let kept = self.kept_replicas.get(id);
        let usage = models.into_iter().map(|model| {
            let rate = self.rates.get(model).copied().unwrap_or_default();
            let active = endpoint.active.get(model);
            let usage = ModelUsage {
                per_s: rate.recent_per_s(now),
                loss_per_s: self.loss_per_s(model, rate.per_s(now)),
                active: active.map_or(0, |active| active.requests),
                keep: kept.is_some_and(|kept| kept.contains(model)),
                adapters: active
                    .map(endpoint::ActiveRequests::adapters)
                    .unwrap_or_default(),
            };
            (model.clone(), usage)
        });
        usage.collect()
    }

    fn demands(&self, endpoint: &str, now: Duration) -> Vec<Demand> {
        if !self.is_ready(endpoint) {
            return Vec::new();
        }
        let waits = self
            .waits
            .iter()
            .filter(|(_, wait)| wait.endpoint == endpoint);
        let waits = waits.map(|(target, wait)| Demand {
            model: target.model.clone(),
            adapter: target.adapter.clone(),
            reason: DemandReason::Waiting,
            waiting: wait.callers,
        });
        let retries = self.expected_retries.demands(endpoint, now);
        let planned = self
            .planned_demands
            .get(endpoint)
            .into_iter()
            .flatten()
            .cloned();
        waits.chain(retries).chain(planned).collect()
    }
}
