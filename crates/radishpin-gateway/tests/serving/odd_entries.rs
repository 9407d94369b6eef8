//! Entries of another writer among those of the endpoints: they end no process, name no endpoint to use, and the list is
//! followed on.

use super::{caller::CallerRequest, cluster::TestCluster};
use base64::{Engine as _, engine::general_purpose::STANDARD};
use serde_json::Value;
use std::{net::TcpListener, thread, time::Duration};

/// Levels that recursion could not read within any stack.
const DEPTH: usize = 200_000;
/// Time in which a gateway reads the list of endpoints at least once.
const READ_TIME: Duration = Duration::from_millis(900);

/// Entries that name `address` where they name a sound one at all.
fn odd_entries(address: &str) -> Vec<String> {
    let nested = format!("{}{}", "[".repeat(DEPTH), "]".repeat(DEPTH));
    let entry = |service: &str, address: &str, slots: &str, born: &str, more: &str| {
        format!(
            r#"{{"service":{service},"address":{address},"zone":"north","slots":{slots},"state":"ready","born":{born}{more}}}"#
        )
    };
    let sound = format!("\"{address}\"");
    let more = format!(r#","models":{nested}"#);
    vec![
        nested.clone(),
        entry("\"shop\"", &sound, &nested, "1000", ""),
        entry("\"shop\"", &nested, "8", "1000", ""),
        entry("\"shop\"", &sound, "8", &nested, ""),
        entry("\"shop\"", &sound, "8", "1000", &more),
        entry("\"shop\"", "\"127.0.0.1:70000\"", "8", "1000", ""),
        entry("\"shop\"", "\"127.0.0.1:0\"", "8", "1000", ""),
        entry("\"shop\"", "\"127.0.0.1:-1\"", "8", "1000", ""),
        entry("\"shop\"", &sound, "1e308", "1000", ""),
        entry("\"shop\"", &sound, "8", "1e308", ""),
        entry("\"shop\"", &sound, "1e400", "1000", ""),
        entry(&nested, &sound, "8", "1000", ""),
    ]
}

fn list_odd_entries(cluster: &TestCluster, address: &str) {
    for (n, entry) in odd_entries(address).into_iter().enumerate() {
        let value = Value::String(STANDARD.encode(entry));
        cluster.store.put("servers", &format!("a-odd-{n}"), value);
    }
}

/// Asks for what only endpoints that were listed before and after the odd entries have.
fn check(cluster: &TestCluster, decoy: &TcpListener) {
    let (_later, _sidecar) = cluster.start_engine("i2", &["m2"]);
    thread::sleep(READ_TIME);
    for n in 0..20 {
        let order = cluster.ask(&CallerRequest::new("/order/2f", &format!("o{n}")));
        assert_eq!(order.status, 200, "order {n}");
    }
    for model in ["m0", "m1", "m2"] {
        let ask = CallerRequest::new("/dictation/2f", model).model(model);
        assert_eq!(cluster.ask(&ask).status, 200, "{model}");
    }
    decoy
        .set_nonblocking(true)
        .expect("the decoy can be polled");
    assert!(decoy.accept().is_err(), "an odd entry was used");
}

fn run(lists_before_start: bool) {
    let decoy = TcpListener::bind("127.0.0.1:0").expect("can bind to the loopback address");
    let address = decoy.local_addr().expect("listener has an address");
    let cluster = TestCluster::start_unconfigured();
    if lists_before_start {
        list_odd_entries(&cluster, &address.to_string());
    }
    cluster
        .store
        .put("op", "config", super::cluster::configuration(1));
    let _endpoint = cluster.start_plain_endpoint("e1");
    let (_engine, _sidecar) = cluster.start_engine("i1", &["m0", "m1"]);
    cluster.wait_until_ready();
    if !lists_before_start {
        list_odd_entries(&cluster, &address.to_string());
        thread::sleep(READ_TIME);
    }
    check(&cluster, &decoy);
}

#[test]
fn odd_entries_that_are_listed_at_the_start_are_not_used() {
    run(true);
}

#[test]
fn odd_entries_that_come_while_the_processes_run_are_not_used() {
    run(false);
}
