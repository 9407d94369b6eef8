//! Leases on the shards into which the planning of grants is divided among nodes.
//!
//! A lease only prevents two nodes from doing the same work. A node that has lost its lease does no
//! harm, because every commit of a holder is conditional on the version of the lease's row, which
//! each renewal and each takeover changes. Clocks are never compared between hosts: a candidate
//! measures on its own clock for how long the row has not changed.

use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Interval at which the holder renews its lease.
pub const RENEWAL_INTERVAL: Duration = Duration::from_secs(3);
/// How long a holder may start new work after it sent its last successful renewal.
pub const LEASE_VALID_FOR: Duration = Duration::from_secs(8);
/// How long the row must be unchanged before the first candidate takes over.
pub const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(10);
/// Additional wait of each further candidate, so that candidates do not write at the same time.
pub const TAKEOVER_STAGGER: Duration = Duration::from_millis(1_500);
/// Number of candidates for a shard besides the first one.
pub const STANDBY_CANDIDATES: usize = 2;
/// Longest time between two reads of the row that counts as time without a change.
pub const MAX_READ_GAP: Duration = Duration::from_secs(4);

/// Value of a lease's row in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    /// Node that holds the lease; `None` after its release.
    pub holder: Option<NodeId>,
    /// Incremented when a node takes the lease over.
    pub epoch: u64,
    /// Incremented by every renewal, so that each renewal writes a different value.
    pub renewal: u64,
}

/// Action that a node should take on a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseDecision {
    /// Write the record if the row still has the given version.
    Write {
        /// Record that takes, renews or releases the lease.
        record: LeaseRecord,
        /// Expected version of the row; 0 if there is no row yet.
        version: Version,
    },
    /// Do nothing until the row has been read again.
    Wait,
}

/// What a node has read and written of one lease; decides when to take it over and renew it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseWatch {
    node: NodeId,
    last_read: Option<LeaseReading>,
    /// When the node sent its last successful write of the lease; `None` if it is not the holder or
    /// has not written the lease itself.
    renewed_at: Option<Duration>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct LeaseReading {
    version: Version,
    record: Option<LeaseRecord>,
    /// Time of the first of the uninterrupted reads that returned this version.
    unchanged_since: Duration,
    last_read_at: Duration,
}

impl LeaseWatch {
    /// Creates a watch for `node` that has not read the row yet.
    pub const fn new(node: NodeId) -> Self {
        Self {
            node,
            last_read: None,
            renewed_at: None,
        }
    }

    /// Records a read of the row; reads of older versions are ignored.
    ///
    /// The time of a platform outage does not count as time without a change, because the holder
    /// could not renew the lease either.
    pub fn observe(&mut self, version: Version, record: Option<LeaseRecord>, now: Duration) {
        let is_older = self
            .last_read
            .as_ref()
            .is_some_and(|reading| version < reading.version);
        if is_older {
            return;
        }
        let uninterrupted = self.last_read.as_ref().filter(|reading| {
            reading.version == version && now.saturating_sub(reading.last_read_at) <= MAX_READ_GAP
        });
        let unchanged_since = uninterrupted.map_or(now, |reading| reading.unchanged_since);
        self.last_read = Some(LeaseReading {
            version,
            record,
            unchanged_since,
            last_read_at: now,
        });
        if !self.is_holder() {
            self.renewed_at = None;
        }
    }

    /// Records that the node's own write of `record`, sent at `sent_at`, was committed.
    pub fn record_write(
        &mut self,
        version: Version,
        record: LeaseRecord,
        sent_at: Duration,
        now: Duration,
    ) {
        self.observe(version, Some(record), now);
        let is_current = self
            .last_read
            .as_ref()
            .is_some_and(|reading| reading.version == version);
        if is_current && self.is_holder() {
            self.renewed_at = Some(sent_at);
        }
    }

    /// Decides whether to take over or renew the lease; `rank` comes from [`candidate_rank`].
    pub fn decide(&self, rank: usize, now: Duration) -> LeaseDecision {
        let Some(reading) = &self.last_read else {
            return LeaseDecision::Wait;
        };
        if self.is_holder() {
            return self.renew(reading, now);
        }
        let holder = reading.record.as_ref().and_then(|r| r.holder.as_ref());
        let min_unchanged = match holder {
            Some(_) => TAKEOVER_TIMEOUT,
            None => Duration::ZERO,
        };
        if rank > STANDBY_CANDIDATES || self.unchanged_for(now) < min_unchanged + stagger(rank) {
            return LeaseDecision::Wait;
        }
        LeaseDecision::Write {
            record: LeaseRecord {
                holder: Some(self.node.clone()),
                epoch: reading.record.as_ref().map_or(1, |record| record.epoch + 1),
                renewal: 0,
            },
            version: reading.version,
        }
    }

    /// The write that releases the lease; [`LeaseDecision::Wait`] if the node does not hold it.
    pub fn release(&self) -> LeaseDecision {
        match self
            .last_read
            .as_ref()
            .and_then(|reading| Some((reading, reading.record.as_ref()?)))
        {
            Some((reading, record)) if self.is_holder() => LeaseDecision::Write {
                record: LeaseRecord {
                    holder: None,
                    ..record.clone()
                },
                version: reading.version,
            },
            _ => LeaseDecision::Wait,
        }
    }

    /// Version of the lease's row on which every commit for the shard must be conditional.
    ///
    /// `None` if the node does not hold the lease or did not renew it within [`LEASE_VALID_FOR`].
    pub fn fencing_version(&self, now: Duration) -> Option<Version> {
        let renewed_at = self.renewed_at?;
        let is_valid = now.saturating_sub(renewed_at) < LEASE_VALID_FOR;
        self.last_read
            .as_ref()
            .filter(|_| is_valid)
            .map(|reading| reading.version)
    }

    /// Epoch of the newest record that was read; 0 if there is none.
    pub fn epoch(&self) -> u64 {
        let record = self
            .last_read
            .as_ref()
            .and_then(|reading| reading.record.as_ref());
        record.map_or(0, |record| record.epoch)
    }

    fn renew(&self, reading: &LeaseReading, now: Duration) -> LeaseDecision {
        let is_due = match self.renewed_at {
            Some(at) => now.saturating_sub(at) >= RENEWAL_INTERVAL,
            // The row names this node because of an earlier incarnation of it, or of a write that
            // was not answered.
            None => true,
        };
        match &reading.record {
            Some(record) if is_due => LeaseDecision::Write {
                record: LeaseRecord {
                    renewal: record.renewal + 1,
                    ..record.clone()
                },
                version: reading.version,
            },
            _ => LeaseDecision::Wait,
        }
    }

    fn is_holder(&self) -> bool {
        let record = self
            .last_read
            .as_ref()
            .and_then(|reading| reading.record.as_ref());
        record.is_some_and(|record| record.holder.as_ref() == Some(&self.node))
    }

    /// How long successive reads of the row have returned the same version.
    fn unchanged_for(&self, now: Duration) -> Duration {
        let Some(reading) = &self.last_read else {
            return Duration::ZERO;
        };
        let until = now.min(reading.last_read_at + MAX_READ_GAP);
        until.saturating_sub(reading.unchanged_since)
    }
}

/// Rank of a node among the candidates for a shard, from 0; `None` if it is not in `nodes`.
///
/// Uses rendezvous hashing: every node computes the same ranks from the same set of nodes, and a
/// node that joins or leaves changes the first candidate only of the shards for which it is first.
pub fn candidate_rank(shard: u32, node: &str, nodes: &BTreeSet<NodeId>) -> Option<usize> {
    if !nodes.contains(node) {
        return None;
    }
    let own_key = (weight(shard, node), node);
    let higher = nodes
        .iter()
        .filter(|other| (weight(shard, other), other.as_str()) > own_key);
    Some(higher.count())
}

fn stagger(rank: usize) -> Duration {
    TAKEOVER_STAGGER * u32::try_from(rank).unwrap_or(u32::MAX)
}

/// Hashes with 64-bit FNV-1a and the finalizer of MurmurHash3, as the result must be the same on
/// every host and in every build.
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
