//! Requests to plain services: non-idempotent ones run at most once, and only requests that did not
//! run are refused.

use super::{caller::CallerRequest, cluster::TestCluster, endpoint::Behavior};
use insta::assert_snapshot;
use std::collections::BTreeSet;

fn start_plain_service(
    behaviors: &[Behavior],
) -> (TestCluster, std::sync::Arc<super::endpoint::Endpoint>) {
    let cluster = TestCluster::start();
    let endpoint = cluster.start_plain_endpoint("e1");
    cluster.wait_until_ready();
    endpoint.script(behaviors);
    (cluster, endpoint)
}

#[test]
fn a_response_is_returned_complete_with_its_signature() {
    let (cluster, endpoint) = start_plain_service(&[]);
    let response = cluster.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_snapshot!(response, @"200 sig-e1 complete: answer of e1");
    endpoint.with_received(|received| {
        assert_eq!(&received[0].body[..], b"question");
        let time_left: u64 = received[0].headers["radishpin-deadline-milliseconds"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!(
            (2_000..=3_000).contains(&time_left),
            "route's timeout limits the remaining time: {time_left}"
        );
        assert!(!received[0].headers.contains_key("connection"));
    });
}

#[test]
fn reserved_headers_of_callers_are_dropped() {
    let (cluster, endpoint) = start_plain_service(&[]);
    let request = CallerRequest::new("/order/2f", "a1")
        .header("Radishpin-Hold", "h1")
        .header("Kv-From", "10.0.0.1:1/x")
        .header("Radishpin-Pin-Milliseconds", "9");
    cluster.ask(&request);
    let names: BTreeSet<String> = endpoint.with_received(|received| {
        let names = received[0].headers.keys().map(ToString::to_string);
        names
            .filter(|name| name.starts_with("radishpin") || name.starts_with("kv"))
            .collect()
    });
    assert_snapshot!(format!("{names:?}"), @r#"{"radishpin-attempt-id", "radishpin-deadline-milliseconds", "radishpin-expected-instance"}"#);
}

#[test]
fn a_request_that_may_have_run_is_neither_refused_nor_retried() {
    for behavior in [
        Behavior::Close,
        Behavior::WrongId,
        Behavior::Unsigned,
        Behavior::FullWithoutNotRun,
    ] {
        let (cluster, endpoint) = start_plain_service(&[behavior]);
        let response = cluster.ask(&CallerRequest::new("/order/2f", "a1"));
        assert_eq!(response.status, 502, "{behavior:?}");
        assert_eq!(response.header("radishpin-response-signature"), None);
        assert_eq!(endpoint.received_ids(), ["a1"], "{behavior:?}");
    }
}

#[test]
fn an_unresponsive_endpoint_leads_to_a_gateway_timeout() {
    let (cluster, endpoint) = start_plain_service(&[Behavior::Hang]);
    let response = cluster.ask(&CallerRequest::new("/order/2f", "a1").deadline_ms(600));
    assert_eq!(response.status, 504);
    assert_eq!(endpoint.received_ids(), ["a1"]);
}

#[test]
fn an_idempotent_request_is_retried_at_another_endpoint() {
    for behavior in [
        Behavior::Close,
        Behavior::Fail,
        Behavior::Hang,
        Behavior::Full,
    ] {
        let cluster = TestCluster::start();
        let endpoints = [
            cluster.start_plain_endpoint("e1"),
            cluster.start_plain_endpoint("e2"),
        ];
        cluster.wait_until_ready();
        endpoints
            .iter()
            .for_each(|endpoint| endpoint.script(&[behavior]));
        // Either endpoint may be chosen first, so both get the behavior and the retry fails as well.
        let response = cluster.ask(&CallerRequest::new("/lookup/2f", "a1"));
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
        assert_eq!(response.status, expected, "{behavior:?}");
    }
}

#[test]
fn a_server_error_is_returned_if_no_retry_succeeds() {
    let cluster = TestCluster::start();
    let endpoints = [
        cluster.start_plain_endpoint("e1"),
        cluster.start_plain_endpoint("e2"),
    ];
    cluster.wait_until_ready();
    endpoints[0].script(&[Behavior::Fail]);
    endpoints[1].script(&[Behavior::Fail]);
    let response = cluster.ask(&CallerRequest::new("/lookup/2f", "a1"));
    assert_eq!(response.status, 500);
    // Whichever endpoint is chosen first, one fails and the other one refuses the request as full:
    // the server error is returned, as a refusal would say that the request did not run.
    endpoints[0].script(&[Behavior::Fail, Behavior::Full, Behavior::Full]);
    endpoints[1].script(&[Behavior::Full, Behavior::Fail, Behavior::Full]);
    let response = cluster.ask(&CallerRequest::new("/lookup/2f", "a2"));
    assert_eq!(response.status, 500, "{response}");
    assert!(response.header("radishpin-response-signature").is_some());
}

#[test]
fn a_server_error_of_an_endpoint_keeps_its_status_and_signature() {
    let (cluster, _endpoint) = start_plain_service(&[Behavior::Fail]);
    let response = cluster.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_snapshot!(response, @"500 sig-e1 complete: answer of e1");
}

#[test]
fn a_refusal_has_a_retry_after_time() {
    let (cluster, _endpoint) =
        start_plain_service(&[Behavior::Full, Behavior::Full, Behavior::Full]);
    let response = cluster.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_eq!(response.status, 503);
    let retry_after: f64 = response.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..3.0).contains(&retry_after), "{retry_after}");
}

#[test]
fn a_path_without_a_route_is_not_found() {
    let (cluster, endpoint) = start_plain_service(&[]);
    assert_eq!(
        cluster.ask(&CallerRequest::new("/nowhere/2f", "a1")).status,
        404
    );
    assert!(endpoint.received_ids().is_empty());
}

#[test]
fn without_a_configuration_requests_are_refused_instead_of_not_found() {
    let cluster = TestCluster::start_unconfigured();
    assert_eq!(cluster.readiness_status(), 503);
    let response = cluster.ask(&CallerRequest::new("/order/2f", "a1"));
    assert_eq!(response.status, 503);
    assert!(response.header("retry-after").is_some());
}

#[test]
fn heads_of_16_kib_are_accepted_and_bodies_over_the_limit_are_not() {
    let (cluster, endpoint) = start_plain_service(&[]);
    let request = CallerRequest::new("/order/2f", "a1").header("x-large", &"v".repeat(15_500));
    assert_eq!(cluster.ask(&request).status, 200);
    let mut request = CallerRequest::new("/order/2f", "a2");
    request.body = "b".repeat(100_001);
    assert_eq!(cluster.ask(&request).status, 413);
    assert_eq!(endpoint.received_ids(), ["a1"]);
}
