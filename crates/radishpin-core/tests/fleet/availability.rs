//! Tests of endpoints that state in their answers when they take requests.

use super::support::{TestFleet, load_target, ms, query};
use insta::assert_snapshot;
use radishpin_core::process::{EndpointChange, Pick, PickQuery, REQUESTED_BACKOFF_MAX};
use radishpin_protocol::prelude::*;

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

/// Asks for a backoff in an answer at one second.
fn ask_for_backoff(test: &mut TestFleet, id: &str, backoff: Duration) {
    test.fleet
        .record_backoff(id, STARTED_UNIX_MS, backoff, ms(1_000));
}

#[test]
fn a_backoff_is_capped_and_ends_by_itself() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    ask_for_backoff(&mut test, "p1", Duration::MAX);
    let refused = test.pick(&query("shop", None));
    assert_snapshot!(refused, @"refuse: endpoint_backoff, retry after 60000 ms");
    let end = ms(1_000) + REQUESTED_BACKOFF_MAX;
    assert!(!test.fleet.may_send("p1", end - ms(1)));
    assert!(test.fleet.may_send("p1", end));
    let pick = test.fleet.pick(&query("shop", None), end);
    assert!(matches!(pick, Pick::Send { .. }), "{pick:?}");
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    ask_for_backoff(&mut test, "p1", ms(3_000));
    ask_for_backoff(&mut test, "p1", ms(200));
    assert!(!test.fleet.may_send("p1", ms(3_999)));
    assert!(test.fleet.may_send("p1", ms(4_000)));
}

#[test]
fn a_process_that_started_later_is_not_bound_by_a_backoff() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    test.fleet
        .record_backoff("p1", STARTED_UNIX_MS - 1, ms(9_000), ms(1_000));
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 0");
}

/// The answer of the earlier process was on its way.
#[test]
fn an_answer_of_an_earlier_process_does_not_end_the_backoff_of_a_later_one() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    ask_for_backoff(&mut test, "p1", ms(3_000));
    test.fleet
        .record_backoff("p1", STARTED_UNIX_MS - 1, ms(500), ms(1_000));
    assert!(!test.fleet.may_send("p1", ms(3_999)));
}

#[test]
fn an_entry_that_lapsed_comes_back_with_its_backoff() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    ask_for_backoff(&mut test, "p1", ms(3_000));
    test.entries.remove("p1");
    test.fleet.update_endpoints(&test.entries, &[]);
    test.add_endpoint("p1", "shop", "north", 4);
    assert!(!test.fleet.may_send("p1", ms(3_999)));
}

/// The only engine with the model backs off; a load elsewhere takes 1.4 s.
#[test]
fn a_model_is_loaded_elsewhere_only_if_that_ends_before_a_long_backoff() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["b"]);
    test.add_engine("i2", &["a"]);
    let request = query("drafts", Some(("b", None)));
    ask_for_backoff(&mut test, "i1", ms(1_900));
    assert_snapshot!(test.pick(&request), @"refuse: endpoint_backoff, retry after 1900 ms");
    ask_for_backoff(&mut test, "i1", ms(2_500));
    assert_snapshot!(test.pick(&request), @"wait for i2 1450 ms");
    let urgent = PickQuery {
        time_left: ms(500),
        ..request
    };
    assert_snapshot!(test.pick(&urgent), @"refuse: load_too_late, retry after 1550 ms");
}

#[test]
fn a_backoff_sends_nobody_away_while_another_endpoint_only_failed_this_request() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    test.add_endpoint("p2", "shop", "north", 4);
    ask_for_backoff(&mut test, "p1", ms(30_000));
    let tried = BTreeSet::from(["p2".to_owned()]);
    let request = PickQuery {
        tried: &tried,
        ..query("shop", None)
    };
    assert_snapshot!(test.pick(&request), @"refuse: no_endpoint, retry after 1000 ms");
}

/// Loads go on at an engine that backs off, for as long as it is the first that can serve the model.
#[test]
fn a_request_that_waits_for_a_load_stays_at_an_endpoint_that_backs_off_for_a_moment() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    let request = query("drafts", Some(("b", None)));
    let Pick::Wait(wait) = test.fleet.pick(&request, ms(1_000)) else {
        panic!("the request waits");
    };
    test.fleet.begin_wait(load_target("b"), &wait.endpoint);
    ask_for_backoff(&mut test, &wait.endpoint, ms(1_000));
    let Pick::Wait(again) = test.fleet.pick(&request, ms(1_000)) else {
        panic!("the request waits");
    };
    assert_eq!(again.endpoint, wait.endpoint);
}
