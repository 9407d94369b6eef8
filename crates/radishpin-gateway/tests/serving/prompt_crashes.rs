//! A part of a prompt crashes each engine that serves it; the gateways together keep it from them.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::{DOWNTIME, TestCluster},
    endpoint::{Behavior, Endpoint},
};
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use std::{sync::Arc, thread, time::Duration};

/// Part under which engines crash.
const BAD_PART: &str = "bad0bad";
/// Time after the fifth crash from which at most [`LATE_MAX`] requests with the part may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;
const CRASHES_MAX: u32 = 5;
/// Pause between requests with the part before its crashes must have been noticed.
const PAUSE: Duration = Duration::from_millis(250);

type Engines = Vec<(Arc<Endpoint>, SidecarProcess)>;

fn start_engines(cluster: &TestCluster, count: usize) -> Engines {
    let engines = (0..count).map(|n| cluster.start_engine(&format!("e{n}"), &["m0"]));
    let engines: Engines = engines.collect();
    for (engine, _) in &engines {
        engine.crash_on_part(BAD_PART);
    }
    engines
}

/// A request whose prompt consists of a first part that all share, this part and one of its own.
fn request(path: &str, id: &str, part: &str) -> CallerRequest {
    let prefix = format!("aa:800,{part}:410,{id}:250");
    CallerRequest::new(path, id)
        .model("m0")
        .header("Radishpin-Prompt-Prefix", &prefix)
}

fn bad(id: &str) -> CallerRequest {
    request("/dictation/2f", id, BAD_PART)
}

/// Requests with the bad part that have reached engines, repeats counted.
fn bad_arrivals(engines: &Engines) -> usize {
    let arrivals = engines.iter().map(|(engine, _)| {
        let ids = engine.received_ids();
        ids.iter().filter(|id| id.starts_with("bad")).count()
    });
    arrivals.sum()
}

fn crashes(engines: &Engines) -> u32 {
    engines.iter().map(|(engine, _)| engine.crashes()).sum()
}

/// Sends requests with the bad part, one after the other and each at the next gateway, until engines
/// have crashed five times or none of these requests does it any more.
fn send_until_noticed(
    cluster: &TestCluster,
    gateways: &[&GatewayProcess],
    engines: &Engines,
    path: &str,
) {
    for n in 0..12 {
        let gateway = gateways[n % gateways.len()];
        cluster.ask_at(gateway, &request(path, &format!("bad{n}"), BAD_PART));
        thread::sleep(PAUSE);
        cluster.ask_at(gateway, &request(path, &format!("5e{n}"), "c1"));
        if crashes(engines) >= CRASHES_MAX {
            break;
        }
    }
    thread::sleep(CONTACT);
}

fn is_whole(response: &CallerResponse) -> bool {
    response.status == 200 && response.complete
}

#[test]
fn a_prompt_part_that_crashes_engines_stops_reaching_them_from_any_gateway() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 6);
    let (second, third) = (
        cluster.start_gateway_on("host-2"),
        cluster.start_gateway_on("host-3"),
    );
    let gateways = [&cluster.gateway, &second, &third];
    cluster.wait_until_ready();
    send_until_noticed(&cluster, &gateways, &engines, "/dictation/2f");
    let before = bad_arrivals(&engines);
    let mut whole = 0;
    for n in 0..24 {
        let gateway = gateways[n % gateways.len()];
        let got = cluster.ask_at(gateway, &bad(&format!("bad-late{n}")));
        assert_ne!(got.status, 404);
        let sound = request("/dictation/2f", &format!("50{n}"), &format!("c{}", n % 4));
        whole += usize::from(is_whole(&cluster.ask_at(gateway, &sound)));
    }
    let late = bad_arrivals(&engines) - before;
    assert!(late <= LATE_MAX, "{late} reached engines");
    assert!(whole >= 12, "{whole} of 24 sound requests were served");
}

#[test]
fn a_refused_prompt_part_is_refused_as_not_run_with_a_time_to_come_back() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 6);
    cluster.wait_until_ready();
    send_until_noticed(&cluster, &[&cluster.gateway], &engines, "/dictation/2f");
    let got = cluster.ask(&bad("bad-late"));
    assert_eq!(got.status, 503, "{got}");
    assert!(got.header("retry-after").is_some());
}

#[test]
fn a_resumed_stream_does_not_carry_a_crashing_prompt_part_on() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 6);
    let second = cluster.start_gateway_on("host-2");
    let gateways = [&cluster.gateway, &second];
    cluster.wait_until_ready();
    send_until_noticed(&cluster, &gateways, &engines, "/summary/2f");
    let before = bad_arrivals(&engines);
    for n in 0..12 {
        let id = format!("bad-late{n}");
        cluster.ask_at(gateways[n % 2], &request("/summary/2f", &id, BAD_PART));
    }
    let late = bad_arrivals(&engines) - before;
    assert!(late <= LATE_MAX, "{late} reached engines");
}

/// The gateways that saw the crashes are gone.
#[test]
fn a_gateway_that_has_just_started_refuses_a_prompt_part_that_crashed_engines_before() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 6);
    cluster.wait_until_ready();
    send_until_noticed(&cluster, &[&cluster.gateway], &engines, "/dictation/2f");
    smol::block_on(cluster.gateway.stop());
    let new = cluster.start_gateway_on("host-2");
    thread::sleep(Duration::from_millis(1_500));
    let before = bad_arrivals(&engines);
    for n in 0..12 {
        cluster.ask_at(&new, &bad(&format!("bad-late{n}")));
    }
    let late = bad_arrivals(&engines) - before;
    assert!(late <= LATE_MAX, "{late} reached engines");
    let sound = cluster.ask_at(&new, &request("/dictation/2f", "50", "c1"));
    assert!(is_whole(&sound), "{sound}");
}

/// The first part of the prompts has only been seen beside the one that crashes engines.
#[test]
fn sound_requests_are_served_though_their_first_part_was_in_every_crash() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 6);
    let second = cluster.start_gateway_on("host-2");
    let gateways = [&cluster.gateway, &second];
    cluster.wait_until_ready();
    for n in 0..6 {
        cluster.ask_at(gateways[n % 2], &bad(&format!("bad{n}")));
        thread::sleep(PAUSE);
    }
    thread::sleep(CONTACT);
    let before = bad_arrivals(&engines);
    let mut whole = 0;
    for n in 0..40 {
        cluster.ask_at(gateways[n % 2], &bad(&format!("bad-late{n}")));
        let sound = request("/dictation/2f", &format!("50{n}"), "c1");
        whole += usize::from(is_whole(&cluster.ask_at(gateways[n % 2], &sound)));
        thread::sleep(Duration::from_millis(100));
    }
    let late = bad_arrivals(&engines) - before;
    assert!(late <= LATE_MAX, "{late} reached engines");
    assert!(whole >= 20, "{whole} of 40 sound requests were served");
}

/// Engines crash together before any request has succeeded, so nothing tells a sound part from one
/// that crashes them.
#[test]
fn a_sound_prompt_part_is_served_again_after_engines_crashed_around_it() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, 4);
    let second = cluster.start_gateway_on("host-2");
    cluster.wait_until_ready();
    for (engine, _) in &engines {
        engine.script(&[Behavior::Hang; 4]);
    }
    thread::scope(|scope| {
        for n in 0..16 {
            let gateway = [&cluster.gateway, &second][n % 2];
            let sound = request("/dictation/2f", &format!("50{n}"), "c1");
            let cluster = &cluster;
            scope.spawn(move || cluster.ask_at(gateway, &sound));
        }
        thread::sleep(Duration::from_millis(300));
        for (engine, _) in &engines {
            engine.script(&[]);
            engine.crash();
        }
    });
    thread::sleep(DOWNTIME + 2 * CONTACT);
    let served = (0..40).filter(|n| {
        thread::sleep(Duration::from_millis(100));
        let gateway = [&cluster.gateway, &second][n % 2];
        let sound = request("/dictation/2f", &format!("51{n}"), "c1");
        is_whole(&cluster.ask_at(gateway, &sound))
    });
    let served = served.count();
    assert!(served >= 20, "{served} of 40 sound requests were served");
}
