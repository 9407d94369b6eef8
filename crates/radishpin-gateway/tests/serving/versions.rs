//! Streams are resumed only at endpoints of the software version that began them.

use super::{
    caller::CallerRequest,
    cluster::TestCluster,
    endpoint::{Behavior, EVENTS, Endpoint},
};
use radishpin_gateway::SidecarProcess;
use std::{collections::BTreeSet, sync::Arc, thread, time::Duration};

type Engines = Vec<(Arc<Endpoint>, SidecarProcess)>;

/// Streams per test: engines of either version may begin one, and many must be resumed.
const STREAMS: usize = 8;

/// Starts two engines of each of these versions; in the order of ids, versions alternate.
fn start_engines(cluster: &TestCluster, versions: &[&str]) -> Engines {
    let numbered = [1, 2]
        .into_iter()
        .flat_map(|number| versions.iter().map(move |version| (version, number)));
    let engines = numbered.map(|(version, number)| {
        let id = format!("e{number}-{version}");
        cluster.start_engine_of_version(&id, &["m0"], version)
    });
    engines.collect()
}

/// Sends a request for a stream that breaks off within event 3 at each engine.
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

/// Software versions of the engines that received a request with one of these ids.
fn versions_of(engines: &Engines, ids: &[&str]) -> BTreeSet<String> {
    let receivers = engines.iter().filter(|(engine, _)| {
        let received = engine.received_ids();
        received.iter().any(|id| ids.contains(&id.as_str()))
    });
    receivers
        .map(|(engine, _)| engine.software_version())
        .collect()
}

fn summary(id: &str) -> CallerRequest {
    CallerRequest::new("/summary/2f", id).model("m0")
}

/// A request that resumes a stream of which its caller has two events.
fn resume(id: &str, began_as: &str) -> CallerRequest {
    summary(id)
        .header("Resumes", began_as)
        .header("Last-Event-Id", "2")
}

fn events_after_2() -> String {
    let events = (3..=EVENTS).map(|n| format!("id: {n}\ndata: t{n}\n\n"));
    events.collect()
}

#[test]
fn a_gateway_resumes_no_stream_at_another_software_version() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1", "v2"]);
    cluster.wait_until_ready();
    for n in 0..STREAMS {
        let id = format!("s{n}");
        begin_broken(&cluster, &engines, &id);
        let versions = versions_of(&engines, &[&id]);
        assert_eq!(versions.len(), 1, "stream {id} met {versions:?}");
    }
}

#[test]
fn a_caller_resumes_its_stream_at_its_software_version() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1", "v2"]);
    cluster.wait_until_ready();
    for n in 0..STREAMS {
        let (first, second) = (format!("s{n}"), format!("t{n}"));
        begin_broken(&cluster, &engines, &first);
        let got = cluster.ask(&resume(&second, &first));
        assert_eq!((got.status, got.complete), (200, true), "{got}");
        assert_eq!(got.body, events_after_2());
        let versions = versions_of(&engines, &[&first, &second]);
        assert_eq!(versions.len(), 1, "stream {first} met {versions:?}");
    }
}

/// The gateway that began the streams is gone when their callers resume them elsewhere.
#[test]
fn a_caller_resumes_its_stream_at_its_software_version_at_another_gateway() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1", "v2"]);
    let other = cluster.start_other_gateway();
    cluster.wait_until_ready();
    let began: Vec<String> = (0..STREAMS).map(|n| format!("s{n}")).collect();
    for first in &began {
        begin_broken(&cluster, &engines, first);
    }
    smol::block_on(cluster.gateway.stop());
    for (n, first) in began.iter().enumerate() {
        let second = format!("t{n}");
        let got = cluster.ask_at(&other, &resume(&second, first));
        assert_eq!((got.status, got.complete), (200, true), "{got}");
        let versions = versions_of(&engines, &[first, &second]);
        assert_eq!(versions.len(), 1, "stream {first} met {versions:?}");
    }
}

#[test]
fn a_stream_whose_software_version_is_gone_is_refused() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1"]);
    cluster.wait_until_ready();
    begin_broken(&cluster, &engines, "s1");
    for (engine, _) in &engines {
        cluster.store.remove("servers", &engine.id);
    }
    let newer = start_engines(&cluster, &["v2"]);
    thread::sleep(Duration::from_millis(1_500));
    let got = cluster.ask(&resume("s2", "s1"));
    assert_eq!(got.status, 503, "{got}");
    assert!(got.header("retry-after").is_some());
    assert_eq!(versions_of(&newer, &["s2"]), BTreeSet::new());
}

#[test]
fn a_stream_of_unknown_origin_is_refused_while_several_software_versions_serve() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1", "v2"]);
    cluster.wait_until_ready();
    for request in [
        resume("s2", "never-seen"),
        summary("s3").header("Last-Event-Id", "2"),
    ] {
        let got = cluster.ask(&request);
        assert_eq!(got.status, 503, "{got}");
        assert!(got.header("retry-after").is_some());
    }
    assert_eq!(versions_of(&engines, &["s2", "s3"]), BTreeSet::new());
}

#[test]
fn a_stream_of_unknown_origin_is_resumed_while_one_software_version_serves() {
    let cluster = TestCluster::start();
    let _engines = start_engines(&cluster, &["v1"]);
    cluster.wait_until_ready();
    // A gateway that has just started may not have seen all versions yet.
    let early = cluster.ask(&summary("s1").header("Last-Event-Id", "2"));
    assert_eq!(early.status, 503, "{early}");
    thread::sleep(Duration::from_secs(3));
    let unnamed = cluster.ask(&summary("s2").header("Last-Event-Id", "2"));
    assert_eq!(unnamed.body, events_after_2());
    let unknown = cluster.ask(&resume("s3", "never-seen"));
    assert_eq!(unknown.body, events_after_2());
}

/// Hosts stand still for a moment, or are very busy.
#[test]
fn a_stream_is_resumed_at_another_gateway_though_its_copies_come_late() {
    const DELAY: Duration = Duration::from_millis(350);
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1", "v2"]);
    let other = cluster.start_other_gateway();
    cluster.wait_until_ready();
    begin_broken(&cluster, &engines, "s1");
    // Both threads of the sidecars' runtime.
    for _ in 0..2 {
        let stand_still = async { thread::sleep(DELAY) };
        cluster.runtime.spawn_detached(stand_still);
    }
    let got = cluster.ask_at(&other, &resume("t1", "s1"));
    assert_eq!((got.status, got.complete), (200, true), "{got}");
    let versions = versions_of(&engines, &["s1", "t1"]);
    assert_eq!(versions.len(), 1, "met {versions:?}");
}

/// An engine restarts with other software under its id and address; the list lags behind.
#[test]
fn a_stream_is_not_resumed_at_an_engine_that_restarted_since_it_was_listed() {
    let cluster = TestCluster::start();
    let engines = start_engines(&cluster, &["v1"]);
    cluster.wait_until_ready();
    begin_broken(&cluster, &engines, "s1");
    for (engine, _) in &engines {
        engine.restart_with(&["m0"]);
    }
    thread::sleep(Duration::from_millis(600));
    let got = cluster.ask(&resume("s2", "s1"));
    assert_eq!(got.status, 503, "{got}");
    assert_eq!(versions_of(&engines, &["s2"]), BTreeSet::new());
}
