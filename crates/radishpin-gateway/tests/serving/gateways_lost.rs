//! Callers resume their streams after all gateways were killed at once, during and after a rollout of
//! another software version.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::TestCluster,
    endpoint::{Behavior, EVENTS, Endpoint},
};
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// When callers resume, after the first gateway is back.
const RESUMED_AFTER: [Duration; 4] = [
    Duration::ZERO,
    Duration::from_secs(1),
    Duration::from_secs(3),
    Duration::from_secs(10),
];
/// Longest time in which a stream whose version is known is resumed.
const RESUMED_WITHIN: Duration = Duration::from_secs(1);
const STREAMS: usize = 10;

type Engines = Vec<(Arc<Endpoint>, SidecarProcess)>;

#[derive(Clone, Copy, Debug)]
enum OldVersion {
    Serves,
    Drains,
    IsGone,
}

#[derive(Clone, Copy, Debug)]
enum SidecarLoss {
    None,
    Half,
    All,
}

fn start_engines(cluster: &TestCluster, version: &str, count: usize) -> Engines {
    let start = |n| cluster.start_engine_of_version(&format!("e{n}-{version}"), &["m0"], version);
    (0..count).map(start).collect()
}

fn summary(id: &str) -> CallerRequest {
    CallerRequest::new("/summary/2f", id).model("m0")
}

fn resume_unnamed(id: &str) -> CallerRequest {
    summary(id).header("Last-Event-Id", "2")
}

fn resume(id: &str, began_as: &str) -> CallerRequest {
    resume_unnamed(id).header("Resumes", began_as)
}

fn begin_broken(cluster: &TestCluster, engines: &Engines, id: &str) {
    for (engine, _) in engines {
        engine.script(&[Behavior::BreakAfter(2)]);
    }
    let got = cluster.ask(&summary(id));
    assert_eq!((got.status, got.complete), (200, false), "{got}");
    for (engine, _) in engines {
        engine.script(&[]);
    }
}

fn has_received(engines: &Engines, id: &str) -> bool {
    let mut engines = engines.iter();
    engines.any(|(engine, _)| engine.received_ids().iter().any(|received| received == id))
}

fn assert_resumed(got: &CallerResponse) {
    let events = (3..=EVENTS).map(|n| format!("id: {n}\ndata: t{n}\n\n"));
    assert_eq!((got.status, got.complete), (200, true), "{got}");
    assert_eq!(got.body, events.collect::<String>());
}

fn assert_refused(got: &CallerResponse) {
    assert_eq!(got.status, 503, "{got}");
    assert!(got.header("retry-after").is_some());
}

/// Streams of the old version break off, all gateways are killed, and one comes back.
fn check_no_stream_is_joined(old: OldVersion, loss: SidecarLoss) {
    let cluster = TestCluster::start();
    let old_engines = start_engines(&cluster, "v1", 2);
    cluster.wait_until_ready();
    begin_broken(&cluster, &old_engines, "s1");
    let new_engines = start_engines(&cluster, "v2", 2);
    for (engine, _) in &old_engines {
        match old {
            OldVersion::Serves => {}
            OldVersion::Drains => cluster.list_endpoint(engine, "drafts", "draining"),
            OldVersion::IsGone => cluster.store.remove("servers", &engine.id),
        }
    }
    thread::sleep(Duration::from_millis(700));
    cluster.kill_gateway();
    let killed = match loss {
        SidecarLoss::None => 0,
        SidecarLoss::Half => 1,
        SidecarLoss::All => 2,
    };
    let mut restarted = Vec::new();
    for engines in [&old_engines, &new_engines] {
        for (engine, sidecar) in engines.iter().take(killed) {
            restarted.push(cluster.restart_sidecar(sidecar, engine));
        }
    }
    let gateway = cluster.start_later_gateway("host-2");
    let started_at = Instant::now();
    for (n, delay) in RESUMED_AFTER.into_iter().enumerate() {
        thread::sleep((started_at + delay).saturating_duration_since(Instant::now()));
        let requests = [
            (format!("t{n}"), resume(&format!("t{n}"), "s1")),
            (format!("u{n}"), resume_unnamed(&format!("u{n}"))),
        ];
        for (id, request) in requests {
            let got = cluster.ask_at(&gateway, &request);
            let case = format!("{old:?}, sidecars lost: {loss:?}, {id} after {delay:?}");
            assert!(!has_received(&new_engines, &id), "{case}: joined, {got}");
            assert!(got.status == 503 || got.status == 200, "{case}: {got}");
        }
    }
}

#[test]
fn no_stream_is_joined_from_two_versions_after_all_gateways_were_lost() {
    let olds = [OldVersion::Serves, OldVersion::Drains, OldVersion::IsGone];
    let losses = [SidecarLoss::None, SidecarLoss::Half, SidecarLoss::All];
    thread::scope(|scope| {
        for old in olds {
            for loss in losses {
                scope.spawn(move || check_no_stream_is_joined(old, loss));
            }
        }
    });
}

#[test]
fn streams_of_known_version_are_resumed_within_a_second_after_all_gateways_were_lost() {
    let cluster = TestCluster::start();
    let engines: Engines = ["v1", "v2"]
        .into_iter()
        .flat_map(|version| start_engines(&cluster, version, 3))
        .collect();
    cluster.wait_until_ready();
    for n in 0..STREAMS {
        begin_broken(&cluster, &engines, &format!("s{n}"));
    }
    cluster.kill_gateway();
    let gateway = cluster.start_later_gateway("host-2");
    let mut in_time = 0;
    for n in 0..STREAMS {
        let (first, second) = (format!("s{n}"), format!("t{n}"));
        let asked_at = Instant::now();
        let got = cluster.ask_at(&gateway, &resume(&second, &first));
        let versions = ["v1", "v2"].map(|version| {
            let mut engines = engines.iter();
            engines.any(|(engine, _)| {
                let received = engine.received_ids();
                engine.software_version() == version
                    && received.iter().any(|id| *id == first || *id == second)
            })
        });
        assert_ne!(versions, [true, true], "{first} met both versions");
        in_time += usize::from(got.complete && asked_at.elapsed() < RESUMED_WITHIN);
    }
    assert!(in_time * 10 >= STREAMS * 9, "{in_time} of {STREAMS}");
}

/// The sidecars know that there has been one version; the gateway that asks them has just started.
#[test]
fn a_stream_is_resumed_without_its_first_attempt_after_all_gateways_were_lost() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, "v1", 4);
    cluster.wait_until_ready();
    // The first gateway's list is full, and it has told the sidecars so.
    thread::sleep(Duration::from_secs(7));
    begin_broken(&cluster, &engines, "s1");
    cluster.kill_gateway();
    let gateway = cluster.start_later_gateway("host-2");
    thread::sleep(RESUMED_WITHIN);
    assert_resumed(&cluster.ask_at(&gateway, &resume_unnamed("t1")));
    assert_resumed(&cluster.ask_at(&gateway, &resume("t2", "never-seen")));
}

#[test]
fn a_gateway_that_started_later_knows_no_only_version_if_nobody_tells_it() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, "v1", 2);
    cluster.wait_until_ready();
    cluster.kill_gateway();
    let restart = |(engine, sidecar)| cluster.restart_sidecar(sidecar, engine);
    let _restarted: Vec<_> = engines
        .iter()
        .map(|(engine, sidecar)| restart((engine.as_ref(), sidecar)))
        .collect();
    let gateway = cluster.start_later_gateway("host-2");
    for n in 0..2 {
        assert_refused(&cluster.ask_at(&gateway, &resume_unnamed(&format!("t{n}"))));
        thread::sleep(Duration::from_secs(4));
    }
}

fn ask_feed(cluster: &TestCluster, gateway: &GatewayProcess, id: &str) -> CallerResponse {
    let request = CallerRequest::new("/feed/2f", id).header("Last-Event-Id", "2");
    cluster.ask_at(gateway, &request)
}

/// No sidecar stands beside plain endpoints.
#[test]
fn no_stream_of_a_plain_service_is_joined_after_all_gateways_were_lost() {
    let cluster = TestCluster::start();
    let old = cluster.start_plain_endpoint("p1");
    cluster.wait_until_ready();
    old.script(&[Behavior::BreakAfter(2)]);
    let began = cluster.ask(&CallerRequest::new("/feed/2f", "s1"));
    assert!(!began.complete, "{began}");
    let new = cluster.start_plain_endpoint("p2");
    new.set_software_version("v2");
    cluster.list_endpoint(&new, "shop", "ready");
    cluster.store.remove("servers", &old.id);
    thread::sleep(Duration::from_millis(700));
    cluster.kill_gateway();
    let gateway = cluster.start_later_gateway("host-2");
    for n in 0..2 {
        assert_refused(&ask_feed(&cluster, &gateway, &format!("t{n}")));
        thread::sleep(Duration::from_secs(4));
    }
    assert!(new.received_ids().is_empty());
}
