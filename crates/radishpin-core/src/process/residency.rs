//! Decides which models and adapters a sidecar keeps loaded in its engine.
//!
//! The sidecar of an engine is the only sender of orders to it. Gateways report which models their
//! callers wait for; the sidecar decides what to load next and what to evict for it. Every order
//! carries the number of orders that the engine must have accepted before (its sequence), and the
//! engine refuses any other number. Of two orders with the same sequence at most one takes effect,
//! however late the other one arrives.

mod accounting;
mod exchange;
mod predecessor;
mod queue;
mod status;
mod store_share;
mod victim;

pub use exchange::{
    Demand, DemandReason, GatewayReport, LoadStatus, ModelStatus, ModelUsage, Status,
};

pub use store_share::StoreLoadShare;

use crate::{process::HeldModel, request::Tier, version::EngineSpec};
use accounting::UnansweredOrder;
use predecessor::PredecessorOrder;
use radishpin_protocol::{UnixMs, prelude::*};
use std::{collections::VecDeque, sync::Arc};

/// Age at which a gateway's report is discarded, because the gateway is gone or disconnected.
pub const GATEWAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Age at which a report that came through a relay is discarded.
pub const RELAYED_GATEWAY_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest wait for the requests of a model to end before it is unloaded regardless.
const EVICTION_DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// An engine's report of its state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// Loaded models with their adapters.
    pub models: BTreeMap<ModelId, HeldModel>,
    /// Whether it is loading or unloading a model; it refuses all orders meanwhile.
    pub busy: bool,
    /// Number of orders that it has accepted since its start.
    pub sequence: u64,
    /// Number of queued requests.
    pub waiting: u32,
    /// Number of running requests.
    pub running: u32,
    /// Start of its process as Unix time in milliseconds; a change means a restart.
    pub started_unix_ms: UnixMs,
    /// Models whose weights are cached in the host's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are cached on the host's disk.
    pub on_disk: BTreeSet<ModelId>,
    /// Adapters that are being loaded.
    pub arriving_adapters: BTreeSet<(ModelId, AdapterId)>,
}

/// An order to the engine, without its sequence.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a loaded model.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter; its model stays loaded.
    UnloadAdapter(ModelId, AdapterId),
}

/// The outcome of an order, as far as the sidecar knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionOutcome {
    /// The engine executes the order.
    Accepted,
    /// The engine is already in the requested state.
    Unneeded,
    /// The engine refused the order, or it was never sent; it has no effect.
    Refused,
    /// Another endpoint now uses the engine's address and refused the order; it has no effect.
    Misdirected,
    /// No response: the order may have been accepted, or may take effect later.
    Unknown,
}

/// A load in progress.
#[derive(Clone, Debug)]
struct Loading {
    model: ModelId,
    tier: Tier,
    started_at: Duration,
    expected_end: Duration,
}

impl Loading {
    /// Estimated time until the model is loaded. For an overdue load the estimate grows with the
    /// time that it has taken so far.
    fn remaining(&self, now: Duration) -> Duration {
        /// An overdue load is estimated to need its time so far divided by this.
        const OVERDUE_DIVISOR: u32 = 4;
        if now < self.expected_end {
            return self.expected_end - now;
        }
        now.saturating_sub(self.started_at) / OVERDUE_DIVISOR
    }
}

/// A model that is being drained before its unload; gateways route no new requests to it.
#[derive(Clone, Debug)]
struct Eviction {
    model: ModelId,
    since: Duration,
    /// Status version that announced the eviction to gateways.
    status_version: u64,
}

/// The newest report of a gateway, with the time of its receipt.
#[derive(Clone, Debug)]
struct GatewayState {
    report: GatewayReport,
    received_at: Duration,
    expires_at: Duration,
}

/// The state of one engine's models, and the decisions about its next order.
#[derive(Clone, Debug)]
pub struct Residency {
    spec: Option<Arc<EngineSpec>>,
    report: Option<EndpointReport>,
    gateways: BTreeMap<NodeId, GatewayState>,
    /// The id that the engine reports of itself; `None` while that is unknown.
    engine_id: Option<EndpointId>,
    demanded_since: BTreeMap<ModelId, Duration>,
    held_since: BTreeMap<ModelId, Duration>,
    adapter_last_used: BTreeMap<(ModelId, AdapterId), Duration>,
    loading: Option<Loading>,
    eviction: Option<Eviction>,
    unanswered: Vec<UnansweredOrder>,
    /// The last order without a response, with its sequence.
    last_unanswered: Option<(Action, u64)>,
    /// An order of the sidecar before this one, until it can no longer take effect.
    predecessor: Option<PredecessorOrder>,
    paused_until: Duration,
    store_window: Duration,
    /// Start times of loads from the weight store, newest last.
    store_loads: VecDeque<Duration>,
    store_load_after: Duration,
    incarnation: Incarnation,
    status_version: u64,
}

impl Residency {
    /// Creates the state of a sidecar that has just started. `store_load_after` is the earliest
    /// time of a load from the weight store, because the sidecar may have started one shortly
    /// before its restart.
    pub fn new(incarnation: Incarnation, store_load_after: Duration) -> Self {
        Self {
            spec: None,
            report: None,
            gateways: BTreeMap::new(),
            engine_id: None,
            demanded_since: BTreeMap::new(),
            held_since: BTreeMap::new(),
            adapter_last_used: BTreeMap::new(),
            loading: None,
            eviction: None,
            unanswered: Vec::new(),
            last_unanswered: None,
            predecessor: None,
            paused_until: Duration::ZERO,
            store_window: Duration::ZERO,
            store_loads: VecDeque::new(),
            store_load_after,
            incarnation,
            status_version: 1,
        }
    }

    /// Applies the engine's part of a configuration. `store_window` is the window over which loads
    /// from the weight store are rate-limited.
    pub fn configure(&mut self, spec: EngineSpec, store_window: Duration) {
        self.spec = Some(Arc::new(spec));
        self.store_window = store_window;
    }

    /// The endpoint that orders are addressed to: the id that the engine reports, or else the one
    /// in the newest gateway report. `None` before either is known.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        let newest = self
            .gateways
            .values()
            .max_by_key(|gateway| gateway.received_at);
        let reported = newest.map(|gateway| &gateway.report.endpoint);
        self.engine_id.as_ref().or(reported)
    }

    /// Sets the id that the engine reports of itself; `None` discards one that is no longer valid.
    pub fn set_engine_id(&mut self, id: Option<EndpointId>) {
        if self.engine_id != id {
            self.engine_id = id;
            self.status_version += 1;
        }
    }

    fn store_share(&self) -> StoreLoadShare {
        let engines = self.gateways.values().map(|gateway| gateway.report.engines);
        let loads_per_s = self
            .spec
            .as_ref()
            .map_or(0.0, |spec| spec.store_loads_per_s);
        StoreLoadShare::new(engines.max().unwrap_or(1), loads_per_s, self.store_window)
    }

    /// Whether the share of loads from the weight store permits another one now.
    fn store_load_allowed(&self, now: Duration) -> bool {
        let share = self.store_share();
        let recent = |started_at: &&Duration| now.saturating_sub(**started_at) < share.window;
        let recent_loads = self.store_loads.iter().rev().take_while(recent).count();
        now >= self.store_load_after && recent_loads < share.loads
    }

    fn count_store_load(&mut self, now: Duration) {
        let window = self.store_share().window;
        self.store_loads
            .retain(|started_at| now.saturating_sub(*started_at) < window);
        self.store_loads.push_back(now);
    }

    /// Incarnation of the sidecar process.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Whether a configuration has been applied; without one no order is decided.
    pub fn is_configured(&self) -> bool {
        self.spec.is_some()
    }

    /// Records that the engine cannot be reached, and drops its report, the load in progress and
    /// the pending eviction.
    pub fn engine_lost(&mut self) {
        if self.report.take().is_some() {
            self.status_version += 1;
        }
        self.loading = None;
        self.eviction = None;
    }

    /// Applies an engine report that was read at `now`.
    pub fn observe(&mut self, report: EndpointReport, now: Duration) {
        let previous = self.report.as_ref();
        let restarted =
            previous.is_some_and(|previous| previous.started_unix_ms != report.started_unix_ms);
        if restarted {
            self.loading = None;
            self.eviction = None;
            self.held_since.clear();
        }
        if !report.busy {
            self.loading = None;
        }
        let changed = previous.is_none_or(|previous| {
            previous.models != report.models
                || previous.busy != report.busy
                || previous.on_disk != report.on_disk
                || previous.started_unix_ms != report.started_unix_ms
        });
        self.held_since
            .retain(|model, _| report.models.contains_key(model));
        for model in report.models.keys() {
            self.held_since.entry(model.clone()).or_insert(now);
        }
        if let Some(eviction) = &self.eviction
            && !report.models.contains_key(&eviction.model)
        {
            self.eviction = None;
        }
        self.unanswered.retain(|order| order.expires_at > now);
        self.settle_predecessor(&report, now);
        let took_effect = self
            .last_unanswered
            .take_if(|(_, sequence)| report.sequence > *sequence);
        self.report = Some(report);
        if let Some((action, _)) = took_effect {
            self.begin_load(&action, now);
        }
        if changed {
            self.status_version += 1;
        }
    }

    /// Stores a gateway's report unless it is a repeated or late one. Returns whether the engine
    /// should be polled at once: the report has a demand that the previous one did not have, or a
    /// pending eviction may be able to proceed.
    pub fn record_gateway_report(&mut self, report: GatewayReport, now: Duration) -> bool {
        self.record_report(report, now, now + GATEWAY_TIMEOUT)
    }

    /// Stores a report that came through a relay, like [`Self::record_gateway_report`].
    pub fn record_relayed_report(&mut self, report: GatewayReport, now: Duration) -> bool {
        self.record_report(report, now, now + RELAYED_GATEWAY_TIMEOUT)
    }

    fn record_report(
        &mut self,
        report: GatewayReport,
        now: Duration,
        expires_at: Duration,
    ) -> bool {
        let previous = self.gateways.get(&report.gateway);
        if previous.is_some_and(|previous| {
            previous.report.incarnation == report.incarnation
                && previous.report.sequence >= report.sequence
        }) {
            return false;
        }
        let old_demands: BTreeSet<&Demand> = previous
            .map(|previous| previous.report.demands.iter().collect())
            .unwrap_or_default();
        let has_new_demand = report
            .demands
            .iter()
            .any(|demand| !old_demands.contains(demand));
        for demand in &report.demands {
            self.demanded_since
                .entry(demand.model.clone())
                .or_insert(now);
            if let Some(adapter) = &demand.adapter {
                let key = (demand.model.clone(), adapter.clone());
                self.adapter_last_used.insert(key, now);
            }
        }
        for (model, usage) in &report.usage {
            for adapter in &usage.adapters {
                let key = (model.clone(), adapter.clone());
                self.adapter_last_used.insert(key, now);
            }
        }
        // A direct report does not shorten the time for which one that came through a relay is kept.
        let expires_at = previous.map_or(expires_at, |known| known.expires_at.max(expires_at));
        let gateway = report.gateway.clone();
        self.gateways.insert(
            gateway,
            GatewayState {
                report,
                received_at: now,
                expires_at,
            },
        );
        has_new_demand || self.eviction.is_some()
    }

    /// Removes gateways without a recent report, and models that only they demanded.
    fn expire_gateways(&mut self, now: Duration) {
        self.gateways.retain(|_, gateway| now < gateway.expires_at);
        let demanded: BTreeSet<&ModelId> = self
            .gateways
            .values()
            .flat_map(|gateway| gateway.report.demands.iter().map(|demand| &demand.model))
            .collect();
        self.demanded_since
            .retain(|model, _| demanded.contains(model));
    }

    /// The next order with its sequence; `None` if no order is due now.
    pub fn decide(&mut self, now: Duration) -> Option<(Action, u64)> {
        self.expire_gateways(now);
        let spec = Arc::clone(self.spec.as_ref()?);
        let sequence = self.report.as_ref()?.sequence;
        // An engine refuses all orders while it loads or unloads a model.
        if now < self.paused_until || self.report.as_ref()?.busy {
            return None;
        }
        if let Some(action) = self.next_adapter_action(&spec) {
            return Some((action, sequence));
        }
        let action = self.next_model_action(&spec, now)?;
        Some((action, sequence))
    }

    fn next_model_action(&mut self, spec: &EngineSpec, now: Duration) -> Option<Action> {
        let Some(next) = self.next_load(spec, now) else {
            self.cancel_eviction();
            return None;
        };
        let load = Action::Load(next.model.clone());
        if self.fits_after(spec, &load) {
            self.cancel_eviction();
            return Some(load);
        }
        if self.eviction.is_none() {
            let victim = self.choose_victim(&next, now)?;
            self.status_version += 1;
            self.eviction = Some(Eviction {
                model: victim,
                since: now,
                status_version: self.status_version,
            });
        }
        let eviction = self.eviction.as_ref()?;
        let drain_timed_out = now.saturating_sub(eviction.since) >= EVICTION_DRAIN_TIMEOUT;
        let unload = Action::Unload(eviction.model.clone());
        let may_unload = self.is_drained(eviction) || drain_timed_out;
        (may_unload && self.fits_after(spec, &unload)).then_some(unload)
    }

    fn cancel_eviction(&mut self) {
        if self.eviction.take().is_some() {
            self.status_version += 1;
        }
    }

    /// Whether every gateway has acknowledged the eviction and has no active request for the model.
    fn is_drained(&self, eviction: &Eviction) -> bool {
        self.gateways.values().all(|gateway| {
            let usage = gateway.report.usage.get(&eviction.model);
            let acknowledged = gateway.report.seen_incarnation == self.incarnation
                && gateway.report.seen_version >= eviction.status_version;
            acknowledged && usage.is_none_or(|usage| usage.active == 0)
        })
    }

    fn model_mb(&self, model: &str) -> SizeMb {
        let spec = self.spec.as_ref().and_then(|spec| spec.models.get(model));
        spec.map_or(0, |spec| spec.weights_mb)
    }

    /// The fastest tier from which the engine can load a model.
    pub fn tier(&self, model: &str) -> Tier {
        match &self.report {
            Some(report) if report.in_memory.contains(model) => Tier::Memory,
            Some(report) if report.on_disk.contains(model) => Tier::Disk,
            _ => Tier::Remote,
        }
    }

    fn usages<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a ModelUsage> {
        self.gateways
            .values()
            .filter_map(move |gateway| gateway.report.usage.get(model))
    }

    fn requests_per_s(&self, model: &str) -> f32 {
        self.usages(model).map(|usage| usage.per_s).sum()
    }
}
