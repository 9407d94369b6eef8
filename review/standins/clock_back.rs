//! The time of day jumps back on the machine of a runner, the runner crashes and starts again, and later it is
//! taken out of service as planned: it reports `draining`, serves a little longer and exits.

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

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":800,"target_latency_ms":150,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false}],
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
    let leaver = Runner::new("i-leaver", address(1), WORK);
    let others = [
        Runner::new("i-second", address(2), WORK),
        Runner::new("i-third", address(3), WORK),
    ];
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
    record.tell(format!(
        "runner i-leaver starts, born {}",
        leaver.born.load(Ordering::SeqCst)
    ));
    thread::sleep(LIFE_BEFORE_CRASH);
    if trouble {
        leaver.clock_off_ms.store(JUMP_MS, Ordering::SeqCst);
        record.tell(format!(
            "the time of day of its machine jumps by {JUMP_MS} ms"
        ));
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
        wave(&deployment, GATEWAYS, 3, &answers);
        sleep_ms(600);
    }
    let before_leaving = leaver.runs.lock().unwrap().len();
    record.tell(format!(
        "runner i-leaver has run {before_leaving} requests since"
    ));

    if before_leaving == 0 {
        cannot_run("the runner that is to leave got no request");
    }
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
    wave(&deployment, GATEWAYS, 6, &answers);
    let _ = exits.join();
    record.tell("runner i-leaver has exited");
    store.remove("servers", "i-leaver");
    sleep_ms(300);
    STOP.store(true, Ordering::Relaxed);
    deployment.end();

    let by_id: BTreeMap<String, (u8, String)> = {
        let answers = answers.lock().unwrap();
        answers
            .iter()
            .map(|one| (one.id.clone(), (one.gateway, one.answer.clone())))
            .collect()
    };
    for one in answers.lock().unwrap().iter() {
        record.write(format!(
            "sent at {:.3} front-{} {} answer {}",
            record.at(one.sent_at),
            one.gateway,
            one.id,
            one.answer
        ));
    }
    let is_served = |one: &Sent| one.sent_at > acknowledged_at && one.answer == "200";
    if !answers.lock().unwrap().iter().any(is_served) {
        cannot_run("no request was served after the runner had left");
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
