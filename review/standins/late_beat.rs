//! The store loses the answer to a runner's write of its entry and performs that write some seconds later, after the
//! runner has reported that it leaves.

#[path = "common.rs"]
mod common;

use common::*;
use std::{
    collections::BTreeMap,
    net::SocketAddr,
    sync::{Arc, atomic::Ordering},
    thread,
    time::{Duration, Instant},
};

const GATEWAYS: u8 = 4;
/// Time that an ordinary request takes.
const WORK: Duration = Duration::from_millis(30);
/// Time after which the store performs the write whose answer it lost.
const LATE_MS: u64 = 4_900;
/// Time from that write to the runner's report that it leaves; longer than `contact_ms`, 3 s.
const LEAVES_AFTER: Duration = Duration::from_millis(3_100);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the runner serves after the store has accepted its report.
const SERVES_ON: Duration = Duration::from_millis(3_300);

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":150,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false},
{"name":"summary","host":"ficu95.example","prefix":"/summary/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1500,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false}],
"services":[{"name":"logbook-app","health_path":"/health","connection_limit":100,"protocol":"h1","tls":false}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}"#
}

fn main() {
    let trouble = with_trouble();
    let record = Record::start();
    let deployment = Deployment::prepare();
    let store = Store::start(deployment.store_address());
    store.put("op", "config", configuration());
    let address = |number| SocketAddr::from((deployment.ip(3, number), ports().app));
    let ids = ["i-runner1", "i-runner2", "i-runner3", "i-runner4"];
    let runners = [1, 2, 3, 4].map(|number| {
        let runner = Runner::new(ids[usize::from(number) - 1], address(number), WORK);
        runner.start(&store);
        sleep_ms(300);
        runner
    });
    let leaver = &runners[2];
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    sleep_ms(3_000);

    let answers: Answers = Arc::default();
    wave_to("/summary/2f", &deployment, GATEWAYS, 8, &answers);
    // Ordinary requests, until the end.
    let mut clients = Vec::new();
    for place in 0..2 {
        let (deployment, answers) = (Arc::clone(&deployment), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            sleep_ms(place * 250);
            while !stopped() {
                let sent_at = Instant::now();
                wave(&deployment, GATEWAYS, 1, &answers);
                thread::sleep(Duration::from_millis(500).saturating_sub(sent_at.elapsed()));
            }
        }));
    }
    sleep_ms(3_000);

    // The runner's next write is the last one whose answer is lost.
    leaver
        .next_beat_late_ms
        .store(if trouble { LATE_MS } else { 1 }, Ordering::SeqCst);
    while leaver.next_beat_late_ms.load(Ordering::SeqCst) != 0 {
        sleep_ms(1);
    }
    let lost_at = Instant::now();
    record.tell(match trouble {
        true => "store: loses the answer to a write of i-runner3 (ready)",
        false => "store: performs a write of i-runner3 (ready)",
    });
    if trouble {
        let record = Arc::clone(&record);
        thread::spawn(move || {
            sleep_ms(LATE_MS);
            record.tell("store: performs that write");
        });
    }
    thread::sleep((lost_at + LEAVES_AFTER).saturating_duration_since(Instant::now()));
    leaver.leave_announced(&store);
    let acknowledged_at = Instant::now();
    record.tell("runner i-runner3 reports draining; the store has accepted it");
    let exits = {
        let leaver = Arc::clone(leaver);
        let until = acknowledged_at + SERVES_ON;
        thread::spawn(move || {
            thread::sleep(until.saturating_duration_since(Instant::now()));
            leaver.end();
        })
    };
    // A burst of longer requests among the ordinary ones.
    for after_ms in [2_300, 2_500, 2_700] {
        let at = acknowledged_at + Duration::from_millis(after_ms);
        let (deployment, answers) = (Arc::clone(&deployment), Arc::clone(&answers));
        clients.push(thread::spawn(move || {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            wave_to("/summary/2f", &deployment, GATEWAYS, 4, &answers);
        }));
    }
    let _ = exits.join();
    record.tell("runner i-runner3 has exited");
    store.remove("servers", "i-runner3");
    sleep_ms(1_000);
    STOP.store(true, Ordering::Relaxed);
    for client in clients {
        let _ = client.join();
    }
    deployment.end();

    let answers = answers.lock().unwrap();
    let by_id: BTreeMap<&str, &Sent> = answers.iter().map(|one| (one.id.as_str(), one)).collect();
    for one in answers.iter() {
        record.write(format!(
            "sent at {:.3} front-{} {} answer {}",
            record.at(one.sent_at),
            one.gateway,
            one.id,
            one.answer
        ));
    }
    let is_served = |one: &&Sent| one.sent_at > acknowledged_at && one.answer == "200";
    if answers.iter().filter(is_served).count() < 4 {
        cannot_run("too few requests were served after the runner had left");
    }
    let cut = leaver.cut.lock().unwrap().clone();
    let runs = leaver.runs.lock().unwrap();
    if !runs.iter().any(|(at, _)| *at < acknowledged_at) {
        cannot_run("the runner that is to leave got no request");
    }
    let mut late = 0;
    for (at, id) in runs.iter() {
        let since = at.saturating_duration_since(acknowledged_at);
        record.write(format!("run at {:.3} by i-runner3 {id}", record.at(*at)));
        if since <= DRAIN {
            continue;
        }
        late += 1;
        if let Some(one) = by_id.get(id.as_str()) {
            record.tell(format!(
                "request {id} from front-{} reached i-runner3 {:.3} s after its leaving was acknowledged; cut by its exit: {}; answer {}",
                one.gateway,
                since.as_secs_f64(),
                cut.contains(id),
                one.answer
            ));
        }
    }
    record.tell(format!(
        "{late} requests reached the runner later than {} ms after the acknowledgement",
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
