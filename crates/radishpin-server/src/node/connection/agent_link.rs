//! RPC client for one agent, with the state that its endpoint last reported to this node.

use crate::{Token, rpc::Channel};
use parking_lot::Mutex;
use radishpin_core::{
    process::{MemberState, Membership},
    request::{Candidate, ReplicaReadiness, Tier, estimate_wait},
    version::Confirmation,
};
use radishpin_protocol::{
    EndpointRecord,
    prelude::*,
    wire::{self, Load, ReplicaReport, SyncReply, agent_client::AgentClient},
};
use radishpin_runtime::Runtime;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU32, Ordering},
    },
};

/// Largest message accepted from an agent.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Load time of a model by tier, until the agent reports one.
const LOAD_TIME_MEMORY: Duration = Duration::from_millis(500);
const LOAD_TIME_DISK: Duration = Duration::from_secs(2);
const LOAD_TIME_REMOTE: Duration = Duration::from_secs(4);

/// State of a model at the endpoint, as last reported by the agent.
#[derive(Clone, Copy, Debug)]
struct Replica {
    state: wire::ReplicaState,
    tier: wire::Tier,
    /// When this node first saw the current state.
    since: Duration,
}

/// State of the endpoint, as last reported by the agent.
#[derive(Debug, Default)]
struct AgentSnapshot {
    load: Load,
    load_received_at: Duration,
    /// Outstanding attempts of this node when `load` was received.
    outstanding_at_report: u32,
    incarnation: Incarnation,
    view_version: Version,
    replicas: BTreeMap<ModelId, Replica>,
    /// Models with revoked grants that the agent confirmed as absent.
    released: BTreeSet<ModelId>,
    memory_idle_mb: SizeMb,
}

/// Connection to one agent, and the state that it last reported.
#[derive(Debug)]
pub(in crate::node) struct AgentLink {
    endpoint: EndpointId,
    record: EndpointRecord,
    client: AgentClient<Channel>,
    members: Arc<Mutex<Membership>>,
    /// Attempts of this node in flight at the agent.
    outstanding: AtomicU32,
    /// Whether a heartbeat is in flight.
    syncing: AtomicBool,
    /// Models to load ahead of a planned stop, as set by the last `replace_preloads`.
    preloads: Mutex<BTreeSet<ModelId>>,
    snapshot: Mutex<AgentSnapshot>,
}

impl AgentLink {
    /// Creates a link that connects at the first call.
    pub(in crate::node) fn new(
        runtime: Runtime,
        endpoint: EndpointId,
        record: EndpointRecord,
        address: SocketAddr,
        token: &Token,
        members: Arc<Mutex<Membership>>,
    ) -> Self {
        let channel = Channel::new(runtime, address, token);
        let client = AgentClient::new(channel).max_decoding_message_size(MESSAGE_BYTES_MAX);
        let snapshot = AgentSnapshot {
            incarnation: record.incarnation,
            ..AgentSnapshot::default()
        };
        Self {
            endpoint,
            record,
            client,
            members,
            outstanding: AtomicU32::new(0),
            syncing: AtomicBool::new(false),
            preloads: Mutex::default(),
            snapshot: Mutex::new(snapshot),
        }
    }

    /// ID of the agent's endpoint.
    pub(in crate::node) const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// Endpoint record that the link was created from.
    pub(in crate::node) const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// Returns a client that shares the link's connection.
    pub(in crate::node) fn client(&self) -> AgentClient<Channel> {
        self.client.clone()
    }

    /// Incarnation of the agent, as last reported; before that, the one in the endpoint record.
    pub(in crate::node) fn incarnation(&self) -> Incarnation {
        self.snapshot.lock().incarnation
    }

    /// Version of the view that the agent uses, as last reported; 0 before the first report.
    pub(in crate::node) fn view_version(&self) -> Version {
        self.snapshot.lock().view_version
    }

    /// The agent's latest confirmation that models with revoked grants are absent.
    pub(in crate::node) fn confirmation(&self) -> Confirmation {
        let snapshot = self.snapshot.lock();
        Confirmation {
            incarnation: snapshot.incarnation,
            view_version: snapshot.view_version,
            released: snapshot.released.clone(),
        }
    }

    /// Marks a heartbeat as in flight; `false` if one already is.
    pub(in crate::node) fn try_begin_sync(&self) -> bool {
        !self.syncing.swap(true, Ordering::AcqRel)
    }

    /// Sets the models to load ahead of a planned stop; returns whether they changed, in which
    /// case the next heartbeat must be a full one.
    pub(in crate::node) fn replace_preloads(&self, wanted: &BTreeSet<ModelId>) -> bool {
        let mut last = self.preloads.lock();
        if *last == *wanted {
            return false;
        }
        last.clone_from(wanted);
        true
    }

    /// Whether the model is loaded at the endpoint or being loaded, by the last report and the
    /// loads that this node started since.
    pub(in crate::node) fn has_replica(&self, model: &str) -> bool {
        let snapshot = self.snapshot.lock();
        let state = snapshot.replicas.get(model).map(|replica| replica.state);
        matches!(
            state,
            Some(wire::ReplicaState::Loaded | wire::ReplicaState::Loading)
        )
    }

    /// Expected duration of a load of the model at the endpoint.
    pub(in crate::node) fn load_time(&self, model: &str) -> Duration {
        let snapshot = self.snapshot.lock();
        let tier = snapshot.replicas.get(model).map(|replica| replica.tier);
        snapshot.load_time(tier.unwrap_or(wire::Tier::Remote))
    }

    /// Marks the heartbeat as ended, so that the next one can be sent.
    pub(in crate::node) fn end_sync(&self) {
        self.syncing.store(false, Ordering::Release);
    }

    /// Load that the agent last reported; all zero before the first report.
    pub(in crate::node) fn load(&self) -> Load {
        self.snapshot.lock().load
    }

    /// Memory that the endpoint could free at once by unloading idle models, as last reported.
    pub(in crate::node) fn memory_idle_mb(&self) -> SizeMb {
        self.snapshot.lock().memory_idle_mb
    }

    /// Counts an attempt as outstanding; each call needs a later `count_ended`.
    pub(in crate::node) fn count_sent(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Stops counting an attempt as outstanding.
    pub(in crate::node) fn count_ended(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Records the load from a reply, which also counts as a successful call.
    pub(in crate::node) fn record_load(&self, load: Load, now: Duration) {
        let outstanding = self.outstanding.load(Ordering::Relaxed);
        let incarnation = {
            let mut snapshot = self.snapshot.lock();
            snapshot.load = load;
            snapshot.load_received_at = now;
            snapshot.outstanding_at_report = outstanding;
            snapshot.incarnation
        };
        let mut members = self.members.lock();
        members.call_succeeded(&self.endpoint, incarnation, load.leaving, now);
    }

    /// Records the reply to a heartbeat; returns whether anything changed that routing depends on.
    pub(in crate::node) fn record_sync_reply(&self, reply: SyncReply, now: Duration) -> bool {
        let mut snapshot = self.snapshot.lock();
        snapshot.incarnation = snapshot.incarnation.max(reply.incarnation);
        let released = reply.released.into_iter().collect();
        let replicas = snapshot.merge_replicas(reply.replicas, now);
        let changed = snapshot.view_version != reply.view_version
            || snapshot.released != released
            || !same_states(&snapshot.replicas, &replicas);
        snapshot.view_version = reply.view_version;
        snapshot.released = released;
        snapshot.memory_idle_mb = reply.memory_idle_mb;
        snapshot.replicas = replicas;
        drop(snapshot);
        if let Some(load) = reply.load {
            self.record_load(load, now);
        }
        changed
    }

    /// Records a failed call, which can make the endpoint suspected.
    pub(in crate::node) fn call_failed(&self, now: Duration) {
        self.members.lock().call_failed(&self.endpoint, now);
    }

    /// Marks an absent model as loading because this node is about to send a call that loads it.
    pub(in crate::node) fn record_load_start(&self, model: &str, now: Duration) {
        let mut snapshot = self.snapshot.lock();
        let replica = snapshot
            .replicas
            .entry(model.to_owned())
            .or_insert(Replica {
                state: wire::ReplicaState::Absent,
                tier: wire::Tier::Remote,
                since: now,
            });
        if replica.state == wire::ReplicaState::Absent {
            replica.state = wire::ReplicaState::Loading;
            replica.since = now;
        }
    }

    /// Describes the endpoint as a candidate for a call; `model` is `None` for a plain service.
    pub(in crate::node) fn candidate(
        &self,
        model: Option<&ModelId>,
        local_zone: &str,
        member_state: MemberState,
        now: Duration,
    ) -> Candidate {
        let outstanding_now = self.outstanding.load(Ordering::Relaxed);
        let snapshot = self.snapshot.lock();
        let reported_calls = snapshot.load.running + snapshot.load.queued;
        let sent_since = outstanding_now.saturating_sub(snapshot.outstanding_at_report);
        let replica = model.map(|model| snapshot.replicas.get(model).copied());
        let tier = replica
            .flatten()
            .map_or(wire::Tier::Remote, |replica| replica.tier);
        let load_time = snapshot.load_time(tier);
        Candidate {
            endpoint: self.endpoint.clone(),
            availability_zone_local: self.record.availability_zone == local_zone,
            replica: match replica {
                None => ReplicaReadiness::Loaded,
                Some(replica) => readiness(replica, tier, load_time, now),
            },
            outstanding: reported_calls
                .saturating_add(sent_since)
                .max(outstanding_now),
            concurrency: self.record.concurrency,
            service_time: Duration::from_millis(snapshot.load.service_time_ms),
            load_time,
            suspected: member_state == MemberState::Suspect,
            leaving: matches!(member_state, MemberState::Leaving | MemberState::Gone),
            affinity: false,
            report_age: now.saturating_sub(snapshot.load_received_at),
        }
    }

    /// Estimated time that a new call would wait at the endpoint, without a load of its model.
    pub(in crate::node) fn expected_wait(&self) -> Duration {
        estimate_wait(&self.candidate(None, "", MemberState::Usable, Duration::ZERO))
    }
}

impl AgentSnapshot {
    /// Converts reported replicas; those whose state has not changed keep their `since`.
    fn merge_replicas(
        &self,
        reports: Vec<ReplicaReport>,
        now: Duration,
    ) -> BTreeMap<ModelId, Replica> {
        let merged = reports.into_iter().map(|report| {
            let state = report.state();
            let tier = report.tier();
            let old = self.replicas.get(&report.model);
            let since = match old {
                Some(old) if old.state == state => old.since,
                _ => now,
            };
            (report.model, Replica { state, tier, since })
        });
        merged.collect()
    }

    fn load_time(&self, tier: wire::Tier) -> Duration {
        if self.load.load_time_ms > 0 {
            return Duration::from_millis(self.load.load_time_ms);
        }
        match tier {
            wire::Tier::Memory => LOAD_TIME_MEMORY,
            wire::Tier::Disk => LOAD_TIME_DISK,
            wire::Tier::Remote | wire::Tier::Unspecified => LOAD_TIME_REMOTE,
        }
    }
}

fn same_states(left: &BTreeMap<ModelId, Replica>, right: &BTreeMap<ModelId, Replica>) -> bool {
    let states = |replicas: &BTreeMap<ModelId, Replica>| -> Vec<_> {
        replicas
            .iter()
            .map(|(model, r)| (model.clone(), r.state))
            .collect()
    };
    states(left) == states(right)
}

fn readiness(
    replica: Option<Replica>,
    tier: wire::Tier,
    load_time: Duration,
    now: Duration,
) -> ReplicaReadiness {
    match replica {
        Some(replica) if replica.state == wire::ReplicaState::Loaded => ReplicaReadiness::Loaded,
        Some(replica) if replica.state == wire::ReplicaState::Loading => {
            let elapsed = now.saturating_sub(replica.since);
            ReplicaReadiness::Loading {
                remaining: load_time.saturating_sub(elapsed),
            }
        }
        _ => ReplicaReadiness::Granted {
            tier: match tier {
                wire::Tier::Memory => Tier::Memory,
                wire::Tier::Disk => Tier::Disk,
                wire::Tier::Remote | wire::Tier::Unspecified => Tier::Remote,
            },
        },
    }
}
