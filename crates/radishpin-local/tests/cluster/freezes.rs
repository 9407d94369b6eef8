//! Processes that are paused or killed in the middle of a load, and what follows them.

use crate::support::{
    Caller, bookings_with_key, eventually, loaded_at, small_plan, with_cluster, with_plan,
};
use radishpin_local::{ClusterPlan, LocalCluster};
use std::time::Duration;

const KEY: (&str, &str) = ("idempotency-key", "visit-12");

/// Loads long enough to be interrupted.
fn slow_loads() -> ClusterPlan {
    let mut plan = small_plan();
    plan.weight_store.model_load = Duration::from_millis(1_500);
    plan
}

fn no_overcommit(cluster: &LocalCluster) {
    for agent in cluster.agents.values() {
        if let Some(engine) = &agent.engine {
            assert_eq!(engine.journal().overcommits(), []);
        }
    }
}

/// Endpoint whose engine loads a model now.
fn loading_at(cluster: &LocalCluster) -> Option<String> {
    let loads = |agent: &radishpin_local::LocalAgent| {
        let engine = agent.engine.as_ref()?;
        (engine.used_mb() > 0).then_some(())
    };
    let mut agents = cluster.agents.iter();
    let found = agents.find(|(_, agent)| loads(agent).is_some());
    found.map(|(id, _)| id.clone())
}

#[test]
fn an_agent_killed_in_the_middle_of_a_load_leaves_its_successor_a_true_account() {
    with_plan(slow_loads(), |mut cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let call = cluster
            .runtime
            .spawn(async move { caller.complete("season-summary", "x").await });
        eventually("a load has begun", || loading_at(&cluster).is_some()).await;
        let endpoint = loading_at(&cluster).unwrap();
        cluster.kill_agent(&endpoint);
        cluster.start_agent(&endpoint).await.unwrap();
        let got = call.await;
        assert!(got.status == 200 || got.code() > 0, "{got}");
        eventually("the successor is registered", || {
            let agent = cluster.agents[&endpoint].running.as_ref().unwrap();
            agent.agent.incarnation() == 2
        })
        .await;
        let again = Caller::of(&cluster, 1)
            .complete("season-summary", "y")
            .await;
        assert_eq!(again.to_string(), "200 ok");
        assert!(loaded_at(&cluster, "season-summary").len() <= 2);
        no_overcommit(&cluster);
    });
}

#[test]
fn an_agent_paused_in_the_middle_of_a_load_does_no_harm_when_it_wakes() {
    with_plan(slow_loads(), |mut cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let call = cluster
            .runtime
            .spawn(async move { caller.complete("season-summary", "x").await });
        eventually("a load has begun", || loading_at(&cluster).is_some()).await;
        let endpoint = loading_at(&cluster).unwrap();
        cluster.pause_agent(&endpoint, true);
        // A successor cannot take the address that the paused agent still holds.
        assert!(cluster.start_agent(&endpoint).await.is_err());
        let meanwhile = Caller::of(&cluster, 1)
            .complete("season-summary", "y")
            .await;
        assert!(
            meanwhile.status == 200 || meanwhile.code() > 0,
            "{meanwhile}"
        );
        cluster.pause_agent(&endpoint, false);
        let got = call.await;
        assert!(got.status == 200 || got.code() > 0, "{got}");
        eventually("served again", || {
            loaded_at(&cluster, "season-summary").len() <= 2
        })
        .await;
        no_overcommit(&cluster);
    });
}

#[test]
fn a_paused_agent_does_not_run_a_booking_whose_caller_was_told_that_it_did_not() {
    with_cluster(|mut cluster| async move {
        cluster.pause_agent("booking-1", true);
        cluster.pause_agent("booking-2", true);
        let headers = [KEY, ("x-deadline-ms", "300")];
        let got = Caller::of(&cluster, 0).book(&headers, "nine").await;
        assert!(got.ran() == "no" || got.ran() == "unknown", "{got}");
        cluster.pause_agent("booking-1", false);
        cluster.pause_agent("booking-2", false);
        eventually("the nodes trust the agents again", || {
            cluster.nodes["node-1"].running.node.is_usable("booking-1")
        })
        .await;
        let runs = bookings_with_key(&cluster, KEY.1);
        assert!(runs <= 1);
        if got.ran() == "no" {
            assert_eq!(runs, 0);
        }
    });
}

#[test]
fn a_node_that_was_paused_and_wakes_serves_and_harms_nothing() {
    with_cluster(|mut cluster| async move {
        cluster.pause_node("node-1", true);
        let other = Caller::of(&cluster, 1).complete("repair-notes", "x").await;
        assert_eq!(other.to_string(), "200 ok");
        cluster.pause_node("node-1", false);
        let woken = Caller::of(&cluster, 0).complete("repair-notes", "x").await;
        assert_eq!(woken.text(), other.text());
        no_overcommit(&cluster);
    });
}
