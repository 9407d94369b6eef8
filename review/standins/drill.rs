//! A drill of the store: it is away for a moment and comes back from a copy some seconds old. Then the operator
//! sends a configuration, as on any day, and clients go on to send requests.

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
const ENGINES: u8 = 9;
const PLAIN_RUNNERS: u8 = 2;
/// Time for which the store is away.
const AWAY: Duration = Duration::from_millis(2_000);
/// Age of the copy that it comes back from.
const COPY_AGE: Duration = Duration::from_millis(2_000);
/// Time from the store's return to the operator's next change.
const CHANGE_AFTER: Duration = Duration::from_millis(500);
/// `configuration_ms` and `stretch_maximum_ms` of the settings.
const IN_FORCE_AFTER: Duration = Duration::from_millis(2_000 + 5_000);
/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(30);

const MODELS: &str = r#"{"name":"daka510000","version":1,"adapters":[]}"#;

fn route(name: &str, kind: &str, service: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"ficu95.example","prefix":"/{name}/","kind":"{kind}","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"{service}","attempts":1,"sticky_sessions":false,"resumable":false}}"#
    )
}

fn configuration(version: u64, routes: &[String]) -> String {
    format!(
        r#"{{"version":{version},"routes":[{}],"services":[
{{"name":"scribe-models","health_path":"/health","connection_limit":360,"protocol":"h1","tls":false,"engine":{{"slots":64,"kv_cache_tokens":165548,"weights_mb":230000.0,"adapter_slots":8,"loads_per_s":2.4,"models":[{{"name":"daka510000","weights_mb":72700.0,"load_time_s":6.0,"adapters":0,"adapter_mb":66.0,"warm_s":0.6,"disk_s":1.3}}]}}}},
{{"name":"logbook-app","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}},
{{"name":"logbook-next","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#,
        routes.join(",")
    )
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
    let runs: Runs = Runs::default();

    let old = [
        route("work-order", "non_idempotent", "logbook-app"),
        route("log-lookup", "idempotent", "logbook-app"),
        route("retired", "idempotent", "logbook-app"),
    ];
    let new = [
        route("work-order", "non_idempotent", "logbook-next"),
        route("log-lookup", "idempotent", "logbook-app"),
        route("audit", "idempotent", "logbook-next"),
    ];
    store.put("op", "config", &configuration(7, &old));
    for number in 1..=ENGINES {
        let address = (deployment.ip(2, number), ports().app).into();
        let engine = start_engine(
            &format!("i-engine{number}"),
            "scribe-models",
            address,
            MODELS,
        );
        beat(&store, &engine, MODELS, HEARTBEAT * u32::from(number) / 13);
        deployment.start_sidecar(number, "scribe-models", true);
    }
    for (group, service) in [(3, "logbook-app"), (4, "logbook-next")] {
        for number in 1..=PLAIN_RUNNERS {
            let address = (deployment.ip(group, number), ports().app).into();
            let id = format!("i-{service}{number}");
            let runner =
                PlainRunner::start(&id, service, address, Duration::from_millis(30), &runs);
            let place = u32::from(group - 3) * 2 + u32::from(number) + 8;
            beat(&store, &runner, "", HEARTBEAT * place / 13);
        }
    }
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    // Runners have written their entries, and gateways have read them.
    sleep_ms(2_500);

    let sent: Arc<Mutex<Vec<Sent>>> = Arc::default();
    let requests = [
        ClientRequest {
            method: "POST",
            path: "/work-order/2f",
            deadline_ms: 1_500,
            body: "roof",
        },
        ClientRequest {
            method: "GET",
            path: "/log-lookup/2f",
            deadline_ms: 1_500,
            body: "",
        },
        ClientRequest {
            method: "GET",
            path: "/retired/2f",
            deadline_ms: 1_500,
            body: "",
        },
        ClientRequest {
            method: "GET",
            path: "/audit/2f",
            deadline_ms: 1_500,
            body: "",
        },
    ];
    let mut clients = Vec::new();
    for gateway in 1..=GATEWAYS {
        for request in requests.clone() {
            let (sent, node) = (Arc::clone(&sent), deployment.front(gateway));
            clients.push(thread::spawn(move || {
                let mut client = Client::new(node);
                while !stopped() {
                    let (id, at) = (attempt_id(), Instant::now());
                    let answer = match client.send(&id, &request) {
                        Ok(answer) => answer.status().to_string(),
                        Err(cause) => format!("none ({cause})"),
                    };
                    sent.lock().unwrap().push(Sent {
                        at,
                        gateway,
                        path: request.path,
                        id,
                        answer,
                    });
                    thread::sleep(Duration::from_millis(200).saturating_sub(at.elapsed()));
                }
            }));
        }
    }
    // A few seconds of an ordinary day.
    sleep_ms(5_000);

    if trouble {
        let left_at = Instant::now();
        store.go_away();
        record.tell("store: away");
        thread::sleep(AWAY);
        let (before, after) = store.come_back_from_copy(left_at - COPY_AGE);
        record.tell(format!(
            "store: back, from a copy {:.1} s old; version {before} before, {after} now",
            COPY_AGE.as_secs_f64()
        ));
    }
    let back_at = Instant::now();
    thread::sleep(CHANGE_AFTER);
    let written = store.put("op", "config", &configuration(12, &new));
    let acknowledged_at = Instant::now();
    assert!(written, "the store acknowledges the configuration");
    record.tell(format!(
        "operator: configuration 12 acknowledged, row version {}",
        store.version()
    ));
    let judged_from =
        (acknowledged_at + IN_FORCE_AFTER).max(back_at + Duration::from_millis(3_000));
    thread::sleep(judged_from.saturating_duration_since(Instant::now()));
    record.tell("requests from here on are judged");
    thread::sleep(JUDGED);
    let judged_until = Instant::now();
    STOP.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.end();

    let by_attempt: BTreeMap<String, Run> = {
        let runs = runs.lock().unwrap();
        runs.iter()
            .map(|run| (run.attempt.clone(), run.clone()))
            .collect()
    };
    let mut broken: BTreeMap<String, u32> = BTreeMap::new();
    let mut judged = 0;
    let mut others = 0;
    for one in sent.lock().unwrap().iter() {
        let run = by_attempt.get(&one.id);
        let service = run.map_or("-", |run| run.service.as_str());
        let is_judged = one.at >= judged_from && one.at < judged_until;
        let fault = match (one.path, service, one.answer.as_str()) {
            ("/work-order/2f", "logbook-app", _) => Some("run by the old service"),
            ("/retired/2f", "logbook-app", _) => Some("run with a dropped route"),
            ("/audit/2f", _, "404") => Some("refused with 404 though the route is there"),
            _ => None,
        };
        let verdict = match (is_judged, fault) {
            (true, Some(fault)) => {
                *broken
                    .entry(format!("front-{}: {} {fault}", one.gateway, one.path))
                    .or_default() += 1;
                "OLD"
            }
            (true, None) => "new",
            (false, _) => "-",
        };
        judged += u32::from(is_judged);
        others += u32::from(is_judged && fault.is_none());
        record.write(format!(
            "sent at {:.3} front-{} {} {} answer {} run by {} {verdict}",
            record.at(one.at),
            one.gateway,
            one.id,
            one.path,
            one.answer,
            service
        ));
    }
    for (what, count) in &broken {
        record.tell(format!("{count} requests: {what}"));
    }
    record.tell(format!(
        "{judged} requests judged, {others} of them handled as configuration 12 allows"
    ));
    let served_before = |path: &str| {
        let sent = sent.lock().unwrap();
        let ok = sent
            .iter()
            .filter(|one| one.at < back_at && one.path == path && one.answer == "200");
        ok.count() > 0
    };
    if judged == 0 || !served_before("/work-order/2f") || !served_before("/retired/2f") {
        cannot_run("the first configuration was not served, or nothing could be judged");
    }
    let is_broken = !broken.is_empty();
    record.tell(if is_broken {
        "CONFIG: broken"
    } else {
        "CONFIG: held"
    });
    record.save();
    std::process::exit(i32::from(is_broken));
}
