//! Measures what a gateway's decisions cost by the number of engines, without processes and sockets.
//!
//! Run with `cargo run --release -p radishpin-core --example gateway_decisions`. The fleet has three models loaded at
//! each engine and twelve on its disk. A sixth of the models is busy, and one in ten busy models has fewer replicas
//! than it needs, as after demand has moved.

use radishpin_core::{
    process::{
        EndpointEntry, EndpointPhase, Fleet, LoadStatus, ModelStatus, Pick, PickQuery, Standing,
        Status,
    },
    request::Tier,
    version::{Catalog, EngineSpec, ModelSpec, Service},
};
use radishpin_protocol::prelude::*;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};

const SERVICE: &str = "drafts";
const ZONES: usize = 6;
const MODELS_PER_ENGINE: usize = 6;
const LOADED_PER_ENGINE: usize = 3;
const ON_DISK_PER_ENGINE: usize = 12;
/// One model in this many is busy.
const BUSY_DIVISOR: usize = 6;
/// One engine in this many loads a model from the weight store.
const LOADING_DIVISOR: usize = 10;
/// Requests a second for each busy model over all gateways.
const BUSY_PER_S: f32 = 3.5;
const ROUNDS: u32 = 20;
/// How often a gateway plans, a second.
const PLANS_PER_S: f64 = 5.0;

fn main() {
    println!("engines  plan us  plans ms/s  cold pick us  loaded pick us  status and report us");
    for engines in [10, 30, 100, 180, 300] {
        measure(engines);
    }
}

fn measure(engines: usize) {
    let mut gateway = TestGateway::new(engines);
    let plan_us = mean_us(ROUNDS, || gateway.plan());
    let cold_us = mean_us(ROUNDS * 5, || gateway.pick_cold());
    let loaded_us = mean_us(ROUNDS * 5, || gateway.pick_loaded());
    let report_us = mean_us(ROUNDS * 5, || gateway.exchange());
    println!(
        "{engines:7}  {plan_us:7.0}  {:10.1}  {cold_us:12.1}  {loaded_us:14.1}  {report_us:20.1}",
        plan_us * PLANS_PER_S / 1_000.0
    );
}

fn mean_us(rounds: u32, mut step: impl FnMut()) -> f64 {
    step();
    let started = Instant::now();
    for _ in 0..rounds {
        step();
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(rounds)
}

struct TestGateway {
    fleet: Fleet,
    engines: usize,
    version: u64,
    now: Duration,
    tried: BTreeSet<EndpointId>,
}

fn engine_id(engine: usize) -> EndpointId {
    format!("i{engine:06}")
}

fn model_id(model: usize) -> ModelId {
    format!("model-{model:05}")
}

impl TestGateway {
    fn new(engines: usize) -> Self {
        let mut fleet = Fleet::new("gateway-1".into(), 1, "zone-0".into());
        fleet.configure(Arc::new(catalog(engines)));
        let entries = (0..engines).map(|engine| (engine_id(engine), entry(engine)));
        fleet.update_endpoints(&entries.collect(), &[]);
        let mut gateway = Self {
            fleet,
            engines,
            version: 1,
            now: Duration::from_secs(10),
            tried: BTreeSet::new(),
        };
        for engine in 0..engines {
            let status = gateway.status(engine);
            let id = engine_id(engine);
            gateway.fleet.update_status(&id, status, gateway.now);
        }
        gateway
    }

    fn model_count(&self) -> usize {
        self.engines * MODELS_PER_ENGINE
    }

    fn status(&self, engine: usize) -> Status {
        let busy_count = self.model_count() / BUSY_DIVISOR;
        let busy = |n: usize| (engine + n * 7) % (busy_count * 9 / 10).max(1);
        let rare = busy_count + engine % (self.model_count() - busy_count);
        let loaded = [busy(0), busy(1), rare];
        let models = loaded.iter().map(|model| {
            let per_s = if *model < busy_count { BUSY_PER_S } else { 0.0 };
            let status = ModelStatus {
                per_s,
                ..ModelStatus::default()
            };
            (model_id(*model), status)
        });
        let on_disk = (0..ON_DISK_PER_ENGINE)
            .map(|n| model_id((engine * ON_DISK_PER_ENGINE + n) % self.model_count()));
        let is_loading = engine.is_multiple_of(LOADING_DIVISOR);
        let loading = is_loading.then(|| LoadStatus {
            model: model_id(self.model_count() - 1 - engine),
            tier: Tier::Remote,
            remaining_ms: 9_000,
        });
        Status {
            incarnation: engine as u64 + 1,
            version: self.version,
            engine_up: true,
            engine_started_unix_ms: 1,
            running: (engine % 16) as u32,
            models: models.take(LOADED_PER_ENGINE).collect(),
            loading,
            busy: is_loading,
            room_ms: 400,
            on_disk: on_disk.collect(),
            gateways: 100,
            ..Status::default()
        }
    }

    fn plan(&mut self) {
        for model in 0..self.model_count() / BUSY_DIVISOR {
            for _ in 0..4 {
                self.fleet.count_request(&model_id(model), self.now);
            }
        }
        self.now += Duration::from_millis(200);
        self.fleet.plan(self.now);
    }

    fn pick(&mut self, model: usize) -> Pick {
        let model = model_id(model);
        let query = PickQuery {
            service: SERVICE,
            target: Some((&model, None)),
            software_version: None,
            priority: 1,
            standing: Standing::Within,
            time_left: Duration::from_secs(16),
            stopping: false,
            waited: Duration::ZERO,
            reconsider: true,
            prompt_tokens: 800,
            tried: &self.tried,
            random: 7,
        };
        self.fleet.pick(&query, self.now)
    }

    fn pick_cold(&mut self) {
        self.pick(self.model_count() - 1);
    }

    fn pick_loaded(&mut self) {
        if let Pick::Send { endpoint, .. } = self.pick(0) {
            let outcome = radishpin_core::process::RequestOutcome::Refused;
            let target = Some((model_id(0), None));
            let target = target
                .as_ref()
                .map(|(model, adapter)| (model.as_str(), *adapter));
            self.fleet.end_request(&endpoint, target, outcome, self.now);
        }
    }

    /// A status that changed, and the next report.
    fn exchange(&mut self) {
        self.version += 1;
        let mut status = self.status(1);
        if self.version.is_multiple_of(2) {
            status.models.pop_last();
        }
        self.fleet.update_status(&engine_id(1), status, self.now);
        self.fleet.next_report(&engine_id(2), self.now);
    }
}

fn entry(engine: usize) -> EndpointEntry {
    let ip = Ipv4Addr::new(10, 0, (engine / 250) as u8, (engine % 250) as u8 + 1);
    EndpointEntry {
        service: SERVICE.to_owned(),
        address: SocketAddr::from((ip, 7_380)),
        zone: format!("zone-{}", engine % ZONES),
        slots: 16,
        phase: EndpointPhase::Ready,
        software_version: Some("v1".to_owned()),
        started_unix_ms: 1,
        sequence: 1,
        cold_remaining: Duration::ZERO,
        remaining: None,
        models: BTreeMap::new(),
    }
}

fn catalog(engines: usize) -> Catalog {
    let model = ModelSpec {
        weights_mb: 70_000,
        adapter_mb: 12,
        load_remote: Duration::from_secs(14),
        load_disk: Duration::from_millis(1_600),
        load_memory: Duration::from_millis(600),
    };
    let models = (0..engines * MODELS_PER_ENGINE).map(|n| (model_id(n), model.clone()));
    let engine = EngineSpec {
        slots: 16,
        kv_cache_tokens: 89_000,
        memory_mb: 230_000,
        adapter_slots: 8,
        store_loads_per_s: 52.0,
        models: models.collect(),
    };
    let service = Service {
        connection_limit: 750,
        engine: Some(engine),
    };
    Catalog {
        services: [(SERVICE.to_owned(), Arc::new(service))].into(),
        ..Catalog::default()
    }
}
