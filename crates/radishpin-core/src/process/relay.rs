//! Relays of statuses and reports: one sidecar of a group follows the others for all gateways.
//!
//! Where a fleet has many engines, a gateway does not follow each sidecar itself. It divides the listed
//! engines into groups, as every gateway with the same list does, and follows one sidecar of each group.

use super::{EndpointEntry, GatewayReport, Status, choose_holders};
use radishpin_protocol::{engine::stable_hash, prelude::*};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Most engines of a group.
pub const GROUP_SIZE_MAX: usize = 48;
/// Sidecars of a group that are its relays, each for a part of the gateways.
pub const RELAYS: usize = 3;
/// Sidecars of a group that may be relays; those beyond [`RELAYS`] stand in for ones that do not answer.
pub const RELAY_CANDIDATES: usize = 8;
/// Engines up to which a gateway follows each sidecar itself.
pub const DIRECT_LINKS_MAX: usize = 64;
/// Engines from which on a gateway that used relays follows each sidecar itself again.
pub const DIRECT_LINKS_AGAIN: usize = 48;
/// Time after the last poll of any gateway at which a relay stops following a sidecar.
pub const FOLLOW_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which gateways get a whole status again if only its load and its rates changed.
const STATUS_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Time between two reports of a gateway to a sidecar whose status did not change.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(1_500);

/// A group of engines: those of one availability zone, in one of several equal parts of its hash space.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct GroupKey {
    /// Zone of the engines.
    pub availability_zone: AvailabilityZone,
    /// Number of parts that the zone is divided into, a power of two.
    pub parts: usize,
    /// Number of this part, from 0.
    pub part: usize,
}

/// The engines of a group, by the addresses of their sidecars.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Group {
    /// Each sidecar with the endpoint that it stands beside.
    pub members: BTreeMap<SocketAddr, EndpointId>,
    /// Sidecars that may be the relay, the first choice first.
    pub candidates: Vec<SocketAddr>,
}

/// Divides engines into groups; depends on the list alone.
pub fn groups<'a>(
    engines: impl IntoIterator<Item = (&'a EndpointId, &'a EndpointEntry)>,
    sidecar_port: u16,
) -> BTreeMap<GroupKey, Group> {
    let mut zones: BTreeMap<&AvailabilityZone, BTreeMap<SocketAddr, EndpointId>> = BTreeMap::new();
    for (id, entry) in engines {
        let sidecar = SocketAddr::new(entry.address.ip(), sidecar_port);
        let zone = zones.entry(&entry.zone).or_default();
        zone.insert(sidecar, id.clone());
    }
    let mut groups: BTreeMap<GroupKey, Group> = BTreeMap::new();
    for (zone, sidecars) in zones {
        let parts = sidecars.len().div_ceil(GROUP_SIZE_MAX).next_power_of_two();
        for (sidecar, id) in sidecars {
            let hash = stable_hash(sidecar.to_string().as_bytes()) as usize;
            let key = GroupKey {
                availability_zone: zone.clone(),
                parts,
                part: hash % parts,
            };
            let group = groups.entry(key).or_default();
            group.members.insert(sidecar, id);
        }
    }
    for (key, group) in &mut groups {
        let name = format!("{}/{}/{}", key.availability_zone, key.parts, key.part);
        let sidecars = group.members.keys().map(|sidecar| (*sidecar, *sidecar));
        group.candidates = choose_holders(&name, sidecars, RELAY_CANDIDATES);
    }
    groups
}

/// The part of a status that changes with each request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StatusLoad {
    /// Incarnation of the sidecar whose status this is a part of.
    #[serde(default)]
    pub incarnation: Incarnation,
    /// Version of that status.
    #[serde(default)]
    pub version: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// Estimated time until one more load could start, in milliseconds.
    pub queue_ms: u64,
    /// Estimated cost of making room for one more model, in milliseconds.
    pub room_ms: u64,
    /// Estimated time until the load in progress ends, in milliseconds.
    pub loading_ms: u64,
}

impl StatusLoad {
    /// That part of a status.
    pub fn of(status: &Status) -> Self {
        let loading = status.loading.as_ref();
        Self {
            incarnation: status.incarnation,
            version: status.version,
            running: status.running,
            waiting: status.waiting,
            queue_ms: status.queue_ms,
            room_ms: status.room_ms,
            loading_ms: loading.map_or(0, |loading| loading.remaining_ms),
        }
    }

    /// Whether it is a part of this status, and not of an older or a newer one.
    pub fn belongs_to(&self, status: &Status) -> bool {
        (self.incarnation, self.version) == (status.incarnation, status.version)
    }

    /// Replaces that part of a status.
    pub fn apply(self, status: &mut Status) {
        status.running = self.running;
        status.waiting = self.waiting;
        status.queue_ms = self.queue_ms;
        status.room_ms = self.room_ms;
        if let Some(loading) = &mut status.loading {
            loading.remaining_ms = self.loading_ms;
        }
    }
}

/// What a relay knows of one sidecar.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub enum RelayedState {
    /// It answers with this status.
    Up(Box<Status>),
    /// It answers with the last status but for this load.
    UpWithLoad(StatusLoad),
    /// Its connection was closed or refused.
    Disconnected,
    /// It does not answer in time.
    TimedOut,
}

/// A gateway's poll of a relay.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RelayPoll {
    /// Incarnation of the relay that answered last; 0 before the first answer.
    pub seen_incarnation: Incarnation,
    /// Version of that answer.
    pub seen_version: u64,
    /// The sidecars of the group.
    pub members: Vec<SocketAddr>,
    /// Those of them whose status the gateway lacks, as it dropped it or never got it.
    #[serde(default)]
    pub unknown: BTreeSet<SocketAddr>,
    /// Reports to some of them.
    pub reports: Vec<(SocketAddr, GatewayReport)>,
}

/// A relay's answer to a [`RelayPoll`].
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RelayAnswer {
    /// Incarnation of the relay.
    pub incarnation: Incarnation,
    /// Version of this answer.
    pub version: u64,
    /// What changed since the version that the gateway had seen.
    pub changed: Vec<(SocketAddr, RelayedState)>,
}

/// Statuses and reports that pass through a relay.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    incarnation: Incarnation,
    version: u64,
    members: BTreeMap<SocketAddr, Member>,
}

#[derive(Clone, Debug, Default)]
struct Member {
    state: Option<RelayedState>,
    /// Version of the relay with which more than the load changed.
    changed: u64,
    /// Version of the relay with which the load changed.
    load_changed: u64,
    /// When the whole state was last given a version.
    renewed_at: Duration,
    polled_at: Duration,
    /// Reports that the member has not got yet, the newest of each gateway.
    reports: BTreeMap<NodeId, GatewayReport>,
}

impl Relay {
    /// Creates a relay that follows nobody.
    pub fn new(incarnation: Incarnation) -> Self {
        Self {
            incarnation,
            ..Self::default()
        }
    }

    /// Takes a gateway's poll; returns the sidecars that are to be followed from now on.
    pub fn record_poll(&mut self, poll: &RelayPoll, now: Duration) -> Vec<SocketAddr> {
        let mut new = Vec::new();
        for sidecar in &poll.members {
            let member = self.members.entry(*sidecar).or_insert_with(|| {
                new.push(*sidecar);
                Member::default()
            });
            member.polled_at = now;
        }
        for (sidecar, report) in &poll.reports {
            if let Some(member) = self.members.get_mut(sidecar) {
                member.record_report(report);
            }
        }
        new
    }

    /// Whether a sidecar is still to be followed; if not, it is forgotten.
    pub fn is_followed(&mut self, sidecar: SocketAddr, now: Duration) -> bool {
        let Some(member) = self.members.get(&sidecar) else {
            return false;
        };
        let followed = now.saturating_sub(member.polled_at) < FOLLOW_TIMEOUT;
        if !followed {
            self.members.remove(&sidecar);
        }
        followed
    }

    /// Takes the reports that wait for a sidecar.
    pub fn take_reports(&mut self, sidecar: SocketAddr) -> Vec<GatewayReport> {
        let member = self.members.get_mut(&sidecar);
        let reports = member.map(|member| std::mem::take(&mut member.reports));
        reports.unwrap_or_default().into_values().collect()
    }

    /// Whether reports wait for a sidecar.
    pub fn has_reports(&self, sidecar: SocketAddr) -> bool {
        let member = self.members.get(&sidecar);
        member.is_some_and(|member| !member.reports.is_empty())
    }

    /// Puts reports back that did not reach a sidecar, unless there are newer ones.
    pub fn return_reports(&mut self, sidecar: SocketAddr, reports: &[GatewayReport]) {
        if let Some(member) = self.members.get_mut(&sidecar) {
            for report in reports {
                member.record_report(report);
            }
        }
    }

    /// Records the state of a sidecar that is followed; returns whether it is another one.
    pub fn record_state(
        &mut self,
        sidecar: SocketAddr,
        state: RelayedState,
        now: Duration,
    ) -> bool {
        let Some(member) = self.members.get_mut(&sidecar) else {
            return false;
        };
        if member.state.as_ref() == Some(&state) {
            return false;
        }
        self.version += 1;
        member.load_changed = self.version;
        let is_stale = now.saturating_sub(member.renewed_at) >= STATUS_RENEWAL_INTERVAL;
        if is_stale || !member.differs_by_load_alone(&state) {
            member.changed = self.version;
            member.renewed_at = now;
        }
        member.state = Some(state);
        true
    }

    /// The answer to a poll; `None` if it contains nothing new.
    pub fn answer(&self, poll: &RelayPoll) -> Option<RelayAnswer> {
        let seen = match poll.seen_incarnation == self.incarnation {
            true => poll.seen_version,
            false => 0,
        };
        let changed = poll.members.iter().filter_map(|sidecar| {
            let member = self.members.get(sidecar)?;
            let state = match &member.state {
                Some(up @ RelayedState::Up(_)) if poll.unknown.contains(sidecar) => up.clone(),
                _ => member.state_since(seen)?,
            };
            Some((*sidecar, state))
        });
        let changed: Vec<_> = changed.collect();
        (!changed.is_empty()).then(|| self.answer_with(changed))
    }

    /// The answer to a poll whose wait ends, even if it contains nothing new.
    pub fn answer_now(&self, poll: &RelayPoll) -> RelayAnswer {
        self.answer(poll)
            .unwrap_or_else(|| self.answer_with(Vec::new()))
    }

    fn answer_with(&self, changed: Vec<(SocketAddr, RelayedState)>) -> RelayAnswer {
        RelayAnswer {
            incarnation: self.incarnation,
            version: self.version,
            changed,
        }
    }
}

impl Member {
    fn differs_by_load_alone(&self, state: &RelayedState) -> bool {
        match (&self.state, state) {
            (Some(RelayedState::Up(known)), RelayedState::Up(status)) => {
                known.incarnation == status.incarnation && known.version == status.version
            }
            _ => false,
        }
    }

    /// What changed after a version of the relay.
    fn state_since(&self, seen: u64) -> Option<RelayedState> {
        if self.changed > seen {
            return self.state.clone();
        }
        match &self.state {
            Some(RelayedState::Up(status)) if self.load_changed > seen => {
                Some(RelayedState::UpWithLoad(StatusLoad::of(status)))
            }
            _ => None,
        }
    }

    fn record_report(&mut self, report: &GatewayReport) {
        let known = self.reports.get(&report.gateway);
        let is_older = known.is_some_and(|known| {
            known.incarnation == report.incarnation && known.sequence >= report.sequence
        });
        if !is_older {
            self.reports.insert(report.gateway.clone(), report.clone());
        }
    }
}
