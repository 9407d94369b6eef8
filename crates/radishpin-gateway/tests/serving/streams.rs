//! Streams: relayed as events arrive, and resumed at another endpoint if the route allows it.

use super::{
    caller::CallerRequest,
    cluster::TestCluster,
    endpoint::{Behavior, EVENTS},
};

fn events(body: &str) -> Vec<String> {
    let events = body.split("\n\n").filter(|event| !event.is_empty());
    events.map(|event| event.replace('\n', " ")).collect()
}

fn all_events() -> Vec<String> {
    (1..=EVENTS)
        .map(|n| format!("id: {n} data: t{n}"))
        .collect()
}

#[test]
fn a_stream_is_relayed_completely() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("i1", &["m0"]);
    cluster.wait_until_ready();
    let response = cluster.ask(&CallerRequest::new("/dictation/2f", "s1").model("m0"));
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(events(&response.body), all_events());
}

#[test]
fn a_broken_stream_does_not_look_complete() {
    let cluster = TestCluster::start();
    let (engine, _sidecar) = cluster.start_engine("i1", &["m0"]);
    cluster.wait_until_ready();
    engine.script(&[Behavior::BreakAfter(2)]);
    let response = cluster.ask(&CallerRequest::new("/dictation/2f", "s1").model("m0"));
    assert_eq!((response.status, response.complete), (200, false));
    assert_eq!(engine.received_ids(), ["s1"]);
}

#[test]
fn a_resumable_stream_is_resumed_at_another_endpoint() {
    let cluster = TestCluster::start();
    let (first, _sidecar_1) = cluster.start_engine("i1", &["m0"]);
    let (second, _sidecar_2) = cluster.start_engine("i2", &["m0"]);
    cluster.wait_until_ready();
    first.script(&[Behavior::BreakAfter(2)]);
    second.script(&[Behavior::BreakAfter(2)]);
    let response = cluster.ask(&CallerRequest::new("/summary/2f", "s1").model("m0"));
    let received = [first.received_ids(), second.received_ids()].concat();
    assert_eq!(received, ["s1", "s1"]);
    // Either endpoint may be chosen first, so both break within event 3. Only complete events are
    // relayed, so the caller gets the first two.
    assert_eq!((response.status, response.complete), (200, false));
    assert_eq!(events(&response.body), &all_events()[..2]);
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let cluster = TestCluster::start();
    let (first, _sidecar_1) = cluster.start_engine("i1", &["m0"]);
    cluster.wait_until_ready();
    first.script(&[Behavior::BreakAfter(3)]);
    let (_second, _sidecar_2) = cluster.start_engine("i2", &["m0"]);
    cluster.wait_until_ready();
    // Neither endpoint runs a request, so either may be chosen: repeat until the first one was.
    let mut response = cluster.ask(&CallerRequest::new("/summary/2f", "s0").model("m0"));
    for n in 1..20 {
        if first.received_ids().len() == 1 {
            break;
        }
        response = cluster.ask(&CallerRequest::new("/summary/2f", &format!("s{n}")).model("m0"));
    }
    assert_eq!((response.status, response.complete), (200, true));
    assert_eq!(events(&response.body), all_events());
}
