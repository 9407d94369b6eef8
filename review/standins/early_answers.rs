//! A model runner answers long requests before these are in, keeps the connection and reads on later. Meanwhile it
//! leaves, as announced.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    io::{self, BufRead, BufReader, Read, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    os::fd::AsRawFd,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Size of a long request, below `max_body_bytes`.
const LONG_BYTES: usize = 4_000_000;
/// Requests longer than this are answered before they are in.
const LONG_FROM_BYTES: usize = 1_000_000;
/// Time after the early answer at which a runner reads on.
const READS_ON_AFTER: Duration = Duration::from_millis(3_000);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the runner serves after the store has accepted its report.
const SERVES_ON: Duration = Duration::from_millis(3_500);
/// Events of a stream, and the time between them.
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(120);
const MODELS: &str = r#"{"name":"daka510000","version":1,"adapters":[]}"#;

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// Bounds what the system takes from a connection for a process that doesn't read, as links with small windows do.
fn small_window(socket: &impl AsRawFd) {
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let bytes: i32 = 32 * 1024;
    // SAFETY: the value is a number of the given length, and the socket is open.
    if unsafe { setsockopt(socket.as_raw_fd(), SOL_SOCKET, SO_RCVBUF, &bytes, 4) } != 0 {
        cannot_run("cannot set the window of a socket");
    }
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"trail-dictation","host":"ficu95.example","prefix":"/trail-dictation/","kind":"streaming","timeout_ms":12000,"target_latency_ms":500,"target_gap_ms":250,"priority":0,"service":"scribe-models","attempts":1,"sticky_sessions":true,"resumable":false}],
"services":[{"name":"scribe-models","health_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_cache_tokens":165548,"weights_mb":230000.0,"adapter_slots":8,"loads_per_s":2.4,"models":[{"name":"daka510000","weights_mb":72700.0,"load_time_s":6.0,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":1.3}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
}

/// A request that reached a runner: its head was read.
#[derive(Clone, Debug)]
struct Arrival {
    at: Instant,
    attempt: String,
    body_bytes: usize,
    cut: bool,
}

struct Engine {
    id: String,
    address: SocketAddr,
    born: u64,
    answers_early: bool,
    draining: AtomicBool,
    up: AtomicBool,
    sequence: AtomicU64,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Engine {
    fn start(id: &str, address: SocketAddr, answers_early: bool) -> Arc<Self> {
        let engine = Arc::new(Self {
            id: id.to_owned(),
            address,
            born: unix_ms(),
            answers_early,
            draining: AtomicBool::new(false),
            up: AtomicBool::new(true),
            sequence: AtomicU64::new(0),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
        });
        let listener = TcpListener::bind(address)
            .unwrap_or_else(|cause| cannot_run(&format!("cannot listen on {address}: {cause}")));
        small_window(&listener);
        let serving = Arc::clone(&engine);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !serving.up.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    serving.connections.lock().unwrap().push(copy);
                }
                let engine = Arc::clone(&serving);
                thread::spawn(move || {
                    let _ = engine.serve(stream);
                });
            }
        });
        engine
    }

    fn entry(&self) -> String {
        let state = match self.draining.load(Ordering::SeqCst) {
            true => "draining",
            false => "ready",
        };
        format!(
            r#"{{"service":"scribe-models","address":"{}","zone":"gondar","version":"v1","slots":64,"state":"{state}","cold_remaining_ms":0,"sequence":{},"born":{},"stage":"both","models":[{MODELS}]}}"#,
            self.address,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born
        )
    }

    fn beat(self: &Arc<Self>, store: &Arc<Store>) {
        let (engine, store) = (Arc::clone(self), Arc::clone(store));
        thread::spawn(move || {
            while engine.up.load(Ordering::SeqCst) && !stopped() {
                store.put("servers", &engine.id, &engine.entry());
                thread::sleep(HEARTBEAT);
            }
        });
    }

    /// Ends the process, after the drain.
    fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        loop {
            let mut lines = Vec::new();
            loop {
                let mut line = String::new();
                if reader.read_line(&mut line)? == 0 {
                    return Ok(());
                }
                let line = line.trim_end().to_owned();
                if line.is_empty() {
                    break;
                }
                lines.push(line);
            }
            let arrived_at = Instant::now();
            let header = |name: &str| {
                let mut lines = lines.iter().filter_map(|line| line.split_once(':'));
                lines
                    .find(|(key, _)| key.eq_ignore_ascii_case(name))
                    .map(|(_, value)| value.trim().to_owned())
            };
            let path = lines[0].split(' ').nth(1).unwrap_or_default().to_owned();
            let length: usize = header("content-length")
                .and_then(|value| value.parse().ok())
                .unwrap_or(0);
            if path == "/report" {
                let report = format!(
                    r#"{{"stage":"both","models":[{MODELS}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":165548,"handles":0,"born":{},"at_hand":{{"in_memory":[],"on_disk":[]}},"coming":[]}}"#,
                    self.born
                );
                let headers = [
                    ("Content-Type", "application/json"),
                    ("Keep-Alive", "timeout=5"),
                ];
                writer.write_all(&response(200, &headers, report.as_bytes()))?;
                continue;
            }
            let attempt = header("radishpin-attempt-id").unwrap_or_default();
            let mut headers = vec![("Radishpin-Attempt-Id", attempt.as_str())];
            if self.draining.load(Ordering::SeqCst) {
                headers.push(("Server-Leaving", "1"));
            }
            if header("radishpin-expected-instance").is_some_and(|expected| expected != self.id) {
                io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
                headers.push(("Radishpin-Not-Executed", "1"));
                headers.push(("Radishpin-Instance-Id", &self.id));
                writer.write_all(&response(421, &headers, b""))?;
                continue;
            }
            self.arrivals.lock().unwrap().push(Arrival {
                at: arrived_at,
                attempt: attempt.clone(),
                body_bytes: length,
                cut: false,
            });
            let signature = format!("sig.{}.{attempt}", self.id);
            headers.push(("Radishpin-Response-Signature", &signature));
            headers.push(("Keep-Alive", "timeout=5"));
            if length >= LONG_FROM_BYTES {
                if !self.answers_early {
                    io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
                }
                writer.write_all(&response(413, &headers, b"too long"))?;
                if self.answers_early {
                    thread::sleep(READS_ON_AFTER);
                    io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
                }
                continue;
            }
            io::copy(&mut (&mut reader).take(length as u64), &mut io::sink())?;
            if self.stream(&mut writer, &headers).is_err() {
                let mut arrivals = self.arrivals.lock().unwrap();
                if let Some(arrival) = arrivals.iter_mut().rfind(|a| a.attempt == attempt) {
                    arrival.cut = true;
                }
                return Ok(());
            }
        }
    }

    fn stream(&self, writer: &mut TcpStream, headers: &[(&str, &str)]) -> io::Result<()> {
        let mut head =
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
                .to_owned();
        for (name, value) in headers {
            head.push_str(&format!("{name}: {value}\r\n"));
        }
        head.push_str("\r\n");
        writer.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }
}

/// How a request of a client ended.
struct Ended {
    sent_at: Instant,
    gateway: u8,
    id: String,
    answer: String,
    pieces: usize,
}

fn send(deployment: &Deployment, gateway: u8, body_bytes: usize) -> Ended {
    let (id, sent_at) = (attempt_id(), Instant::now());
    let mut pieces = 0;
    let answer = exchange(deployment.front(gateway), &id, body_bytes, &mut pieces);
    let answer = answer.unwrap_or_else(|cause| format!("broken off ({cause})"));
    Ended {
        sent_at,
        gateway,
        id,
        answer,
        pieces,
    }
}

fn exchange(
    node: SocketAddr,
    id: &str,
    body_bytes: usize,
    pieces: &mut usize,
) -> io::Result<String> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let head = format!(
        "POST /trail-dictation/2f HTTP/1.1\r\nHost: ficu95.example\r\nRadishpin-Attempt-Id: {id}\r\n\
         Radishpin-Model: daka510000\r\nRadishpin-Token-Counts: 826,300\r\n\
         Radishpin-Prompt-Prefix: 5c1e07a2:119,91bd3f06:79,{id}:628\r\n\
         Radishpin-Deadline-Milliseconds: 12000\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(&vec![b'r'; body_bytes])?;
    let mut reader = BufReader::new(stream);
    let mut status = String::new();
    let mut is_chunked = false;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        if status.is_empty() {
            status = line.split(' ').nth(1).unwrap_or_default().to_owned();
        }
        is_chunked |= line
            .to_ascii_lowercase()
            .starts_with("transfer-encoding: chunked");
        if line.trim_end().is_empty() {
            break;
        }
    }
    if !is_chunked {
        return Ok(status);
    }
    loop {
        let mut size = String::new();
        if reader.read_line(&mut size)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(size.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(status);
        }
        *pieces += String::from_utf8_lossy(&chunk).matches("data:").count();
    }
}

fn main() {
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", configuration());
    let mut engines = Vec::new();
    for number in 1..=2 {
        let address = SocketAddr::from((deployment.ip(2, number), ports().app));
        let answers_early = trouble && number == 1;
        let engine = Engine::start(&format!("i-engine{number}"), address, answers_early);
        engine.beat(&store);
        deployment.start_sidecar(number, "scribe-models", true);
        engines.push(engine);
    }
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    sleep_ms(4_000);

    let ended: Arc<Mutex<Vec<Ended>>> = Arc::default();
    let wave = |per_gateway: usize, body_bytes: usize| {
        let mut clients = Vec::new();
        for gateway in 1..=GATEWAYS {
            for _ in 0..per_gateway {
                let (deployment, ended) = (Arc::clone(&deployment), Arc::clone(&ended));
                clients.push(thread::spawn(move || {
                    let one = send(&deployment, gateway, body_bytes);
                    ended.lock().unwrap().push(one);
                }));
            }
        }
        clients
    };
    // Ordinary requests, so that the answers to the long ones are few among all.
    for _ in 0..3 {
        for client in wave(12, 1_700) {
            let _ = client.join();
        }
    }
    sleep_ms(500);
    // One long request at each gateway.
    for client in wave(1, LONG_BYTES) {
        let _ = client.join();
    }
    record.tell("long requests were sent, and answered with 413");
    let clients = wave(6, 1_700);
    record.tell("clients send ordinary requests");
    sleep_ms(150);
    engines[0].draining.store(true, Ordering::SeqCst);
    store.put("servers", &engines[0].id, &engines[0].entry());
    let acknowledged_at = Instant::now();
    record.tell("runner i-engine1 reports draining, and the store has accepted it");
    let exits = {
        let engine = Arc::clone(&engines[0]);
        thread::spawn(move || {
            thread::sleep((acknowledged_at + SERVES_ON).saturating_duration_since(Instant::now()));
            engine.end();
        })
    };
    for client in clients {
        let _ = client.join();
    }
    let _ = exits.join();
    // Later requests are served by the other runner.
    for client in wave(2, 1_700) {
        let _ = client.join();
    }
    STOP.store(true, Ordering::Relaxed);
    deployment.end();

    let ended = ended.lock().unwrap();
    let by_id: BTreeMap<&str, &Ended> = ended.iter().map(|one| (one.id.as_str(), one)).collect();
    for one in ended.iter() {
        record.write(format!(
            "sent at {:.3} front-{} {} answer {}, {} pieces",
            record.at(one.sent_at),
            one.gateway,
            one.id,
            one.answer,
            one.pieces
        ));
    }
    let mut late = 0;
    let long = |engine: &Arc<Engine>| {
        let arrivals = engine.arrivals.lock().unwrap();
        let long = arrivals.iter().filter(|a| a.body_bytes == LONG_BYTES);
        long.count()
    };
    record.tell(format!(
        "{} of {} requests were long ones that i-engine1 answered",
        long(&engines[0]),
        ended.len()
    ));
    for engine in &engines {
        for arrival in engine.arrivals.lock().unwrap().iter() {
            record.write(format!(
                "reached {} at {:.3} {} with {} bytes{}",
                engine.id,
                record.at(arrival.at),
                arrival.attempt,
                arrival.body_bytes,
                if arrival.cut { ", cut by its exit" } else { "" }
            ));
            let since = arrival.at.saturating_duration_since(acknowledged_at);
            if engine.id != engines[0].id || since <= DRAIN {
                continue;
            }
            late += 1;
            if let Some(one) = by_id.get(arrival.attempt.as_str()) {
                record.tell(format!(
                    "request {} of front-{} reached {} {:.3} s after it was draining; cut by its exit: {}; the client got: {}, {} of {EVENTS} pieces",
                    arrival.attempt,
                    one.gateway,
                    engine.id,
                    since.as_secs_f64(),
                    arrival.cut,
                    one.answer,
                    one.pieces
                ));
            }
        }
    }
    let served = ended.iter().filter(|one| one.pieces == EVENTS).count();
    if served < usize::from(GATEWAYS) {
        cannot_run("too few requests were served");
    }
    record.tell(format!(
        "{late} requests reached the runner later than {} ms after the store's acknowledgement; {served} were served whole",
        DRAIN.as_millis()
    ));
    record.tell(if late > 0 {
        "DRAIN: broken"
    } else {
        "DRAIN: held"
    });
    record.save();
    std::process::exit(i32::from(late > 0));
}
