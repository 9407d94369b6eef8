//! An order to a model runner gets no answer and is carried out late. Meanwhile the machine loses power: the sidecar
//! and the runner end, and both start again, the runner under the identifier that it had.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeSet,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 2;
const ID: &str = "i-7f3a91c2";
const MODELS: [&str; 5] = ["daka0", "daka1", "daka2", "daka3", "daka4"];
const WEIGHTS_MB: u32 = 72_700;
/// Weights that the runner holds at most: three models.
const WEIGHTS_MAX_MB: u32 = 230_000;
const LOAD_FROM_DISK: Duration = Duration::from_millis(1_300);
/// Time after which the late order is carried out; the pages name 2 to 12 s.
const LATE: Duration = Duration::from_millis(10_000);
/// Time from the late order to the loss of power, and until both processes are back.
const POWER_AFTER: Duration = Duration::from_millis(300);
const DARK: Duration = Duration::from_millis(1_000);
/// Events of a stream, and the time between them.
const EVENTS: usize = 10;
const EVENT_GAP: Duration = Duration::from_millis(100);

#[derive(Default)]
struct State {
    models: BTreeSet<String>,
    on_disk: BTreeSet<String>,
    loading: Option<(String, Instant)>,
    sequence: u64,
    born: u64,
    late_order: Option<(Instant, String)>,
    overfull: Option<String>,
}

/// A model runner as the pages describe it, sound but for one order that it carries out late.
struct Engine {
    address: SocketAddr,
    trouble: bool,
    up: AtomicBool,
    state: Mutex<State>,
    connections: Mutex<Vec<TcpStream>>,
    record: Arc<Record>,
}

fn field(json: &str, name: &str) -> String {
    let Some((_, rest)) = json.split_once(&format!("\"{name}\":")) else {
        return String::new();
    };
    let rest = rest.trim_start().trim_start_matches('"');
    rest.chars()
        .take_while(|c| !matches!(c, '"' | ',' | '}'))
        .collect()
}

impl State {
    fn finish_load(&mut self) {
        if let Some((model, _)) = self
            .loading
            .take_if(|(_, ready_at)| Instant::now() >= *ready_at)
        {
            self.on_disk.insert(model.clone());
            self.models.insert(model);
        }
    }

    fn held_mb(&self) -> u32 {
        (self.models.len() + usize::from(self.loading.is_some())) as u32 * WEIGHTS_MB
    }
}

impl Engine {
    fn start(self: &Arc<Self>) {
        let Ok(listener) = TcpListener::bind(self.address) else {
            cannot_run("the runner cannot listen");
        };
        let _ = listener.set_nonblocking(true);
        self.state.lock().unwrap().born = unix_ms();
        self.up.store(true, Ordering::SeqCst);
        let engine = Arc::clone(self);
        thread::spawn(move || {
            while engine.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    engine.connections.lock().unwrap().push(copy);
                }
                let serving = Arc::clone(&engine);
                thread::spawn(move || serving.serve(stream));
            }
        });
    }

    /// Loses power: holds and knows nothing of before, but for the disk.
    fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
        let mut state = self.state.lock().unwrap();
        state.models.clear();
        state.loading = None;
        state.sequence = 0;
    }

    fn models_json(names: &BTreeSet<String>) -> String {
        let names = names
            .iter()
            .map(|name| format!(r#"{{"name":"{name}","version":1,"adapters":[]}}"#));
        names.collect::<Vec<_>>().join(",")
    }

    fn entry(&self, beat: u64) -> String {
        let mut state = self.state.lock().unwrap();
        state.finish_load();
        format!(
            r#"{{"service":"scribe-models","address":"{}","zone":"gondar","version":"v1","slots":64,"state":"ready","cold_remaining_ms":0,"sequence":{beat},"stage":"both","models":[{}],"born":{}}}"#,
            self.address,
            Self::models_json(&state.models),
            state.born
        )
    }

    fn report(&self) -> String {
        let mut state = self.state.lock().unwrap();
        state.finish_load();
        let on_disk: Vec<String> = state
            .on_disk
            .iter()
            .map(|name| format!("\"{name}\""))
            .collect();
        format!(
            r#"{{"stage":"both","models":[{}],"busy":{},"sequence":{},"waiting":0,"running":0,"kv_cache_used":0,"kv_cache_total":165548,"handles":0,"born":{},"at_hand":{{"in_memory":[],"on_disk":[{}]}},"coming":[]}}"#,
            Self::models_json(&state.models),
            state.loading.is_some(),
            state.sequence,
            state.born,
            on_disk.join(",")
        )
    }

    /// Carries an order out, or refuses it.
    fn carry_out(&self, order: &str, how: &str) -> u16 {
        let mut state = self.state.lock().unwrap();
        state.finish_load();
        let (operation, model) = (field(order, "operation"), field(order, "model"));
        let expected: Option<u64> = field(order, "expected").parse().ok();
        let status = if state.loading.is_some()
            || expected.is_some_and(|expected| expected != state.sequence)
        {
            409
        } else if (operation == "load") == state.models.contains(&model) {
            200
        } else {
            state.sequence += 1;
            if operation == "load" {
                if state.held_mb() + WEIGHTS_MB > WEIGHTS_MAX_MB {
                    let text = format!(
                        "holds {} MB in {:?} and is ordered to load {model}, {} MB more; it has {} MB",
                        state.held_mb(),
                        state.models,
                        WEIGHTS_MB,
                        WEIGHTS_MAX_MB
                    );
                    state.overfull.get_or_insert(text);
                }
                state.loading = Some((model, Instant::now() + LOAD_FROM_DISK));
            } else {
                state.models.remove(&model);
            }
            202
        };
        let line = format!(
            "order {order} {how}: {status}, sequence now {}",
            state.sequence
        );
        drop(state);
        self.record.tell(line);
        status
    }

    fn serve(self: Arc<Self>, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let json = [
                ("Content-Type", "application/json"),
                ("Keep-Alive", "timeout=5"),
            ];
            if request.path() == "/report" {
                if writer
                    .write_all(&response(200, &json, self.report().as_bytes()))
                    .is_err()
                {
                    return;
                }
                continue;
            }
            let attempt = request
                .header("radishpin-attempt-id")
                .unwrap_or_default()
                .to_owned();
            let expected = request.header("radishpin-expected-instance");
            if expected.is_some_and(|expected| expected != ID) {
                let headers = [
                    ("Radishpin-Attempt-Id", attempt.as_str()),
                    ("Radishpin-Instance-Id", ID),
                ];
                let _ = writer.write_all(&response(421, &headers, b""));
                continue;
            }
            if request.path() == "/order" {
                let order = String::from_utf8_lossy(&request.body).into_owned();
                if self.leaves_unanswered(&order) {
                    // The connection stays open, and no answer comes.
                    while self.up.load(Ordering::SeqCst) {
                        sleep_ms(50);
                    }
                    return;
                }
                let status = self.carry_out(&order, "answered");
                if writer.write_all(&response(status, &json, b"{}")).is_err() {
                    return;
                }
                continue;
            }
            let model = request.header("radishpin-model").unwrap_or_default();
            let holds = {
                let mut state = self.state.lock().unwrap();
                state.finish_load();
                state.models.contains(model)
            };
            let answered = if holds {
                self.stream(&mut writer, &attempt)
            } else {
                let headers = [
                    ("Radishpin-Attempt-Id", attempt.as_str()),
                    ("Radishpin-Not-Executed", "1"),
                ];
                writer.write_all(&response(421, &headers, b""))
            };
            if answered.is_err() {
                return;
            }
        }
    }

    fn stream(&self, writer: &mut TcpStream, attempt: &str) -> std::io::Result<()> {
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\
             Radishpin-Attempt-Id: {attempt}\r\nRadishpin-Response-Signature: sig.{attempt}\r\nKeep-Alive: timeout=5\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for event in 1..=EVENTS {
            thread::sleep(EVENT_GAP);
            let text = format!("id: {event}\ndata: piece {event}\n\n");
            writer.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())?;
        }
        writer.write_all(b"0\r\n\r\n")
    }

    /// The first load that expects three orders before it is left unanswered and carried out late.
    fn leaves_unanswered(&self, order: &str) -> bool {
        let mut state = self.state.lock().unwrap();
        let chosen = field(order, "operation") == "load" && field(order, "expected") == "3";
        if !self.trouble || !chosen || state.late_order.is_some() {
            return false;
        }
        state.late_order = Some((Instant::now(), order.to_owned()));
        drop(state);
        self.record.tell(format!("order {order} gets no answer"));
        true
    }
}

fn configuration() -> String {
    let models = MODELS.map(|name| {
        format!(
            r#"{{"name":"{name}","weights_mb":{WEIGHTS_MB}.0,"load_time_s":6.0,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":1.3}}"#
        )
    });
    format!(
        r#"{{"version":7,"routes":[{{"name":"dictation","host":"ficu95.example","prefix":"/dictation/","kind":"streaming","timeout_ms":12000,"target_latency_ms":3000,"target_gap_ms":250,"priority":0,"service":"scribe-models","attempts":1,"sticky_sessions":true,"resumable":false}}],
"services":[{{"name":"scribe-models","health_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_cache_tokens":165548,"weights_mb":{WEIGHTS_MAX_MB}.0,"adapter_slots":8,"loads_per_s":2.4,"models":[{}]}}}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        models.join(",")
    )
}

/// Sends one request for a model; returns the status, 0 if the answer broke off or none came.
fn ask(node: SocketAddr, model: &str, record: &Record) -> u16 {
    let id = attempt_id();
    let asked = || -> std::io::Result<u16> {
        let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
        stream.set_read_timeout(Some(Duration::from_secs(12)))?;
        let text = format!(
            "POST /dictation/2f HTTP/1.1\r\nHost: ficu95.example\r\nRadishpin-Attempt-Id: {id}\r\n\
             Radishpin-Model: {model}\r\nRadishpin-Token-Counts: 800,80\r\nRadishpin-Prompt-Prefix: 5c1e07a2:550,{id}:250\r\n\
             Radishpin-Deadline-Milliseconds: 12000\r\nContent-Length: 5\r\nConnection: close\r\n\r\nnotes"
        );
        stream.write_all(text.as_bytes())?;
        let answer = read_message(&mut BufReader::new(stream), true)?;
        Ok(answer.map_or(0, |answer| answer.status()))
    };
    let status = asked().unwrap_or(0);
    record.write(format!("sent {id} for {model}, answer {status}"));
    status
}

fn main() {
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", &configuration());
    let names = |models: &[&str]| {
        models
            .iter()
            .map(|name| (*name).to_owned())
            .collect::<BTreeSet<String>>()
    };
    let engine = Arc::new(Engine {
        address: (deployment.ip(2, 1), ports().app).into(),
        trouble,
        up: AtomicBool::new(false),
        state: Mutex::new(State {
            models: names(&MODELS[..3]),
            on_disk: names(&MODELS),
            ..State::default()
        }),
        connections: Mutex::default(),
        record: Arc::clone(&record),
    });
    engine.start();
    {
        let (engine, store) = (Arc::clone(&engine), Arc::clone(&store));
        thread::spawn(move || {
            let mut beat = 0;
            while !stopped() {
                beat += 1;
                if engine.up.load(Ordering::SeqCst) {
                    store.put("servers", ID, &engine.entry(beat));
                }
                thread::sleep(HEARTBEAT);
            }
        });
    }
    let sidecar = deployment.start_sidecar(1, "scribe-models", true);
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    sleep_ms(2_000);
    let node = deployment.front(1);
    // Rare models are asked for, one after the other; each takes the place of an idle one.
    let served = ask(node, MODELS[3], &record);
    record.tell(format!("a client asked for {}: {served}", MODELS[3]));
    sleep_ms(1_000);
    let asking = {
        let record = Arc::clone(&record);
        thread::spawn(move || ask(node, MODELS[4], &record))
    };
    let mut late_at = Instant::now();
    for _ in 0..100 {
        sleep_ms(50);
        if let Some((at, _)) = &engine.state.lock().unwrap().late_order {
            late_at = *at;
            break;
        }
    }
    if trouble && engine.state.lock().unwrap().late_order.is_none() {
        deployment.end();
        cannot_run("no order came that could be late");
    }
    if trouble {
        thread::sleep((late_at + POWER_AFTER).saturating_duration_since(Instant::now()));
        deployment.signal(sidecar, "KILL");
        engine.end();
        record.tell("the machine loses power: its sidecar and its runner end");
        thread::sleep(DARK);
        engine.start();
        deployment.start_sidecar(1, "scribe-models", false);
        record.tell("both are back; the runner holds nothing and has the identifier of before");
    }
    let _ = asking.join();
    // Clients ask for three models, as many as the runner has room for.
    let until = late_at + LATE;
    let served = Arc::new(AtomicU64::new(0));
    let broken_off: Arc<Mutex<Vec<(Instant, Instant)>>> = Arc::default();
    let clients = MODELS[..3].iter().enumerate().map(|(index, model)| {
        let (node, record) = (
            deployment.front(1 + index as u8 % GATEWAYS),
            Arc::clone(&record),
        );
        let (served, broken_off) = (Arc::clone(&served), Arc::clone(&broken_off));
        thread::spawn(move || {
            while !stopped() {
                let sent_at = Instant::now();
                let status = ask(node, model, &record);
                if status == 200 {
                    served.fetch_add(1, Ordering::SeqCst);
                } else if status == 0 {
                    broken_off.lock().unwrap().push((sent_at, Instant::now()));
                }
                sleep_ms(250);
            }
        })
    });
    let clients: Vec<_> = clients.collect();
    thread::sleep(until.saturating_duration_since(Instant::now()));
    let late_order = engine.state.lock().unwrap().late_order.clone();
    if let Some((_, order)) = late_order {
        engine.carry_out(&order, "carried out late");
    }
    let crashed_at = Instant::now();
    if engine.state.lock().unwrap().overfull.is_some() {
        engine.end();
        record.tell("the runner crashes, as it is ordered to load more than it holds");
    }
    sleep_ms(3_000);
    STOP.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.end();
    let overfull = engine.state.lock().unwrap().overfull.clone();
    let broken = overfull.is_some();
    let cut = {
        let broken_off = broken_off.lock().unwrap();
        let cut = broken_off
            .iter()
            .filter(|(from, to)| *from < crashed_at && *to >= crashed_at);
        cut.count()
    };
    if served.load(Ordering::SeqCst) == 0 {
        cannot_run("no request was served");
    }
    record.tell(format!(
        "{} requests were served whole since; {} streams broke off when the runner crashed",
        served.load(Ordering::SeqCst),
        if broken { cut } else { 0 }
    ));
    if let Some(text) = overfull {
        record.tell(format!("the runner {text}"));
    }
    record.tell(if broken {
        "LIMIT: broken"
    } else {
        "LIMIT: held"
    });
    record.save();
    std::process::exit(i32::from(broken));
}
