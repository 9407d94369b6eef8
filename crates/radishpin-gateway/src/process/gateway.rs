//! The gateway: receives callers' requests and forwards them to endpoints.

mod admission;
mod availability;
mod crashes;
mod customers;
mod fair_share;
mod limits;
mod links;
mod listeners;
mod model_events;
mod news;
mod origins;
mod quotas;

use super::{
    Clock, GatewayError, MemoryBudget, Metrics, ReloadSignal, Shutdown, StoreAddress, StoreClient,
    apply_settings, read_settings, serve_metrics, watch_settings,
};
use crate::{
    connection::{BodyBudget, ConnectionRegistry, ListenerKind, Pool, ServerLimits},
    version::{CatalogContact, watch_catalog, watch_endpoint_list},
};
pub(crate) use admission::TrialPermit;
use crashes::CrashGuard;
use event_listener::Event;
use fair_share::FairShareGuard;
use limits::LimitGuard;
use links::Links;
use listeners::{serve_callers, serve_readiness};
use model_events::ModelEvents;
use news::NEWS_HOLDERS;
use origins::OriginDirectory;
use parking_lot::Mutex;
pub(crate) use quotas::CreditPermit;
use quotas::QuotaGuard;
use radishpin_adapter::Settings;
use radishpin_core::{
    process::{
        EndpointChange, EndpointList, EndpointPhase, Fleet, GatewayReport, LinkLoss, Status,
        StatusNews,
    },
    request::RetryBudgets,
    version::{Catalog, Route},
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, StopSignals, timeout};
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Time between two calls of [`Fleet::plan`], which plans replicas and prefetches.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest time that a call to the store waits for a new configuration. A hung connection is
/// detected only after it.
const CATALOG_WAIT: Duration = Duration::from_secs(1);
/// Time after SIGTERM within which the platform's readiness probes take the gateway out of
/// rotation.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);
/// How long before the end of the grace period the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Longest time after the planned exit for which a stop waits until the listeners are closed. Shorter than
/// [`EXIT_MARGIN`], so that the process exits before the platform ends it.
const LISTENER_CLOSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time before the exit that is reserved for requests which already have an endpoint; requests
/// that still wait for one are refused.
const RESERVED_ANSWER_TIME: Duration = Duration::from_secs(3);
/// How long before the exit requests without a response get an error response.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Lower bound of the limit on request heads, in bytes; applies as long as there is no
/// configuration, and between the system's own processes.
const HEAD_BYTES_MIN: usize = 16 * 1024;
/// Added to the configured limit on request heads for the request line and separators, in bytes.
const HEAD_BYTES_SLACK: usize = 8 * 1024;
/// Shortest default of the time for which a caller may read nothing of its response.
const RESPONSE_STALL_MIN: Duration = Duration::from_secs(60);
/// Divisor of [`PlatformLimits::retry_slack`](radishpin_adapter::PlatformLimits::retry_slack),
/// which is for the whole cluster. The quotient is a gateway's retry burst per service; its burst
/// for all services together is twice that.
const RETRY_SLACK_DIVISOR: u32 = 20;
/// Smallest retry burst of a gateway per service.
const RETRY_BURST_MIN: u32 = 2;

/// State that the tasks of a gateway share.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) runtime: Runtime,
    pub(crate) clock: Clock,
    pub(crate) settings: Mutex<Arc<Settings>>,
    store_address: Arc<StoreAddress>,
    pub(crate) fleet: Mutex<Fleet>,
    /// Notified when each waiting request should look for an endpoint again.
    pub(crate) fleet_changed: Event,
    /// Notified when requests that wait for a model should.
    pub(crate) model_events: ModelEvents,
    pub(crate) pool: Pool,
    pub(crate) body_budget: BodyBudget,
    pub(crate) memory_budget: MemoryBudget,
    pub(crate) retry_budgets: Mutex<RetryBudgets>,
    pub(crate) origins: OriginDirectory,
    pub(crate) crash_guard: CrashGuard,
    pub(crate) limits: LimitGuard,
    pub(crate) quotas: QuotaGuard,
    fair_share: FairShareGuard,
    pub(crate) shutdown: Arc<Shutdown>,
    pub(crate) metrics: Metrics,
    catalog: Mutex<Option<Arc<Catalog>>>,
    catalog_contact: CatalogContact,
    endpoint_list_read: AtomicBool,
    demand_events: Mutex<BTreeMap<EndpointId, Arc<Event>>>,
    links: Mutex<Links>,
}

impl Gateway {
    fn new(runtime: Runtime, settings: Settings) -> Result<Self, GatewayError> {
        let clock = Clock::start();
        let fleet = Fleet::new(
            settings.host.clone(),
            rand::random(),
            settings.availability_zone.clone(),
        );
        let slack = settings.platform_limits.retry_slack / RETRY_SLACK_DIVISOR;
        let burst = slack.max(RETRY_BURST_MIN);
        let metrics = Metrics::new().map_err(std::io::Error::other)?;
        Ok(Self {
            pool: Pool::new(runtime.clone(), clock),
            runtime,
            clock,
            fleet: Mutex::new(fleet),
            fleet_changed: Event::new(),
            model_events: ModelEvents::default(),
            body_budget: BodyBudget::default(),
            memory_budget: MemoryBudget::new(settings.host_limits.memory_mb, clock, &metrics),
            retry_budgets: Mutex::new(RetryBudgets::new(burst * 2, burst)),
            origins: OriginDirectory::new(settings.first_start),
            crash_guard: CrashGuard::default(),
            limits: LimitGuard::default(),
            quotas: QuotaGuard::new(&settings.platform_limits),
            fair_share: FairShareGuard::default(),
            store_address: Arc::new(StoreAddress::new(settings.store)),
            settings: Mutex::new(Arc::new(settings)),
            shutdown: Arc::default(),
            metrics,
            catalog: Mutex::default(),
            catalog_contact: CatalogContact::new(),
            endpoint_list_read: AtomicBool::new(false),
            demand_events: Mutex::default(),
            links: Mutex::default(),
        })
    }

    /// The configuration in force; `None` before the first one was read.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.lock().clone()
    }

    /// The event that makes the link to an endpoint's sidecar send a report at once.
    pub(crate) fn demand_event(&self, endpoint: &str) -> Arc<Event> {
        let mut events = self.demand_events.lock();
        Arc::clone(events.entry(endpoint.to_owned()).or_default())
    }

    /// Makes the link to an endpoint's sidecar report at once which models callers wait for.
    pub(crate) fn notify_demand(&self, endpoint: &str) {
        self.demand_event(endpoint).notify(usize::MAX);
    }

    pub(crate) fn next_report(&self, endpoint: &str) -> GatewayReport {
        self.fleet.lock().next_report(endpoint, self.clock.now())
    }

    pub(crate) fn record_status(&self, endpoint: &str, status: Status) {
        self.observe_engine(endpoint, &status);
        let now = self.clock.now();
        let news = self.fleet.lock().update_status(endpoint, status, now);
        match news {
            StatusNews::None => {}
            StatusNews::Models(models) => self.model_events.notify(&models),
            StatusNews::Engine => {
                self.fleet_changed.notify(usize::MAX);
            }
        }
    }

    pub(crate) fn link_lost(&self, endpoint: &str, loss: LinkLoss) {
        if self.fleet.lock().link_lost(endpoint, loss) {
            let silent = loss == LinkLoss::TimedOut;
            log::warn!(event = "sidecar_lost", endpoint = endpoint, silent = silent; "sidecar is lost");
            self.fleet_changed.notify(usize::MAX);
        }
    }

    fn apply_catalog(self: &Arc<Self>, catalog: Arc<Catalog>) {
        let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        self.fleet.lock().configure(Arc::clone(&catalog));
        self.configure_shares(&catalog);
        *self.catalog.lock() = Some(catalog);
        self.update_links();
        self.fleet_changed.notify(usize::MAX);
    }

    fn apply_endpoint_list(
        self: &Arc<Self>,
        endpoint_list: &EndpointList,
        changes: &[EndpointChange],
    ) {
        let crashed = self.crashed_endpoints(changes);
        let mut fleet = self.fleet.lock();
        fleet.update_endpoints(endpoint_list.entries(), changes);
        fleet.update_unconfirmed_starts(&endpoint_list.unconfirmed_starts());
        drop(fleet);
        self.record_versions(endpoint_list.entries());
        self.endpoint_list_read.store(true, Ordering::Relaxed);
        self.update_endpoint_gauges(endpoint_list);
        if !changes.is_empty() {
            self.observe_crashed(&crashed);
            self.update_links();
            self.pool
                .prune(|id| endpoint_list.entries().contains_key(id));
            self.fleet_changed.notify(usize::MAX);
        }
    }

    fn update_endpoint_gauges(&self, endpoint_list: &EndpointList) {
        let entries = endpoint_list.entries().values();
        let ready = entries
            .filter(|entry| entry.phase == EndpointPhase::Ready)
            .count();
        let draining = endpoint_list.entries().len() - ready;
        for (state, count) in [("ready", ready), ("draining", draining)] {
            let gauge = self.metrics.endpoints.with_label_values(&[state]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// When requests that still wait for an endpoint are refused, so that the others can finish
    /// before the process exits. `None` before the drain starts.
    pub(crate) fn waiting_deadline(&self) -> Option<Duration> {
        let exits_at = self.shutdown.exits_at()?;
        let grace = self.settings.lock().platform_limits.stop_grace;
        Some(exits_at.saturating_sub(RESERVED_ANSWER_TIME.min(grace / 3)))
    }

    /// Whether a new request could outlast the process. Always `false` while the platform still
    /// routes callers here: such requests are served for as long as time remains.
    pub(crate) fn cannot_finish_before_exit(&self, route: &Route) -> bool {
        if !self.shutdown.is_closing() {
            return false;
        }
        let left = self.answer_deadline().map_or(Duration::ZERO, |until| {
            until.saturating_sub(self.clock.now())
        });
        route.semantics.is_stream() || route.timeout > left
    }

    /// When requests without a response get an error response, because the process is about to
    /// exit. `None` before the drain starts.
    pub(crate) fn answer_deadline(&self) -> Option<Duration> {
        let exits_at = self.shutdown.exits_at()?;
        Some(exits_at.saturating_sub(LAST_ANSWER_MARGIN))
    }

    /// Whether the gateway can serve callers: it has a configuration and an endpoint list, and is not
    /// draining.
    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining()
            && self.endpoint_list_read.load(Ordering::Relaxed)
            && self.catalog.lock().is_some()
    }

    fn caller_limits(&self) -> ServerLimits {
        let catalog = self.catalog();
        let limits = catalog.map(|catalog| catalog.limits).unwrap_or_default();
        let stall = self.settings.lock().platform_limits.response_stall;
        ServerLimits {
            head_bytes: limits.head_bytes.max(HEAD_BYTES_MIN) + HEAD_BYTES_SLACK,
            head_timeout: limits.head_timeout,
            idle_timeout: limits.idle_timeout.max(limits.head_timeout),
            response_stall: stall.unwrap_or(RESPONSE_STALL_MIN.max(limits.idle_timeout)),
        }
    }

    /// Bounds the connections of a listener by the limits of the host.
    fn connection_registry(&self, listener: ListenerKind) -> Arc<ConnectionRegistry> {
        let closed = self.metrics.connections_closed.clone();
        ConnectionRegistry::new(&self.settings.lock().host_limits, listener, closed)
    }

    async fn plan_periodically(&self) {
        loop {
            Runtime::sleep(PLAN_INTERVAL).await;
            self.fleet.lock().plan(self.clock.now());
            self.settle_exposures();
            self.pool.close_expired();
        }
    }
}

/// Limits of connections from the system's own processes and from the platform.
pub(crate) fn internal_limits() -> ServerLimits {
    ServerLimits {
        head_bytes: HEAD_BYTES_MIN,
        head_timeout: Duration::from_secs(30),
        idle_timeout: Duration::from_secs(30),
        response_stall: RESPONSE_STALL_MIN,
    }
}

/// A running gateway, with the addresses on which it listens.
#[derive(Debug)]
pub struct GatewayProcess {
    gateway: Arc<Gateway>,
    caller_address: SocketAddr,
    readiness_address: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway: listens for callers and probes, and follows the platform's store.
    ///
    /// # Errors
    /// The settings lack the address for callers or for readiness probes, or listening on it fails.
    pub async fn start(
        runtime: Runtime,
        settings: Settings,
        metrics_port: u16,
    ) -> Result<Self, GatewayError> {
        let caller_address = settings
            .caller_listen_address
            .ok_or(GatewayError::MissingSetting("address for callers"))?;
        let readiness_address = settings
            .readiness_listen_address
            .ok_or(GatewayError::MissingSetting("address for readiness probes"))?;
        let metrics_address = SocketAddr::new(settings.ip_address, metrics_port);
        let gateway = Arc::new(Gateway::new(runtime, settings)?);
        let caller_address = serve_callers(&gateway, caller_address).await?;
        let readiness_address = serve_readiness(&gateway, readiness_address).await?;
        let metrics_gateway = Arc::clone(&gateway);
        let render = move || metrics_gateway.metrics.render();
        let registry = gateway.connection_registry(ListenerKind::Metrics);
        serve_metrics(&gateway.runtime, metrics_address, registry, render).await;
        spawn_store_watches(&gateway);
        let planner = Arc::clone(&gateway);
        let planning = async move { planner.plan_periodically().await };
        gateway.runtime.spawn_detached(planning);
        for rank in 0..NEWS_HOLDERS {
            let watcher = Arc::clone(&gateway);
            let watching = async move { watcher.watch_news(rank).await };
            gateway.runtime.spawn_detached(watching);
        }
        let process = Self {
            gateway,
            caller_address,
            readiness_address,
        };
        process.log_start();
        Ok(process)
    }

    fn log_start(&self) {
        let settings = Arc::clone(&self.gateway.settings.lock());
        log::info!(
            event = "started", role = "gateway", host = settings.host, callers:% = self.caller_address,
            store:% = settings.store, first_start = settings.first_start,
            version = env!("CARGO_PKG_VERSION");
            "gateway started"
        );
    }

    /// The address for callers, with the port that was bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The address for the platform's readiness probes, with the port that was bound.
    pub fn readiness_address(&self) -> SocketAddr {
        self.readiness_address
    }

    /// Puts reloaded settings in force, as SIGHUP does for a gateway that [`run_gateway`] runs.
    pub fn reload(&self, settings: Settings) {
        apply_settings(
            settings,
            &self.gateway.settings,
            &self.gateway.store_address,
        );
    }

    /// Drains and stops the gateway. Readiness probes fail at once, so that the platform routes
    /// callers elsewhere; running requests are served as long as the grace period permits.
    ///
    /// Callers can no longer connect once it returns, unless the gateway's threads are blocked.
    ///
    /// Returns the number of connections that were still open at the end.
    pub async fn stop(&self) -> usize {
        let shutdown = &self.gateway.shutdown;
        let grace = self.gateway.settings.lock().platform_limits.stop_grace;
        let connections = shutdown.connections();
        log::info!(event = "stopping", connections = connections; "stop requested; draining");
        let exits_at = self.gateway.clock.now() + grace.saturating_sub(EXIT_MARGIN);
        shutdown.drain(exits_at);
        // Wakes waiting requests so that they apply the deadline.
        self.gateway.fleet_changed.notify(usize::MAX);
        let rotation_time = ROTATION_TIME.min(grace / 2);
        Runtime::sleep(rotation_time).await;
        shutdown.close();
        let left = exits_at.saturating_sub(self.gateway.clock.now());
        let ended = timeout(left, shutdown.connections_ended()).await;
        let cut = if ended.is_some() {
            0
        } else {
            shutdown.connections()
        };
        shutdown.stop_listeners();
        // A connection that is opened while its listener closes may get neither a response nor a reset.
        let close_by = exits_at + LISTENER_CLOSE_TIMEOUT;
        let left = close_by.saturating_sub(self.gateway.clock.now());
        let closed = timeout(left, shutdown.listeners_closed()).await;
        if closed.is_none() {
            log::warn!(event = "listeners_open"; "listeners did not close in time");
        }
        log::info!(event = "stopped", connections_cut = cut; "gateway stopped");
        cut
    }
}

/// Runs a gateway with the settings file at `path` until SIGINT or SIGTERM, then drains it.
///
/// # Errors
/// The settings cannot be read or lack an address, listening fails, or threads or signal handlers
/// cannot be set up.
pub fn run_gateway(path: PathBuf, metrics_port: u16) -> Result<(), GatewayError> {
    let settings = read_settings(&path)?;
    let runtime = Runtime::start(settings.cores)?;
    smol::block_on(async {
        let mut stop_signals = StopSignals::register()?;
        let reload_signal = ReloadSignal::register();
        let process = GatewayProcess::start(runtime, settings, metrics_port).await?;
        spawn_settings_watch(&process.gateway, &path, reload_signal);
        stop_signals.wait().await?;
        process.stop().await;
        Ok(())
    })
}

fn spawn_settings_watch(gateway: &Arc<Gateway>, path: &Path, reload_signal: ReloadSignal) {
    let watcher = Arc::clone(gateway);
    let path = path.to_owned();
    let watch = async move {
        watch_settings(
            &path,
            &watcher.settings,
            &watcher.store_address,
            reload_signal,
        )
        .await
    };
    gateway.runtime.spawn_detached(watch);
}

fn spawn_store_watches(gateway: &Arc<Gateway>) {
    let address = Arc::clone(&gateway.store_address);
    let catalog_client = StoreClient::new(gateway.runtime.clone(), gateway.clock, address);
    let list_client = catalog_client.sibling();
    let watching_gateway = Arc::clone(gateway);
    let on_update = move |catalog| watching_gateway.apply_catalog(catalog);
    let contact_gateway = Arc::clone(gateway);
    let watching = async move {
        let contact = &contact_gateway.catalog_contact;
        watch_catalog(catalog_client, CATALOG_WAIT, contact, on_update).await;
    };
    gateway.runtime.spawn_detached(watching);
    let watching_gateway = Arc::clone(gateway);
    let on_update = move |endpoint_list: &EndpointList, changes: &[EndpointChange]| {
        watching_gateway.apply_endpoint_list(endpoint_list, changes);
    };
    let configured_gateway = Arc::clone(gateway);
    let services = move || {
        let catalog = configured_gateway.catalog();
        catalog.map(|catalog| catalog.service_names())
    };
    let watch = watch_endpoint_list(list_client, gateway.clock, services, on_update);
    gateway.runtime.spawn_detached(watch);
}
