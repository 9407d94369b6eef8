//! More agents than every node sends heartbeats to.

use crate::support::{Caller, eventually, put_profile, small_plan, with_plan};
use radishpin_local::ClusterPlan;
use radishpin_protocol::ModelRecord;

/// Above the number of agents up to which every node sends heartbeats to every agent.
const RUNNERS: usize = 70;
const MODELS: usize = 12;

/// Six nodes, of which three send heartbeats to any one agent.
fn large_plan() -> ClusterPlan {
    let mut plan = small_plan();
    plan.nodes = (0..6).map(|i| format!("zone-{}", i % 3)).collect();
    let runner = plan.endpoints["runner-1"].clone();
    for index in 5..=RUNNERS {
        let mut endpoint = runner.clone();
        endpoint.host = format!("host-runner-{index}");
        endpoint.availability_zone = format!("zone-{}", index % 3);
        plan.endpoints.insert(format!("runner-{index}"), endpoint);
    }
    let model = plan.models["log-tags"].clone();
    for index in 0..MODELS {
        let mut copy = model.clone();
        copy.adapters.clear();
        plan.models.insert(format!("rare-{index}"), copy);
    }
    plan
}

#[test]
fn a_lowered_count_comes_into_force_whichever_node_hears_the_agents() {
    with_plan(large_plan(), |cluster| async move {
        let mut profile = cluster.plan.profiles["drafting"].clone();
        profile.max_replicas = 1;
        let changed = put_profile(&cluster, "drafting", &profile).await;
        assert_eq!(changed.status, 200, "{}", changed.body);
        eventually("one grant for every model", || {
            cluster.plan.models.keys().all(|name| {
                let row = cluster.platform.row(&format!("model/{name}"));
                let record: ModelRecord = serde_json::from_str(&row.value.unwrap()).unwrap();
                record.replicas == 1 && record.grants.len() == 1
            })
        })
        .await;
        let got = Caller::of(&cluster, 5).complete("rare-3", "x").await;
        assert_eq!(got.to_string(), "200 ok");
    });
}
