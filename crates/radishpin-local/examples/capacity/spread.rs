//! Time from an accepted change to its being in force at every node and agent.

use super::cluster;
use crate::Outcome;
use radishpin_local::LocalCluster;
use radishpin_platform::{
    ChangeOutcome, ClientSettings, PlatformClient, PlatformMetrics, RowChange, ViewChange,
    ViewWriter,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use radishpin_standin::Outage;
use std::{error::Error, sync::Arc, time::Instant};

/// Time between two looks.
const LOOK: Duration = Duration::from_millis(5);
/// Longest wait for a change.
const WAIT_MAX: Duration = Duration::from_secs(40);
/// Time of an outage of the platform.
const OUTAGE: Duration = Duration::from_secs(20);
/// Changes measured with a node paused.
const PAUSED_CHANGES: usize = 3;
/// Pause between changes, by index, so that they fall at different times of a poll.
const PAUSE_STEP: Duration = Duration::from_millis(170);

/// Prints a table of the times.
pub fn measure(nodes: usize, agents: usize, changes: usize) -> Outcome {
    smol::block_on(async {
        let mut cluster = cluster::start(nodes, agents).await?;
        let writer = writer(&cluster)?;
        println!("| nodes | agents | case | changes | p50 | max |");
        println!("|---|---|---|---|---|---|");
        let mut times = Vec::new();
        for index in 0..changes {
            Runtime::sleep(PAUSE_STEP * u32::try_from(index % 10)?).await;
            times.push(change(&cluster, &writer, None).await?);
        }
        print(nodes, agents, "no fault", times);
        paused(&mut cluster, &writer, nodes, agents).await?;
        outage(&cluster, &writer, nodes, agents).await?;
        cluster::stop(cluster).await?;
        Ok(())
    })
}

async fn paused(
    cluster: &mut LocalCluster,
    writer: &ViewWriter,
    nodes: usize,
    agents: usize,
) -> Outcome {
    let Some(name) = cluster.nodes.keys().next().cloned() else {
        return Ok(());
    };
    cluster.pause_node(&name, true);
    let mut times = Vec::new();
    for _ in 0..PAUSED_CHANGES {
        times.push(change(cluster, writer, Some(&name)).await?);
    }
    print(nodes, agents, "a node paused, at all others", times);
    cluster.pause_node(&name, false);
    let version = newest(cluster);
    let resumed = wait(cluster, version, None).await;
    print(
        nodes,
        agents,
        "that node, from its resumption",
        vec![resumed],
    );
    Ok(())
}

async fn outage(
    cluster: &LocalCluster,
    writer: &ViewWriter,
    nodes: usize,
    agents: usize,
) -> Outcome {
    cluster
        .platform
        .change_faults(|faults| faults.outage = Outage::Refusing);
    Runtime::sleep(OUTAGE).await;
    cluster
        .platform
        .change_faults(|faults| faults.outage = Outage::None);
    let time = change(cluster, writer, None).await?;
    print(
        nodes,
        agents,
        "accepted as the platform came back",
        vec![time],
    );
    Ok(())
}

/// A client of its own, whose breaker knows nothing of the nodes' troubles.
fn writer(cluster: &LocalCluster) -> Result<ViewWriter, Box<dyn Error>> {
    let metrics = PlatformMetrics::unregistered()?;
    let platform = Arc::new(cluster.platform.clone());
    let settings = ClientSettings::default();
    let client = PlatformClient::new(platform, settings, metrics, 1);
    Ok(ViewWriter::new(client))
}

/// Changes the patience of a profile; returns the time until the change is in force everywhere
/// but at `but`.
async fn change(
    cluster: &LocalCluster,
    writer: &ViewWriter,
    but: Option<&str>,
) -> Result<Duration, Box<dyn Error>> {
    let version = patience(cluster, writer).await?;
    Ok(wait(cluster, version, but).await)
}

async fn patience(cluster: &LocalCluster, writer: &ViewWriter) -> Result<Version, Box<dyn Error>> {
    let key = "profile/drafting";
    let row = cluster.platform.row(key);
    let mut profile: Profile = serde_json::from_str(&row.value.ok_or("no profile")?)?;
    profile.patience_ms += 1;
    commit(writer, key, row.version, &serde_json::to_string(&profile)?).await
}

/// Writes one row.
pub async fn commit(
    writer: &ViewWriter,
    key: &str,
    expected_version: Version,
    value: &str,
) -> Result<Version, Box<dyn Error>> {
    let change = ViewChange {
        rows: vec![RowChange {
            key: key.to_owned(),
            expected_version,
            value: Some(value.to_owned()),
        }],
        ..ViewChange::default()
    };
    match writer.commit(&change).await? {
        ChangeOutcome::Accepted(version) => Ok(version),
        ChangeOutcome::Conflict { key, .. } => Err(format!("conflict on {key}").into()),
    }
}

async fn wait(cluster: &LocalCluster, version: Version, but: Option<&str>) -> Duration {
    let start = Instant::now();
    loop {
        let mut behind = cluster::behind(cluster, version);
        if let Some(but) = but {
            behind.remove(but);
        }
        if behind.is_empty() {
            return start.elapsed();
        }
        if start.elapsed() > WAIT_MAX {
            println!("not in force after {WAIT_MAX:?} at {behind:?}");
            return WAIT_MAX;
        }
        Runtime::sleep(LOOK).await;
    }
}

fn newest(cluster: &LocalCluster) -> Version {
    cluster.platform.row(radishpin_protocol::HEAD_KEY).version
}

fn print(nodes: usize, agents: usize, case: &str, mut times: Vec<Duration>) {
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let longest = times.last().copied().unwrap_or_default();
    println!(
        "| {nodes} | {agents} | {case} | {} | {} ms | {} ms |",
        times.len(),
        median.as_millis(),
        longest.as_millis(),
    );
}

/// A writer for other measurements.
pub fn writer_for(cluster: &LocalCluster) -> Result<ViewWriter, Box<dyn Error>> {
    writer(cluster)
}
