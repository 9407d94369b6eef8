//! Endpoints state limits on the requests that they take from all gateways together.

use super::{
    caller::{CallerRequest, dictation, lookup, summary},
    cluster::TestCluster,
    endpoint::{Behavior, Endpoint},
    load::Load,
};
use radishpin_gateway::GatewayProcess;
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Span over which requests at an endpoint are counted.
const WINDOW: Duration = Duration::from_secs(4);
/// Time from which an endpoint's limit must hold after it was first stated.
const CONTACT: Duration = Duration::from_secs(3);
/// Time for which callers send requests.
const LOAD_TIME: Duration = Duration::from_secs(10);

/// Gateways that start while an endpoint states a limit.
const NEW_GATEWAYS: usize = 16;

/// Most requests that an endpoint with this limit may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (1.5 * limit_per_s * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Requests in the fullest window at an endpoint from [`CONTACT`] after `stated_at`.
fn fullest_window(endpoint: &Endpoint, stated_at: Instant) -> usize {
    let from = stated_at + CONTACT;
    let times: Vec<Instant> = endpoint.with_received(|received| {
        let times = received.iter().map(|one| one.at);
        times.filter(|at| *at >= from).collect()
    });
    let windows = times.iter().map(|from| {
        let in_window = |at: &&Instant| (*from..*from + WINDOW).contains(*at);
        times.iter().filter(in_window).count()
    });
    windows.max().unwrap_or(0)
}

/// Sends requests to each gateway, by one caller each, for [`LOAD_TIME`]; returns the numbers of sent
/// and served ones.
fn load(
    cluster: &TestCluster,
    gateways: &[&GatewayProcess],
    request: impl Fn(&str) -> CallerRequest + Sync,
) -> (usize, usize) {
    let load = Load::run(cluster, gateways, LOAD_TIME, request);
    (load.sent, load.served)
}

fn start_gateways(cluster: &TestCluster) -> [GatewayProcess; 2] {
    ["host-2", "host-3"].map(|host| cluster.start_gateway_on(host))
}

#[test]
fn an_engine_that_states_a_limit_gets_no_more_from_all_gateways_together() {
    let cluster = TestCluster::start();
    let (limited, _s1) = cluster.start_engine("e1", &["m0"]);
    let (_other, _s2) = cluster.start_engine("e2", &["m0"]);
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("1"));
    let stated_at = Instant::now();
    let gateways = [&cluster.gateway, &second, &third];
    let (sent, served) = load(&cluster, &gateways, dictation);
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(1.0), "{most} in a window");
    assert!(served * 10 >= sent * 9, "{served} of {sent} were served");
}

#[test]
fn resumed_streams_do_not_go_around_a_limit() {
    let cluster = TestCluster::start();
    let (limited, _s1) = cluster.start_engine("e1", &["m0"]);
    let (breaking, _s2) = cluster.start_engine("e2", &["m0"]);
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("1"));
    breaking.script(&[Behavior::BreakAfter(2); 5_000]);
    let stated_at = Instant::now();
    let gateways = [&cluster.gateway, &second, &third];
    load(&cluster, &gateways, summary);
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(1.0), "{most} in a window");
}

#[test]
fn repeats_do_not_go_around_a_limit() {
    let cluster = TestCluster::start();
    let (_engine, _s1) = cluster.start_engine("e1", &["m0"]);
    let limited = cluster.start_plain_endpoint("p1");
    let failing = cluster.start_plain_endpoint("p2");
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("1"));
    failing.script(&[Behavior::Fail; 5_000]);
    let stated_at = Instant::now();
    let gateways = [&cluster.gateway, &second, &third];
    load(&cluster, &gateways, lookup);
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(1.0), "{most} in a window");
}

/// The only endpoint of a service states a limit: as much as it takes is served, the rest is refused.
fn check_only_endpoint(cluster: &TestCluster, served_share_min: f64) {
    let limited = cluster.start_plain_endpoint("p1");
    let [second, third] = start_gateways(cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("4"));
    let stated_at = Instant::now();
    let gateways = [&cluster.gateway, &second, &third];
    let (_, served) = load(cluster, &gateways, lookup);
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(4.0), "{most} in a window");
    let served_min = 4.0 * LOAD_TIME.as_secs_f64() * served_share_min;
    assert!(served as f64 >= served_min, "{served} were served");
}

#[test]
fn a_limit_of_the_only_endpoint_is_used_up_and_not_exceeded() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("e1", &["m0"]);
    check_only_endpoint(&cluster, 0.6);
}

/// No sidecar holds the count of all gateways.
#[test]
fn a_limit_holds_without_sidecars() {
    let cluster = TestCluster::start();
    check_only_endpoint(&cluster, 0.0);
}

#[test]
fn a_limit_holds_while_sidecars_restart() {
    let cluster = TestCluster::start();
    let (limited, _s0) = cluster.start_engine("e0", &["m0"]);
    let others = (1..4).map(|n| cluster.start_engine(&format!("e{n}"), &["m0"]));
    let (engines, mut sidecars): (Vec<Arc<Endpoint>>, Vec<_>) = others.unzip();
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("2"));
    let stated_at = Instant::now();
    thread::scope(|scope| {
        let cluster = &cluster;
        scope.spawn(move || {
            for round in 0..15 {
                let n = round % engines.len();
                sidecars[n] = cluster.restart_sidecar(&sidecars[n], &engines[n]);
                thread::sleep(Duration::from_millis(600));
            }
        });
        let gateways = [&cluster.gateway, &second, &third];
        load(cluster, &gateways, dictation);
    });
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(2.0), "{most} in a window");
}

/// Many gateways start, so that one request of each to the limited engine is more than it takes.
#[test]
fn a_gateway_that_has_just_started_keeps_to_a_limit() {
    let cluster = TestCluster::start();
    let (limited, _s1) = cluster.start_engine("e1", &["m0"]);
    let (_other, _s2) = cluster.start_engine("e2", &["m0"]);
    cluster.wait_until_ready();
    limited.state_limit(Some("1"));
    let stated_at = Instant::now();
    let second = cluster.start_other_gateway();
    thread::scope(|scope| {
        let cluster = &cluster;
        let first = &cluster.gateway;
        scope.spawn(move || load(cluster, &[first, &second], dictation));
        thread::sleep(CONTACT);
        let new = (0..NEW_GATEWAYS).map(|n| cluster.start_gateway_on(&format!("host-new-{n}")));
        let new: Vec<GatewayProcess> = new.collect();
        thread::sleep(Duration::from_secs(1));
        load(cluster, &new.iter().collect::<Vec<_>>(), dictation);
    });
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(1.0), "{most} in a window");
}

/// The limited engine alone has the model; the other one has room for it.
#[test]
fn a_model_is_served_elsewhere_when_its_only_engine_states_a_limit() {
    let cluster = TestCluster::start();
    let (limited, _s1) = cluster.start_engine("e1", &["m0"]);
    let (other, _s2) = cluster.start_engine("e2", &["m1"]);
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("0.5"));
    let stated_at = Instant::now();
    let gateways = [&cluster.gateway, &second, &third];
    let (sent, served) = load(&cluster, &gateways, dictation);
    let most = fullest_window(&limited, stated_at);
    assert!(most <= allowed(0.5), "{most} in a window");
    assert!(served * 10 >= sent * 8, "{served} of {sent} were served");
    assert!(other.models().contains(&"m0".to_owned()));
}

#[test]
fn an_endpoint_that_states_no_limit_any_more_is_used_as_before() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("e1", &["m0"]);
    let limited = cluster.start_plain_endpoint("p1");
    let [second, third] = start_gateways(&cluster);
    cluster.wait_until_ready();
    limited.state_limit(Some("1"));
    for n in 0..6 {
        cluster.ask(&lookup(&format!("a{n}")));
    }
    limited.state_limit(None);
    thread::sleep(CONTACT);
    cluster.ask(&lookup("b"));
    thread::sleep(Duration::from_millis(500));
    let gateways = [&cluster.gateway, &second, &third];
    let (sent, served) = load(&cluster, &gateways, lookup);
    assert!(served * 10 >= sent * 9, "{served} of {sent} were served");
}

#[test]
fn a_limit_that_is_huge_zero_or_no_number_does_no_harm() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("e1", &["m0"]);
    let odd = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    for limit in ["1e300", "99999999999999999999999", "NaN", "-5", "many", ""] {
        odd.state_limit(Some(limit));
        for n in 0..10 {
            let got = cluster.ask(&lookup(&format!("{n}")));
            assert_eq!(got.status, 200, "limit {limit:?}: {got}");
        }
    }
    odd.state_limit(Some("0"));
    let got = cluster.ask(&lookup("zero"));
    assert_eq!(got.status, 200, "{got}");
    let refused = cluster.ask(&lookup("refused"));
    assert_eq!(refused.status, 503, "{refused}");
    odd.state_limit(None);
}
