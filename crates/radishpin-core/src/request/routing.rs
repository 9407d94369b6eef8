//! Which endpoint a node sends an attempt to.

use crate::request::estimate_wait;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Time that a hop into another availability zone adds to a call.
const ZONE_COST: Duration = Duration::from_millis(2);

/// Age up to which a report tells whether an endpoint has a free place.
const REPORT_AGE_MAX: Duration = Duration::from_secs(60);

/// Where the weights of a model are nearest to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum Tier {
    /// In the host's memory.
    Memory,
    /// On the host's disk.
    Disk,
    /// In the weight store.
    Remote,
}

/// How near a replica is to serving.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ReplicaReadiness {
    /// It serves.
    Loaded,
    /// A load is in flight.
    Loading {
        /// Time until it serves, by estimate.
        remaining: Duration,
    },
    /// It may be loaded.
    Granted {
        /// Where its weights are.
        tier: Tier,
    },
}

/// An endpoint that may take an attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Whether it is in the node's availability zone.
    pub availability_zone_local: bool,
    /// How near its replica is to serving; `Loaded` for a plain service.
    pub replica: ReplicaReadiness,
    /// Calls that it runs or queues: its last report and what this node has sent since.
    pub outstanding: u32,
    /// Calls that it works on at once.
    pub concurrency: u32,
    /// Smoothed time that one call holds a place.
    pub service_time: Duration,
    /// Expected time of a load here, under the present pressure on the weight store.
    pub load_time: Duration,
    /// Whether its last calls failed.
    pub suspected: bool,
    /// Whether any sign says that it is leaving.
    pub leaving: bool,
    /// Whether it may hold a cached prefix of the request.
    pub affinity: bool,
    /// Age of the last report in `outstanding`; [`Duration::MAX`] where there was none.
    pub report_age: Duration,
}

/// The replicas of a model that a node considers, at most `limit`, so that what it has to know of
/// them stays small and recent. `node_rank` is the node's place among the live nodes in order of
/// name: successive nodes take successive replicas, so each is considered by as many nodes.
pub fn replica_subset(
    replicas: usize,
    limit: usize,
    node_rank: usize,
) -> impl Iterator<Item = usize> {
    let count = replicas.min(limit);
    let first = node_rank * count;
    (0..count).map(move |index| (first + index) % replicas)
}

/// Chooses an endpoint; `None` where there is none to try.
///
/// Order: not suspected, then loaded, then a load in flight, then the grant with the best tier;
/// within that the lesser wait of two choices. A later class is taken only where it serves sooner
/// than the wait in the earlier one. Among grants all nodes choose the same endpoint, so that a
/// burst at many nodes starts one load.
pub fn choose_endpoint(candidates: &[Candidate], random: u64) -> Option<usize> {
    let trusted = usable(candidates, false);
    let pool = if trusted.is_empty() {
        usable(candidates, true)
    } else {
        trusted
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

fn class(replica: ReplicaReadiness) -> u8 {
    match replica {
        ReplicaReadiness::Loaded => CLASS_LOADED,
        ReplicaReadiness::Loading { .. } => CLASS_LOADING,
        ReplicaReadiness::Granted { tier: Tier::Memory } => 2,
        ReplicaReadiness::Granted { tier: Tier::Disk } => 3,
        ReplicaReadiness::Granted { tier: Tier::Remote } => CLASS_LAST,
    }
}

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

/// Two choices; affinity and the zone count only where they cost no waiting.
fn pick_serving(candidates: &[Candidate], members: &[usize], random: u64) -> Option<usize> {
    let local: Vec<usize> = members
        .iter()
        .copied()
        .filter(|i| candidates[*i].availability_zone_local)
        .collect();
    let any = two_choices(candidates, members, random)?;
    let near = two_choices(candidates, &local, random);
    let best = near
        .filter(|near| costs_nothing(&candidates[*near], &candidates[any]))
        .unwrap_or(any);
    let limit = estimate_wait(&candidates[best]);
    let hinted = members
        .iter()
        .copied()
        .filter(|i| candidates[*i].affinity && estimate_wait(&candidates[*i]) <= limit)
        .min_by_key(|i| relative_load(&candidates[*i]));
    Some(hinted.unwrap_or(best))
}

/// Without a recent report every endpoint looks idle, so there the lesser load decides: always
/// taking the near one would overload the zones that have few replicas.
fn costs_nothing(near: &Candidate, any: &Candidate) -> bool {
    if near.report_age <= REPORT_AGE_MAX {
        estimate_wait(near) <= estimate_wait(any).saturating_add(ZONE_COST)
    } else {
        relative_load(near) <= relative_load(any)
    }
}

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

/// Outstanding calls per thousand places.
fn relative_load(candidate: &Candidate) -> u64 {
    u64::from(candidate.outstanding) * 1_000 / u64::from(candidate.concurrency.max(1))
}

/// The same for every node that sees the same candidates, and spread over endpoints by model.
fn pick_grant(candidates: &[Candidate], members: &[usize]) -> Option<usize> {
    let seed = candidates
        .iter()
        .fold(FNV_OFFSET, |seed, c| fnv(seed, c.endpoint.as_bytes()));
    let score = |i: &usize| mix(fnv(seed, candidates[*i].endpoint.as_bytes()));
    members.iter().copied().max_by_key(score)
}

const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
const FNV_PRIME: u64 = 0x0100_0000_01b3;

fn fnv(seed: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(seed, step)
}

fn mix(mut word: u64) -> u64 {
    word ^= word >> 33;
    word = word.wrapping_mul(0xff51_afd7_ed55_8ccd);
    word ^ (word >> 33)
}
