//! Cache of the latest reports of agents and versions of other nodes, for the status report.

use super::document::{EndpointReport, ProcessKind, ProcessStatus, ReplicaStatus};
use parking_lot::Mutex;
use radishpin_protocol::{EndpointId, NodeId, Version, wire};
use std::{collections::BTreeMap, time::Instant};

/// Latest reports of agents and versions of other nodes, written by the loops that receive them.
#[derive(Debug, Default)]
pub struct StatusCache {
    agents: Mutex<BTreeMap<EndpointId, Timestamped<wire::SyncReply>>>,
    nodes: Mutex<BTreeMap<NodeId, Timestamped<Version>>>,
}

#[derive(Debug)]
struct Timestamped<T> {
    received_at: Instant,
    value: T,
}

impl<T> Timestamped<T> {
    fn age_ms(&self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.received_at);
        u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
    }
}

impl StatusCache {
    /// Stores an agent's report, replacing the previous one of its endpoint.
    pub fn record_agent_report(&self, report: wire::SyncReply, now: Instant) {
        let endpoint = report.endpoint.clone();
        let entry = Timestamped {
            received_at: now,
            value: report,
        };
        self.agents.lock().insert(endpoint, entry);
    }

    /// Stores the version of the view that another node uses, replacing the previous one.
    pub fn record_node_version(&self, node: NodeId, version: Version, now: Instant) {
        let entry = Timestamped {
            received_at: now,
            value: version,
        };
        self.nodes.lock().insert(node, entry);
    }

    /// Removes the reports of endpoints for which `keep` is false.
    pub fn retain_agent_reports(&self, keep: impl Fn(&str) -> bool) {
        self.agents.lock().retain(|endpoint, _| keep(endpoint));
    }

    /// The latest report of an endpoint as it was received; `None` if there is none.
    pub(super) fn last_report(&self, endpoint: &str) -> Option<wire::SyncReply> {
        let agents = self.agents.lock();
        Some(agents.get(endpoint)?.value.clone())
    }

    /// Versions of the view at other processes: nodes first, each group sorted by name.
    pub(super) fn processes(&self, now: Instant) -> Vec<ProcessStatus> {
        let mut processes: Vec<ProcessStatus> = self
            .nodes
            .lock()
            .iter()
            .map(|(name, entry)| ProcessStatus {
                kind: ProcessKind::Node,
                name: name.clone(),
                version: entry.value,
                heard_ms_ago: entry.age_ms(now),
            })
            .collect();
        let agents = self.agents.lock();
        processes.extend(agents.iter().map(|(name, entry)| ProcessStatus {
            kind: ProcessKind::Agent,
            name: name.clone(),
            version: entry.value.view_version,
            heard_ms_ago: entry.age_ms(now),
        }));
        processes
    }

    /// The latest report of an endpoint in the form of the status report.
    pub(super) fn report(&self, endpoint: &str, now: Instant) -> Option<EndpointReport> {
        let agents = self.agents.lock();
        let entry = agents.get(endpoint)?;
        let load = entry.value.load.unwrap_or_default();
        Some(EndpointReport {
            heard_ms_ago: entry.age_ms(now),
            leaving: load.leaving,
            running: load.running,
            queued: load.queued,
            memory_used_mb: load.memory_used_mb,
            replicas: entry.value.replicas.iter().map(replica_status).collect(),
        })
    }
}

fn replica_status(report: &wire::ReplicaReport) -> ReplicaStatus {
    let state = match report.state() {
        wire::ReplicaState::Unspecified => "unspecified",
        wire::ReplicaState::Absent => "absent",
        wire::ReplicaState::Loading => "loading",
        wire::ReplicaState::Loaded => "loaded",
        wire::ReplicaState::Unloading => "unloading",
        wire::ReplicaState::Uncertain => "uncertain",
    };
    ReplicaStatus {
        model: report.model.clone(),
        state: state.to_owned(),
        adapters: report.adapters.clone(),
    }
}
