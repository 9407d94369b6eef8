//! Time in which a node finds out which agents it sends heartbeats to.

use super::{messages::NODES, view::ENDPOINTS};
use crate::Outcome;
use radishpin_core::process::candidate_rank;
use radishpin_protocol::{engine::stable_hash, prelude::*};
use std::time::Instant;

/// Sizes as shares of the target size: one in so many.
const SHARES: [usize; 3] = [4, 2, 1];
/// Nodes that send heartbeats to one agent, as in the node.
const NODES_PER_AGENT: usize = 3;

/// Prints the time of one round over all agents, as the node's heartbeats make it.
pub fn measure() -> Outcome {
    println!("| nodes | agents | one round | agents of the node |");
    println!("|---|---|---|---|");
    for share in SHARES {
        let nodes: BTreeSet<NodeId> = (0..NODES / share).map(|i| format!("host-{i}")).collect();
        let agents: Vec<EndpointId> = (0..ENDPOINTS / share)
            .map(|index| format!("drafting-{index}"))
            .collect();
        let start = Instant::now();
        let own = agents.iter().filter(|agent| is_own(agent, &nodes)).count();
        let took = start.elapsed();
        println!("| {} | {} | {took:?} | {own} |", nodes.len(), agents.len());
    }
    Ok(())
}

fn is_own(agent: &str, nodes: &BTreeSet<NodeId>) -> bool {
    let shard = (stable_hash(agent.as_bytes()) >> 32) as u32;
    let rank = candidate_rank(shard, "host-7", nodes);
    rank.is_none_or(|rank| rank < NODES_PER_AGENT)
}
