//! Requests to plain services: at most once where that is asked for, and honest refusals.

use super::{caller::CallerRequest, endpoint::Behavior, world::World};
use insta::assert_snapshot;
use std::collections::BTreeSet;

fn plain_world(behaviors: &[Behavior]) -> (World, std::sync::Arc<super::endpoint::Endpoint>) {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.settle();
    endpoint.script(behaviors);
    (world, endpoint)
}

#[test]
fn an_answer_comes_back_whole_with_its_signature() {
    let (world, endpoint) = plain_world(&[]);
    let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_snapshot!(got, @"200 sig-e1 complete: answer of e1");
    endpoint.with_received(|received| {
        assert_eq!(&received[0].body[..], b"question");
        let left: u64 = received[0].headers["radishpin-deadline-milliseconds"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (2_000..=3_000).contains(&left),
            "route's timeout bounds the time left: {left}"
        );
        assert!(!received[0].headers.contains_key("connection"));
    });
}

#[test]
fn headers_that_only_the_system_sets_are_dropped() {
    let (world, endpoint) = plain_world(&[]);
    let ask = CallerRequest::new("/order/2f", "a1")
        .header("Radishpin-Hold", "h1")
        .header("Kv-From", "10.0.0.1:1/x")
        .header("Radishpin-Pin-Milliseconds", "9");
    world.ask(&ask);
    let names: BTreeSet<String> = endpoint.with_received(|received| {
        let names = received[0].headers.keys().map(ToString::to_string);
        names
            .filter(|name| name.starts_with("radishpin") || name.starts_with("kv"))
            .collect()
    });
    assert_snapshot!(format!("{names:?}"), @r#"{"radishpin-attempt-id", "radishpin-deadline-milliseconds", "radishpin-expected-instance"}"#);
}

#[test]
fn a_request_that_may_have_run_is_not_refused_and_not_repeated() {
    for behavior in [
        Behavior::Close,
        Behavior::WrongId,
        Behavior::Unsigned,
        Behavior::FullWithoutNotRun,
    ] {
        let (world, endpoint) = plain_world(&[behavior]);
        let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
        assert_eq!(got.status, 502, "{behavior:?}");
        assert_eq!(got.header("radishpin-response-signature"), None);
        assert_eq!(endpoint.received_ids(), ["a1"], "{behavior:?}");
    }
}

#[test]
fn a_silent_endpoint_ends_in_a_timeout_of_the_route() {
    let (world, endpoint) = plain_world(&[Behavior::Hang]);
    let got = world.ask(&CallerRequest::new("/order/2f", "a1").deadline_ms(600));
    assert_eq!(got.status, 504);
    assert_eq!(endpoint.received_ids(), ["a1"]);
}

#[test]
fn an_idempotent_request_is_tried_at_another_endpoint() {
    for behavior in [
        Behavior::Close,
        Behavior::Fail,
        Behavior::Hang,
        Behavior::Full,
    ] {
        let world = World::start();
        let endpoints = [world.plain("e1"), world.plain("e2")];
        world.settle();
        endpoints
            .iter()
            .for_each(|endpoint| endpoint.script(&[behavior]));
        // The first endpoint does the deed; the other one would, too, if it was not spared.
        let got = world.ask(&CallerRequest::new("/lookup/2f", "a1"));
        let sends: usize = endpoints
            .iter()
            .map(|endpoint| endpoint.received_ids().len())
            .sum();
        assert_eq!(sends, 2, "{behavior:?}");
        let expected = match behavior {
            Behavior::Fail => 500,
            Behavior::Full => 503,
            Behavior::Hang => 504,
            _ => 502,
        };
        assert_eq!(got.status, expected, "{behavior:?}");
    }
}

#[test]
fn a_failure_is_delivered_where_no_other_endpoint_does_better() {
    let world = World::start();
    let endpoints = [world.plain("e1"), world.plain("e2")];
    world.settle();
    endpoints[0].script(&[Behavior::Fail]);
    endpoints[1].script(&[Behavior::Fail]);
    let got = world.ask(&CallerRequest::new("/lookup/2f", "a1"));
    assert_eq!(got.status, 500);
    // One fails, the other one is full: the failure is what there is to tell.
    endpoints[0].script(&[Behavior::Fail, Behavior::Full, Behavior::Full]);
    endpoints[1].script(&[Behavior::Full, Behavior::Fail, Behavior::Full]);
    let got = world.ask(&CallerRequest::new("/lookup/2f", "a2"));
    assert_eq!(got.status, 500, "{got}");
    assert!(got.header("radishpin-response-signature").is_some());
}

#[test]
fn a_failure_of_an_endpoint_keeps_its_status_and_signature() {
    let (world, _endpoint) = plain_world(&[Behavior::Fail]);
    let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_snapshot!(got, @"500 sig-e1 complete: answer of e1");
}

#[test]
fn a_refusal_tells_when_to_come_back() {
    let (world, _endpoint) = plain_world(&[Behavior::Full, Behavior::Full, Behavior::Full]);
    let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_eq!(got.status, 503);
    let retry_after: f64 = got.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..3.0).contains(&retry_after), "{retry_after}");
}

#[test]
fn a_path_without_a_route_is_not_found() {
    let (world, endpoint) = plain_world(&[]);
    assert_eq!(
        world.ask(&CallerRequest::new("/nowhere/2f", "a1")).status,
        404
    );
    assert!(endpoint.received_ids().is_empty());
}

#[test]
fn without_a_configuration_nothing_is_found_missing() {
    let world = World::start_bare();
    assert_eq!(world.readiness(), 503);
    let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_eq!(got.status, 503);
    assert!(got.header("retry-after").is_some());
}

#[test]
fn heads_of_16_kib_pass_and_larger_bodies_than_allowed_do_not() {
    let (world, endpoint) = plain_world(&[]);
    let ask = CallerRequest::new("/order/2f", "a1").header("x-large", &"v".repeat(15_500));
    assert_eq!(world.ask(&ask).status, 200);
    let mut ask = CallerRequest::new("/order/2f", "a2");
    ask.body = "b".repeat(100_001);
    assert_eq!(world.ask(&ask).status, 413);
    assert_eq!(endpoint.received_ids(), ["a1"]);
}
