//! The platform's store moves to another address. The settings files name the new one, and each gateway gets SIGHUP.
//! Then the operator sends a configuration, and clients go on to send requests.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    path::PathBuf,
    sync::{Arc, Mutex, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Time from the signals to the operator's change: longer than `contact_ms`.
const CHANGE_AFTER: Duration = Duration::from_millis(6_000);
/// `configuration_ms` and `stretch_maximum_ms` of the settings.
const IN_FORCE_AFTER: Duration = Duration::from_millis(2_000 + 5_000);
const JUDGED: Duration = Duration::from_secs(20);

fn configuration(version: u64, service: &str) -> String {
    format!(
        r#"{{"version":{version},"routes":[{{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"{service}","attempts":1,"sticky_sessions":false,"resumable":false}}],
"services":[{{"name":"logbook-app","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}},
{{"name":"logbook-next","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}}],
"limits":{{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}}}"#
    )
}

fn main() {
    let folder = PathBuf::from(std::env::args().nth(1).unwrap_or_else(|| "review/5".to_owned()));
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let first_store = Store::start(deployment.store_address());
    let store: Arc<Mutex<Arc<Store>>> = Arc::new(Mutex::new(Arc::clone(&first_store)));
    let runs: Runs = Runs::default();
    first_store.put("op", "config", &configuration(7, "logbook-app"));
    for (group, service) in [(3, "logbook-app"), (4, "logbook-next")] {
        for number in 1..=2 {
            let address = (deployment.ip(group, number), ports().app).into();
            let id = format!("i-{service}{number}");
            let runner = PlainRunner::start(&id, service, address, Duration::from_millis(30), &runs);
            let store = Arc::clone(&store);
            thread::spawn(move || {
                let mut sequence = 0;
                while !stopped() {
                    sequence += 1;
                    let store = Arc::clone(&store.lock().unwrap());
                    store.put("servers", &runner.id, &runner.entry("ready", sequence));
                    thread::sleep(HEARTBEAT);
                }
            });
        }
    }
    let pids: Vec<u32> = (1..=GATEWAYS).map(|number| deployment.start_gateway(number, true)).collect();
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    sleep_ms(2_000);

    let sent: Arc<Mutex<Vec<(Instant, u8, String, String)>>> = Arc::default();
    let clients: Vec<_> = (1..=GATEWAYS)
        .map(|gateway| {
            let (sent, node) = (Arc::clone(&sent), deployment.front(gateway));
            thread::spawn(move || {
                let request =
                    ClientRequest { method: "POST", path: "/work-order/2f", deadline_ms: 1_500, body: "roof" };
                let mut client = Client::new(node);
                while !stopped() {
                    let (id, at) = (attempt_id(), Instant::now());
                    let answer = match client.send(&id, &request) {
                        Ok(answer) => answer.status().to_string(),
                        Err(cause) => format!("none ({cause})"),
                    };
                    sent.lock().unwrap().push((at, gateway, id, answer));
                    thread::sleep(Duration::from_millis(200).saturating_sub(at.elapsed()));
                }
            })
        })
        .collect();
    sleep_ms(3_000);

    if trouble {
        deployment.set_store_host(8);
        let moved = first_store.move_to(deployment.store_address());
        *store.lock().unwrap() = moved;
        record.tell(format!("the store is at {} from now on, with all its rows", deployment.store_address()));
        for (number, pid) in (1..=GATEWAYS).zip(&pids) {
            deployment.rewrite_gateway_settings(number);
            deployment.signal(*pid, "HUP");
        }
        record.tell("the settings files name the new address; each gateway got SIGHUP");
        sleep_ms(1_000);
        first_store.go_away();
        record.tell("nothing answers at the old address any more");
    }
    thread::sleep(CHANGE_AFTER);
    let newest = Arc::clone(&store.lock().unwrap());
    newest.put("op", "config", &configuration(12, "logbook-next"));
    let acknowledged_at = Instant::now();
    record.tell("operator: configuration 12 acknowledged");
    let judged_from = acknowledged_at + IN_FORCE_AFTER;
    thread::sleep(IN_FORCE_AFTER + JUDGED);
    STOP.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.end();

    let service_of: BTreeMap<String, String> = {
        let runs = runs.lock().unwrap();
        runs.iter().map(|run| (run.attempt.clone(), run.service.clone())).collect()
    };
    let mut old: BTreeMap<u8, u32> = BTreeMap::new();
    let mut judged = 0;
    for (at, gateway, id, answer) in sent.lock().unwrap().iter() {
        let service = service_of.get(id).map_or("-", String::as_str);
        let is_judged = *at >= judged_from;
        judged += u32::from(is_judged);
        if is_judged && service == "logbook-app" {
            *old.entry(*gateway).or_default() += 1;
        }
        record.write(format!(
            "sent at {:.3} front-{gateway} {id} answer {answer} run by {service}",
            record.at(*at)
        ));
    }
    for (gateway, count) in &old {
        record.tell(format!("front-{gateway}: {count} requests run by the old service"));
    }
    record.tell(format!("{judged} requests judged"));
    record.tell(if old.is_empty() { "CONFIG: held" } else { "CONFIG: broken" });
    record.save(&folder.join("record.txt"));
    std::process::exit(i32::from(!old.is_empty()));
}
