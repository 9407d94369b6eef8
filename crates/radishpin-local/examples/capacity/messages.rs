//! Bytes of the messages between nodes and agents, as encoded; HTTP/2 and TCP come on top.

use super::view::ENDPOINTS;
use crate::Outcome;
use prost::Message;
use radishpin_platform::{HostEntry, HostState};
use radishpin_protocol::wire::{
    GrantState, GrantView, Load, ReplicaReport, ReplicaState, SyncReply, SyncRequest, Tier,
};

/// Nodes of the target size.
pub const NODES: usize = 410;

/// Prints the bytes of heartbeats without rows and with some, and of the host list.
pub fn measure() -> Outcome {
    println!("| message | rows | bytes |");
    println!("|---|---|---|");
    println!(
        "| SyncRequest, not full | 0 | {} |",
        request(0).encoded_len()
    );
    for grants in [1, 3, 10] {
        let bytes = request(grants).encoded_len();
        println!("| SyncRequest, full, grants | {grants} | {bytes} |");
    }
    for replicas in [0, 1, 3, 10] {
        let bytes = reply(replicas, 0).encoded_len();
        println!("| SyncReply, replicas | {replicas} | {bytes} |");
    }
    for adapters in [10, 30] {
        let bytes = reply(3, adapters).encoded_len();
        println!("| SyncReply, 3 replicas, adapters of each | {adapters} | {bytes} |");
    }
    let hosts = hosts();
    let bytes = serde_json::to_vec(&hosts)?.len();
    println!("| host list, hosts | {} | {bytes} |", hosts.len());
    Ok(())
}

/// The host list of the target size.
pub fn hosts() -> Vec<HostEntry> {
    (0..ENDPOINTS + NODES).map(host).collect()
}

fn host(index: usize) -> HostEntry {
    HostEntry {
        host: format!("host-{index}"),
        availability_zone: format!("zone-{}", index % 20),
        state: HostState::Live,
        peer_address: (index < NODES).then(|| "10.0.0.1:9000".to_owned()),
    }
}

fn request(grants: usize) -> SyncRequest {
    let grant = |index: usize| GrantView {
        model: format!("model-{}", 900 + index),
        size_mb: 8_000,
        state: GrantState::Held.into(),
        granted_version: 4_000_000,
        keep_loaded: false,
        idle_unload_ms: 600_000,
    };
    SyncRequest {
        node: "node-410".to_owned(),
        view_version: 4_000_000,
        full: grants > 0,
        grants: (0..grants).map(grant).collect(),
        leaving: false,
        registered_incarnation: 1_000,
        stop_in_ms: None,
    }
}

fn reply(replicas: usize, adapters: usize) -> SyncReply {
    let report = |index: usize| ReplicaReport {
        model: format!("model-{}", 900 + index),
        state: ReplicaState::Loaded.into(),
        tier: Tier::Disk.into(),
        adapters: (0..adapters)
            .map(|adapter| format!("adapter-{}", 18_000 + adapter))
            .collect(),
    };
    SyncReply {
        endpoint: "drafting-7399".to_owned(),
        incarnation: 1_000,
        view_version: 4_000_000,
        load: Some(Load {
            running: 12,
            queued: 3,
            concurrency: 16,
            memory_mb: 24_000,
            memory_used_mb: 16_000,
            service_time_ms: 17_000,
            load_time_ms: 4_000,
            leaving: false,
            loading: 1,
        }),
        replicas: (0..replicas).map(report).collect(),
        released: Vec::new(),
        memory_idle_mb: 4_000,
    }
}
