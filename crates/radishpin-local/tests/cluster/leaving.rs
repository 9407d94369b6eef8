//! Endpoints that leave: by the host list, by a stop in good order, by a changed profile.

use crate::support::{Caller, Got, eventually, loaded_at, with_cluster};
use http_types::Method;
use radishpin_local::LocalCluster;
use radishpin_platform::{HostEntry, HostState};
use radishpin_protocol::{ModelRecord, prelude::*};

#[test]
fn a_host_that_the_platform_reclaims_gets_no_new_work() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        caller.complete("repair-notes", "x").await;
        let leaving = loaded_at(&cluster, "repair-notes")[0].clone();
        reclaim(&cluster, &leaving);
        let agent = &cluster.agents[&leaving].running.as_ref().unwrap().agent;
        eventually("the agent knows", || agent.leaving()).await;
        let runs_before = runs_at(&cluster, &leaving);
        for i in 0..10 {
            let got = caller.complete("repair-notes", &format!("{i}")).await;
            assert_eq!(got.to_string(), "200 ok");
        }
        assert_eq!(runs_at(&cluster, &leaving), runs_before);
    });
}

#[test]
fn a_stop_in_good_order_cuts_no_call() {
    with_cluster(|mut cluster| async move {
        let runtime = cluster.runtime.clone();
        let calls: Vec<_> = (0..40)
            .map(|i| {
                let caller = Caller::of(&cluster, i % 3);
                runtime.spawn(async move { caller.complete("repair-notes", &format!("{i}")).await })
            })
            .collect();
        let long = Caller::of(&cluster, 0);
        let stream = runtime
            .spawn(async move { long.stream("repair-notes", "long", 300).await.rest().await });
        for endpoint in loaded_at(&cluster, "repair-notes") {
            cluster.stop_agent(&endpoint).await;
        }
        for call in calls {
            assert_eq!(call.await.to_string(), "200 ok");
        }
        assert_eq!(stream.await.len(), 301);
    });
}

#[test]
fn a_lowered_count_of_replicas_revokes_then_lowers() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        caller.complete("repair-notes", "x").await;
        let mut profile = cluster.plan.profiles["drafting"].clone();
        profile.max_replicas = 1;
        let changed = put_profile(&cluster, "drafting", &profile).await;
        assert_eq!(changed.status, 200, "{}", changed.body);
        eventually("one grant", || {
            let record = model(&cluster, "repair-notes");
            record.replicas == 1 && record.grants.len() == 1
        })
        .await;
        assert!(loaded_at(&cluster, "repair-notes").len() <= 1);
        let got = caller.complete("repair-notes", "y").await;
        assert_eq!(got.to_string(), "200 ok");
    });
}

/// Replaces a profile by the operators' API of the first node.
async fn put_profile(cluster: &LocalCluster, name: &str, profile: &Profile) -> Got {
    let operator = Caller::operator(cluster, 0);
    let authorization = format!("Bearer {}", cluster.operator_token());
    let version = cluster.platform.row(&format!("profile/{name}")).version;
    let headers = [
        ("authorization", authorization.as_str()),
        ("if-match", &version.to_string()),
    ];
    let document = serde_json::to_string(profile).unwrap();
    let path = format!("/v1/profiles/{name}");
    operator.call(Method::Put, &path, &headers, &document).await
}

fn model(cluster: &LocalCluster, name: &str) -> ModelRecord {
    let row = cluster.platform.row(&format!("model/{name}"));
    serde_json::from_str(&row.value.unwrap()).unwrap()
}

fn reclaim(cluster: &LocalCluster, endpoint: &str) {
    let plan = &cluster.plan.endpoints;
    let entries: BTreeMap<HostId, HostEntry> = plan
        .iter()
        .map(|(id, endpoint_plan)| {
            let state = if id == endpoint {
                HostState::Leaving
            } else {
                HostState::Live
            };
            let entry = HostEntry {
                host: endpoint_plan.host.clone(),
                availability_zone: endpoint_plan.availability_zone.clone(),
                state,
                peer_address: None,
            };
            (endpoint_plan.host.clone(), entry)
        })
        .collect();
    cluster.platform.set_hosts(entries.into_values().collect());
}

fn runs_at(cluster: &LocalCluster, endpoint: &str) -> usize {
    let engine = cluster.agents[endpoint].engine.as_ref().unwrap();
    engine.journal().runs().len()
}
