//! Streams: passed on as they come, resumed where that is allowed.

use super::{
    caller::CallerRequest,
    endpoint::{Behavior, EVENTS},
    world::World,
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
fn a_stream_comes_whole() {
    let world = World::start();
    let (_engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    let got = world.ask(&CallerRequest::new("/dictation/2f", "s1").model("m0"));
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(events(&got.body), all_events());
}

#[test]
fn a_stream_that_breaks_off_does_not_look_complete() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    engine.script(&[Behavior::BreakAfter(2)]);
    let got = world.ask(&CallerRequest::new("/dictation/2f", "s1").model("m0"));
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(engine.received_ids(), ["s1"]);
}

#[test]
fn a_resumable_stream_goes_on_at_another_endpoint() {
    let world = World::start();
    let (first, _sidecar_1) = world.engine("i1", &["m0"]);
    let (second, _sidecar_2) = world.engine("i2", &["m0"]);
    world.settle();
    first.script(&[Behavior::BreakAfter(2)]);
    second.script(&[Behavior::BreakAfter(2)]);
    // Whichever goes second finds its deed used up only if it was first; let it answer.
    let got = world.ask(&CallerRequest::new("/summary/2f", "s1").model("m0"));
    let received = [first.received_ids(), second.received_ids()].concat();
    assert_eq!(received, ["s1", "s1"]);
    // Both break off after the second event: nothing is joined that is not a whole event.
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(events(&got.body), &all_events()[..2]);
}

#[test]
fn a_resumed_stream_has_each_event_once() {
    let world = World::start();
    let (first, _sidecar_1) = world.engine("i1", &["m0"]);
    world.settle();
    first.script(&[Behavior::BreakAfter(3)]);
    let (_second, _sidecar_2) = world.engine("i2", &["m0"]);
    world.settle();
    // The newcomer has no requests yet, nor has the first one: ask until the first was used.
    let mut got = world.ask(&CallerRequest::new("/summary/2f", "s0").model("m0"));
    for n in 1..20 {
        if first.received_ids().len() == 1 {
            break;
        }
        got = world.ask(&CallerRequest::new("/summary/2f", &format!("s{n}")).model("m0"));
    }
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(events(&got.body), all_events());
}
