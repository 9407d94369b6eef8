//! Processes that start again while the platform is down.

use crate::support::{Caller, Got, bookings, loaded_at, with_cluster, without_booking_agents};
use http_types::Method;
use radishpin_local::LocalCluster;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use radishpin_standin::{Faults, Outage};

#[test]
fn a_node_started_in_an_outage_serves_a_cold_call_from_the_view_of_a_peer() {
    with_cluster(|mut cluster| async move {
        let before = version_at(&cluster, "node-1");
        set_outage(&cluster, Outage::Refusing);
        restart_node(&mut cluster, 2).await;
        wait_ready(&cluster, 2).await;
        assert_eq!(version_at(&cluster, "node-3"), before);
        assert!(loaded_at(&cluster, "repair-notes").is_empty());
        let cold = Caller::of(&cluster, 2)
            .complete("repair-notes", "roof")
            .await;
        assert_eq!(cold.to_string(), "200 ok");
        set_outage(&cluster, Outage::None);
        let newer = change_drafting(&cluster, 0).await;
        wait_version(&cluster, "node-3", newer).await;
    });
}

#[test]
fn a_view_from_a_peer_is_the_view_of_the_platform_row_for_row() {
    with_cluster(|mut cluster| async move {
        set_outage(&cluster, Outage::Refusing);
        restart_node(&mut cluster, 2).await;
        wait_ready(&cluster, 2).await;
        let view = |node: &str| cluster.nodes[node].running.node.current_view();
        assert_eq!(view("node-3"), view("node-1"));
    });
}

#[test]
fn without_a_peer_that_runs_a_node_started_in_an_outage_stays_unready() {
    with_cluster(|mut cluster| async move {
        set_outage(&cluster, Outage::Refusing);
        cluster.kill_node("node-1");
        cluster.kill_node("node-2");
        restart_node(&mut cluster, 2).await;
        let got = refused_through_rounds(&cluster, 0).await;
        insta::assert_snapshot!(got, @r#"503 5001 "not_ready" ran=no"#);
        set_outage(&cluster, Outage::None);
        wait_ready(&cluster, 0).await;
    });
}

#[test]
fn a_peer_that_does_not_answer_may_have_a_newer_version_and_is_waited_for() {
    with_cluster(|mut cluster| async move {
        cluster.pause_node("node-2", true);
        set_outage(&cluster, Outage::Refusing);
        restart_node(&mut cluster, 2).await;
        let got = refused_through_rounds(&cluster, 2).await;
        assert_eq!(got.code(), 5001, "{got}");
        cluster.pause_node("node-2", false);
        wait_ready(&cluster, 2).await;
    });
}

#[test]
fn a_restart_in_an_outage_brings_no_version_older_than_that_of_peers_and_agents() {
    with_cluster(|mut cluster| async move {
        // One peer misses a change.
        cluster.pause_node("node-2", true);
        let newer = change_drafting(&cluster, 0).await;
        wait_version(&cluster, "node-1", newer).await;
        wait_agents(&cluster, newer).await;
        set_outage(&cluster, Outage::Refusing);
        cluster.pause_node("node-2", false);
        restart_node(&mut cluster, 2).await;
        wait_ready(&cluster, 2).await;
        assert!(version_at(&cluster, "node-2") < newer);
        assert!(version_at(&cluster, "node-3") >= newer);

        // The only peer left is the one that missed it, but it heard of it from agents.
        wait_heard_agents(&cluster, 1, newer).await;
        cluster.kill_node("node-1");
        restart_node(&mut cluster, 2).await;
        let got = refused_through_rounds(&cluster, 1).await;
        assert_eq!(got.code(), 5001, "{got}");
        set_outage(&cluster, Outage::None);
        wait_ready(&cluster, 1).await;
        assert!(version_at(&cluster, "node-3") >= newer);
    });
}

#[test]
fn status_lists_the_versions_in_force_at_peers() {
    with_cluster(|cluster| async move {
        // The last node of the plan knows the addresses of those that started before it.
        let operator = Caller::operator(&cluster, 2);
        loop {
            let status = status(&cluster, &operator).await;
            let heard = versions(&status, "node");
            let of_peers = ["node-1", "node-2"].map(|node| version_at(&cluster, node));
            if heard.values().copied().eq(of_peers) {
                assert!(heard.keys().eq(["node-1", "node-2"]));
                return;
            }
            Runtime::sleep(LOOK).await;
        }
    });
}

#[test]
fn agents_started_in_an_outage_give_no_order_before_they_are_registered() {
    with_cluster(|mut cluster| async move {
        without_booking_agents(&mut cluster, 0).await;
        let runners: Vec<_> = (1..=4).map(|number| format!("runner-{number}")).collect();
        for runner in &runners {
            cluster.kill_agent(runner);
        }
        set_outage(&cluster, Outage::Refusing);
        for endpoint in cluster.agents.keys().cloned().collect::<Vec<_>>() {
            cluster.start_agent(&endpoint).await.unwrap();
        }
        let caller = Caller::of(&cluster, 0);
        // Until the agents themselves refuse, the node goes past them as dead.
        loop {
            let booked = caller.book(&[], "early").await;
            assert_eq!(booked.ran(), "no", "{booked}");
            if booked.code() == 5001 {
                break;
            }
            Runtime::sleep(LOOK).await;
        }
        for _ in 0..5 {
            let booked = caller.book(&[], "nine").await;
            assert_eq!(booked.ran(), "no", "{booked}");
            let completed = caller.complete("repair-notes", "roof").await;
            assert_eq!(completed.ran(), "no", "{completed}");
        }
        let incarnations = cluster.agents.values().filter_map(|agent| {
            let running = agent.running.as_ref()?;
            Some(running.agent.incarnation())
        });
        assert!(incarnations.eq([0; 6]));
        assert_eq!(bookings(&cluster), 0);
        assert!(loaded_at(&cluster, "repair-notes").is_empty());

        set_outage(&cluster, Outage::None);
        while caller.book(&[], "nine").await.status != 200 {
            Runtime::sleep(LOOK).await;
        }
        while caller.complete("repair-notes", "roof").await.status != 200 {
            Runtime::sleep(LOOK).await;
        }
        assert_eq!(bookings(&cluster), 1);
    });
}

/// Time between two looks at something that must come.
const LOOK: Duration = Duration::from_millis(20);
/// Failed reads of the platform by which a node has asked its peers several times.
const FAILED_POLLS: u64 = 4;

fn set_outage(cluster: &LocalCluster, outage: Outage) {
    cluster.platform.set_faults(Faults {
        outage,
        ..Faults::default()
    });
}

async fn restart_node(cluster: &mut LocalCluster, index: usize) {
    cluster.kill_node(&format!("node-{}", index + 1));
    cluster.start_node(index).await.unwrap();
}

fn version_at(cluster: &LocalCluster, node: &str) -> Version {
    cluster.nodes[node].running.node.current_view().version
}

/// Changes the profile of the drafting service; returns the version of the change.
async fn change_drafting(cluster: &LocalCluster, node: usize) -> Version {
    let operator = Caller::operator(cluster, node);
    let token = format!("Bearer {}", cluster.operator_token());
    let path = "/v1/profiles/drafting";
    loop {
        let auth = ("authorization", token.as_str());
        let seen = operator.call(Method::Get, path, &[auth], "").await;
        let mut profile = seen.json()["profile"].clone();
        profile["patience_ms"] = 9_000.into();
        let tag = seen.headers.get("etag").cloned().unwrap_or_default();
        let headers = [auth, ("if-match", tag.as_str())];
        let body = profile.to_string();
        let got = operator.call(Method::Put, path, &headers, &body).await;
        if got.status == 200 {
            return got.json()["version"].as_u64().unwrap();
        }
        // After an outage the platform is tried now and then only.
        Runtime::sleep(LOOK).await;
    }
}

async fn wait_version(cluster: &LocalCluster, node: &str, version: Version) {
    let what = format!("{node} has version {version}");
    crate::support::eventually(&what, || version_at(cluster, node) >= version).await;
}

/// Waits until every agent has the version in force.
async fn wait_agents(cluster: &LocalCluster, version: Version) {
    let has_it = |agent: &radishpin_local::LocalAgent| {
        let running = agent.running.as_ref();
        running.is_some_and(|running| running.agent.view_version() >= version)
    };
    let all = || cluster.agents.values().all(has_it);
    crate::support::eventually("all agents have the version", all).await;
}

/// Waits until the node with this index heard from an agent that it has the version.
async fn wait_heard_agents(cluster: &LocalCluster, node: usize, version: Version) {
    let operator = Caller::operator(cluster, node);
    loop {
        let status = status(cluster, &operator).await;
        if versions(&status, "agent").values().any(|v| *v >= version) {
            return;
        }
        Runtime::sleep(LOOK).await;
    }
}

/// Waits until the node with this index among those that run is ready.
async fn wait_ready(cluster: &LocalCluster, node: usize) {
    let caller = Caller::of(cluster, node);
    while caller.complete("no-such", "x").await.code() == 5001 {
        Runtime::sleep(LOOK).await;
    }
}

/// What a node answers after it failed to read the platform, and asked its peers, several times.
async fn refused_through_rounds(cluster: &LocalCluster, node: usize) -> Got {
    let caller = Caller::of(cluster, node);
    loop {
        let metrics = caller.call(Method::Get, "/metrics", &[], "").await;
        let failed = metrics.body.lines().find_map(|line| {
            let count = line.strip_prefix("radishpin_view_polls_failed_total ")?;
            count.parse::<u64>().ok()
        });
        if failed.unwrap_or(0) >= FAILED_POLLS {
            return caller.complete("repair-notes", "roof").await;
        }
        Runtime::sleep(LOOK).await;
    }
}

async fn status(cluster: &LocalCluster, operator: &Caller) -> Got {
    let token = format!("Bearer {}", cluster.operator_token());
    let headers = [("authorization", token.as_str())];
    operator.call(Method::Get, "/v1/status", &headers, "").await
}

/// Versions in force at processes of a kind, by name.
fn versions(status: &Got, kind: &str) -> BTreeMap<String, Version> {
    let json = status.json();
    let processes = json["processes"].as_array().cloned().unwrap_or_default();
    let of_kind = processes.iter().filter(|process| process["kind"] == kind);
    let version = |process: &serde_json::Value| {
        let name = process["name"].as_str()?.to_owned();
        Some((name, process["version"].as_u64()?))
    };
    of_kind.filter_map(version).collect()
}
