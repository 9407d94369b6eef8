//! Callers that leave, hosts that freeze, and stores that are away.

use super::{caller::CallerRequest, endpoint::Behavior, store::Mood, world::World};
use serde_json::json;
use smol::{io::AsyncReadExt, io::AsyncWriteExt, net::TcpStream};
use std::{
    io::Read,
    net::TcpListener,
    thread,
    time::{Duration, Instant},
};

fn send_and_leave(world: &World, ask: &CallerRequest, stay: Duration) {
    smol::block_on(async {
        let mut stream = TcpStream::connect(world.gateway.callers())
            .await
            .expect("gateway listens");
        stream
            .write_all(ask.text().as_bytes())
            .await
            .expect("request is sent");
        smol::Timer::after(stay).await;
    });
}

/// The hunts' finding GONE: an engine's host froze with requests in its sockets, their callers
/// left, and the engine ran them when it woke.
#[test]
fn a_frozen_endpoint_never_reads_a_request_whose_caller_left() {
    let world = World::start();
    let frozen = TcpListener::bind("127.0.0.1:0").unwrap();
    let entry = json!({
        "service": "shop", "address": frozen.local_addr().unwrap().to_string(), "zone": "north",
        "slots": 8, "state": "ready", "born": 1_000, "models": [],
    });
    world.store.put("servers", "e1", entry);
    world.settle();
    send_and_leave(
        &world,
        &CallerRequest::new("/order/2f", "a1"),
        Duration::from_millis(200),
    );
    thread::sleep(Duration::from_millis(300));
    let (mut stream, _) = frozen.accept().unwrap();
    stream
        .set_read_timeout(Some(Duration::from_secs(2)))
        .unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    assert!(
        read.is_err(),
        "the request was still there to be read: {bytes:?}"
    );
}

/// A gateway that was frozen finds requests whose callers have left in its sockets.
#[test]
fn a_gateway_that_wakes_sends_nothing_for_callers_that_left() {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.settle();
    world.gateway_runtime.spawn_detached(async {
        thread::sleep(Duration::from_millis(600));
    });
    thread::sleep(Duration::from_millis(100));
    for n in 0..8 {
        send_and_leave(
            &world,
            &CallerRequest::new("/order/2f", &format!("a{n}")),
            Duration::ZERO,
        );
    }
    thread::sleep(Duration::from_millis(1_200));
    assert!(
        endpoint.received_ids().is_empty(),
        "{:?}",
        endpoint.received_ids()
    );
}

#[test]
fn an_endpoint_learns_that_its_caller_left() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0"]);
    world.settle();
    engine.script(&[Behavior::Hang, Behavior::Hang]);
    let ask = CallerRequest::new("/dictation/2f", "s1").model("m0");
    send_and_leave(&world, &ask, Duration::from_millis(100));
    thread::sleep(Duration::from_millis(100));
    // The place is free again: the fleet counts nothing at the engine.
    let got = world.ask(
        &CallerRequest::new("/summary/2f", "s2")
            .model("m0")
            .deadline_ms(300),
    );
    assert_eq!(got.status, 504);
    assert_eq!(engine.received_ids(), ["s1", "s2"]);
}

#[test]
fn a_store_that_is_away_changes_nothing_that_is_known() {
    for mood in [Mood::Refuses, Mood::Silent] {
        let world = World::start();
        let endpoint = world.plain("e1");
        world.settle();
        world.store.set_mood(mood);
        thread::sleep(Duration::from_millis(1_500));
        assert_eq!(
            world.ask(&CallerRequest::new("/order/2f", "a1")).status,
            200,
            "{mood:?}"
        );
        assert_eq!(world.readiness(), 200, "{mood:?}");
        assert_eq!(endpoint.received_ids(), ["a1"]);
    }
}

#[test]
fn a_configuration_is_in_force_soon_also_when_history_is_gone() {
    let world = World::start();
    let _endpoint = world.plain("e1");
    world.settle();
    world.store.forget_history();
    let mut changed = super::world::configuration(2);
    changed["routes"][0]["prefix"] = json!("/renamed/");
    let began = Instant::now();
    world.store.put("op", "config", changed);
    world.wait_until("the new route is served", || {
        world.ask(&CallerRequest::new("/renamed/2f", "a1")).status == 200
    });
    assert!(
        began.elapsed() < Duration::from_secs(2),
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        world.ask(&CallerRequest::new("/order/2f", "a2")).status,
        404
    );
}

#[test]
fn an_older_configuration_never_comes_back() {
    let world = World::start();
    let _endpoint = world.plain("e1");
    world.settle();
    let mut old = super::world::configuration(0);
    old["routes"] = json!([]);
    world.store.put("op", "config", old);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(
        world.ask(&CallerRequest::new("/order/2f", "a1")).status,
        200
    );
}

#[test]
fn entries_of_other_writers_name_no_endpoint() {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.store.put("servers", "x1", json!("!!! not base64"));
    world.store.put("servers", "x2", json!({"service": "shop"}));
    let mut odd = endpoint.entry("shop", "dancing");
    world.store.put("servers", "x3", odd.clone());
    odd["state"] = json!("ready");
    odd["address"] = json!(7);
    world.store.put("servers", "x4", odd);
    world.settle();
    for n in 0..6 {
        assert_eq!(
            world
                .ask(&CallerRequest::new("/order/2f", &format!("a{n}")))
                .status,
            200
        );
    }
    assert_eq!(endpoint.received_ids().len(), 6);
}

#[test]
fn a_draining_endpoint_gets_nothing_new() {
    let world = World::start();
    let [leaving, staying] = ["e1", "e2"].map(|id| world.plain(id));
    world.settle();
    world.list(&leaving, "shop", "draining");
    thread::sleep(Duration::from_millis(1_000));
    for n in 0..10 {
        assert_eq!(
            world
                .ask(&CallerRequest::new("/order/2f", &format!("a{n}")))
                .status,
            200
        );
    }
    assert!(leaving.received_ids().is_empty());
    assert_eq!(staying.received_ids().len(), 10);
    world.store.remove("servers", "e1");
}

/// Load pattern: a gateway is stopped while callers wait for a cold model whose load takes longer.
#[test]
fn a_stop_refuses_in_time_what_still_waits() {
    let world = World::start();
    let (engine, _sidecar) = world.engine("i1", &["m0", "m1"]);
    world.settle();
    engine.ignore_orders(u32::MAX);
    let got = thread::scope(|scope| {
        scope.spawn(|| smol::block_on(world.gateway.stop()));
        thread::sleep(Duration::from_millis(500));
        world.ask(&CallerRequest::new("/dictation/2f", "a1").model("m3"))
    });
    assert_eq!(got.status, 503);
    assert_eq!(got.body, "stopping\n");
    assert!(got.header("retry-after").is_some());
}

/// Load pattern: a gateway is stopped while an endpoint keeps its callers waiting without a word.
#[test]
fn a_stop_tells_callers_that_have_no_answer_before_the_process_exits() {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.settle();
    endpoint.script(&[Behavior::Hang]);
    let (got, cut) = thread::scope(|scope| {
        let stop = scope.spawn(|| smol::block_on(world.gateway.stop()));
        // Late enough that the route's timeout passes after the exit.
        thread::sleep(Duration::from_millis(1_500));
        let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
        (got, stop.join().expect("it stops"))
    });
    assert_eq!(got.status, 504);
    assert_eq!(cut, 0);
}

/// Load pattern: all gateways are stopped within seconds, so that the platform sends callers to
/// those that are about to exit.
#[test]
fn a_gateway_that_is_about_to_exit_refuses_what_would_not_end() {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.settle();
    endpoint.script(&[Behavior::Hang]);
    let (late, cut) = thread::scope(|scope| {
        let stop = scope.spawn(|| smol::block_on(world.gateway.stop()));
        thread::sleep(Duration::from_millis(1_500));
        scope.spawn(|| world.ask(&CallerRequest::new("/order/2f", "a1")));
        thread::sleep(Duration::from_millis(1_000));
        let late =
            ["/order/2f", "/dictation/2f"].map(|path| world.ask(&CallerRequest::new(path, "a2")));
        (late, stop.join().expect("it stops"))
    });
    for got in late {
        assert_eq!((got.status, got.body.as_str()), (503, "stopping\n"));
        assert_eq!(got.header("connection"), Some("close"));
    }
    assert_eq!(cut, 0);
    assert_eq!(endpoint.received_ids(), ["a1"]);
}

#[test]
fn a_stop_lets_requests_end_and_sends_callers_elsewhere() {
    let world = World::start();
    let endpoint = world.plain("e1");
    world.settle();
    endpoint.script(&[Behavior::Answer]);
    let stopping = thread::scope(|scope| {
        let stop = scope.spawn(|| smol::block_on(world.gateway.stop()));
        thread::sleep(Duration::from_millis(100));
        assert_eq!(world.readiness(), 503);
        let got = world.ask(&CallerRequest::new("/order/2f", "a1"));
        assert_eq!(got.status, 200);
        assert_eq!(got.header("connection"), Some("close"));
        stop.join()
    });
    assert!(stopping.is_ok());
    let late = smol::block_on(async {
        let mut stream = TcpStream::connect(world.gateway.callers()).await?;
        let mut byte = [0_u8];
        stream.read(&mut byte).await
    });
    assert!(!matches!(late, Ok(1..)));
}
