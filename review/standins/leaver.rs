//! A runner leaves without reporting `draining`: its entry is removed, and its answers say that it leaves. Then the
//! store is away for a moment and comes back from a copy that still has the entry.

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
/// Time that a request takes.
const WORK: Duration = Duration::from_millis(1_200);
/// Time for which the store is away, and age of the copy that it comes back from.
const AWAY: Duration = Duration::from_millis(500);
const COPY_AGE: Duration = Duration::from_millis(2_500);
/// Time after which what the runners wrote is written again, here the removal of the entry.
const WRITTEN_AGAIN_AFTER: Duration = Duration::from_millis(1_900);
/// `drain_ms` of the settings.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Time for which the runner serves after its entry was removed.
const SERVES_ON: Duration = Duration::from_millis(4_300);

fn configuration() -> &'static str {
    r#"{"version":7,"routes":[{"name":"work-order","host":"ficu95.example","prefix":"/work-order/","kind":"non_idempotent","timeout_ms":3000,"target_latency_ms":1500,"priority":2,"service":"logbook-app","attempts":1,"sticky_sessions":false,"resumable":false}],
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
    leaver.start(&store);
    for runner in &others {
        runner.start(&store);
    }
    for number in 1..=GATEWAYS {
        deployment.start_gateway(number, true);
    }
    deployment.wait_until_ready(1..=GATEWAYS);
    record.tell("all gateways are ready");
    sleep_ms(4_000);

    let answers: Answers = Arc::default();
    let leaves = {
        let (leaver, store, record) =
            (Arc::clone(&leaver), Arc::clone(&store), Arc::clone(&record));
        thread::spawn(move || {
            sleep_ms(100);
            leaver.leave_unlisted(&store);
            record.tell("runner i-leaver leaves: its entry is removed, and its answers say so");
            Instant::now()
        })
    };
    record.tell("clients send requests");
    wave(&deployment, GATEWAYS, 6, &answers);
    let left_at = leaves
        .join()
        .unwrap_or_else(|_| cannot_run("the runner does not leave"));
    record.tell("all answers are there");
    let exits = {
        let leaver = Arc::clone(&leaver);
        thread::spawn(move || {
            thread::sleep((left_at + SERVES_ON).saturating_duration_since(Instant::now()));
            leaver.end();
        })
    };
    sleep_ms(200);
    if trouble {
        let away_at = Instant::now();
        store.go_away();
        record.tell("store: away");
        thread::sleep(AWAY);
        let (before, after) = store.come_back_from_copy(away_at - COPY_AGE);
        record.tell(format!(
            "store: back, from a copy {:.1} s old; version {before} before, {after} now",
            COPY_AGE.as_secs_f64()
        ));
        let (store, record) = (Arc::clone(&store), Arc::clone(&record));
        thread::spawn(move || {
            thread::sleep(WRITTEN_AGAIN_AFTER);
            store.remove("servers", "i-leaver");
            record.tell("store: the entry is removed again");
        });
    } else {
        thread::sleep(AWAY);
    }
    let told_at = answers
        .lock()
        .unwrap()
        .iter()
        .filter(|one| one.leaving)
        .map(|one| one.ended_at)
        .max();
    let Some(told_at) = told_at else {
        cannot_run("no answer said that the runner leaves");
    };
    thread::sleep(
        (told_at + DRAIN + Duration::from_millis(100)).saturating_duration_since(Instant::now()),
    );
    record.tell("clients send requests again");
    wave(&deployment, GATEWAYS, 6, &answers);
    let _ = exits.join();
    STOP.store(true, Ordering::Relaxed);
    deployment.end();

    let answers = answers.lock().unwrap();
    let mut told: BTreeMap<u8, Instant> = BTreeMap::new();
    for one in answers.iter() {
        record.write(format!(
            "sent at {:.3} front-{} {} answer {} at {:.3}{}",
            record.at(one.sent_at),
            one.gateway,
            one.id,
            one.answer,
            record.at(one.ended_at),
            if one.leaving {
                ", Server-Leaving: 1"
            } else {
                ""
            }
        ));
        if one.leaving {
            let first = told.entry(one.gateway).or_insert(one.ended_at);
            *first = one.ended_at.min(*first);
        }
    }
    let is_served = |one: &Sent| one.sent_at > told_at && one.answer == "200";
    if !answers.iter().any(is_served) {
        cannot_run("no request was served after the runner had left");
    }
    let cut = leaver.cut.lock().unwrap().clone();
    let mut late = 0;
    for (at, id) in leaver.runs.lock().unwrap().iter() {
        record.write(format!("run at {:.3} by i-leaver {id}", record.at(*at)));
        let Some(one) = answers.iter().find(|one| one.id == *id) else {
            continue;
        };
        let since = told
            .get(&one.gateway)
            .and_then(|told| one.sent_at.checked_duration_since(*told));
        let Some(since) = since.filter(|since| *since > DRAIN) else {
            continue;
        };
        late += 1;
        record.tell(format!(
            "request {id} was sent {:.3} s after front-{} had passed on an answer with Server-Leaving, and reached i-leaver; cut by its exit: {}; answer {}",
            since.as_secs_f64(),
            one.gateway,
            cut.contains(id),
            one.answer
        ));
    }
    record.tell(format!(
        "{late} requests reached the runner later than {} ms after that",
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
