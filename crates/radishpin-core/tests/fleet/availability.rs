//! Tests of endpoints that state in their answers when they take requests.

use super::support::{TestFleet, load_target, ms, query};
use insta::assert_snapshot;
use radishpin_core::process::{EndpointChange, Pick};

/// Start of the processes of all endpoints, in Unix milliseconds.
const STARTED_UNIX_MS: u64 = 100;

#[test]
fn a_request_that_waits_for_a_load_leaves_an_endpoint_that_drains() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    let request = query("drafts", Some(("b", None)));
    let Pick::Wait(wait) = test.fleet.pick(&request, ms(1_000)) else {
        panic!("the request waits");
    };
    test.fleet.begin_wait(load_target("b"), &wait.endpoint);
    let draining = wait.endpoint;
    assert!(test.fleet.record_draining(&draining, STARTED_UNIX_MS));
    assert!(!test.fleet.record_draining(&draining, STARTED_UNIX_MS));
    let Pick::Wait(wait) = test.fleet.pick(&request, ms(1_000)) else {
        panic!("the request waits elsewhere");
    };
    assert_ne!(wait.endpoint, draining);
    assert!(
        test.fleet
            .next_report(&draining, ms(1_000))
            .demands
            .is_empty()
    );
    assert_eq!(
        test.fleet
            .next_report(&wait.endpoint, ms(1_000))
            .demands
            .len(),
        1
    );
}

#[test]
fn a_request_with_a_slot_leaves_an_endpoint_that_drains() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    test.add_endpoint("p2", "shop", "north", 4);
    test.fleet.record_draining("p1", STARTED_UNIX_MS);
    let pick = test
        .fleet
        .pick_with_slot("p1", &query("shop", None), ms(1_000));
    let Pick::Send { endpoint, .. } = pick else {
        panic!("the request is sent");
    };
    assert_eq!(endpoint, "p2");
}

#[test]
fn only_the_process_that_says_so_drains() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    test.fleet.record_draining("p1", STARTED_UNIX_MS - 1);
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 0");
    assert!(!test.fleet.record_draining("another", STARTED_UNIX_MS));
    test.fleet.record_draining("p1", STARTED_UNIX_MS);
    assert_snapshot!(test.pick(&query("shop", None)), @"refuse: no_endpoint, retry after 1000 ms");
    let entry = test.entries.get_mut("p1").expect("it is listed");
    entry.started_unix_ms += 1;
    let restarted = [EndpointChange::Restarted("p1".into())];
    test.fleet.update_endpoints(&test.entries, &restarted);
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 0");
}

#[test]
fn an_entry_that_lapsed_comes_back_draining_unless_it_is_of_a_later_process() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    test.fleet.record_draining("p1", STARTED_UNIX_MS);
    let mut entry = test.entries.remove("p1").expect("it is listed");
    test.add_endpoint("p2", "shop", "north", 4);
    test.entries.insert("p1".into(), entry.clone());
    let joined = [EndpointChange::Joined("p1".into())];
    test.fleet.update_endpoints(&test.entries, &joined);
    assert!(!test.fleet.is_ready("p1"));
    test.entries.remove("p1");
    test.fleet.update_endpoints(&test.entries, &[]);
    entry.started_unix_ms += 1;
    test.entries.insert("p1".into(), entry);
    test.fleet.update_endpoints(&test.entries, &joined);
    assert!(test.fleet.is_ready("p1"));
}
