//! `radishpin standin`: serves a stand-in for the platform, an engine or a plain service.

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    settings::{
        Fault, Kind, Setting, Values,
        common::{LOG_LEVEL, SEED, THREADS},
    },
};
use radishpin_http::Shutdown;
use radishpin_local::{ClusterPlan, seed_platform};
use radishpin_runtime::{Runtime, StopSignals};
use radishpin_standin::{
    Engine, EngineSettings, MemoryPlatform, PlainService, PlainServiceSettings, WeightStore,
    WeightStoreSettings,
};
use smol::{Task, net::TcpListener};
use std::{io, net::SocketAddr, time::Duration};

const PLATFORM: &str = "platform";
const ENGINE: &str = "engine";
const PLAIN: &str = "plain";

static KIND: Setting = Setting::with_default(
    "kind",
    Kind::Choice(&[PLATFORM, ENGINE, PLAIN]),
    PLATFORM,
    "Process to simulate; a platform starts with the rows and hosts of `radishpin try`.",
)
.env("RADISHPIN_KIND");

static LISTEN: Setting = Setting::with_default(
    "listen",
    Kind::Address,
    "127.0.0.1:9000",
    "Address to listen at; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

static MEMORY: Setting = Setting::with_default(
    "memory-mb",
    Kind::Number {
        min: 1,
        max: 16_777_216,
        unit: "MiB",
    },
    "24000",
    "Accelerator memory of an engine.",
)
.env("RADISHPIN_MEMORY_MB");

static SERVICE_TIME: Setting = Setting::with_default(
    "service-time",
    Kind::Duration {
        min: Duration::ZERO,
        max: Duration::from_secs(60),
    },
    "20ms",
    "Time that a plain service takes for a call.",
)
.env("RADISHPIN_SERVICE_TIME");

/// Kind of process that `radishpin standin` simulates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum StandinKind {
    Platform,
    Engine,
    Plain,
}

/// Validated settings of `radishpin standin`.
#[derive(Clone, Copy, Debug)]
struct StandinSettings {
    kind: StandinKind,
    listen: SocketAddr,
    memory_mb: u32,
    service_time: Duration,
    seed: u64,
    threads: usize,
}

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "standin",
    summary: "Serve a stand-in for the platform, an engine or a plain service, for tests.",
    usages: &["[FLAGS]"],
    settings: &[
        &KIND,
        &LISTEN,
        &MEMORY,
        &SERVICE_TIME,
        &SEED,
        &THREADS,
        &LOG_LEVEL,
    ],
    examples: &[
        "radishpin standin --listen 127.0.0.1:9000 --seed 7",
        "radishpin standin --kind engine --listen 127.0.0.1:7000 --memory-mb 24000",
        "radishpin standin --kind plain --listen 127.0.0.1:7001 --service-time 20ms",
    ],
    notes: "",
    check: reject_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(standin_settings(values)?)
}

/// Serves the stand-in until a stop signal arrives.
fn start(settings: StandinSettings) -> Result<(), CommandError> {
    let runtime = Runtime::start(settings.threads)?;
    smol::block_on(async {
        let listener = TcpListener::bind(settings.listen).await?;
        let address = listener.local_addr()?;
        let shutdown = Shutdown::default();
        let served = serve(settings, &runtime, listener, shutdown.clone())?;
        let mut stop_signals = StopSignals::register()?;
        println!("ready http://{address}");
        stop_signals.wait().await?;
        shutdown.begin();
        served.await?;
        Ok(())
    })
}

fn serve(
    settings: StandinSettings,
    runtime: &Runtime,
    listener: TcpListener,
    shutdown: Shutdown,
) -> Result<Task<io::Result<()>>, CommandError> {
    let spawner = runtime.clone();
    let runtime = runtime.clone();
    Ok(match settings.kind {
        StandinKind::Platform => {
            let platform = MemoryPlatform::new(settings.seed);
            seed_platform(
                &platform,
                &ClusterPlan::small(settings.listen, settings.seed),
            )?;
            spawner.spawn(async move { platform.serve(runtime, listener, shutdown).await })
        }
        StandinKind::Engine => {
            let engine_settings = EngineSettings {
                memory_mb: settings.memory_mb,
                ..EngineSettings::default()
            };
            let weight_store = WeightStore::new(WeightStoreSettings::default());
            let engine = Engine::new(engine_settings, weight_store, settings.seed);
            spawner.spawn(async move { engine.serve(runtime, listener, shutdown).await })
        }
        StandinKind::Plain => {
            let plain = PlainService::new(PlainServiceSettings {
                name: PLAIN.to_owned(),
                service_time: settings.service_time,
            });
            spawner.spawn(async move { plain.serve(runtime, listener, shutdown).await })
        }
    })
}

fn standin_settings(values: &Values) -> Result<StandinSettings, Vec<Fault>> {
    let kind = match values.optional_text(&KIND) {
        Some(ENGINE) => StandinKind::Engine,
        Some(PLAIN) => StandinKind::Plain,
        _ => StandinKind::Platform,
    };
    Ok(StandinSettings {
        kind,
        listen: values.address(&LISTEN)?,
        memory_mb: values.number(&MEMORY)?,
        service_time: values.duration(&SERVICE_TIME)?,
        seed: values.number(&SEED)?,
        threads: values.number(&THREADS)?,
    })
}
