//! Measures what the stand-in engine and the HTTP library carry by themselves, so that figures
//! taken through a node and an agent can be set against it.
//!
//! `cargo run --release -p radishpin-standin --example engine_load -- [CALLERS] [SECONDS] [MODE]`,
//! MODE `whole` or `stream`.

use http_types::{Method, Request, Url};
use radishpin_http::{Client, ClientLimits, Shutdown};
use radishpin_protocol::engine::{COMPLETIONS_PATH, LoadTarget, Order, OrderNumber};
use radishpin_runtime::Runtime;
use radishpin_standin::{Engine, EngineSettings, WeightStore, WeightStoreSettings};
use smol::net::TcpListener;
use std::{
    error::Error,
    net::SocketAddr,
    time::{Duration, Instant},
};

const SEED: u64 = 1;
const THREADS: usize = 8;

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let callers: usize = arguments.first().map_or(Ok(64), |text| text.parse())?;
    let seconds: u64 = arguments.get(1).map_or(Ok(5), |text| text.parse())?;
    let stream = arguments.get(2).is_some_and(|mode| mode == "stream");
    let runtime = Runtime::start(THREADS)?;
    let address = smol::block_on(serve(&runtime))?;
    let client = Client::new(ClientLimits {
        idle_connections: callers,
        ..ClientLimits::default()
    });
    let url = Url::parse(&format!("http://{address}{COMPLETIONS_PATH}"))?;
    let body = format!(r#"{{"model":"m","prompt":"roof","max_tokens":16,"stream":{stream}}}"#);
    let end = Instant::now() + Duration::from_secs(seconds);
    let tasks: Vec<_> = (0..callers)
        .map(|_| {
            let call = call(client.clone(), address, url.clone(), body.clone(), end);
            runtime.spawn(call)
        })
        .collect();
    let mut times = Vec::new();
    let mut failed = 0;
    for task in tasks {
        let (served, broken) = smol::block_on(task);
        times.extend(served);
        failed += broken;
    }
    report(times, failed, seconds);
    Ok(())
}

async fn serve(runtime: &Runtime) -> Result<SocketAddr, Box<dyn Error>> {
    let store = WeightStore::new(WeightStoreSettings {
        model_load: Duration::ZERO,
        ..WeightStoreSettings::default()
    });
    let engine = Engine::new(
        EngineSettings {
            concurrency: 10_000,
            ..EngineSettings::instant()
        },
        store,
        SEED,
    );
    let order = Order {
        target: LoadTarget::model("m"),
        size_mb: 1_000,
        number: OrderNumber::default(),
    };
    engine
        .load(&order)
        .await
        .map_err(|kind| format!("load refused: {kind:?}"))?;
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let serving = runtime.clone();
    runtime.spawn_detached(async move {
        // The process ends with the measurement.
        let _ = engine.serve(serving, listener, Shutdown::default()).await;
    });
    Ok(address)
}

/// Calls one after the other until `end`; returns the time of each and the failures.
async fn call(
    client: Client,
    address: SocketAddr,
    url: Url,
    body: String,
    end: Instant,
) -> (Vec<Duration>, u64) {
    let mut times = Vec::new();
    let mut failed = 0;
    while Instant::now() < end {
        let mut request = Request::new(Method::Post, url.clone());
        request.set_body(body.as_str());
        let start = Instant::now();
        let response = client.send(address, request).await;
        let whole = match response {
            Ok(mut response) => response.body_bytes().await.is_ok(),
            Err(_) => false,
        };
        if whole {
            times.push(start.elapsed());
        } else {
            failed += 1;
        }
    }
    (times, failed)
}

fn report(mut times: Vec<Duration>, failed: u64, seconds: u64) {
    times.sort_unstable();
    let at = |share: usize| times.get(times.len() * share / 1_000).copied();
    let per_second = times.len() as u64 / seconds.max(1);
    println!(
        "served {} ({per_second} a second), failed {failed}",
        times.len()
    );
    println!("p50 {:?} p99 {:?} p99.9 {:?}", at(500), at(990), at(999));
}
