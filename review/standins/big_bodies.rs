//! Clients send requests at the sheet's rates, with bodies as large as the configuration allows, and three times many
//! come at once. The platform kills a process that exceeds its memory, and starts it again.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    fs,
    io::{self, BufReader, Write},
    net::{SocketAddr, TcpStream},
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Requests a second of each zone on the sheet; each zone has one gateway.
const PER_S: [f64; 4] = [11.0, 13.8, 14.9, 12.0];
/// Factor and length of a burst of the whole traffic, at its largest dose on the sheet.
const BURST: f64 = 1.7;
const BURST_TIME: Duration = Duration::from_secs(3);
const BURSTS_AT: [Duration; 3] = [
    Duration::from_secs(8),
    Duration::from_secs(24),
    Duration::from_secs(40),
];
const TRAFFIC: Duration = Duration::from_secs(48);
/// `max_body_bytes` of the configuration.
const BODY_BYTES: usize = 4_194_304;
/// A client sends 0.9 MB a second, so that the clients of one gateway together stay below its link of 1,000 Mbit/s.
const PART_BYTES: usize = 36 * 1024;
const PART_EVERY: Duration = Duration::from_millis(40);
/// `memory_mb` of the settings of a `front` machine, in KiB.
const MEMORY_KIB: u64 = 260 * 1_024;
/// Time until the platform starts a process again.
const RESTART_AFTER: Duration = Duration::from_millis(500);
/// Ends of one process that the rule counts, and machines: a tenth of those in use, two at least.
const ENDS_MAX: usize = 3;
const MACHINES_MAX: usize = 2;

/// Memory that belongs to the process alone.
fn rss_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("RssAnon:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number.and_then(|number| number.parse().ok()).unwrap_or(0)
}

/// The platform's watch over the memory of one gateway.
fn watch(deployment: &Deployment, gateway: u8, ends: &Mutex<Vec<usize>>, record: &Record) {
    let mut pid = deployment.start_gateway(gateway, true);
    let mut peak = 0;
    while !stopped() {
        let rss = rss_kib(pid);
        peak = peak.max(rss);
        if rss > MEMORY_KIB {
            deployment.signal(pid, "KILL");
            ends.lock().unwrap()[usize::from(gateway) - 1] += 1;
            record.tell(format!(
                "front-{gateway} has {rss} KiB of {MEMORY_KIB} KiB and is killed"
            ));
            thread::sleep(RESTART_AFTER);
            pid = deployment.start_gateway(gateway, false);
        } else if rss == 0 && deployment.has_ended(pid) {
            record.tell(format!("front-{gateway} has ended by itself"));
            thread::sleep(RESTART_AFTER);
            pid = deployment.start_gateway(gateway, false);
        }
        sleep_ms(2);
    }
    record.tell(format!("front-{gateway}: largest memory {peak} KiB"));
}

fn send(node: SocketAddr, id: &str, body: &[u8]) -> io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&node, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(12)))?;
    let head = format!(
        "POST /dictation/2f HTTP/1.1\r\nHost: ficu95.example\r\nRadishpin-Attempt-Id: {id}\r\n\
         Radishpin-Deadline-Milliseconds: 12000\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    let started = Instant::now();
    for (part, number) in body.chunks(PART_BYTES).zip(1..) {
        stream.write_all(part)?;
        thread::sleep((PART_EVERY * number).saturating_sub(started.elapsed()));
    }
    let answer = read_message(&mut BufReader::new(stream), true)?;
    Ok(answer.map_or(0, |answer| answer.status()))
}

fn main() {
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", r#"{"version":7,"routes":[{"name":"dictation","host":"ficu95.example","prefix":"/dictation/","kind":"non_idempotent","timeout_ms":12000,"target_latency_ms":500,"priority":0,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false}],
"services":[{"name":"logbook-app","health_path":"/health","connection_limit":360,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#);
    let runs: Runs = Runs::default();
    for number in 1..=4 {
        let address = (deployment.ip(3, number), ports().app).into();
        let work = Duration::from_millis(30);
        let runner =
            PlainRunner::start(&format!("i-{number}"), "logbook-app", address, work, &runs);
        beat(&store, &runner, "", HEARTBEAT * u32::from(number) / 4);
    }
    let ends: Arc<Mutex<Vec<usize>>> = Arc::new(Mutex::new(vec![0; GATEWAYS.into()]));
    let watches: Vec<_> = (1..=GATEWAYS)
        .map(|gateway| {
            let (deployment, ends, record) = (
                Arc::clone(&deployment),
                Arc::clone(&ends),
                Arc::clone(&record),
            );
            thread::spawn(move || watch(&deployment, gateway, &ends, &record))
        })
        .collect();
    deployment.wait_until_ready(1..=GATEWAYS);
    sleep_ms(2_000);
    let body = Arc::new(vec![b'x'; BODY_BYTES]);
    let (served, cut) = (Arc::new(Mutex::new(0)), Arc::new(Mutex::new(0)));
    let started = Instant::now();
    record.tell("traffic starts");
    let zones: Vec<_> = (1..=GATEWAYS)
        .map(|home| {
            let node = deployment.front(home);
            let (body, record) = (Arc::clone(&body), Arc::clone(&record));
            let (served, cut) = (Arc::clone(&served), Arc::clone(&cut));
            thread::spawn(move || {
                let mut clients = Vec::new();
                let mut next_at = Duration::ZERO;
                while next_at < TRAFFIC {
                    thread::sleep(next_at.saturating_sub(started.elapsed()));
                    let is_burst = |at: &Duration| next_at >= *at && next_at < *at + BURST_TIME;
                    let factor = match trouble && BURSTS_AT.iter().any(is_burst) {
                        true => BURST,
                        false => 1.0,
                    };
                    next_at +=
                        Duration::from_secs_f64(1.0 / (PER_S[usize::from(home) - 1] * factor));
                    let (body, record) = (Arc::clone(&body), Arc::clone(&record));
                    let (served, cut) = (Arc::clone(&served), Arc::clone(&cut));
                    clients.push(thread::spawn(move || {
                        let (id, at) = (attempt_id(), Instant::now());
                        let answer = match send(node, &id, &body) {
                            Ok(0) => "none (connection closed)".to_owned(),
                            Ok(status) => status.to_string(),
                            Err(cause) => format!("none ({cause})"),
                        };
                        *served.lock().unwrap() += usize::from(answer == "200");
                        *cut.lock().unwrap() += usize::from(answer.starts_with("none"));
                        let took = at.elapsed().as_secs_f64();
                        record.write(format!(
                            "sent at {:.3} {id} to front-{home}, answer {answer} after {took:.3} s",
                            record.at(at)
                        ));
                    }));
                }
                for client in clients {
                    let _ = client.join();
                }
            })
        })
        .collect();
    for (number, at) in BURSTS_AT.iter().enumerate() {
        thread::sleep(at.saturating_sub(started.elapsed()));
        if trouble {
            record.tell(format!(
                "burst {}: {BURST} times the traffic for {} s",
                number + 1,
                BURST_TIME.as_secs()
            ));
        }
    }
    for zone in zones {
        let _ = zone.join();
    }
    STOP.store(true, Ordering::Relaxed);
    for watch in watches {
        let _ = watch.join();
    }
    deployment.end();
    for run in runs.lock().unwrap().iter() {
        record.write(format!(
            "run at {:.3} {} by {}",
            record.at(run.at),
            run.attempt,
            run.runner
        ));
    }
    if *served.lock().unwrap() == 0 {
        cannot_run("no request was served");
    }
    let ends = ends.lock().unwrap().clone();
    record.tell(format!(
        "{} requests were served, {} ended without an answer",
        served.lock().unwrap(),
        cut.lock().unwrap()
    ));
    record.tell(format!(
        "ends of the gateways' processes for their memory: {ends:?}"
    ));
    let broken = ends.iter().filter(|ends| **ends >= ENDS_MAX).count() >= MACHINES_MAX;
    record.tell(if broken {
        "Fault: broken"
    } else {
        "Fault: held"
    });
    record.save();
    std::process::exit(i32::from(broken));
}
