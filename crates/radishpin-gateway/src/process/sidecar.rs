//! The sidecar: the only sender of orders to the engine on its host.

use super::{
    Clock, GatewayError, Metrics, Shutdown, StoreClient, gateway::internal_limits, read_settings,
    serve_metrics, stop_asked, watch_settings,
};
use crate::{
    connection::{Connection, ExchangeError, get, post, serve},
    version::watch_catalog,
};
use event_listener::Event;
use futures_lite::future;
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_adapter::{
    EndpointOrder, ORDER_PATH, REPORT_PATH, Settings, decode_order_answer, decode_report,
    encode_order, header,
};
use radishpin_core::{
    process::{Action, GatewayReport, Residency, Settled},
    version::Catalog,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use std::{net::SocketAddr, path::PathBuf, sync::Arc};

/// Time between two reports while an order or a demand is open.
const REPORT_GAP_ACTIVE: Duration = Duration::from_millis(40);
/// Time between two reports otherwise.
const REPORT_GAP_IDLE: Duration = Duration::from_millis(150);
/// Longest time to an engine's report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(400);
/// Longest time to the answer to an order; the engine is on the same host.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// Reports in a row that fail before the engine counts as lost; a refused connection is one too.
const LOST_AFTER_REPORTS: u32 = 2;
/// Longest wait of a call for a new configuration.
const CATALOG_WAIT: Duration = Duration::from_secs(5);
/// Bytes of a report, from engine or gateway, at most.
const REPORT_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Longest time that a gateway may ask to wait.
const EXCHANGE_WAIT_MAX: Duration = Duration::from_secs(2);
/// The one holder of an engine's orders is its sidecar's host, so that the token never moves.
const FENCING_TOKEN: u64 = 1;

struct Sidecar {
    runtime: Runtime,
    clock: Clock,
    settings: Mutex<Arc<Settings>>,
    engine: SocketAddr,
    residency: Mutex<Residency>,
    /// Notified when the engine should be looked at before the next round.
    demand: Event,
    /// Notified when gateways should hear.
    status_changed: Event,
    shutdown: Arc<Shutdown>,
    metrics: Metrics,
}

/// A sidecar that runs.
pub struct SidecarProcess {
    sidecar: Arc<Sidecar>,
}

impl SidecarProcess {
    /// Starts a sidecar: listens for gateways, and follows its engine and the platform's store.
    ///
    /// # Errors
    /// The settings name no engine, or an address cannot be had.
    pub async fn start(
        runtime: Runtime,
        settings: Settings,
        metrics_port: u16,
    ) -> Result<Self, GatewayError> {
        let sidecar = Arc::new(Sidecar::new(runtime, settings)?);
        let settings = Arc::clone(&sidecar.settings.lock());
        serve_gateways(&sidecar, &settings).await?;
        let address = SocketAddr::new(settings.ip_address, metrics_port);
        let asked = Arc::clone(&sidecar);
        let answer = move || asked.metrics.answer();
        serve_metrics(&sidecar.runtime, address, answer).await;
        follow_catalog(&sidecar, &settings);
        let worker = Arc::clone(&sidecar);
        let work = async move { worker.work().await };
        sidecar.runtime.spawn_detached(work);
        log::info!(
            event = "started", role = "sidecar", host = settings.host, engine:% = sidecar.engine,
            store:% = settings.store, first_start = settings.first_start,
            version = env!("CARGO_PKG_VERSION");
            "sidecar started"
        );
        Ok(Self { sidecar })
    }

    /// Stops listening; an order that is on its way is settled by the next life.
    pub fn stop(&self) {
        self.sidecar.shutdown.end();
        log::info!(event = "stopped"; "sidecar stopped");
    }
}

/// Runs a sidecar until it is asked to stop.
///
/// # Errors
/// The settings name no engine, an address cannot be had, or the process cannot be set up.
pub fn run_sidecar(path: PathBuf, metrics_port: u16) -> Result<(), GatewayError> {
    let settings = read_settings(&path)?;
    let runtime = Runtime::start(settings.cores)?;
    smol::block_on(async {
        let process = SidecarProcess::start(runtime.clone(), settings, metrics_port).await?;
        let watched = Arc::clone(&process.sidecar);
        let watch = async move { watch_settings(&path, &watched.settings).await };
        runtime.spawn_detached(watch);
        stop_asked().await?;
        process.stop();
        Ok(())
    })
}

fn follow_catalog(sidecar: &Arc<Sidecar>, settings: &Settings) {
    let client = StoreClient::new(sidecar.runtime.clone(), sidecar.clock, settings.store);
    let accepting = Arc::clone(sidecar);
    let service = settings.service.clone();
    let window = settings.platform_limits.load_window;
    let accept = move |catalog: Arc<Catalog>| {
        let service = service.as_ref().and_then(|name| catalog.services.get(name));
        match service.and_then(|service| service.engine.clone()) {
            Some(engine) => accepting.residency.lock().configure(engine, window),
            None => {
                log::warn!(event = "service_unknown"; "the configuration holds no engine for this host")
            }
        }
        accepting.demand.notify(1);
    };
    sidecar
        .runtime
        .spawn_detached(watch_catalog(client, CATALOG_WAIT, accept));
}

async fn serve_gateways(sidecar: &Arc<Sidecar>, settings: &Settings) -> Result<(), GatewayError> {
    let runtime = &sidecar.runtime;
    let shutdown = &sidecar.shutdown;
    let address = SocketAddr::new(settings.ip_address, settings.internal_port);
    let handling = Arc::clone(sidecar);
    let handler = move |request| answer_gateway(Arc::clone(&handling), request);
    serve(runtime, address, internal_limits, shutdown, handler).await?;
    Ok(())
}

/// Takes a gateway's report and answers with the status, at once or when it changes.
async fn answer_gateway(
    sidecar: Arc<Sidecar>,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let wait = exchange_wait(request.uri().query().unwrap_or_default());
    let body = Limited::new(request.into_body(), REPORT_BYTES_MAX)
        .collect()
        .await;
    let report = body
        .ok()
        .and_then(|body| serde_json::from_slice::<GatewayReport>(&body.to_bytes()).ok());
    let Some(report) = report else {
        log::warn!(event = "report_unreadable"; "a gateway's report cannot be read");
        return status_only(StatusCode::BAD_REQUEST);
    };
    let seen = (report.seen_incarnation, report.seen_version);
    if sidecar.residency.lock().heard(report, sidecar.clock.now()) {
        sidecar.demand.notify(1);
    }
    let _ = timeout(wait, sidecar.status_after(seen)).await;
    let status = sidecar.residency.lock().status(sidecar.clock.now());
    match serde_json::to_vec(&status) {
        Ok(body) => Response::new(Full::from(body)),
        Err(cause) => {
            log::error!(event = "status_failed", cause:% = cause; "status cannot be written");
            status_only(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn exchange_wait(query: &str) -> Duration {
    let value = query.strip_prefix("wait_ms=").unwrap_or_default();
    let wait = Duration::from_millis(value.parse().unwrap_or(0));
    wait.min(EXCHANGE_WAIT_MAX)
}

fn status_only(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

impl Sidecar {
    fn new(runtime: Runtime, settings: Settings) -> Result<Self, GatewayError> {
        let engine = settings
            .engine
            .ok_or(GatewayError::MissingSetting("address of an engine"))?;
        let store_load_after = if settings.first_start {
            Duration::ZERO
        } else {
            settings.platform_limits.load_window
        };
        Ok(Self {
            runtime,
            clock: Clock::start(),
            engine,
            residency: Mutex::new(Residency::new(rand::random(), store_load_after)),
            settings: Mutex::new(Arc::new(settings)),
            demand: Event::new(),
            status_changed: Event::new(),
            shutdown: Arc::default(),
            metrics: Metrics::new().map_err(std::io::Error::other)?,
        })
    }

    /// Waits for a status other than the one that was seen.
    async fn status_after(&self, seen: (Incarnation, u64)) {
        loop {
            let listener = self.status_changed.listen();
            let status = self.residency.lock().status(self.clock.now());
            if (status.incarnation, status.version) != seen {
                return;
            }
            listener.await;
        }
    }

    /// Looks at the engine and sends it orders, for ever.
    async fn work(&self) {
        let mut connection = None;
        let mut failures = 0;
        let mut told_version = 0;
        loop {
            let listener = self.demand.listen();
            let answered = self.look(&mut connection, &mut failures).await;
            let ordered = answered && self.order_next().await;
            let (version, active) = {
                let residency = self.residency.lock();
                (residency.status_version(), residency.is_active())
            };
            if version != told_version {
                told_version = version;
                self.status_changed.notify(usize::MAX);
            }
            if ordered {
                continue;
            }
            let gap = if active {
                REPORT_GAP_ACTIVE
            } else {
                REPORT_GAP_IDLE
            };
            future::or(listener, Runtime::sleep(gap)).await;
        }
    }

    /// Reads the engine's report; returns whether there is one.
    async fn look(&self, connection: &mut Option<Connection>, failures: &mut u32) -> bool {
        let report = timeout(REPORT_TIMEOUT, self.read_report(connection)).await;
        match report {
            Some(Ok(())) => {
                if *failures >= LOST_AFTER_REPORTS {
                    log::info!(event = "engine_regained"; "engine answers again");
                }
                *failures = 0;
                true
            }
            failed => {
                *connection = None;
                *failures += 1;
                let refused = matches!(failed, Some(Err(ExchangeError::Connect(_))));
                if *failures == LOST_AFTER_REPORTS || (refused && *failures < LOST_AFTER_REPORTS) {
                    *failures = LOST_AFTER_REPORTS;
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
        let answer = get(&mut connection, self.engine, REPORT_PATH, REPORT_BYTES_MAX).await?;
        let report =
            decode_report(&answer.body).map_err(|cause| ExchangeError::Body(cause.to_string()))?;
        let now = self.clock.now();
        self.residency.lock().observe(report, now);
        connection.keep(answer.keep_alive, now);
        *slot = Some(connection);
        Ok(())
    }

    /// Sends the next order, if there is one; returns whether it was sent.
    async fn order_next(&self) -> bool {
        let now = self.clock.now();
        let (decided, endpoint) = {
            let mut residency = self.residency.lock();
            (residency.decide(now), residency.endpoint().cloned())
        };
        let (Some((action, sequence)), Some(endpoint)) = (decided, endpoint) else {
            return false;
        };
        let settled = timeout(ORDER_TIMEOUT, self.send_order(&action, sequence, &endpoint)).await;
        let settled = settled.unwrap_or(Settled::Unknown);
        let took = self.clock.now().saturating_sub(now);
        self.metrics.order_s.observe(took.as_secs_f64());
        let (kind, model, adapter) = parts(&action);
        let outcome = outcome_name(settled);
        self.metrics
            .orders
            .with_label_values(&[kind, outcome])
            .inc();
        log::info!(
            event = "order_sent", kind = kind, model = model, adapter = adapter.unwrap_or("-"), endpoint = endpoint,
            sequence = sequence, outcome = outcome, took_ms = took.as_millis() as u64;
            "order settled"
        );
        self.residency
            .lock()
            .settle(&action, settled, self.clock.now());
        true
    }

    async fn send_order(&self, action: &Action, sequence: u64, endpoint: &str) -> Settled {
        let host = self.settings.lock().host.clone();
        let (_, model, adapter) = parts(action);
        let order = EndpointOrder {
            load: matches!(action, Action::Load(_) | Action::LoadAdapter(..)),
            model,
            adapter,
            expected_sequence: sequence,
            holder: &host,
            fencing_token: FENCING_TOKEN,
        };
        let Ok(body) = encode_order(&order) else {
            return Settled::Refused;
        };
        let Ok(mut connection) = Connection::open(&self.runtime, self.engine).await else {
            return Settled::Refused;
        };
        let headers = [(header::EXPECTED_ENDPOINT, endpoint)];
        let answer = post(
            &mut connection,
            self.engine,
            ORDER_PATH,
            &headers,
            body,
            REPORT_BYTES_MAX,
        );
        match answer.await {
            Ok(answer) => match decode_order_answer(answer.status) {
                Settled::Misdirected => self.learn_engine_id(&answer.headers, endpoint),
                settled => settled,
            },
            Err(ExchangeError::NotSent | ExchangeError::Connect(_)) => Settled::Refused,
            Err(_) => Settled::Unknown,
        }
    }
}

impl Sidecar {
    /// Takes the engine's id from its refusal of an order for another one.
    fn learn_engine_id(&self, headers: &HeaderMap, expected: &str) -> Settled {
        let told = headers
            .get(header::ENDPOINT)
            .and_then(|id| id.to_str().ok());
        match told {
            Some(id) if id != expected => {
                log::info!(event = "engine_replaced", expected = expected, endpoint = id; "engine has a new id");
                let id = Some(id.to_owned());
                self.residency.lock().engine_told_id(id);
                Settled::Misdirected
            }
            _ => {
                self.residency.lock().engine_told_id(None);
                Settled::Refused
            }
        }
    }
}

fn parts(action: &Action) -> (&'static str, &str, Option<&str>) {
    match action {
        Action::Load(model) => ("load", model, None),
        Action::Unload(model) => ("unload", model, None),
        Action::LoadAdapter(model, adapter) => ("load_adapter", model, Some(adapter)),
        Action::UnloadAdapter(model, adapter) => ("unload_adapter", model, Some(adapter)),
    }
}

fn outcome_name(settled: Settled) -> &'static str {
    match settled {
        Settled::Accepted => "accepted",
        Settled::Unneeded => "unneeded",
        Settled::Refused => "refused",
        Settled::Misdirected => "misdirected",
        Settled::Unknown => "unknown",
    }
}
