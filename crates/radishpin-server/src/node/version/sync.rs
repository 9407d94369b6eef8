//! Heartbeats to agents, which send the configuration and return the endpoints' state.

use crate::{
    clock::unix_now_ms,
    node::{Node, connection::AgentLink},
};
use radishpin_core::process::candidate_rank;
use radishpin_protocol::{
    GrantState,
    engine::stable_hash,
    prelude::*,
    wire::{self, GrantView, SyncRequest},
};
use radishpin_runtime::{Runtime, timeout};
use std::{sync::Arc, time::Instant};

/// Time between two rounds of heartbeats, unless one is requested earlier.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// Time without an answer after which a heartbeat counts as failed.
const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(1);
/// Shortest pause between two rounds of heartbeats.
const ROUND_PAUSE: Duration = Duration::from_millis(20);
/// Largest number of agents at which every node sends heartbeats to every agent.
const FULL_MESH_MAX_AGENTS: usize = 64;
/// Number of nodes that send heartbeats to each agent if there are more than
/// [`FULL_MESH_MAX_AGENTS`] agents.
const NODES_PER_AGENT: usize = 3;

impl Node {
    /// Sends heartbeats until the process ends, at most one at a time to each agent.
    pub(in crate::node) async fn send_heartbeats(self: Arc<Self>) {
        loop {
            let requested = self.heartbeats_requested.listen();
            for link in self.links().values() {
                if self.sends_heartbeats_to(link.endpoint()) && link.try_begin_sync() {
                    let node = Arc::clone(&self);
                    let link = Arc::clone(link);
                    self.runtime
                        .spawn_detached(async move { node.heartbeat(&link).await });
                }
            }
            Runtime::sleep(ROUND_PAUSE).await;
            timeout(HEARTBEAT_INTERVAL, requested).await;
        }
    }

    async fn heartbeat(&self, link: &AgentLink) {
        let request = self.sync_request(link);
        let reply = timeout(HEARTBEAT_TIMEOUT, link.client().sync(request)).await;
        let now = self.clock.now();
        match reply {
            Some(Ok(reply)) => {
                let reply = reply.into_inner();
                self.board
                    .record_agent_report(reply.clone(), Instant::now());
                if link.record_sync_reply(reply, now) {
                    self.routes_changed.notify(usize::MAX);
                    self.planning_requested.notify(1);
                }
            }
            Some(Err(_)) | None => {
                self.metrics.heartbeats_failed.inc();
                link.call_failed(now);
            }
        }
        link.end_sync();
    }

    /// Whether this node is among the nodes that send heartbeats to the endpoint's agent.
    pub(in crate::node) fn sends_heartbeats_to(&self, endpoint: &str) -> bool {
        if self.links().len() <= FULL_MESH_MAX_AGENTS {
            return true;
        }
        // The upper half of the hash suffices to distribute agents over nodes.
        let shard = (stable_hash(endpoint.as_bytes()) >> 32) as u32;
        let nodes = self.node_hosts.lock();
        let rank = candidate_rank(shard, &self.settings.host, &nodes);
        rank.is_none_or(|rank| rank < NODES_PER_AGENT)
    }

    fn sync_request(&self, link: &AgentLink) -> SyncRequest {
        let view = self.view();
        let preloads = self.preloads(&view, link.endpoint());
        let full = link.view_version() < view.version || link.replace_preloads(&preloads);
        let grants = if full {
            grant_views(&view, link.endpoint(), &preloads)
        } else {
            Vec::new()
        };
        let stop_in = view.time_until_stop(link.record(), unix_now_ms());
        let is_stopping = stop_in.is_some_and(|stop_in| stop_in <= self.settings.stop_lead);
        let stop_in_ms = stop_in.map(|stop_in| u64::try_from(stop_in.as_millis()));
        SyncRequest {
            node: self.settings.name.clone(),
            view_version: view.version,
            full,
            grants,
            leaving: is_stopping || self.is_host_leaving(link.record()),
            registered_incarnation: link.record().incarnation,
            stop_in_ms: stop_in_ms.and_then(Result::ok),
        }
    }
}

fn grant_views(view: &ClusterView, endpoint: &str, preloads: &BTreeSet<ModelId>) -> Vec<GrantView> {
    let agent_view = view.for_agent(endpoint);
    let grants = agent_view.grants.into_iter().map(|(model, grant)| {
        let state = match grant.grant.state {
            GrantState::Held => wire::GrantState::Held,
            GrantState::Revoking => wire::GrantState::Revoking,
        };
        let keep_loaded = grant.keep_loaded || preloads.contains(&model);
        GrantView {
            model,
            size_mb: grant.size_mb,
            state: state.into(),
            granted_version: grant.grant.since_version,
            keep_loaded,
            idle_unload_ms: u64::try_from(grant.idle_unload.as_millis()).unwrap_or(u64::MAX),
        }
    });
    grants.collect()
}
