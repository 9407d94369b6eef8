//! Endpoint selection: which endpoint a node sends an attempt to.

use crate::request::estimate_wait;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Latency that a call to another availability zone adds.
const CROSS_ZONE_LATENCY: Duration = Duration::from_millis(2);

/// Age up to which a load report is trusted to show whether an endpoint has a free slot.
const REPORT_AGE_MAX: Duration = Duration::from_secs(60);

/// The fastest storage tier that holds a model's weights for an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Tier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
    /// Only in the remote weight store.
    Remote,
}

impl Tier {
    /// Name in log lines.
    pub fn name(self) -> &'static str {
        match self {
            Self::Memory => "memory",
            Self::Disk => "disk",
            Self::Remote => "store",
        }
    }
}

/// How soon a replica can serve; decides which candidates are preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplicaReadiness {
    /// The replica is loaded and serves calls.
    Loaded,
    /// A load is in progress.
    Loading {
        /// Estimated time until the load completes.
        remaining: Duration,
    },
    /// The endpoint holds a grant for the model but has not started to load it.
    Granted {
        /// Where the endpoint would load the weights from.
        tier: Tier,
    },
}

/// An endpoint that an attempt may be sent to, with what the node knows about it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// ID of the endpoint; also hashed to choose among grants.
    pub endpoint: EndpointId,
    /// Whether it is in the node's availability zone.
    pub availability_zone_local: bool,
    /// Readiness of the model's replica; `Loaded` for a service without models.
    pub replica: ReplicaReadiness,
    /// Calls running or queued there: as last reported, plus those this node has sent since.
    pub outstanding: u32,
    /// Calls that it runs in parallel.
    pub concurrency: u32,
    /// Smoothed time that one call occupies a slot.
    pub service_time: Duration,
    /// Expected duration of a load here at the current utilisation of the weight store.
    pub load_time: Duration,
    /// Whether recent calls to it failed; it is chosen only if no other candidate is left.
    pub suspected: bool,
    /// Whether any source says that it is draining or gone; such an endpoint is never chosen.
    pub leaving: bool,
    /// Whether its cache may hold a prefix of the request's prompt.
    pub affinity: bool,
    /// Age of the report behind `outstanding`; [`Duration::MAX`] if there was none.
    pub report_age: Duration,
}

/// Indices of the replicas of a model that a node considers, at most `limit`.
///
/// The limit keeps the load data of a node small and recent. `node_rank` is the node's index among
/// the live nodes sorted by name. Successive nodes take successive replicas, so every replica is
/// considered by equally many nodes, give or take one.
pub fn replica_subset(
    replicas: usize,
    limit: usize,
    node_rank: usize,
) -> impl Iterator<Item = usize> {
    let count = replicas.min(limit);
    let first = node_rank * count;
    (0..count).map(move |index| (first + index) % replicas)
}

/// Chooses the endpoint for an attempt; `None` if every candidate is leaving.
///
/// Endpoints that are not suspected come first. Among them the classes of readiness are, in order
/// of preference: loaded, loading, and granted by storage tier. A later class wins only if its
/// estimated wait is shorter than in the classes before it. Within the loaded and the loading
/// class, the endpoint with the shorter wait of two random choices is taken. Among grants of one
/// tier all nodes choose the same endpoint, so that a burst of requests starts one load.
pub fn choose_endpoint(candidates: &[Candidate], random: u64) -> Option<usize> {
    let unsuspected = usable(candidates, false);
    let pool = if unsuspected.is_empty() {
        usable(candidates, true)
    } else {
        unsuspected
    };
    let mut picks =
        (0..=CLASS_LAST).filter_map(|class| pick_in_class(candidates, &pool, class, random));
    let first = picks.next()?;
    Some(picks.fold(first, |best, next| {
        let sooner = estimate_wait(&candidates[next]) < estimate_wait(&candidates[best]);
        if sooner { next } else { best }
    }))
}

const CLASS_LOADED: u8 = 0;
const CLASS_LOADING: u8 = 1;
const CLASS_LAST: u8 = 4;

/// Class of readiness; lower classes are preferred.
fn class(replica: ReplicaReadiness) -> u8 {
    match replica {
        ReplicaReadiness::Loaded => CLASS_LOADED,
        ReplicaReadiness::Loading { .. } => CLASS_LOADING,
        ReplicaReadiness::Granted { tier: Tier::Memory } => 2,
        ReplicaReadiness::Granted { tier: Tier::Disk } => 3,
        ReplicaReadiness::Granted { tier: Tier::Remote } => CLASS_LAST,
    }
}

/// Indices of the candidates that are not leaving and are suspected or not, as given.
fn usable(candidates: &[Candidate], suspected: bool) -> Vec<usize> {
    let fits = |c: &Candidate| !c.leaving && c.suspected == suspected;
    (0..candidates.len())
        .filter(|i| fits(&candidates[*i]))
        .collect()
}

fn pick_in_class(
    candidates: &[Candidate],
    pool: &[usize],
    wanted: u8,
    random: u64,
) -> Option<usize> {
    let members: Vec<usize> = pool
        .iter()
        .copied()
        .filter(|i| class(candidates[*i].replica) == wanted)
        .collect();
    if wanted <= CLASS_LOADING {
        pick_serving(candidates, &members, random)
    } else {
        pick_grant(candidates, &members)
    }
}

/// Power of two choices, with a preference for the local zone and for cached prefixes.
///
/// Neither preference may make the call wait longer.
fn pick_serving(candidates: &[Candidate], members: &[usize], random: u64) -> Option<usize> {
    let local_members: Vec<usize> = members
        .iter()
        .copied()
        .filter(|i| candidates[*i].availability_zone_local)
        .collect();
    let any_pick = two_choices(candidates, members, random)?;
    let local_pick = two_choices(candidates, &local_members, random);
    let best = local_pick
        .filter(|local_pick| local_is_no_slower(&candidates[*local_pick], &candidates[any_pick]))
        .unwrap_or(any_pick);
    let limit = estimate_wait(&candidates[best]);
    let with_affinity = members
        .iter()
        .copied()
        .filter(|i| candidates[*i].affinity && estimate_wait(&candidates[*i]) <= limit)
        .min_by_key(|i| relative_load(&candidates[*i]));
    Some(with_affinity.unwrap_or(best))
}

/// Whether the local endpoint makes the call wait no longer, cross-zone latency included.
///
/// Without a recent report every endpoint looks idle, so the relative load is compared instead:
/// always preferring the local endpoint would overload the zones that have few replicas.
fn local_is_no_slower(local_pick: &Candidate, any_pick: &Candidate) -> bool {
    if local_pick.report_age <= REPORT_AGE_MAX {
        estimate_wait(local_pick) <= estimate_wait(any_pick).saturating_add(CROSS_ZONE_LATENCY)
    } else {
        relative_load(local_pick) <= relative_load(any_pick)
    }
}

/// The less loaded of two distinct random members; `None` if there are no members.
fn two_choices(candidates: &[Candidate], members: &[usize], random: u64) -> Option<usize> {
    let count = members.len() as u64;
    if count == 0 {
        return None;
    }
    let first = members[(random % count) as usize];
    if count == 1 {
        return Some(first);
    }
    let step = 1 + (random >> 32) % (count - 1);
    let second = members[((random % count + step) % count) as usize];
    let load = |i: usize| (estimate_wait(&candidates[i]), relative_load(&candidates[i]));
    Some(if load(second) < load(first) {
        second
    } else {
        first
    })
}

/// Outstanding calls per thousand slots.
fn relative_load(candidate: &Candidate) -> u64 {
    u64::from(candidate.outstanding) * 1_000 / u64::from(candidate.concurrency.max(1))
}

/// Picks the member with the highest hash, the same on every node that sees the same candidates.
///
/// The hash is seeded with the IDs of all candidates. These differ between models, so the
/// loads of different models are spread over the endpoints.
fn pick_grant(candidates: &[Candidate], members: &[usize]) -> Option<usize> {
    let seed = candidates
        .iter()
        .fold(FNV_OFFSET, |seed, c| fnv(seed, c.endpoint.as_bytes()));
    let score = |i: &usize| mix(fnv(seed, candidates[*i].endpoint.as_bytes()));
    members.iter().copied().max_by_key(score)
}

/// Offset basis and prime of the 64-bit FNV-1a hash.
const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(seed, step)
}

/// The first steps of MurmurHash3's 64-bit finalizer.
///
/// They spread the last hashed bytes over the high bits, which FNV-1a hardly does.
fn mix(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^ (word >> 33)
}
