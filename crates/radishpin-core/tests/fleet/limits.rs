//! Tests of requests to endpoints that state limits.

use super::support::{TestFleet, ms, query};
use insta::assert_snapshot;
use radishpin_core::{
    process::{EndpointLimit, PickQuery},
    request::{LimitStatement, RequestRate},
};

/// States a limit of an endpoint in an answer at 500 ms.
fn state_limit(test: &mut TestFleet, id: &str, per_s: f64) {
    let rate = RequestRate::from_per_s(per_s).expect("the rate is valid");
    let statement = LimitStatement::Limited(rate);
    assert!(test.fleet.record_limit(id, statement, ms(400), ms(500)));
}

#[test]
fn an_endpoint_that_states_a_limit_is_spared_while_another_one_has_room() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["a"]);
    test.add_engine("i2", &["a"]);
    state_limit(&mut test, "i1", 1.0);
    let picks: Vec<String> = (0..4)
        .map(|_| test.pick(&query("drafts", Some(("a", None)))))
        .collect();
    assert_snapshot!(picks.join("; "), @"i2 with 0; i2 with 1; i2 with 2; i2 with 3");
}

/// The only engine with the model gives its next slot in 700 ms; a load elsewhere takes 1.4 s.
#[test]
fn a_request_waits_for_a_slot_or_a_load_whichever_comes_first() {
    let mut test = TestFleet::new();
    test.add_engine("i1", &["b"]);
    test.add_engine("i2", &["a"]);
    state_limit(&mut test, "i1", 1.0);
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"i1 with 0");
    test.fleet.await_slot("i1", ms(1_700));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"slot at i1 within 1000 ms");
    test.fleet.await_slot("i1", ms(9_000));
    assert_snapshot!(test.pick(&query("drafts", Some(("b", None)))), @"wait for i2 1450 ms");
    let urgent = PickQuery {
        time_left: ms(500),
        ..query("drafts", Some(("b", None)))
    };
    assert_snapshot!(test.pick(&urgent), @"refuse: load_too_late, retry after 1550 ms");
    test.fleet.await_slot("i1", ms(2_200));
    assert_snapshot!(test.pick(&urgent), @"refuse: limited, retry after 1200 ms");
}

#[test]
fn a_plain_endpoint_without_a_slot_in_time_refuses_with_the_time_of_the_next() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    state_limit(&mut test, "p1", 0.2);
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 0");
    test.fleet.await_slot("p1", ms(6_000));
    assert_snapshot!(test.pick(&query("shop", None)), @"refuse: limited, retry after 5000 ms");
    test.fleet.await_slot("p1", ms(1_800));
    assert_snapshot!(test.pick(&query("shop", None)), @"slot at p1 within 1000 ms");
    assert!(
        test.fleet
            .record_limit("p1", LimitStatement::Unlimited, ms(600), ms(900))
    );
    assert_snapshot!(test.pick(&query("shop", None)), @"p1 with 1");
}

#[test]
fn an_answer_to_an_earlier_request_does_not_lift_a_limit() {
    let mut test = TestFleet::new();
    test.add_endpoint("p1", "shop", "north", 4);
    state_limit(&mut test, "p1", 1.0);
    let early = LimitStatement::Unlimited;
    assert!(!test.fleet.record_limit("p1", early, ms(499), ms(900)));
    let unreadable = LimitStatement::Unreadable;
    assert!(!test.fleet.record_limit("p1", unreadable, ms(600), ms(900)));
    let known = test.fleet.limits(ms(1_500));
    assert_eq!(known.len(), 1);
    assert_eq!(known[0].age_ms, 1_000);
    let later = EndpointLimit {
        limit: None,
        age_ms: 200,
        ..known[0].clone()
    };
    let earlier = EndpointLimit {
        age_ms: 1_200,
        ..later.clone()
    };
    assert!(!test.fleet.learn_limit(&earlier, ms(1_500)), "it is older");
    assert!(test.fleet.learn_limit(&later, ms(1_500)));
    assert!(test.fleet.limits(ms(1_500)).is_empty());
}
