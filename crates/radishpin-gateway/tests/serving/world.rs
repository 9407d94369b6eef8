//! A small cluster: a store, endpoints, sidecars and a gateway.

use super::{
    caller::{CallerRequest, CallerResponse, send_request},
    endpoint::Endpoint,
    store::Store,
};
use http::{Request, Response};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use radishpin_adapter::Settings;
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use radishpin_runtime::Runtime;
use serde_json::{Value, json};
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use std::{
    error::Error,
    net::{IpAddr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU8, Ordering},
    },
    time::Duration,
};

/// Models of the service `drafts`; an engine has room for two.
pub const MODELS: [&str; 4] = ["m0", "m1", "m2", "m3"];

static NEXT_IP: AtomicU8 = AtomicU8::new(2);

/// A loopback address that no other world uses.
pub fn next_ip() -> String {
    format!("127.0.7.{}", NEXT_IP.fetch_add(1, Ordering::Relaxed))
}

pub struct World {
    pub runtime: Runtime,
    pub store: Arc<Store>,
    pub gateway: GatewayProcess,
    store_address: SocketAddr,
    internal_port: u16,
    pub gateway_runtime: Runtime,
}

/// Serves a handler on an address; an error of the handler closes the connection.
pub fn serve<B, H, F>(runtime: &Runtime, address: &str, handler: H) -> SocketAddr
where
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = std::io::Result<Response<B>>> + Send + 'static,
{
    let listener = smol::block_on(TcpListener::bind(address)).expect("loopback can be had");
    let address = listener.local_addr().expect("listener has an address");
    let runtime = runtime.clone();
    let connections = runtime.clone();
    runtime.spawn_detached(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let handler = handler.clone();
            connections.spawn_detached(async move {
                let service = service_fn(handler);
                let connection =
                    http1::Builder::new().serve_connection(FuturesIo::new(stream), service);
                let _ = connection.await;
            });
        }
    });
    address
}

/// The configuration of all worlds, at a version.
pub fn configuration(version: u64) -> Value {
    let route = |name: &str, kind: &str, service: &str, attempts: u32, resumable: bool| {
        json!({
            "name": name, "host": "shop.example", "prefix": format!("/{name}/"), "kind": kind,
            "timeout_ms": 3_000, "target_latency_ms": 300, "priority": 0, "service": service,
            "attempts": attempts, "sticky_sessions": true, "resumable": resumable,
        })
    };
    let model = |name: &str| {
        json!({
            "name": name, "weights_mb": 70_000.0, "load_time_s": 0.4, "adapters": 3,
            "adapter_mb": 60.0, "warm_s": 0.1, "disk_s": 0.2,
        })
    };
    json!({
        "version": version,
        "routes": [
            route("order", "non_idempotent", "shop", 1, false),
            route("lookup", "idempotent", "shop", 2, false),
            route("dictation", "streaming", "drafts", 1, false),
            route("summary", "streaming", "drafts", 2, true),
        ],
        "services": [
            {"name": "shop", "health_path": "/health", "connection_limit": 50},
            {"name": "drafts", "health_path": "/health", "connection_limit": 50, "engine": {
                "slots": 8, "kv_cache_tokens": 100_000, "weights_mb": 150_000.0,
                "adapter_slots": 2, "loads_per_s": 100.0,
                "models": MODELS.map(model),
            }},
        ],
        "limits": {
            "max_header_bytes": 16_384, "max_body_bytes": 100_000,
            "header_timeout_ms": 1_000, "idle_timeout_ms": 5_000,
        },
    })
}

fn settings(role: Value, store: SocketAddr, internal_port: u16) -> Settings {
    let mut settings = json!({
        "node_name": "host-1", "zone": "north", "ip_address": "127.0.0.1",
        "internal_ports": [internal_port, 0], "bootstrap": true,
        "limits": {"cores": 1}, "platform": {"address": store.to_string()},
        "bounds": {
            "grace_s": 4, "budget_ratio": 0.2, "retry_slack": 40, "budget_window_s": 10,
            "ceiling_window_s": 5,
        },
    });
    for (name, value) in role.as_object().expect("role is an object") {
        settings[name] = value.clone();
    }
    Settings::decode(settings.to_string().as_bytes()).expect("settings are valid")
}

impl World {
    /// A cluster without endpoints, with a configuration.
    pub fn start() -> Self {
        let world = Self::start_bare();
        world.store.put("op", "config", configuration(1));
        world
    }

    /// A cluster whose store holds nothing.
    pub fn start_bare() -> Self {
        let runtime = Runtime::start(2).expect("threads can be had");
        let gateway_runtime = Runtime::start(1).expect("threads can be had");
        let (store, store_address) = Store::start(&runtime);
        let free = std::net::TcpListener::bind("127.0.0.1:0").expect("a port can be had");
        let internal_port = free.local_addr().expect("it has an address").port();
        let role = json!({"listen_addresses": {"front": "127.0.0.1:0", "ready": "127.0.0.1:0"}});
        let settings = settings(role, store_address, internal_port);
        let gateway = smol::block_on(GatewayProcess::start(gateway_runtime.clone(), settings, 0));
        Self {
            runtime,
            store,
            gateway: gateway.expect("gateway starts"),
            store_address,
            internal_port,
            gateway_runtime,
        }
    }

    /// An endpoint of the plain service, listed in the store.
    pub fn plain(&self, id: &str) -> Arc<Endpoint> {
        let endpoint = Endpoint::start(&self.runtime, id, "127.0.0.1", &[]);
        self.list(&endpoint, "shop", "ready");
        endpoint
    }

    /// A model engine, listed in the store, with its sidecar.
    pub fn engine(&self, id: &str, models: &[&str]) -> (Arc<Endpoint>, SidecarProcess) {
        let ip = next_ip();
        let endpoint = Endpoint::start(&self.runtime, id, &ip, models);
        self.list(&endpoint, "drafts", "ready");
        let sidecar = self.sidecar(&endpoint);
        (endpoint, sidecar)
    }

    pub fn sidecar(&self, endpoint: &Endpoint) -> SidecarProcess {
        let ip: IpAddr = endpoint.address.ip();
        let role = json!({
            "ip_address": ip.to_string(), "app": endpoint.address.to_string(), "service": "drafts",
        });
        let settings = settings(role, self.store_address, self.internal_port);
        smol::block_on(SidecarProcess::start(self.runtime.clone(), settings, 0))
            .expect("sidecar starts")
    }

    pub fn list(&self, endpoint: &Endpoint, service: &str, phase: &str) {
        let entry = endpoint.entry(service, phase);
        self.store.put("servers", &endpoint.id, entry);
    }

    /// Waits until the gateway is ready and has had time to read the list of endpoints.
    pub fn settle(&self) {
        self.wait_until("the gateway is ready", || self.readiness() == 200);
        std::thread::sleep(Duration::from_millis(900));
    }

    pub fn readiness(&self) -> u16 {
        let request = "GET /readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
        let ready = self.gateway.ready();
        smol::block_on(async {
            use smol::io::{AsyncReadExt, AsyncWriteExt};
            let mut stream = smol::net::TcpStream::connect(ready)
                .await
                .expect("it listens");
            stream
                .write_all(request.as_bytes())
                .await
                .expect("probe is sent");
            let mut text = String::new();
            stream
                .read_to_string(&mut text)
                .await
                .expect("probe is answered");
            text.split(' ')
                .nth(1)
                .and_then(|status| status.parse().ok())
                .unwrap_or(0)
        })
    }

    pub fn ask(&self, what: &CallerRequest) -> CallerResponse {
        smol::block_on(send_request(self.gateway.callers(), what))
    }

    pub fn wait_until(&self, what: &str, mut holds: impl FnMut() -> bool) {
        for _ in 0..500 {
            if holds() {
                return;
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        panic!("{what} did not come true within 10 s");
    }
}
