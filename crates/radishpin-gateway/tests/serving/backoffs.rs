//! Endpoints turn requests away and ask for a backoff; few requests go to them until it ends.

use super::{
    caller::{CallerRequest, CallerResponse, dictation, lookup, order, summary},
    cluster::TestCluster,
    endpoint::{Behavior, Endpoint},
    load::Load,
};
use std::{
    thread,
    time::{Duration, Instant},
};

/// Time after the answer that asks for a backoff in which requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);
/// Most requests that may reach an endpoint between that and the end of its backoff.
const REQUESTS_MAX: usize = 2;
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(5);
/// More behaviors than an endpoint gets requests.
const SCRIPT_LENGTH: usize = 5_000;

/// Most requests at an endpoint within the backoff that one of its answers asked for.
fn fullest_backoff(endpoint: &Endpoint, backoff: Duration) -> usize {
    let asked_at: Vec<Instant> = endpoint.with_received(|received| {
        let refused = received
            .iter()
            .filter(|one| matches!(one.behavior, Behavior::Full | Behavior::FullWithoutNotRun));
        refused.map(|one| one.at).collect()
    });
    assert!(!asked_at.is_empty(), "it asked for no backoff");
    let counts = asked_at
        .iter()
        .map(|at| endpoint.received_since(*at + TRANSIT) - endpoint.received_since(*at + backoff));
    counts.max().unwrap_or(0)
}

/// Two endpoints serve a plain service; one of them turns all requests away.
fn check_plain(refusal: Behavior, retry_after: &str, request: fn(&str) -> CallerRequest) {
    let cluster = TestCluster::start();
    let resting = cluster.start_plain_endpoint("p1");
    let _other = cluster.start_plain_endpoint("p2");
    cluster.wait_until_ready();
    resting.state_retry_after(Some(retry_after));
    resting.script(&[refusal; SCRIPT_LENGTH]);
    let load = Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME, request);
    let backoff = Duration::from_secs_f64(retry_after.parse().expect("it is a number"));
    let most = fullest_backoff(&resting, backoff);
    assert!(
        most <= REQUESTS_MAX,
        "{refusal:?} {retry_after}: {most} requests"
    );
    if refusal == Behavior::Full {
        load.assert_served(9);
    }
}

#[test]
fn an_endpoint_gets_few_requests_before_the_backoff_ends_that_it_asked_for() {
    thread::scope(|scope| {
        for retry_after in ["3", "1.8"] {
            for refusal in [Behavior::Full, Behavior::FullWithoutNotRun] {
                scope.spawn(move || check_plain(refusal, retry_after, lookup));
                scope.spawn(move || check_plain(refusal, retry_after, order));
            }
        }
    });
}

#[test]
fn an_engine_gets_few_streams_before_the_backoff_ends_that_it_asked_for() {
    let cluster = TestCluster::start();
    let (resting, _s1) = cluster.start_engine("e1", &["m0"]);
    let (_other, _s2) = cluster.start_engine("e2", &["m0"]);
    cluster.wait_until_ready();
    resting.state_retry_after(Some("3"));
    resting.script(&[Behavior::Full; SCRIPT_LENGTH]);
    let load = Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME, dictation);
    let most = fullest_backoff(&resting, Duration::from_secs(3));
    assert!(most <= REQUESTS_MAX, "{most} requests");
    load.assert_served(9);
}

#[test]
fn resumed_streams_do_not_go_around_a_backoff() {
    let cluster = TestCluster::start();
    let (resting, _s1) = cluster.start_engine("e1", &["m0"]);
    let (breaking, _s2) = cluster.start_engine("e2", &["m0"]);
    cluster.wait_until_ready();
    resting.state_retry_after(Some("3"));
    resting.script(&[Behavior::Full; SCRIPT_LENGTH]);
    breaking.script(&[Behavior::BreakAfter(2); SCRIPT_LENGTH]);
    Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME, summary);
    let most = fullest_backoff(&resting, Duration::from_secs(3));
    assert!(most <= REQUESTS_MAX, "{most} requests");
}

#[test]
fn repeats_do_not_go_around_a_backoff() {
    let cluster = TestCluster::start();
    let resting = cluster.start_plain_endpoint("p1");
    let failing = cluster.start_plain_endpoint("p2");
    cluster.wait_until_ready();
    resting.state_retry_after(Some("3"));
    resting.script(&[Behavior::Full; SCRIPT_LENGTH]);
    failing.script(&[Behavior::Fail; SCRIPT_LENGTH]);
    Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME, lookup);
    let most = fullest_backoff(&resting, Duration::from_secs(3));
    assert!(most <= REQUESTS_MAX, "{most} requests");
}

#[test]
fn slots_under_a_limit_do_not_lead_around_a_backoff() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("e1", &["m0"]);
    let resting = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    resting.state_limit(Some("4"));
    resting.state_retry_after(Some("3"));
    resting.script(&[Behavior::Full; SCRIPT_LENGTH]);
    Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME, lookup);
    let most = fullest_backoff(&resting, Duration::from_secs(3));
    assert!(most <= REQUESTS_MAX, "{most} requests");
}

/// The only endpoint of a service asks for one backoff and then answers.
#[test]
fn callers_of_a_service_whose_only_endpoint_backs_off_are_told_when_it_is_back() {
    let cluster = TestCluster::start();
    let resting = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    resting.state_retry_after(Some("3"));
    resting.script(&[Behavior::Full]);
    let first = cluster.ask(&lookup("first"));
    let asked_at = Instant::now();
    let told = |got: &CallerResponse| -> f64 {
        let text = got
            .header("retry-after")
            .expect("there is a time to come back");
        text.parse().expect("it is a number")
    };
    assert_eq!(first.status, 503, "{first}");
    assert!((2.9..=4.6).contains(&told(&first)), "{first}");
    let refused = cluster.ask(&lookup("second"));
    let back_at = asked_at + Duration::from_secs_f64(told(&refused));
    assert!(
        back_at >= asked_at + Duration::from_millis(2_900),
        "too early"
    );
    let time = Duration::from_secs(2);
    let load = Load::run(&cluster, &[&cluster.gateway; 3], time, lookup);
    load.assert_refused_at_once();
    assert!(resting.received_since(asked_at) <= REQUESTS_MAX);
    thread::sleep((asked_at + Duration::from_secs(3)).saturating_duration_since(Instant::now()));
    let load = Load::run(&cluster, &[&cluster.gateway; 3], LOAD_TIME / 5, lookup);
    load.assert_served(9);
}

#[test]
fn values_that_are_no_time_ask_for_no_backoff() {
    let cluster = TestCluster::start();
    let endpoint = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    for value in ["-3", "soon", "0", "", "NaN", "inf"] {
        endpoint.state_retry_after(Some(value));
        endpoint.script(&[Behavior::Full]);
        cluster.ask(&lookup("full"));
        let got = cluster.ask(&lookup("next"));
        assert_eq!(got.status, 200, "{value:?}: {got}");
    }
}

/// The only engine with the model asks for a short backoff; another one has room for the model.
#[test]
fn no_model_is_loaded_elsewhere_for_a_short_backoff() {
    let cluster = TestCluster::start();
    let (resting, _s1) = cluster.start_engine("e1", &["m0"]);
    let (other, _s2) = cluster.start_engine("e2", &["m1"]);
    cluster.wait_until_ready();
    let orders = other.orders().len();
    resting.state_retry_after(Some("1"));
    resting.script(&[Behavior::Full]);
    // So few that the model does not count as busy, of which a spare replica is loaded.
    for id in ["first", "second"] {
        let got = cluster.ask(&dictation(id));
        assert_eq!(got.status, 503, "{got}");
    }
    thread::sleep(Duration::from_millis(1_100));
    let got = cluster.ask(&dictation("third"));
    assert_eq!(got.status, 200, "{got}");
    let loads = other.orders().split_off(orders);
    let any_load = loads.iter().any(|order| order.starts_with("load m0"));
    assert!(!any_load, "{loads:?}");
}

#[test]
fn a_model_is_loaded_elsewhere_for_a_long_backoff() {
    let cluster = TestCluster::start();
    let (resting, _s1) = cluster.start_engine("e1", &["m0"]);
    let (_other, _s2) = cluster.start_engine("e2", &["m1"]);
    cluster.wait_until_ready();
    resting.state_retry_after(Some("20"));
    resting.script(&[Behavior::Full; SCRIPT_LENGTH]);
    let load = Load::run(&cluster, &[&cluster.gateway; 2], LOAD_TIME, dictation);
    let most = fullest_backoff(&resting, Duration::from_secs(20));
    assert!(most <= REQUESTS_MAX, "{most} requests");
    load.assert_served(8);
}

#[test]
fn another_endpoint_at_the_address_of_one_that_backs_off_is_used() {
    let cluster = TestCluster::start();
    let endpoint = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    endpoint.state_retry_after(Some("30"));
    endpoint.script(&[Behavior::Full]);
    cluster.ask(&lookup("first"));
    endpoint.restart_as("p1-next");
    cluster.store.remove("servers", "p1");
    let entry = endpoint.entry("shop", "ready");
    cluster.store.put("servers", "p1-next", entry);
    thread::sleep(Duration::from_millis(1_500));
    let load = Load::run(&cluster, &[&cluster.gateway], LOAD_TIME / 5, lookup);
    load.assert_served(10);
}
