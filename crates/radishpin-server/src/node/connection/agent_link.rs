//! The link to one agent: its connection and what this node knows of its endpoint.

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

/// Largest message from an agent.
const MESSAGE_BYTES_MAX: usize = 16 * 1024 * 1024;
/// Load time assumed before one was observed, by tier.
const LOAD_TIME_MEMORY: Duration = Duration::from_millis(500);
const LOAD_TIME_DISK: Duration = Duration::from_secs(2);
const LOAD_TIME_REMOTE: Duration = Duration::from_secs(4);

/// What the agent last said of a model.
#[derive(Clone, Copy, Debug)]
struct Replica {
    state: wire::ReplicaState,
    tier: wire::Tier,
    since: Duration,
}

#[derive(Debug, Default)]
struct Known {
    load: Load,
    load_at: Duration,
    /// Attempts of this node that were outstanding when `load` was told.
    outstanding_then: u32,
    incarnation: Incarnation,
    view_version: Version,
    replicas: BTreeMap<ModelId, Replica>,
    released: BTreeSet<ModelId>,
    memory_idle_mb: SizeMb,
}

/// The link to one agent.
#[derive(Debug)]
pub(in crate::node) struct AgentLink {
    endpoint: EndpointId,
    record: EndpointRecord,
    client: AgentClient<Channel>,
    members: Arc<Mutex<Membership>>,
    outstanding: AtomicU32,
    syncing: AtomicBool,
    /// Models that the last full heartbeat asked to be loaded ahead of a stop.
    preloads: Mutex<BTreeSet<ModelId>>,
    known: Mutex<Known>,
}

impl AgentLink {
    /// A link that connects at its first call.
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
        let known = Known {
            incarnation: record.incarnation,
            ..Known::default()
        };
        Self {
            endpoint,
            record,
            client,
            members,
            outstanding: AtomicU32::new(0),
            syncing: AtomicBool::new(false),
            preloads: Mutex::default(),
            known: Mutex::new(known),
        }
    }

    /// Name of the endpoint.
    pub(in crate::node) const fn endpoint(&self) -> &EndpointId {
        &self.endpoint
    }

    /// The record that the link was made from.
    pub(in crate::node) const fn record(&self) -> &EndpointRecord {
        &self.record
    }

    /// A client over the link's connection.
    pub(in crate::node) fn client(&self) -> AgentClient<Channel> {
        self.client.clone()
    }

    /// Life of the agent, as last heard.
    pub(in crate::node) fn incarnation(&self) -> Incarnation {
        self.known.lock().incarnation
    }

    /// Version of the view in force at the agent, as last heard.
    pub(in crate::node) fn view_version(&self) -> Version {
        self.known.lock().view_version
    }

    /// The agent's newest statement on revoked models.
    pub(in crate::node) fn confirmation(&self) -> Confirmation {
        let known = self.known.lock();
        Confirmation {
            incarnation: known.incarnation,
            view_version: known.view_version,
            released: known.released.clone(),
        }
    }

    /// Claims the next heartbeat; `false` while one is under way.
    pub(in crate::node) fn try_begin_sync(&self) -> bool {
        !self.syncing.swap(true, Ordering::AcqRel)
    }

    /// Takes what the next full heartbeat asks to be loaded; `true` where it differs.
    pub(in crate::node) fn replace_preloads(&self, wanted: &BTreeSet<ModelId>) -> bool {
        let mut last = self.preloads.lock();
        if *last == *wanted {
            return false;
        }
        last.clone_from(wanted);
        true
    }

    /// Whether the model is loaded there or is being loaded, as last heard.
    pub(in crate::node) fn has_replica(&self, model: &str) -> bool {
        let known = self.known.lock();
        let state = known.replicas.get(model).map(|replica| replica.state);
        matches!(
            state,
            Some(wire::ReplicaState::Loaded | wire::ReplicaState::Loading)
        )
    }

    /// Expected time of a load of the model there.
    pub(in crate::node) fn load_time(&self, model: &str) -> Duration {
        let known = self.known.lock();
        let tier = known.replicas.get(model).map(|replica| replica.tier);
        known.load_time(tier.unwrap_or(wire::Tier::Remote))
    }

    /// Lets the next heartbeat be sent.
    pub(in crate::node) fn end_sync(&self) {
        self.syncing.store(false, Ordering::Release);
    }

    /// Last load told by the agent.
    pub(in crate::node) fn load(&self) -> Load {
        self.known.lock().load
    }

    /// Memory that unloads there could free at once, as last heard.
    pub(in crate::node) fn memory_idle_mb(&self) -> SizeMb {
        self.known.lock().memory_idle_mb
    }

    /// Counts an attempt that was sent.
    pub(in crate::node) fn count_sent(&self) {
        self.outstanding.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts an attempt that ended.
    pub(in crate::node) fn count_ended(&self) {
        self.outstanding.fetch_sub(1, Ordering::Relaxed);
    }

    /// Takes the load that a reply carried.
    pub(in crate::node) fn record_load(&self, load: Load, now: Duration) {
        let outstanding = self.outstanding.load(Ordering::Relaxed);
        let incarnation = {
            let mut known = self.known.lock();
            known.load = load;
            known.load_at = now;
            known.outstanding_then = outstanding;
            known.incarnation
        };
        let mut members = self.members.lock();
        members.call_succeeded(&self.endpoint, incarnation, load.leaving, now);
    }

    /// Takes a heartbeat's answer; `true` where it tells something that routes depend on.
    pub(in crate::node) fn record_sync_reply(&self, reply: SyncReply, now: Duration) -> bool {
        let mut known = self.known.lock();
        known.incarnation = known.incarnation.max(reply.incarnation);
        let released = reply.released.into_iter().collect();
        let replicas = known.merge(reply.replicas, now);
        let changed = known.view_version != reply.view_version
            || known.released != released
            || !same_states(&known.replicas, &replicas);
        known.view_version = reply.view_version;
        known.released = released;
        known.memory_idle_mb = reply.memory_idle_mb;
        known.replicas = replicas;
        drop(known);
        if let Some(load) = reply.load {
            self.record_load(load, now);
        }
        changed
    }

    /// Notes that a call failed.
    pub(in crate::node) fn call_failed(&self, now: Duration) {
        self.members.lock().call_failed(&self.endpoint, now);
    }

    /// Notes that this node is about to start a load there.
    pub(in crate::node) fn record_load_start(&self, model: &str, now: Duration) {
        let mut known = self.known.lock();
        let replica = known.replicas.entry(model.to_owned()).or_insert(Replica {
            state: wire::ReplicaState::Absent,
            tier: wire::Tier::Remote,
            since: now,
        });
        if replica.state == wire::ReplicaState::Absent {
            replica.state = wire::ReplicaState::Loading;
            replica.since = now;
        }
    }

    /// The endpoint as a candidate for a call; `model` is `None` for a plain service.
    pub(in crate::node) fn candidate(
        &self,
        model: Option<&ModelId>,
        local_zone: &str,
        standing: MemberState,
        now: Duration,
    ) -> Candidate {
        let outstanding_now = self.outstanding.load(Ordering::Relaxed);
        let known = self.known.lock();
        let reported = known.load.running + known.load.queued;
        let sent_since = outstanding_now.saturating_sub(known.outstanding_then);
        let replica = model.map(|model| known.replicas.get(model).copied());
        let tier = replica
            .flatten()
            .map_or(wire::Tier::Remote, |replica| replica.tier);
        let load_time = known.load_time(tier);
        Candidate {
            endpoint: self.endpoint.clone(),
            availability_zone_local: self.record.availability_zone == local_zone,
            replica: match replica {
                None => ReplicaReadiness::Loaded,
                Some(replica) => readiness(replica, tier, load_time, now),
            },
            outstanding: reported.saturating_add(sent_since).max(outstanding_now),
            concurrency: self.record.concurrency,
            service_time: Duration::from_millis(known.load.service_time_ms),
            load_time,
            suspected: standing == MemberState::Suspect,
            leaving: matches!(standing, MemberState::Leaving | MemberState::Gone),
            affinity: false,
            report_age: now.saturating_sub(known.load_at),
        }
    }

    /// Time that a new call would wait here, as far as this node knows.
    pub(in crate::node) fn expected_wait(&self) -> Duration {
        estimate_wait(&self.candidate(None, "", MemberState::Usable, Duration::ZERO))
    }
}

impl Known {
    /// The reported replicas, each with the time since when its state stands.
    fn merge(&self, reports: Vec<ReplicaReport>, now: Duration) -> BTreeMap<ModelId, Replica> {
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

fn same_states(one: &BTreeMap<ModelId, Replica>, other: &BTreeMap<ModelId, Replica>) -> bool {
    let states = |replicas: &BTreeMap<ModelId, Replica>| -> Vec<_> {
        replicas
            .iter()
            .map(|(model, r)| (model.clone(), r.state))
            .collect()
    };
    states(one) == states(other)
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
            let spent = now.saturating_sub(replica.since);
            ReplicaReadiness::Loading {
                remaining: load_time.saturating_sub(spent),
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
