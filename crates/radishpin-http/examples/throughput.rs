//! Measures keep-alive throughput over loopback: `throughput [CONNECTIONS] [SECONDS] [THREADS]`.
//!
//! Server and client share one runtime. Prints one line: number of requests, requests per second,
//! p50 and p99 latency, and the process's processor time per request.

use http_types::{Method, Request, Response, StatusCode, Url};
use radishpin_http::{
    Client, ClientLimits, Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown,
};
use radishpin_runtime::Runtime;
use smol::net::TcpListener;
use std::{
    env,
    error::Error,
    fs, io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

/// Unit of the processor times in `/proc/self/stat` (`USER_HZ`).
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;
/// Size of the body of each request and response.
const BODY_BYTES: usize = 128;

struct Echo;

impl Handler for Echo {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(received.body);
        response
    }

    fn refuse(&self, _fault: HttpFault) -> Response {
        Response::new(StatusCode::BadRequest)
    }
}

fn argument(index: usize, default: usize) -> usize {
    env::args()
        .nth(index)
        .and_then(|value| value.parse().ok())
        .unwrap_or(default)
}

fn main() -> Result<(), Box<dyn Error>> {
    let connections = argument(1, 64);
    let seconds = argument(2, 3);
    let threads = argument(3, 8);
    let runtime = Runtime::start(threads)?;
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0"))?;
    let address = listener.local_addr()?;
    let serve = Server::serve(
        runtime.clone(),
        listener,
        Arc::new(Echo),
        ServerLimits::default(),
        Shutdown::default(),
    );
    let _serving = runtime.spawn(serve);
    let client = Client::new(ClientLimits {
        idle_connections: connections,
        ..ClientLimits::default()
    });
    let end = Instant::now() + Duration::from_secs(seconds as u64);
    let processor_before = processor_seconds()?;
    let callers: Vec<_> = (0..connections)
        .map(|_| runtime.spawn(call_until(client.clone(), address, end)))
        .collect();
    let mut latencies = Vec::new();
    for caller in callers {
        latencies.extend(smol::block_on(caller).map_err(io::Error::other)?);
    }
    let processor = processor_seconds()? - processor_before;
    report(&mut latencies, seconds, processor);
    Ok(())
}

async fn call_until(
    client: Client,
    address: SocketAddr,
    end: Instant,
) -> Result<Vec<Duration>, String> {
    let url = Url::parse(&format!("http://{address}/")).map_err(|error| error.to_string())?;
    let mut latencies = Vec::new();
    while Instant::now() < end {
        let started = Instant::now();
        let mut request = Request::new(Method::Post, url.clone());
        request.set_body(vec![b'x'; BODY_BYTES]);
        let sent = client.send(address, request).await;
        let mut response = sent.map_err(|error| error.to_string())?;
        let body = response.take_body().into_bytes().await;
        let body = body.map_err(|error| error.to_string())?;
        if body.len() != BODY_BYTES {
            return Err(format!(
                "response body has {} instead of {BODY_BYTES} bytes",
                body.len()
            ));
        }
        latencies.push(started.elapsed());
    }
    Ok(latencies)
}

fn processor_seconds() -> Result<f64, Box<dyn Error>> {
    let stat = fs::read_to_string("/proc/self/stat")?;
    let fields = stat.rsplit(") ").next().unwrap_or_default();
    let ticks: Result<Vec<u64>, _> = fields
        .split_whitespace()
        .skip(11)
        .take(2)
        .map(str::parse)
        .collect();
    Ok(ticks?.iter().sum::<u64>() as f64 / CLOCK_TICKS_PER_SECOND)
}

fn report(latencies: &mut [Duration], seconds: usize, processor_seconds: f64) {
    latencies.sort_unstable();
    let count = latencies.len();
    let at = |percent: usize| latencies.get(count * percent / 100).copied();
    println!(
        "requests={count} per_second={} p50_us={} p99_us={} processor_us_per_request={:.1}",
        count / seconds.max(1),
        at(50).unwrap_or_default().as_micros(),
        at(99).unwrap_or_default().as_micros(),
        processor_seconds * 1e6 / count.max(1) as f64,
    );
}
