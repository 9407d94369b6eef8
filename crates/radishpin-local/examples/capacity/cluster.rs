//! Embedded clusters of a chosen size.

use radishpin_http::Client;
use radishpin_local::{ClusterPlan, LocalCluster, LocalError, ModelPlan};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use radishpin_standin::EngineSettings;
use std::{error::Error, net::Ipv4Addr};

/// Worker threads of the whole cluster.
const THREADS: usize = 4;
/// Longest wait for a cluster to be ready.
const READY_MAX: Duration = Duration::from_secs(60);
/// Time between two looks at it.
const READY_LOOK: Duration = Duration::from_millis(50);
/// Time between two reads of the head row, as `radishpin node` has it without the flag.
pub const POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Availability zones.
const ZONES: usize = 5;

/// Client of callers and operators.
pub fn client() -> Client {
    Client::new(radishpin_http::ClientLimits {
        idle_connections: 256,
        ..Default::default()
    })
}

/// Starts a cluster and waits until it can serve.
pub async fn start(nodes: usize, agents: usize) -> Result<LocalCluster, Box<dyn Error>> {
    start_with(nodes, agents, Duration::ZERO).await
}

/// The same with a time between the tokens of its engines.
pub async fn start_with(
    nodes: usize,
    agents: usize,
    token: Duration,
) -> Result<LocalCluster, Box<dyn Error>> {
    let runtime = Runtime::start(THREADS)?;
    let cluster = LocalCluster::start(plan(nodes, agents, token), runtime).await?;
    let ready = async {
        while !is_ready(&cluster) {
            Runtime::sleep(READY_LOOK).await;
        }
    };
    match timeout(READY_MAX, ready).await {
        Some(()) => Ok(cluster),
        None => Err("the cluster is not ready".into()),
    }
}

/// Whether all nodes have the same whole view and all agents have it.
///
/// `LocalCluster::ready` asks that every node heard every agent, which heartbeats by subset
/// do not give.
fn is_ready(cluster: &LocalCluster) -> bool {
    let newest = newest_version(cluster);
    let granted = cluster.nodes.values().all(|local| {
        let view = local.running.node.current_view();
        let models = view.models.values();
        let mut granted = models.map(|model| model.grants.len() == model.replicas as usize);
        view.endpoints.len() == cluster.agents.len() && granted.all(|all| all)
    });
    granted && newest > 0 && behind(cluster, newest).is_empty()
}

fn newest_version(cluster: &LocalCluster) -> Version {
    let nodes = cluster.nodes.values();
    let versions = nodes.map(|local| local.running.node.current_view().version);
    versions.max().unwrap_or_default()
}

/// Names of nodes and agents in which the version is not in force.
pub fn behind(cluster: &LocalCluster, version: Version) -> BTreeSet<String> {
    let nodes = cluster.nodes.iter().filter(|(_, local)| {
        let view = local.running.node.current_view();
        view.version < version
    });
    let agents = cluster.agents.iter().filter(|(_, local)| {
        let running = local.running.as_ref();
        running.is_none_or(|running| running.agent.view_version() < version)
    });
    let nodes = nodes.map(|(name, _)| name.clone());
    nodes.chain(agents.map(|(name, _)| name.clone())).collect()
}

/// The small plan with more nodes, more runners of one service, and engines that take no time.
fn plan(nodes: usize, agents: usize, token: Duration) -> ClusterPlan {
    let mut plan = ClusterPlan::small((Ipv4Addr::LOCALHOST, 0).into(), 980);
    plan.poll_interval = POLL_INTERVAL;
    plan.nodes = (0..nodes).map(zone).collect();
    let runner = plan.endpoints.remove("runner-1");
    plan.endpoints.clear();
    for index in 0..agents {
        let Some(mut runner) = runner.clone() else {
            continue;
        };
        runner.host = format!("host-runner-{index}");
        runner.availability_zone = zone(index);
        if let Some(engine) = &mut runner.engine {
            engine.settings = EngineSettings {
                token,
                report_lag: Duration::from_millis(200),
                ..EngineSettings::instant()
            };
        }
        plan.endpoints.insert(format!("runner-{index}"), runner);
    }
    plan.models = (0..agents.div_ceil(2)).map(model).collect();
    plan
}

fn zone(index: usize) -> AvailabilityZone {
    format!("zone-{}", index % ZONES)
}

fn model(index: usize) -> (ModelId, ModelPlan) {
    let model = ModelPlan {
        service: "drafting".to_owned(),
        size_mb: 8_000,
        adapters: BTreeMap::new(),
    };
    (format!("model-{index}"), model)
}

/// Stops the cluster.
pub async fn stop(cluster: LocalCluster) -> Result<(), LocalError> {
    cluster.stop().await;
    Ok(())
}
