//! One request crashes each endpoint that runs it; the gateways together keep it from them.

mod fixture;
mod sound;

use super::{
    caller::CallerRequest,
    cluster::{DOWNTIME, TestCluster},
};
use fixture::{
    BAD_BODY, CRASHES, Fixture, LATE_MAX, dictation, is_whole, lookup, of_caller, order, send,
    start_plain_endpoints,
};
use std::{thread, time::Duration};

#[test]
fn a_request_that_crashes_plain_endpoints_stops_reaching_them_from_any_gateway() {
    let sound = [order(), lookup(), lookup().body("another")];
    Fixture::plain().check(&order().body(BAD_BODY), &sound);
}

#[test]
fn a_repeatable_request_that_crashes_plain_endpoints_stops_reaching_them() {
    let sound = [order(), lookup(), lookup().body("another")];
    Fixture::plain().check(&lookup().body(BAD_BODY), &sound);
}

#[test]
fn a_request_that_crashes_engines_stops_reaching_them_from_any_gateway() {
    let sound = [dictation(), dictation().body("another")];
    Fixture::engines(5).check(&dictation().body(BAD_BODY), &sound);
}

/// All prompts share parts.
#[test]
fn sound_prompts_with_the_parts_of_a_request_that_crashes_engines_are_served() {
    let prompt = "aa:800,c1:410,5e55:250";
    let with_prompt = |body| {
        let request = dictation().body(body);
        request.header("Radishpin-Prompt-Prefix", prompt)
    };
    let sound = [with_prompt("question"), with_prompt("another")];
    Fixture::engines(5).check(&with_prompt(BAD_BODY), &sound);
}

/// Engines crash under a part of its prompt, so the part is refused in its place once they crash under
/// another request with the part.
#[test]
fn a_request_is_not_tried_each_second_once_a_part_of_its_prompt_is_refused() {
    let fixture = Fixture::engines(6);
    for engine in &fixture.engines {
        engine.crash_on_body(None);
        engine.crash_on_part("c1");
    }
    let others = ["host-2", "host-3"].map(|host| fixture.cluster.start_gateway_on(host));
    let gateways: Vec<_> = others.iter().chain([&fixture.cluster.gateway]).collect();
    fixture.cluster.wait_until_ready();
    let with_part = |body| {
        let request = dictation().body(body);
        request.header("Radishpin-Prompt-Prefix", "aa:800,c1:410,5e55:250")
    };
    let request = with_part(BAD_BODY);
    fixture.send_until_noticed(&gateways, &request);
    send(
        &fixture.cluster,
        gateways[0],
        &with_part("another"),
        "other",
    );
    fixture
        .cluster
        .wait_until("the other request crashed an engine too", || {
            fixture.crashes() > CRASHES
        });
    thread::sleep(DOWNTIME);
    let late = fixture.late_arrivals(&gateways, &request, &[dictation()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn resumed_streams_do_not_carry_a_request_that_crashes_engines_on() {
    let request = CallerRequest::new("/summary/2f", "")
        .model("m0")
        .body(BAD_BODY);
    let sound = [dictation()];
    Fixture::engines(5).check(&request.deadline_ms(1_500), &sound);
}

/// No sidecar holds what gateways share.
#[test]
fn gateways_without_sidecars_notice_a_request_that_crashes_endpoints() {
    let cluster = TestCluster::start();
    let endpoints = start_plain_endpoints(&cluster, 4);
    let fixture = Fixture {
        cluster,
        endpoints,
        engines: Vec::new(),
        sidecars: Vec::new(),
    };
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&gateways, &request);
    let late = fixture.late_arrivals(&gateways, &request, &[lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn another_path_caller_or_body_is_another_request() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    let bad = of_caller(order().body(BAD_BODY), "one");
    fixture.send_until_noticed(&[gateway], &bad);
    send(&fixture.cluster, gateway, &bad, "tried");
    thread::sleep(DOWNTIME);
    for endpoint in &fixture.endpoints {
        endpoint.crash_on_body(None);
    }
    let refused = send(&fixture.cluster, gateway, &bad, "same");
    assert_eq!(refused.status, 503, "{refused}");
    assert!(refused.header("retry-after").is_some(), "{refused}");
    let others = [
        of_caller(order().body(BAD_BODY), "two"),
        of_caller(order().body("another"), "one"),
        of_caller(CallerRequest::new("/order/3", "").body(BAD_BODY), "one"),
        of_caller(
            CallerRequest::new("/order/2f?page=2", "").body(BAD_BODY),
            "one",
        ),
    ];
    for (n, other) in others.iter().enumerate() {
        let got = send(&fixture.cluster, gateway, other, &format!("other{n}"));
        assert!(is_whole(&got), "{n}: {got}");
    }
}

/// Starts gateways in place of the first one, which saw the crashes, and checks that few requests reach
/// endpoints from all of them together.
fn check_new_gateways(fixture: &Fixture, request: &CallerRequest) {
    smol::block_on(fixture.cluster.gateway.stop());
    let new = ["host-2", "host-3", "host-4"].map(|host| fixture.cluster.start_gateway_on(host));
    thread::sleep(Duration::from_millis(1_500));
    let new: Vec<_> = new.iter().collect();
    let late = fixture.late_arrivals(&new, request, &[order(), lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn gateways_that_have_just_started_refuse_a_request_that_crashed_endpoints_before() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[&fixture.cluster.gateway], &request);
    check_new_gateways(&fixture, &request);
}

/// All sidecars restart, and then all gateways, so that only what the former were told again is left.
#[test]
fn sidecars_that_have_just_started_know_of_a_request_that_crashed_endpoints_before() {
    let mut fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[&fixture.cluster.gateway], &request);
    for (n, engine) in fixture.engines.iter().enumerate() {
        let sidecar = &fixture.sidecars[n];
        fixture.sidecars[n] = fixture.cluster.restart_sidecar(sidecar, engine);
    }
    thread::sleep(Duration::from_secs(2));
    check_new_gateways(&fixture, &request);
}
