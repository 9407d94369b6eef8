//! The time of day jumps back on the machine of a runner, the runner crashes and starts again, and later it is
//! taken out of service as planned: it reports `draining`, serves a little longer and exits.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    io::{BufReader, Write},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    path::PathBuf,
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Jump of the time of day on the runner's machine; the sheets name 2,400 ms.
const JUMP_MS: i64 = -2_400;
/// Life of the runner before its crash, and time until it is back.
const LIFE_BEFORE_CRASH: Duration = Duration::from_millis(1_100);
const DOWN: Duration = Duration::from_millis(600);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the runner serves after the store has accepted its report.
const SERVES_ON: Duration = Duration::from_millis(2_500);
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(400);

/// A runner of a plain service that can crash, start again and leave.
struct Runner {
    id: &'static str,
    address: SocketAddr,
    /// What the time of day on its machine is off by, in milliseconds.
    clock_off_ms: AtomicI64,
    born: AtomicU64,
    sequence: AtomicU64,
    leaving: AtomicBool,
    up: AtomicBool,
    connections: Mutex<Vec<TcpStream>>,
    /// Attempts that it began to run, and whether it was leaving.
    runs: Mutex<Vec<(Instant, String)>>,
    cut: Mutex<Vec<String>>,
}

impl Runner {
    fn new(id: &'static str, address: SocketAddr) -> Arc<Self> {
        Arc::new(Self {
            id,
            address,
            clock_off_ms: AtomicI64::new(0),
            born: AtomicU64::new(0),
            sequence: AtomicU64::new(0),
            leaving: AtomicBool::new(false),
            up: AtomicBool::new(false),
            connections: Mutex::default(),
            runs: Mutex::default(),
            cut: Mutex::default(),
        })
    }

    fn start(self: &Arc<Self>, store: &Arc<Store>) {
        let now = unix_ms() as i64 + self.clock_off_ms.load(Ordering::SeqCst);
        self.born.store(now as u64, Ordering::SeqCst);
        self.sequence.store(0, Ordering::SeqCst);
        let Ok(listener) = TcpListener::bind(self.address) else {
            cannot_run("a runner cannot listen");
        };
        let _ = listener.set_nonblocking(true);
        self.up.store(true, Ordering::SeqCst);
        let runner = Arc::clone(self);
        thread::spawn(move || {
            while runner.up.load(Ordering::SeqCst) {
                let Ok((stream, _)) = listener.accept() else {
                    sleep_ms(2);
                    continue;
                };
                let _ = stream.set_nonblocking(false);
                let _ = stream.set_nodelay(true);
                if let Ok(copy) = stream.try_clone() {
                    runner.connections.lock().unwrap().push(copy);
                }
                let serving = Arc::clone(&runner);
                thread::spawn(move || serving.serve(stream));
            }
        });
        let (runner, store) = (Arc::clone(self), Arc::clone(store));
        let born = self.born.load(Ordering::SeqCst);
        thread::spawn(move || {
            while runner.up.load(Ordering::SeqCst) && runner.born.load(Ordering::SeqCst) == born {
                runner.beat(&store);
                thread::sleep(HEARTBEAT);
            }
        });
    }

    fn beat(&self, store: &Store) {
        let state = if self.leaving.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let entry = format!(
            r#"{{"service":"logbook-app","address":"{}","zone":"gondar","version":"v1","slots":6,"state":"{state}","cold_remaining_ms":0,"sequence":{},"born":{}}}"#,
            self.address,
            self.sequence.fetch_add(1, Ordering::SeqCst) + 1,
            self.born.load(Ordering::SeqCst)
        );
        store.put("servers", self.id, &entry);
    }

    /// Ends the process: a crash, or the exit after the drain.
    fn end(&self) {
        self.up.store(false, Ordering::SeqCst);
        for connection in self.connections.lock().unwrap().drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, false) {
            let attempt = request.header("radishpin-attempt-id").unwrap_or_default().to_owned();
            let mut headers = vec![("Radishpin-Attempt-Id", attempt.as_str()), ("Keep-Alive", "timeout=5")];
            if self.leaving.load(Ordering::SeqCst) {
                headers.push(("Server-Leaving", "1"));
            }
            let expected = request.header("radishpin-expected-instance");
            if expected.is_some_and(|expected| expected != self.id) {
                headers.push(("Radishpin-Instance-Id", self.id));
                headers.push(("Radishpin-Not-Executed", "1"));
                let _ = writer.write_all(&response(421, &headers, b""));
                continue;
            }
            self.runs.lock().unwrap().push((Instant::now(), attempt.clone()));
            thread::sleep(WORK);
            let signature = format!("sig.{}.{attempt}", self.id);
            headers.push(("Radishpin-Response-Signature", &signature));
            let answered = self.up.load(Ordering::SeqCst)
                && writer.write_all(&response(200, &headers, b"done")).is_ok();
            if !answered {
                self.cut.lock().unwrap().push(attempt);
                return;
            }
        }
    }
}

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false}],
"services":[{"name":"logbook-app","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
}

type Answers = Arc<Mutex<Vec<(Instant, u8, String, String)>>>;

/// Sends requests to each gateway at the same time, and waits for the answers.
fn wave(deployment: &Deployment, per_gateway: usize, answers: &Answers) {
    let mut clients = Vec::new();
    for gateway in 1..=GATEWAYS {
        for _ in 0..per_gateway {
            let (node, answers) = (deployment.front(gateway), Arc::clone(answers));
            clients.push(thread::spawn(move || {
                let request =
                    ClientRequest { method: "POST", path: "/work-order/2f", deadline_ms: 1_500, body: "roof" };
                let (id, at) = (attempt_id(), Instant::now());
                let answer = match Client::new(node).send(&id, &request) {
                    Ok(answer) => answer.status().to_string(),
                    Err(cause) => format!("none ({cause})"),
                };
                answers.lock().unwrap().push((at, gateway, id, answer));
            }));
        }
    }
    for client in clients {
        let _ = client.join();
    }
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "review/2".to_owned()));
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", configuration());
    let address = |number| SocketAddr::from((deployment.ip(3, number), ports().app));
    let leaver = Runner::new("i-leaver", address(1));
    let others = [Runner::new("i-second", address(2)), Runner::new("i-third", address(3))];
    for runner in &others {
        runner.start(&store);
    }
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    let answers: Answers = Arc::default();

    leaver.start(&store);
    record.tell(format!("runner i-leaver starts, born {}", leaver.born.load(Ordering::SeqCst)));
    thread::sleep(LIFE_BEFORE_CRASH);
    if trouble {
        leaver.clock_off_ms.store(JUMP_MS, Ordering::SeqCst);
        record.tell(format!("the time of day of its machine jumps by {JUMP_MS} ms"));
    }
    leaver.end();
    record.tell("runner i-leaver crashes");
    thread::sleep(DOWN);
    leaver.start(&store);
    record.tell(format!(
        "runner i-leaver starts again under its identifier, born {}",
        leaver.born.load(Ordering::SeqCst)
    ));
    // An ordinary time, longer than `contact_ms`.
    for _ in 0..8 {
        wave(&deployment, 3, &answers);
        sleep_ms(600);
    }
    let before_leaving = leaver.runs.lock().unwrap().len();
    record.tell(format!("runner i-leaver has run {before_leaving} requests since"));

    leaver.leaving.store(true, Ordering::SeqCst);
    leaver.beat(&store);
    let acknowledged_at = Instant::now();
    record.tell("runner i-leaver reports draining; the store has accepted it");
    // A lull, as the first answer after it would tell the gateways that the runner leaves.
    thread::sleep(DRAIN + Duration::from_millis(200));
    let exits = {
        let leaver = Arc::clone(&leaver);
        let until = acknowledged_at + SERVES_ON;
        thread::spawn(move || {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            leaver.end();
        })
    };
    record.tell("clients send requests again");
    wave(&deployment, 6, &answers);
    let _ = exits.join();
    record.tell("runner i-leaver has exited");
    store.remove("servers", "i-leaver");
    sleep_ms(300);
    STOP.store(true, Ordering::Relaxed);
    deployment.end();

    let by_id: BTreeMap<String, (u8, String)> = {
        let answers = answers.lock().unwrap();
        answers.iter().map(|(_, gateway, id, answer)| (id.clone(), (*gateway, answer.clone()))).collect()
    };
    for (at, gateway, id, answer) in answers.lock().unwrap().iter() {
        record.write(format!("sent at {:.3} front-{gateway} {id} answer {answer}", record.at(*at)));
    }
    let cut = leaver.cut.lock().unwrap().clone();
    let mut late = 0;
    for (at, id) in leaver.runs.lock().unwrap().iter() {
        let since = at.saturating_duration_since(acknowledged_at);
        record.write(format!("run at {:.3} by i-leaver {id}", record.at(*at)));
        if since > DRAIN {
            late += 1;
            let (gateway, answer) = by_id.get(id).cloned().unwrap_or_default();
            record.tell(format!(
                "request {id} from front-{gateway} reached i-leaver {:.3} s after its leaving was acknowledged; cut by its exit: {}; answer {answer}",
                since.as_secs_f64(),
                cut.contains(id)
            ));
        }
    }
    record.tell(format!("{late} requests reached the runner later than {} ms after the acknowledgement", DRAIN.as_millis()));
    record.tell(if late > 0 { "DRAIN: broken" } else { "DRAIN: held" });
    record.save(&folder.join("record.txt"));
    std::process::exit(i32::from(late > 0));
}
