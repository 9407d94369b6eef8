//! Time until grants have gone after an operator lowered the count of replicas.

use super::{cluster, spread};
use crate::Outcome;
use radishpin_local::LocalCluster;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::time::Instant;

/// Longest wait.
const WAIT_MAX: Duration = Duration::from_secs(30);
/// Time between two looks.
const LOOK: Duration = Duration::from_millis(20);

/// Prints when half and all of the models had no more grants than decided.
pub fn measure(nodes: usize, agents: usize) -> Outcome {
    smol::block_on(async {
        let cluster = cluster::start(nodes, agents).await?;
        let writer = spread::writer_for(&cluster)?;
        let key = "profile/drafting";
        let row = cluster.platform.row(key);
        let mut profile: Profile = serde_json::from_str(&row.value.ok_or("no profile")?)?;
        profile.max_replicas = 1;
        let value = serde_json::to_string(&profile)?;
        spread::commit(&writer, key, row.version, &value).await?;
        let start = Instant::now();
        let models = cluster.plan.models.len();
        let mut half = None;
        while start.elapsed() < WAIT_MAX && above(&cluster) > 0 {
            if half.is_none() && above(&cluster) * 2 <= models {
                half = Some(start.elapsed());
            }
            Runtime::sleep(LOOK).await;
        }
        println!(
            "| nodes | agents | models | half lowered after | end | still above their count |"
        );
        println!("|---|---|---|---|---|---|");
        let above = above(&cluster);
        let end = start.elapsed();
        println!("| {nodes} | {agents} | {models} | {half:?} | {end:?} | {above} |");
        cluster::stop(cluster).await?;
        Ok(())
    })
}

/// Models with more than one grant, by the newest view of a node.
fn above(cluster: &LocalCluster) -> usize {
    let nodes = cluster.nodes.values();
    let views = nodes.map(|local| local.running.node.current_view());
    let newest = views.max_by_key(|view| view.version);
    newest.map_or(0, |view| {
        let models = view.models.values();
        models.filter(|model| model.grants.len() > 1).count()
    })
}
