//! The gateway: takes callers' requests.

use super::{
    Clock, GatewayError, Metrics, Shutdown, StoreClient, read_settings, serve_metrics, stop_asked,
    watch_settings,
};
use crate::{
    connection::{Pool, ServerLimits, run_link, serve},
    request::serve_request,
    version::{watch_catalog, watch_roster},
};
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_adapter::{READINESS_PATH, Settings};
use radishpin_core::{
    process::{EndpointPhase, Fleet, GatewayReport, LinkLoss, Roster, RosterChange, Status},
    request::RetryBudgets,
    version::{Catalog, Route},
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use smol::Task;
use std::{
    net::SocketAddr,
    path::{Path, PathBuf},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

/// Time between two plans of replicas and prefetches.
const PLAN_GAP: Duration = Duration::from_millis(200);
/// Longest wait of a call for a new configuration; a silent connection is noticed after it.
const CATALOG_WAIT: Duration = Duration::from_secs(1);
/// Time after SIGTERM in which the platform's probes take the gateway out of rotation.
const ROTATION_TIME: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period in which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(500);
/// Time that is left to a request that finds an endpoint while the process stops.
const ANSWER_TIME: Duration = Duration::from_secs(3);
/// Time before the exit in which the last answers go out.
const LAST_ANSWER_MARGIN: Duration = Duration::from_millis(200);
/// Largest head of a request before a configuration is known, in bytes.
const HEAD_BYTES_MIN: usize = 16 * 1024;
/// Room for a request line and separators beyond the configured size of a head, in bytes.
const HEAD_BYTES_SLACK: usize = 8 * 1024;
/// Share of the cluster's retries beyond the ratio that one gateway may save up, as a divisor.
const RETRY_SLACK_DIVISOR: u32 = 20;
/// Retries that a gateway may save up at least.
const RETRY_BURST_MIN: u32 = 2;

/// State of a gateway.
#[derive(Debug)]
pub(crate) struct Gateway {
    pub(crate) runtime: Runtime,
    pub(crate) clock: Clock,
    pub(crate) settings: Mutex<Arc<Settings>>,
    pub(crate) fleet: Mutex<Fleet>,
    /// Notified when a request that waits may find an endpoint.
    pub(crate) fleet_changed: Event,
    pub(crate) pool: Pool,
    pub(crate) budgets: Mutex<RetryBudgets>,
    pub(crate) shutdown: Arc<Shutdown>,
    pub(crate) metrics: Metrics,
    catalog: Mutex<Option<Arc<Catalog>>>,
    endpoints_known: AtomicBool,
    demand_events: Mutex<BTreeMap<EndpointId, Arc<Event>>>,
    links: Mutex<BTreeMap<EndpointId, Link>>,
}

#[derive(Debug)]
struct Link {
    sidecar: SocketAddr,
    _task: Task<()>,
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
            budgets: Mutex::new(RetryBudgets::new(burst * 2, burst)),
            settings: Mutex::new(Arc::new(settings)),
            shutdown: Arc::default(),
            metrics,
            catalog: Mutex::default(),
            endpoints_known: AtomicBool::new(false),
            demand_events: Mutex::default(),
            links: Mutex::default(),
        })
    }

    /// The configuration in force.
    pub(crate) fn catalog(&self) -> Option<Arc<Catalog>> {
        self.catalog.lock().clone()
    }

    /// Notified when the sidecar of an endpoint should hear at once.
    pub(crate) fn demand_event(&self, endpoint: &str) -> Arc<Event> {
        let mut events = self.demand_events.lock();
        Arc::clone(events.entry(endpoint.to_owned()).or_default())
    }

    /// Tells a sidecar at once what callers wait for.
    pub(crate) fn announce_demand(&self, endpoint: &str) {
        self.demand_event(endpoint).notify(1);
    }

    pub(crate) fn report_to(&self, endpoint: &str) -> GatewayReport {
        self.fleet.lock().report_to(endpoint, self.clock.now())
    }

    pub(crate) fn heard(&self, endpoint: &str, status: Status) {
        if self.fleet.lock().heard(endpoint, status, self.clock.now()) {
            self.fleet_changed.notify(usize::MAX);
        }
    }

    pub(crate) fn link_lost(&self, endpoint: &str, loss: LinkLoss) {
        if self.fleet.lock().link_lost(endpoint, loss) {
            let silent = loss == LinkLoss::Silent;
            log::warn!(event = "sidecar_lost", endpoint = endpoint, silent = silent; "sidecar is lost");
            self.fleet_changed.notify(usize::MAX);
        }
    }

    fn accept_catalog(self: &Arc<Self>, catalog: Arc<Catalog>) {
        let version = i64::try_from(catalog.version).unwrap_or(i64::MAX);
        self.metrics.configuration_version.set(version);
        self.fleet.lock().configure(Arc::clone(&catalog));
        *self.catalog.lock() = Some(catalog);
        self.renew_links();
        self.fleet_changed.notify(usize::MAX);
    }

    fn accept_roster(self: &Arc<Self>, roster: &Roster, changes: &[RosterChange]) {
        self.fleet.lock().list(roster.entries(), changes);
        self.endpoints_known.store(true, Ordering::Relaxed);
        self.count_endpoints(roster);
        if !changes.is_empty() {
            self.renew_links();
            self.pool.prune(|id| roster.entries().contains_key(id));
            self.fleet_changed.notify(usize::MAX);
        }
    }

    fn count_endpoints(&self, roster: &Roster) {
        let entries = roster.entries().values();
        let ready = entries
            .filter(|entry| entry.phase == EndpointPhase::Ready)
            .count();
        let draining = roster.entries().len() - ready;
        for (state, count) in [("ready", ready), ("draining", draining)] {
            let gauge = self.metrics.endpoints.with_label_values(&[state]);
            gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
        }
    }

    /// Keeps one link to the sidecar of each engine.
    fn renew_links(self: &Arc<Self>) {
        let port = self.settings.lock().internal_port;
        let fleet = self.fleet.lock();
        let engines = fleet.engines();
        let sidecars: BTreeMap<EndpointId, SocketAddr> = engines
            .map(|(id, entry)| (id.clone(), SocketAddr::new(entry.address.ip(), port)))
            .collect();
        drop(fleet);
        let mut links = self.links.lock();
        links.retain(|id, link| sidecars.get(id) == Some(&link.sidecar));
        self.demand_events
            .lock()
            .retain(|id, _| sidecars.contains_key(id));
        for (id, sidecar) in sidecars {
            links.entry(id.clone()).or_insert_with(|| Link {
                sidecar,
                _task: self.runtime.spawn(run_link(Arc::clone(self), id, sidecar)),
            });
        }
    }

    /// When requests that still wait are refused, so that others can end before the process exits.
    pub(crate) fn waits_until(&self) -> Option<Duration> {
        let exits_at = self.shutdown.exits_at()?;
        let grace = self.settings.lock().platform_limits.stop_grace;
        Some(exits_at.saturating_sub(ANSWER_TIME.min(grace / 3)))
    }

    /// Whether a request that comes now would not end before the process exits: those that came
    /// before the callers were sent elsewhere have the time that is left.
    pub(crate) fn comes_too_late(&self, route: &Route) -> bool {
        if !self.shutdown.is_closing() {
            return false;
        }
        let left = self.answers_until().map_or(Duration::ZERO, |until| {
            until.saturating_sub(self.clock.now())
        });
        route.repetition.is_stream() || route.timeout > left
    }

    /// When requests get their last answer before the process exits.
    pub(crate) fn answers_until(&self) -> Option<Duration> {
        let exits_at = self.shutdown.exits_at()?;
        Some(exits_at.saturating_sub(LAST_ANSWER_MARGIN))
    }

    /// Whether callers can be served.
    fn is_ready(&self) -> bool {
        !self.shutdown.is_draining()
            && self.endpoints_known.load(Ordering::Relaxed)
            && self.catalog.lock().is_some()
    }

    fn caller_limits(&self) -> ServerLimits {
        let catalog = self.catalog();
        let limits = catalog.map(|catalog| catalog.limits).unwrap_or_default();
        ServerLimits {
            head_bytes: limits.head_bytes.max(HEAD_BYTES_MIN) + HEAD_BYTES_SLACK,
            head_timeout: limits.idle_timeout.max(limits.head_timeout),
        }
    }

    async fn plan_always(&self) {
        loop {
            Runtime::sleep(PLAN_GAP).await;
            self.fleet.lock().plan(self.clock.now());
        }
    }
}

/// Limits of the connections between the system's processes and the platform.
pub(crate) fn internal_limits() -> ServerLimits {
    ServerLimits {
        head_bytes: HEAD_BYTES_MIN,
        head_timeout: Duration::from_secs(30),
    }
}

/// A gateway that runs.
#[derive(Debug)]
pub struct GatewayProcess {
    gateway: Arc<Gateway>,
    callers: SocketAddr,
    ready: SocketAddr,
}

impl GatewayProcess {
    /// Starts a gateway: listens, and follows the platform's store.
    ///
    /// # Errors
    /// The settings lack an address, or an address cannot be had.
    pub async fn start(
        runtime: Runtime,
        settings: Settings,
        metrics_port: u16,
    ) -> Result<Self, GatewayError> {
        let callers = settings
            .caller_listen_address
            .ok_or(GatewayError::MissingSetting("address for callers"))?;
        let ready = settings
            .readiness_listen_address
            .ok_or(GatewayError::MissingSetting("address for readiness probes"))?;
        let metrics = SocketAddr::new(settings.ip_address, metrics_port);
        let store = settings.store;
        let gateway = Arc::new(Gateway::new(runtime, settings)?);
        let callers = serve_callers(&gateway, callers).await?;
        let ready = serve_readiness(&gateway, ready).await?;
        let asked = Arc::clone(&gateway);
        let answer = move || asked.metrics.answer();
        serve_metrics(&gateway.runtime, metrics, answer).await;
        follow_store(&gateway, store);
        let planner = Arc::clone(&gateway);
        let plans = async move { planner.plan_always().await };
        gateway.runtime.spawn_detached(plans);
        let process = Self {
            gateway,
            callers,
            ready,
        };
        process.log_start();
        Ok(process)
    }

    fn log_start(&self) {
        let settings = Arc::clone(&self.gateway.settings.lock());
        log::info!(
            event = "started", role = "gateway", host = settings.host, callers:% = self.callers,
            store:% = settings.store, first_start = settings.first_start,
            version = env!("CARGO_PKG_VERSION");
            "gateway started"
        );
    }

    /// Where callers connect.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Where the platform asks whether the gateway is ready.
    pub fn ready(&self) -> SocketAddr {
        self.ready
    }

    /// Stops in order: callers go elsewhere, and the requests that run get their answers. Returns the
    /// number of connections that were cut.
    pub async fn stop(&self) -> usize {
        let shutdown = &self.gateway.shutdown;
        let grace = self.gateway.settings.lock().platform_limits.stop_grace;
        let connections = shutdown.connections();
        log::info!(event = "stopping", connections = connections; "asked to stop; draining");
        let exits_at = self.gateway.clock.now() + grace.saturating_sub(EXIT_MARGIN);
        shutdown.drain(exits_at);
        // Requests that wait look again at how long they may.
        self.gateway.fleet_changed.notify(usize::MAX);
        let rotation = ROTATION_TIME.min(grace / 2);
        Runtime::sleep(rotation).await;
        shutdown.close();
        let left = exits_at.saturating_sub(self.gateway.clock.now());
        let ended = timeout(left, shutdown.connections_ended()).await;
        let cut = if ended.is_some() {
            0
        } else {
            shutdown.connections()
        };
        shutdown.end();
        log::info!(event = "stopped", connections_cut = cut; "gateway stopped");
        cut
    }
}

/// Runs a gateway until it is asked to stop.
///
/// # Errors
/// The settings lack an address, an address cannot be had, or the process cannot be set up.
pub fn run_gateway(path: PathBuf, metrics_port: u16) -> Result<(), GatewayError> {
    let settings = read_settings(&path)?;
    let runtime = Runtime::start(settings.cores)?;
    smol::block_on(async {
        let process = GatewayProcess::start(runtime, settings, metrics_port).await?;
        spawn_settings_watch(&process.gateway, &path);
        stop_asked().await?;
        process.stop().await;
        Ok(())
    })
}

fn spawn_settings_watch(gateway: &Arc<Gateway>, path: &Path) {
    let watcher = Arc::clone(gateway);
    let path = path.to_owned();
    gateway
        .runtime
        .spawn_detached(async move { watch_settings(&path, &watcher.settings).await });
}

async fn serve_callers(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<SocketAddr, GatewayError> {
    let limits_of = Arc::clone(gateway);
    let limits = move || limits_of.caller_limits();
    let handling = Arc::clone(gateway);
    let handler = move |request| serve_request(Arc::clone(&handling), request);
    serve(
        &gateway.runtime,
        address,
        limits,
        &gateway.shutdown,
        handler,
    )
    .await
}

async fn serve_readiness(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<SocketAddr, GatewayError> {
    let asked = Arc::clone(gateway);
    let handler = move |request| std::future::ready(readiness(&asked, &request));
    // Probes are answered to the end.
    let never = Arc::default();
    serve(&gateway.runtime, address, internal_limits, &never, handler).await
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match request.uri().path() {
        READINESS_PATH if gateway.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}

fn follow_store(gateway: &Arc<Gateway>, address: SocketAddr) {
    let client = || StoreClient::new(gateway.runtime.clone(), gateway.clock, address);
    let accepting = Arc::clone(gateway);
    let accept = move |catalog| accepting.accept_catalog(catalog);
    gateway
        .runtime
        .spawn_detached(watch_catalog(client(), CATALOG_WAIT, accept));
    let accepting = Arc::clone(gateway);
    let accept = move |roster: &Roster, changes: &[RosterChange]| {
        accepting.accept_roster(roster, changes);
    };
    gateway
        .runtime
        .spawn_detached(watch_roster(client(), gateway.clock, accept));
}
