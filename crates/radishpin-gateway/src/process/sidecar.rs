//! The sidecar: the only process that sends orders to the engine on its host.

mod orders;
mod relay;
mod shared_state;

use super::{
    Clock, GatewayError, Metrics, ReloadSignal, Shutdown, StoreAddress, StoreClient,
    clock::unix_ms, gateway::internal_limits, read_settings, serve_metrics, watch_settings,
};
use crate::{
    connection::{
        Connection, ConnectionRegistry, ExchangeError, ListenerKind, RELAY_PATH, SHARED_STATE_PATH,
        get, serve,
    },
    version::{CatalogContact, watch_catalog},
};
use event_listener::Event;
use futures_lite::future;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_adapter::{REPORT_PATH, Settings, decode_report};
use radishpin_core::{
    process::{GatewayReport, Residency},
    version::Catalog,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, StopSignals, timeout};
use relay::{REPORTS_PATH, RelayState, RelayedReports, handle_relay};
use serde::{Serialize, de::DeserializeOwned};
pub(crate) use shared_state::NEWS_WAIT;
use shared_state::{SharedState, handle_shared_state};
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Time between two polls of the engine while it is busy or an eviction or a demand is pending.
const POLL_INTERVAL_ACTIVE: Duration = Duration::from_millis(40);
/// Time between two polls of the engine otherwise.
const POLL_INTERVAL_IDLE: Duration = Duration::from_millis(150);
/// Timeout of a poll, connecting included.
const POLL_TIMEOUT: Duration = Duration::from_millis(400);
/// Consecutive failed polls after which the engine counts as lost. If the connection cannot be
/// opened, one is enough.
const LOST_AFTER_FAILURES: u32 = 2;
/// Longest time that a call to the store waits for a new configuration. A connection that a drill of the store has left
/// silent is noticed 0.7 s after it, and the configuration must be read within 5 s of the store's return: 3 s until the
/// host counts as connected, and 2 s more.
const CATALOG_WAIT: Duration = Duration::from_millis(3_500);
/// Largest accepted body, in bytes, of an engine's response or a gateway's report.
const BODY_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Longest time that a gateway may wait for a changed status.
const EXCHANGE_WAIT_MAX: Duration = Duration::from_secs(2);

struct Sidecar {
    runtime: Runtime,
    clock: Clock,
    settings: Mutex<Arc<Settings>>,
    store_address: Arc<StoreAddress>,
    engine: SocketAddr,
    residency: Mutex<Residency>,
    incarnation: Incarnation,
    shared: SharedState,
    relayed: RelayState,
    /// Notified when the engine should be polled without waiting for the next interval.
    poll_requested: Event,
    /// Notified when the status has changed, which answers the waiting gateways.
    status_changed: Event,
    shutdown: Arc<Shutdown>,
    metrics: Metrics,
}

/// A running sidecar, as started by [`Self::start`].
pub struct SidecarProcess {
    sidecar: Arc<Sidecar>,
}

impl SidecarProcess {
    /// Starts a sidecar: listens for gateways, polls its engine, and follows the configuration in
    /// the platform's store.
    ///
    /// # Errors
    /// The settings contain no engine, or listening for gateways fails.
    pub async fn start(
        runtime: Runtime,
        settings: Settings,
        metrics_port: u16,
    ) -> Result<Self, GatewayError> {
        let sidecar = Arc::new(Sidecar::new(runtime, settings)?);
        let settings = Arc::clone(&sidecar.settings.lock());
        serve_gateways(&sidecar, &settings).await?;
        let address = SocketAddr::new(settings.ip_address, metrics_port);
        let metrics_sidecar = Arc::clone(&sidecar);
        let render = move || metrics_sidecar.metrics.render();
        let registry = sidecar.connection_registry(ListenerKind::Metrics);
        serve_metrics(&sidecar.runtime, address, registry, render).await;
        spawn_catalog_watch(&sidecar, &settings);
        let worker = Arc::clone(&sidecar);
        let polling = async move { worker.poll_and_order().await };
        sidecar.runtime.spawn_detached(polling);
        log::info!(
            event = "started", role = "sidecar", host = settings.host, engine:% = sidecar.engine,
            store:% = settings.store, first_start = settings.first_start,
            version = env!("CARGO_PKG_VERSION");
            "sidecar started"
        );
        Ok(Self { sidecar })
    }

    /// Stops listening for gateways. Does not wait for an order in progress: after a restart, the
    /// engine's report shows whether it took effect.
    pub fn stop(&self) {
        self.sidecar.shutdown.stop_listeners();
        log::info!(event = "stopped"; "sidecar stopped");
    }
}

/// Runs a sidecar with the settings file at `path` until SIGINT or SIGTERM.
///
/// # Errors
/// The settings cannot be read or contain no engine, listening for gateways fails, or threads or
/// signal handlers cannot be set up.
pub fn run_sidecar(path: PathBuf, metrics_port: u16) -> Result<(), GatewayError> {
    let settings = read_settings(&path)?;
    let runtime = Runtime::start(settings.cores)?;
    smol::block_on(async {
        let mut stop_signals = StopSignals::register()?;
        let reload_signal = ReloadSignal::register();
        let process = SidecarProcess::start(runtime.clone(), settings, metrics_port).await?;
        let watched = Arc::clone(&process.sidecar);
        let watch = async move {
            watch_settings(
                &path,
                &watched.settings,
                &watched.store_address,
                reload_signal,
            )
            .await
        };
        runtime.spawn_detached(watch);
        stop_signals.wait().await?;
        process.stop();
        Ok(())
    })
}

fn spawn_catalog_watch(sidecar: &Arc<Sidecar>, settings: &Settings) {
    let client = StoreClient::new(
        sidecar.runtime.clone(),
        sidecar.clock,
        Arc::clone(&sidecar.store_address),
    );
    let watching_sidecar = Arc::clone(sidecar);
    let service = settings.service.clone();
    let window = settings.platform_limits.load_window;
    let on_update = move |catalog: Arc<Catalog>| {
        let service = service.as_ref().and_then(|name| catalog.services.get(name));
        match service.and_then(|service| service.engine.clone()) {
            Some(engine) => watching_sidecar.residency.lock().configure(engine, window),
            None => {
                log::warn!(event = "service_unknown"; "the configuration has no engine for this sidecar's service")
            }
        }
        watching_sidecar.poll_requested.notify(1);
    };
    let contact = CatalogContact::new();
    let watching = async move { watch_catalog(client, CATALOG_WAIT, &contact, on_update).await };
    sidecar.runtime.spawn_detached(watching);
}

async fn serve_gateways(sidecar: &Arc<Sidecar>, settings: &Settings) -> Result<(), GatewayError> {
    let runtime = &sidecar.runtime;
    let shutdown = &sidecar.shutdown;
    let address = SocketAddr::new(settings.ip_address, settings.internal_port);
    let shared_sidecar = Arc::clone(sidecar);
    let handler = move |request| handle_gateway(Arc::clone(&shared_sidecar), request);
    let registry = sidecar.connection_registry(ListenerKind::Gateways);
    serve(
        runtime,
        address,
        internal_limits,
        registry,
        shutdown,
        handler,
    )
    .await?;
    Ok(())
}

async fn handle_gateway(
    sidecar: Arc<Sidecar>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    match request.uri().path() {
        SHARED_STATE_PATH => handle_shared_state(&sidecar, request).await,
        RELAY_PATH => handle_relay(sidecar, request).await,
        REPORTS_PATH => handle_relayed_reports(sidecar, request).await,
        _ => handle_exchange(sidecar, request).await,
    }
}

/// Records a gateway's report and responds with the status, as soon as that differs from the one
/// that the gateway has seen or when its wait ends.
async fn handle_exchange(
    sidecar: Arc<Sidecar>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let wait = requested_wait(request.uri().query().unwrap_or_default());
    let Some(report) = read_json::<GatewayReport>(request).await else {
        log::warn!(event = "report_unreadable"; "cannot read a gateway's report");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let seen = (report.seen_incarnation, report.seen_version);
    if sidecar
        .residency
        .lock()
        .record_gateway_report(report, sidecar.clock.now())
    {
        sidecar.poll_requested.notify(1);
    }
    let _ = timeout(wait, sidecar.wait_for_new_status(seen)).await;
    json_response(&sidecar.residency.lock().status(sidecar.clock.now()))
}

/// Records reports that come through a relay and responds as [`handle_exchange`] does; of the statuses that the
/// gateways have seen, the latest counts.
async fn handle_relayed_reports(
    sidecar: Arc<Sidecar>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let wait = requested_wait(request.uri().query().unwrap_or_default());
    let Some(reports) = read_json::<RelayedReports>(request).await else {
        log::warn!(event = "report_unreadable"; "cannot read a relay's reports");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    let now = sidecar.clock.now();
    let mut poll_requested = false;
    for report in reports.reports {
        poll_requested |= sidecar.residency.lock().record_relayed_report(report, now);
    }
    if poll_requested {
        sidecar.poll_requested.notify(1);
    }
    let seen = (reports.seen_incarnation, reports.seen_version);
    let _ = timeout(wait, sidecar.wait_for_new_status(seen)).await;
    json_response(&sidecar.residency.lock().status(sidecar.clock.now()))
}

/// Reads the body of a message; `None` if it is too large, breaks off or cannot be decoded.
async fn read_json<T: DeserializeOwned>(request: Request<Incoming>) -> Option<T> {
    let body = Limited::new(request.into_body(), BODY_BYTES_MAX);
    let body = body.collect().await.ok()?;
    serde_json::from_slice(&body.to_bytes()).ok()
}

fn json_response(message: &impl Serialize) -> Response<Full<Bytes>> {
    match serde_json::to_vec(message) {
        Ok(body) => Response::new(Full::from(body)),
        Err(cause) => {
            log::error!(event = "status_failed", cause:% = cause; "cannot serialize an answer");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn requested_wait(query: &str) -> Duration {
    let value = query.strip_prefix("wait_ms=").unwrap_or_default();
    let wait = Duration::from_millis(value.parse().unwrap_or(0));
    wait.min(EXCHANGE_WAIT_MAX)
}

fn empty_response(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl Sidecar {
    /// Bounds the connections of a listener by the limits of the host.
    fn connection_registry(&self, listener: ListenerKind) -> Arc<ConnectionRegistry> {
        let closed = self.metrics.connections_closed.clone();
        ConnectionRegistry::new(&self.settings.lock().host_limits, listener, closed)
    }

    fn new(runtime: Runtime, settings: Settings) -> Result<Self, GatewayError> {
        let engine = settings
            .engine
            .ok_or(GatewayError::MissingSetting("address of an engine"))?;
        let clock = Clock::start();
        let store_load_delay = if settings.first_start {
            Duration::ZERO
        } else {
            settings.platform_limits.load_window
        };
        let store_load_after = clock.now() + store_load_delay;
        let incarnation = rand::random();
        let mut residency = Residency::new(incarnation, store_load_after);
        if !settings.first_start {
            residency = residency.with_predecessor(clock.now(), unix_ms());
        }
        Ok(Self {
            runtime,
            clock,
            engine,
            incarnation,
            residency: Mutex::new(residency),
            shared: SharedState::default(),
            relayed: RelayState::new(incarnation),
            store_address: Arc::new(StoreAddress::new(settings.store)),
            settings: Mutex::new(Arc::new(settings)),
            poll_requested: Event::new(),
            status_changed: Event::new(),
            shutdown: Arc::default(),
            metrics: Metrics::new().map_err(std::io::Error::other)?,
        })
    }

    /// Waits for a status other than `seen`, an incarnation and version.
    async fn wait_for_new_status(&self, seen: (Incarnation, u64)) {
        loop {
            let listener = self.status_changed.listen();
            let newest = {
                let residency = self.residency.lock();
                (residency.incarnation(), residency.status_version())
            };
            if newest != seen {
                return;
            }
            listener.await;
        }
    }

    /// Polls the engine and sends it orders until the process exits.
    async fn poll_and_order(&self) {
        let mut connection = None;
        let mut failures = 0;
        let mut announced_version = 0;
        loop {
            let listener = self.poll_requested.listen();
            let reported = self.poll_engine(&mut connection, &mut failures).await;
            let order_sent = reported && self.send_next_order().await;
            let (version, active) = {
                let residency = self.residency.lock();
                (residency.status_version(), residency.is_active())
            };
            if version != announced_version {
                announced_version = version;
                self.status_changed.notify(usize::MAX);
            }
            if order_sent {
                continue;
            }
            let interval = if active {
                POLL_INTERVAL_ACTIVE
            } else {
                POLL_INTERVAL_IDLE
            };
            future::or(listener, Runtime::sleep(interval)).await;
        }
    }

    /// Reads the engine's report; returns whether that succeeded.
    async fn poll_engine(&self, connection: &mut Option<Connection>, failures: &mut u32) -> bool {
        let report = timeout(POLL_TIMEOUT, self.read_report(connection)).await;
        match report {
            Some(Ok(())) => {
                if *failures >= LOST_AFTER_FAILURES {
                    log::info!(event = "engine_regained"; "engine answers again");
                }
                *failures = 0;
                true
            }
            failed => {
                *connection = None;
                *failures += 1;
                let connect_failed = matches!(failed, Some(Err(ExchangeError::Connect(_))));
                if *failures == LOST_AFTER_FAILURES
                    || (connect_failed && *failures < LOST_AFTER_FAILURES)
                {
                    *failures = LOST_AFTER_FAILURES;
                    let cause = match failed {
                        Some(Err(cause)) => cause.to_string(),
                        _ => "no report in time".to_owned(),
                    };
                    log::warn!(event = "engine_lost", cause = cause; "engine does not answer");
                    self.residency.lock().engine_lost();
                }
                false
            }
        }
    }

    async fn read_report(&self, slot: &mut Option<Connection>) -> Result<(), ExchangeError> {
        let mut connection = match slot.take() {
            Some(connection) if connection.is_usable(self.clock.now()) => connection,
            _ => Connection::open(&self.runtime, self.engine).await?,
        };
        let answer = get(&mut connection, self.engine, REPORT_PATH, BODY_BYTES_MAX).await?;
        let report =
            decode_report(&answer.body).map_err(|cause| ExchangeError::Body(cause.to_string()))?;
        let now = self.clock.now();
        self.residency.lock().observe(report, now);
        connection.keep(answer.keep_alive, now);
        *slot = Some(connection);
        Ok(())
    }
}
