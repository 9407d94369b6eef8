//! Cold models: loaded for the callers that wait, with one order at a time.

use super::{caller::CallerRequest, endpoint::Endpoint, world::World};
use insta::assert_snapshot;
use std::{thread, time::Duration};

fn ask_model(world: &World, id: &str, model: &str) -> u16 {
    world
        .ask(&CallerRequest::new("/dictation/2f", id).model(model))
        .status
}

fn seen_orders(engine: &Endpoint) -> String {
    engine.orders().join("; ")
}

#[test]
fn a_cold_model_is_loaded_for_its_caller() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0", "m1"]);
    world.settle();
    assert_eq!(ask_model(&world, "s0", "m0"), 200);
    assert_eq!(ask_model(&world, "s1", "m2"), 200);
    // m0 was asked for, m1 was not: m1 makes room.
    assert!(
        engine.models().contains(&"m0".to_owned()),
        "{:?}",
        engine.models()
    );
    let orders = seen_orders(&engine);
    assert!(orders.starts_with("unload m1 @0; load m2 @1"), "{orders}");
}

#[test]
fn callers_of_one_cold_model_share_a_load() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0", "m1"]);
    world.settle();
    let statuses: Vec<u16> = thread::scope(|scope| {
        let world = &world;
        let asks = (0..6).map(|n| scope.spawn(move || ask_model(world, &format!("s{n}"), "m3")));
        let asks: Vec<_> = asks.collect();
        asks.into_iter().map(|ask| ask.join().unwrap()).collect()
    });
    assert_eq!(statuses, [200; 6]);
    let loads = engine
        .orders()
        .iter()
        .filter(|order| order.starts_with("load m3"))
        .count();
    assert_eq!(loads, 1, "{}", seen_orders(&engine));
}

#[test]
fn adapters_make_room_for_each_other() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    for (n, adapter) in ["a1", "a2", "a3"].into_iter().enumerate() {
        assert_eq!(
            ask_model(&world, &format!("s{n}"), &format!("m0/{adapter}")),
            200
        );
    }
    let orders: Vec<String> = engine
        .orders()
        .into_iter()
        .filter(|order| order.contains('/'))
        .map(|order| order.split(" @").next().unwrap().to_owned())
        .collect();
    assert_snapshot!(orders.join("; "), @"load m0/a1; load m0/a2; unload m0/a1; load m0/a3");
}

#[test]
fn an_order_without_an_answer_is_given_again_under_the_same_count() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    // Copies ahead of demand may have been ordered already; let them end.
    thread::sleep(Duration::from_millis(1_500));
    let before = engine.orders().len();
    engine.ignore_orders(1);
    assert_eq!(ask_model(&world, "s1", "m0/a1"), 200);
    let orders = engine.orders()[before..].to_vec();
    assert_eq!(orders[0], orders[1], "{orders:?}");
}

#[test]
fn an_engine_that_restarts_under_its_id_is_filled_anew() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0", "m1"]);
    world.settle();
    assert_eq!(ask_model(&world, "s0", "m0"), 200);
    engine.restart();
    world.list(&engine, "drafts", "ready");
    world.settle();
    let got = world.ask(&CallerRequest::new("/dictation/2f", "s1").model("m0"));
    assert_eq!(got.status, 200, "{got}");
    assert!(engine.models().contains(&"m0".to_owned()));
}

/// Found after a loss of power: engines came back under new ids, and for a second their orders
/// were meant for the old ones.
#[test]
fn orders_follow_an_engine_to_its_new_id() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    engine.restart_as("i9");
    // The platform still lists the old life; the load begins all the same.
    thread::scope(|scope| {
        scope.spawn(|| ask_model(&world, "s1", "m0"));
        world.wait_until("m0 is loaded under the new id", || {
            engine.models().contains(&"m0".to_owned())
        });
    });
}

#[test]
fn a_model_that_no_service_offers_is_refused_at_once() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    let got = world.ask(&CallerRequest::new("/dictation/2f", "s1").model("unheard-of"));
    assert_eq!(got.status, 503);
    assert!(engine.received_ids().is_empty());
}
