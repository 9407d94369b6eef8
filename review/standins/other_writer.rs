//! Another writer leaves an entry with missing fields in the list of runners, under the identifier of a runner of
//! another service.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Clients of each gateway and route.
const CLIENTS: usize = 4;
/// Requests that a client sends a second.
const PER_S: u64 = 10;
const OTHER: &str = "i-logbook-next1";

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false},
{"name":"audit","host":"ficu95.example","prefix":"/audit/","kind":"idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"logbook-next","attempts":1,"sticky_sessions":false,"resumable":false}],
"services":[{"name":"logbook-app","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false},
{"name":"logbook-next","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
}

struct Sent {
    at: Instant,
    gateway: u8,
    path: &'static str,
    id: String,
    answer: String,
}

fn main() {
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", configuration());
    let runs: Runs = Runs::default();
    let mut runners = BTreeMap::new();
    for (group, service) in [(3, "logbook-app"), (4, "logbook-next")] {
        for number in 1..=2 {
            let address = (deployment.ip(group, number), ports().app).into();
            let id = format!("i-{service}{number}");
            let runner =
                PlainRunner::start(&id, service, address, Duration::from_millis(30), &runs);
            let place = u32::from(group - 3) * 2 + u32::from(number);
            beat(&store, &runner, "", HEARTBEAT * place / 4);
            runners.insert(id, runner);
        }
    }
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    sleep_ms(2_500);

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let mut clients = Vec::new();
    for gateway in 1..=GATEWAYS {
        for (method, path) in [("POST", "/work-order/2f"), ("GET", "/audit/2f")]
            .into_iter()
            .cycle()
            .take(2 * CLIENTS)
        {
            let (sent, node) = (Arc::clone(&sent), deployment.front(gateway));
            clients.push(thread::spawn(move || {
                let request = ClientRequest {
                    method,
                    path,
                    deadline_ms: 1_500,
                    body: "",
                };
                let mut client = Client::new(node);
                while !stopped() {
                    let (id, at) = (attempt_id(), Instant::now());
                    let answer = match client.send(&id, &request) {
                        Ok(answer) => format!(
                            "{} {}",
                            answer.status(),
                            String::from_utf8_lossy(&answer.body).trim()
                        ),
                        Err(cause) => format!("none ({cause})"),
                    };
                    sent.lock().unwrap().push(Sent {
                        at,
                        gateway,
                        path,
                        id,
                        answer,
                    });
                    thread::sleep(
                        Duration::from_millis(1_000 / PER_S).saturating_sub(at.elapsed()),
                    );
                }
            }));
        }
    }
    // Longer than `contact_ms`.
    sleep_ms(4_000);
    if trouble {
        let Some(runner) = runners.get(OTHER) else {
            cannot_run("the runner is missing");
        };
        // Just after the runner's own heartbeat, the next of which replaces the entry.
        while store
            .last_write("servers", OTHER)
            .is_none_or(|at| at.elapsed() > Duration::from_millis(50))
        {
            sleep_ms(5);
        }
        let entry = format!(
            r#"{{"service":"logbook-app","address":"{}","zone":"gondar","version":"v1","slots":6,"state":"ready","born":{}}}"#,
            runner.address, runner.born
        );
        store.put("servers", OTHER, &entry);
        record.tell(format!("another writer: servers/{OTHER} {entry}"));
    }
    sleep_ms(4_000);
    STOP.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.end();

    let run_of: BTreeMap<String, Run> = {
        let runs = runs.lock().unwrap();
        runs.iter()
            .map(|run| (run.attempt.clone(), run.clone()))
            .collect()
    };
    let served = |path: &str| {
        let sent = sent.lock().unwrap();
        let ok = sent
            .iter()
            .filter(|one| one.path == path && one.answer.starts_with("200"));
        ok.count()
    };
    if served("/work-order/2f") == 0 || served("/audit/2f") == 0 {
        cannot_run("a service served nothing");
    }
    let mut astray = 0;
    for one in sent.lock().unwrap().iter() {
        let run = run_of.get(&one.id);
        let service = run.map_or("-", |run| run.service.as_str());
        let is_astray = one.path == "/work-order/2f" && service == "logbook-next";
        astray += u32::from(is_astray);
        let line = format!(
            "sent at {:.3} to front-{} {} {}, run by {} of {service}, answer {}",
            record.at(one.at),
            one.gateway,
            one.id,
            one.path,
            run.map_or("-", |run| run.runner.as_str()),
            one.answer
        );
        match is_astray {
            true => record.tell(line),
            false => record.write(line),
        }
    }
    record.tell(format!(
        "{astray} requests were run by a service to which no configuration allows them to go"
    ));
    record.tell(if astray > 0 {
        "ROUTE: broken"
    } else {
        "ROUTE: held"
    });
    record.save();
    std::process::exit(i32::from(astray > 0));
}
