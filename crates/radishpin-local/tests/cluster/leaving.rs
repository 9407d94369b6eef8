//! Endpoints that leave: by the host list, by a stop in good order, by a changed profile.

use crate::support::{
    Caller, eventually, loaded_at, put_profile, small_plan, with_cluster, with_plan,
};
use http_types::Method;
use radishpin_local::LocalCluster;
use radishpin_platform::{HostEntry, HostState, Platform};
use radishpin_protocol::{ModelRecord, prelude::*};
use radishpin_runtime::Runtime;
use std::time::{SystemTime, UNIX_EPOCH};

/// Tokens of a stream that runs beyond the start of a planned stop.
const LONG: u32 = 4_000;

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

#[test]
fn a_planned_stop_loads_ahead_and_moves_streams() {
    let mut plan = small_plan();
    plan.stop_lead = Duration::from_secs(2);
    with_plan(plan, |cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let whole = caller
            .stream("repair-notes", "long", LONG)
            .await
            .rest()
            .await;
        let stopping = loaded_at(&cluster, "repair-notes")[0].clone();
        let streaming = caller.clone();
        let stream = cluster.runtime.spawn(async move {
            streaming
                .stream("repair-notes", "long", LONG)
                .await
                .rest()
                .await
        });
        plan_stop(&cluster, &stopping, Duration::from_secs(4)).await;
        eventually("loaded elsewhere", || {
            loaded_at(&cluster, "repair-notes").len() == 2
        })
        .await;
        let agent = &cluster.agents[&stopping].running.as_ref().unwrap().agent;
        eventually("the agent knows", || agent.leaving()).await;
        for i in 0..20 {
            let got = caller.complete("repair-notes", &format!("{i}")).await;
            assert_eq!(got.to_string(), "200 ok");
        }
        assert_eq!(stream.await, whole);
        eventually("nothing runs there", || agent.running_calls() == 0).await;
    });
}

#[test]
fn a_cancelled_stop_lets_the_endpoint_work_on() {
    let mut plan = small_plan();
    plan.stop_lead = Duration::from_secs(60);
    with_plan(plan, |cluster| async move {
        let id = plan_stop(&cluster, "booking-1", Duration::from_secs(30)).await;
        let agent = &cluster.agents["booking-1"].running.as_ref().unwrap().agent;
        eventually("the agent knows", || agent.leaving()).await;
        let authorization = format!("Bearer {}", cluster.operator_token());
        let headers = [("authorization", authorization.as_str())];
        let operator = Caller::operator(&cluster, 1);
        let path = format!("/v1/stops/{id}");
        let cancelled = operator.call(Method::Delete, &path, &headers, "").await;
        assert_eq!(cancelled.status, 200, "{}", cancelled.body);
        eventually("the agent works on", || !agent.leaving()).await;
    });
}

/// Plans a stop of an endpoint's host by the operators' API; returns its id.
async fn plan_stop(cluster: &LocalCluster, endpoint: &str, begins_in: Duration) -> String {
    let host = &cluster.plan.endpoints[endpoint].host;
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let from = (now + begins_in).as_millis();
    let to = (now + begins_in + Duration::from_secs(600)).as_millis();
    let id = "window-1";
    let stop = format!(
        r#"{{"id":"{id}","target":{{"host":"{host}"}},"from_unix_ms":{from},"to_unix_ms":{to}}}"#
    );
    let authorization = format!("Bearer {}", cluster.operator_token());
    let headers = [("authorization", authorization.as_str())];
    let operator = Caller::operator(cluster, 0);
    let planned = operator
        .call(Method::Post, "/v1/stops", &headers, &stop)
        .await;
    assert_eq!(planned.status, 201, "{}", planned.body);
    id.to_owned()
}

#[test]
fn an_endpoint_moves_to_another_host_only_when_the_old_one_is_gone() {
    with_cluster(|mut cluster| async move {
        cluster.kill_agent("runner-1");
        cluster.agents.get_mut("runner-1").unwrap().settings.host = "host-new".to_owned();
        cluster.start_agent("runner-1").await.unwrap();
        let agent = &cluster.agents["runner-1"].running.as_ref().unwrap().agent;
        // The other agents' heartbeats go on meanwhile; this one stays unregistered.
        let version = cluster.platform.row("endpoint/runner-1").version;
        Runtime::sleep(Duration::from_millis(300)).await;
        assert_eq!(agent.incarnation(), 0);
        assert_eq!(cluster.platform.row("endpoint/runner-1").version, version);
        let gone = cluster.plan.endpoints["runner-1"].host.clone();
        let mut hosts = cluster.platform.hosts().await.unwrap();
        hosts.retain(|entry| entry.host != gone);
        cluster.platform.set_hosts(hosts);
        eventually("registered", || agent.incarnation() == 2).await;
    });
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
