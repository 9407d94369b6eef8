//! What gateways tell each other: sidecars keep it, and each gateway asks them for it.
//!
//! Gateways do not know each other. Each fact has a few holders among the sidecars, which all gateways
//! choose alike, so that it outlives the gateway that learned it and most of its holders.

use super::{
    CreditAnswer, EndpointLimit, LeaseRequest, Slot, SuspectCrashes, Suspects, VersionHistory,
};
use crate::{
    rendezvous::mix,
    request::{RequestRate, StreamOrigin},
};
use radishpin_protocol::{engine::stable_hash, prelude::*};
use serde::{Deserialize, Serialize};
use std::net::{IpAddr, SocketAddr};

/// Request of a gateway to a sidecar that holds shared state.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SharedRequest {
    /// Keep a copy of the origin of a stream.
    RecordOrigin(StreamOrigin),
    /// Answer with the origin of the stream that this attempt began, if there is a copy.
    FindOrigin(RequestId),
    /// Merge these crashes into those that are held against suspects.
    MergeCrashes(Vec<SuspectCrashes>),
    /// Keep these limits that endpoints state.
    RecordLimits(Vec<EndpointLimit>),
    /// Answer with the crashes and limits that changed after what the gateway has seen, once there are
    /// any, or after a while.
    Watch(SeenNews),
    /// Answer whether one request with these suspects, some of them refused, may be sent now.
    TrySuspects(Suspects),
    /// Take a permit back that was not used.
    ReturnTrial(Suspects),
    /// Merge what this gateway knows of software versions, and answer with what all of them know.
    MergeVersions(VersionHistory),
    /// Answer when a request may be sent to an endpoint that states a limit.
    TakeSlot {
        /// The endpoint.
        endpoint: EndpointId,
        /// Rate at which this holder gives out slots: the limit, or less if it stands in for another one.
        rate: RequestRate,
        /// Longest time that the request can wait, in milliseconds.
        wait_max_ms: u64,
    },
    /// Answer with credit from customers' quotas.
    LeaseCredit(LeaseRequest),
}

/// The last news that a gateway has got from a holder.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SeenNews {
    /// Incarnation of the sidecar that sent it; 0 before the first.
    pub incarnation: Incarnation,
    /// Version of its crashes.
    pub crashes_version: u64,
    /// Version of its limits.
    pub limits_version: u64,
}

/// Answer of a sidecar to a [`SharedRequest`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum SharedReply {
    /// It keeps what it was told.
    Kept,
    /// The origin of a stream; `None` if it has no copy.
    Origin(Option<StreamOrigin>),
    /// What changed since the news that the gateway had seen.
    News {
        /// What it has seen with this.
        seen: SeenNews,
        /// Crashes that are held against suspects.
        #[serde(rename = "parts")]
        crashes: Vec<SuspectCrashes>,
        /// Limits that endpoints state.
        limits: Vec<EndpointLimit>,
    },
    /// What all gateways together know of software versions.
    Versions(VersionHistory),
    /// Whether the gateway may send the request that it asked for.
    Permit(bool),
    /// When the gateway may send a request to a limited endpoint.
    Slot(Slot),
    /// Answers to what the gateway asked, in the same order.
    Credit(Vec<CreditAnswer>),
}

/// Chooses the holders of a fact, each at the address of its sidecar: the first `count` of an order
/// that depends on the key of the fact. Gateways with similar lists choose alike.
pub fn choose_holders<T>(
    key: &str,
    sidecars: impl IntoIterator<Item = (SocketAddr, T)>,
    count: usize,
) -> Vec<T> {
    let key = stable_hash(key.as_bytes());
    let mut first: Vec<(u64, SocketAddr, T)> = Vec::with_capacity(count + 1);
    for (address, sidecar) in sidecars {
        let rank = rank(key, address);
        let position = first.partition_point(|(other, at, _)| (*other, *at) < (rank, address));
        let listed_twice = first.get(position).is_some_and(|(_, at, _)| *at == address);
        if position < count && !listed_twice {
            first.insert(position, (rank, address, sidecar));
            first.truncate(count);
        }
    }
    first.into_iter().map(|(_, _, sidecar)| sidecar).collect()
}

/// Rank of a sidecar for a fact whose key has this hash.
fn rank(key: u64, address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        IpAddr::V4(ip) => u64::from(ip.to_bits()),
        IpAddr::V6(ip) => stable_hash(&ip.octets()),
    };
    mix(key ^ mix(ip.rotate_left(u16::BITS) ^ u64::from(address.port())))
}
