//! Which models and adapters a sidecar has its engine hold.
//!
//! The sidecar beside an engine is the only sender of orders to it. Gateways tell it what their
//! callers wait for; it decides what is loaded next and what makes room. Every order names the
//! count of orders that the engine must have accepted before, so that of two orders with the same
//! count at most one takes effect, however late the other one arrives.

mod accounting;
mod exchange;
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
use radishpin_protocol::{UnixMs, prelude::*};
use std::{collections::VecDeque, sync::Arc};

/// Age at which a gateway's report no longer counts: the gateway is gone or cut off.
pub const GATEWAY_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Longest wait for the calls of a model before its unload is ordered all the same.
const EVICTION_DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// What an engine reports of itself.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointReport {
    /// Models that it holds.
    pub models: BTreeMap<ModelId, HeldModel>,
    /// Whether it carries out an order on a model.
    pub busy: bool,
    /// Orders that it has accepted since its start.
    pub sequence: u64,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that run.
    pub running: u32,
    /// Unix time of its start in milliseconds.
    pub started_unix_ms: UnixMs,
    /// Models whose weights lie in the host's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights lie on the host's disk.
    pub on_disk: BTreeSet<ModelId>,
    /// Adapters on their way to it.
    pub arriving_adapters: BTreeSet<(ModelId, AdapterId)>,
}

/// What an order is about.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Action {
    /// Load a model.
    Load(ModelId),
    /// Unload a model.
    Unload(ModelId),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

/// How an order was answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ActionOutcome {
    /// The engine carries it out.
    Accepted,
    /// It already holds.
    Unneeded,
    /// The engine refused it; it has no effect.
    Refused,
    /// Another endpoint has the engine's address; the order has no effect.
    Misdirected,
    /// No answer: it may have been accepted, or may take effect later.
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
    /// Time until the model serves; a load that is overdue takes in proportion to its time so far.
    fn remaining(&self, now: Duration) -> Duration {
        /// Share of its time so far that an overdue load still takes, as a divisor.
        const OVERDUE_DIVISOR: u32 = 4;
        if now < self.expected_end {
            return self.expected_end - now;
        }
        now.saturating_sub(self.started_at) / OVERDUE_DIVISOR
    }
}

/// A model that is about to be unloaded: gateways send it no more requests.
#[derive(Clone, Debug)]
struct Eviction {
    model: ModelId,
    since: Duration,
    status_version: u64,
}

#[derive(Clone, Debug)]
struct GatewayState {
    report: GatewayReport,
    received_at: Duration,
}

/// The models of one engine.
#[derive(Clone, Debug)]
pub struct Residency {
    spec: Option<Arc<EngineSpec>>,
    report: Option<EndpointReport>,
    gateways: BTreeMap<NodeId, GatewayState>,
    engine_id: Option<EndpointId>,
    demanded_since: BTreeMap<ModelId, Duration>,
    held_since: BTreeMap<ModelId, Duration>,
    adapter_last_used: BTreeMap<(ModelId, AdapterId), Duration>,
    loading: Option<Loading>,
    eviction: Option<Eviction>,
    unanswered: Vec<UnansweredOrder>,
    last_unanswered: Option<(Action, u64)>,
    paused_until: Duration,
    store_window: Duration,
    /// When loads from the weight store began, newest last.
    store_loads: VecDeque<Duration>,
    store_load_after: Duration,
    incarnation: Incarnation,
    status_version: u64,
}

impl Residency {
    /// The state at the start of a sidecar. `store_load_after` is the earliest time of a load from
    /// the weight store: an earlier life of the sidecar may just have begun one.
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
            paused_until: Duration::ZERO,
            store_window: Duration::ZERO,
            store_loads: VecDeque::new(),
            store_load_after,
            incarnation,
            status_version: 1,
        }
    }

    /// Takes in the engine's part of a configuration, and the window in which loads from the
    /// weight store are counted.
    pub fn configure(&mut self, spec: EngineSpec, store_window: Duration) {
        self.spec = Some(Arc::new(spec));
        self.store_window = store_window;
    }

    /// The endpoint that orders are meant for: by the engine's own word, or else by the newest
    /// word of a gateway.
    pub fn endpoint(&self) -> Option<&EndpointId> {
        let newest = self
            .gateways
            .values()
            .max_by_key(|gateway| gateway.received_at);
        let reported = newest.map(|gateway| &gateway.report.endpoint);
        self.engine_id.as_ref().or(reported)
    }

    /// Takes in the id that the engine has told, or that what it told no longer holds.
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

    /// Whether a load from the weight store may begin now.
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

    /// Whether a configuration is known.
    pub fn is_configured(&self) -> bool {
        self.spec.is_some()
    }

    /// Records that the engine could not be reached.
    pub fn engine_lost(&mut self) {
        if self.report.take().is_some() {
            self.status_version += 1;
        }
        self.loading = None;
        self.eviction = None;
    }

    /// Takes in a report that was read at `now`.
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

    /// Takes in a gateway's report; returns whether it wants something that the last one did not.
    pub fn record_gateway_report(&mut self, report: GatewayReport, now: Duration) -> bool {
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
        let gateway = report.gateway.clone();
        self.gateways.insert(
            gateway,
            GatewayState {
                report,
                received_at: now,
            },
        );
        has_new_demand || self.eviction.is_some()
    }

    /// Forgets gateways that fell silent, and what only they waited for.
    fn expire_gateways(&mut self, now: Duration) {
        let is_live =
            |gateway: &GatewayState| now.saturating_sub(gateway.received_at) < GATEWAY_TIMEOUT;
        self.gateways.retain(|_, gateway| is_live(gateway));
        let demanded: BTreeSet<&ModelId> = self
            .gateways
            .values()
            .flat_map(|gateway| gateway.report.demands.iter().map(|demand| &demand.model))
            .collect();
        self.demanded_since
            .retain(|model, _| demanded.contains(model));
    }

    /// The next order, with the count that it must name; `None` where nothing is to be done now.
    pub fn decide(&mut self, now: Duration) -> Option<(Action, u64)> {
        self.expire_gateways(now);
        let spec = Arc::clone(self.spec.as_ref()?);
        let sequence = self.report.as_ref()?.sequence;
        // An engine refuses all orders while it carries out one on a model.
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
        let weights_mb = spec.models.get(&next.model)?.weights_mb;
        if self.free_mb(spec) >= weights_mb {
            self.cancel_eviction();
            return Some(Action::Load(next.model));
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
        if self.is_drained(eviction) || drain_timed_out {
            return Some(Action::Unload(eviction.model.clone()));
        }
        None
    }

    fn cancel_eviction(&mut self) {
        if self.eviction.take().is_some() {
            self.status_version += 1;
        }
    }

    /// Whether each gateway knows that the model leaves and has no request at it.
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

    /// Where the weights of a model are nearest to the engine.
    fn tier(&self, model: &str) -> Tier {
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
