//! Leases on shards of the control work.
//!
//! A lease only saves two nodes from doing the same work. What keeps a node that lost its lease
//! from harm is that every commit of a holder depends on the version of the lease's row, which
//! each renewal and each takeover changes. No clock is compared between hosts: a candidate
//! measures, on its own clock, for how long the row has not changed.

use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Time between renewals by the holder.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// Time after the sending of its last renewal during which a holder starts new work.
pub const LEASE_VALID_FOR: Duration = Duration::from_secs(8);
/// Time without a change of the row after which the first candidate takes over.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Further time that each later candidate waits.
pub const TAKEOVER_STAGGER: Duration = Duration::from_millis(1_500);
/// Candidates of a shard besides its first.
pub const STANDBY_CANDIDATES: usize = 2;
/// Time between two readings of the row beyond which the time between does not count.
pub const MAX_READ_GAP: Duration = Duration::from_secs(4);

/// The row of a lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// The node that holds it; `None` once given back.
    pub holder: Option<NodeId>,
    /// Grows with every change of holder.
    pub epoch: u64,
    /// Grows with every renewal, so that each renewal is a different value.
    pub renewal: u64,
}

/// What a node should do about a lease now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Write this record on condition of this version, to take the lease or to renew it.
    Write {
        /// The new record.
        record: LeaseRecord,
        /// Version of the row that the write depends on; 0 for no row.
        version: Version,
    },
    /// Nothing now.
    Wait,
}

/// What a node knows of one lease.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWatch {
    node: NodeId,
    seen: Option<Seen>,
    /// When the renewal was sent that the node's own holding rests on.
    held_since: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Seen {
    version: Version,
    record: Option<LeaseRecord>,
    /// Since when the version was not seen to change.
    unchanged_since: Duration,
    last_read_at: Duration,
}

impl LeaseWatch {
    /// A watch that has seen nothing yet.
    pub const fn new(node: NodeId) -> Self {
        Self {
            node,
            seen: None,
            held_since: None,
        }
    }

    /// Takes a reading of the row, or the outcome of a write by another node.
    ///
    /// The time of an outage does not count as time without a change: the holder could not
    /// renew either.
    pub fn observe(&mut self, version: Version, record: Option<LeaseRecord>, now: Duration) {
        let older = self.seen.as_ref().is_some_and(|s| version < s.version);
        if older {
            return;
        }
        let continued = self.seen.as_ref().filter(|seen| {
            seen.version == version && now.saturating_sub(seen.last_read_at) <= MAX_READ_GAP
        });
        let unchanged_since = continued.map_or(now, |seen| seen.unchanged_since);
        self.seen = Some(Seen {
            version,
            record,
            unchanged_since,
            last_read_at: now,
        });
        if !self.is_holder() {
            self.held_since = None;
        }
    }

    /// Records that the node's own write of `record`, sent at `sent_at`, took effect.
    pub fn record_write(
        &mut self,
        version: Version,
        record: LeaseRecord,
        sent_at: Duration,
        now: Duration,
    ) {
        self.observe(version, Some(record), now);
        let current = self.seen.as_ref().is_some_and(|s| s.version == version);
        if current && self.is_holder() {
            self.held_since = Some(sent_at);
        }
    }

    /// What to do now; `rank` is the node's place among the shard's candidates, from 0.
    pub fn decide(&self, rank: usize, now: Duration) -> LeaseDecision {
        let Some(seen) = &self.seen else {
            return LeaseDecision::Wait;
        };
        if self.is_holder() {
            return self.renew(seen, now);
        }
        let holder = seen.record.as_ref().and_then(|r| r.holder.as_ref());
        let first_wait = match holder {
            Some(_) => TAKEOVER_TIMEOUT,
            None => Duration::ZERO,
        };
        if rank > STANDBY_CANDIDATES || self.unchanged_for(now) < first_wait + stagger(rank) {
            return LeaseDecision::Wait;
        }
        LeaseDecision::Write {
            record: LeaseRecord {
                holder: Some(self.node.clone()),
                epoch: seen.record.as_ref().map_or(1, |record| record.epoch + 1),
                renewal: 0,
            },
            version: seen.version,
        }
    }

    /// The record that gives the lease back, where the node holds it.
    pub fn release(&self) -> LeaseDecision {
        match self
            .seen
            .as_ref()
            .and_then(|s| Some((s, s.record.as_ref()?)))
        {
            Some((seen, record)) if self.is_holder() => LeaseDecision::Write {
                record: LeaseRecord {
                    holder: None,
                    ..record.clone()
                },
                version: seen.version,
            },
            _ => LeaseDecision::Wait,
        }
    }

    /// Version of the lease's row that every commit of the shard's work must depend on; `None`
    /// where the node does not hold the lease, or can no longer count on it.
    pub fn fencing_version(&self, now: Duration) -> Option<Version> {
        let held_since = self.held_since?;
        let valid = now.saturating_sub(held_since) < LEASE_VALID_FOR;
        self.seen.as_ref().filter(|_| valid).map(|s| s.version)
    }

    /// Epoch of the newest record seen.
    pub fn epoch(&self) -> u64 {
        let record = self.seen.as_ref().and_then(|s| s.record.as_ref());
        record.map_or(0, |record| record.epoch)
    }

    fn renew(&self, seen: &Seen, now: Duration) -> LeaseDecision {
        let due = match self.held_since {
            Some(at) => now.saturating_sub(at) >= RENEWAL_INTERVAL,
            // An earlier life or a write without an answer left the node's name there.
            None => true,
        };
        match &seen.record {
            Some(record) if due => LeaseDecision::Write {
                record: LeaseRecord {
                    renewal: record.renewal + 1,
                    ..record.clone()
                },
                version: seen.version,
            },
            _ => LeaseDecision::Wait,
        }
    }

    fn is_holder(&self) -> bool {
        let record = self.seen.as_ref().and_then(|s| s.record.as_ref());
        record.is_some_and(|record| record.holder.as_ref() == Some(&self.node))
    }

    /// For how long the row was read again and again without a change.
    fn unchanged_for(&self, now: Duration) -> Duration {
        let Some(seen) = &self.seen else {
            return Duration::ZERO;
        };
        let until = now.min(seen.last_read_at + MAX_READ_GAP);
        until.saturating_sub(seen.unchanged_since)
    }
}

/// Place of a node among the candidates of a shard, from 0; `None` where it is not in `nodes`.
///
/// Every node computes the same order from the same list, and one node more or less moves only
/// the shards that it comes first for.
pub fn candidate_rank(shard: u32, node: &str, nodes: &BTreeSet<NodeId>) -> Option<usize> {
    if !nodes.contains(node) {
        return None;
    }
    let own = (weight(shard, node), node);
    let better = nodes
        .iter()
        .filter(|other| (weight(shard, other), other.as_str()) > own);
    Some(better.count())
}

fn stagger(rank: usize) -> Duration {
    TAKEOVER_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// 64-bit FNV-1a with the finalizer of MurmurHash3: the same on every host and in every build.
fn weight(shard: u32, node: &str) -> u64 {
    const OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let bytes = shard.to_be_bytes().into_iter().chain(node.bytes());
    let hash = bytes.fold(OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(PRIME)
    });
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    let hash = (hash ^ (hash >> 33)).wrapping_mul(0xc4ce_b9fe_1a85_ec53);
    hash ^ (hash >> 33)
}
