//! Leases on the shards of models, whose holders write the grants.

use crate::node::Node;
use parking_lot::Mutex;
use radishpin_core::process::{LeaseDecision, LeaseRecord, LeaseWatch, candidate_rank};
use radishpin_platform::{CallError, Commit, CommitOutcome, Condition, PlatformClient, Write};
use radishpin_protocol::{LEASE_PREFIX, engine::stable_hash, prelude::*};
use radishpin_runtime::Runtime;
use std::sync::Arc;

/// Number of shards that the models are split into.
pub(super) const SHARDS: u32 = 16;
/// Mean pause between two rounds of reading and renewing the leases.
const ROUND_INTERVAL: Duration = Duration::from_secs(1);

/// State of all leases, as last read or written by this node.
#[derive(Debug)]
pub(in crate::node) struct Leases {
    watches: Vec<Mutex<LeaseWatch>>,
}

impl Leases {
    /// Leases that have not been read yet.
    ///
    /// `holder` must differ between runs of the node: after a restart, a node must not rely on
    /// leases from before it.
    pub(in crate::node) fn new(holder: NodeId) -> Self {
        let watch = |_| Mutex::new(LeaseWatch::new(holder.clone()));
        Self {
            watches: (0..SHARDS).map(watch).collect(),
        }
    }

    /// The condition that a write for the model must carry as a fencing token; `None` if this node
    /// does not hold the model's shard.
    pub(super) fn condition(&self, model: &str, now: Duration) -> Option<Condition> {
        let shard = shard_of(model);
        let version = self
            .watches
            .get(shard as usize)?
            .lock()
            .fencing_version(now)?;
        Some(Condition {
            key: lease_key(shard),
            version,
        })
    }

    /// Whether this node holds the first shard, whose holder also does the work that belongs to no
    /// shard.
    pub(super) fn holds_first_shard(&self, now: Duration) -> bool {
        let first = self.watches.first();
        first.is_some_and(|watch| watch.lock().fencing_version(now).is_some())
    }

    /// Number of shards that this node holds.
    pub(in crate::node) fn held_count(&self, now: Duration) -> usize {
        let held = |watch: &&Mutex<LeaseWatch>| watch.lock().fencing_version(now).is_some();
        self.watches.iter().filter(held).count()
    }
}

fn shard_of(model: &str) -> u32 {
    // The remainder is below SHARDS, so it fits into a u32.
    (stable_hash(model.as_bytes()) % u64::from(SHARDS)) as u32
}

fn lease_key(shard: u32) -> String {
    format!("{LEASE_PREFIX}{shard:02}")
}

impl Node {
    /// Reads, acquires and renews leases until the process ends.
    pub(in crate::node) async fn maintain_leases(self: Arc<Self>, client: PlatformClient) {
        loop {
            if let Err(cause) = self.lease_round(&client).await {
                log::debug!(event = "lease_round_failed", cause:% = cause;
                    "cannot read or renew the leases");
            }
            let held = self.leases.held_count(self.clock.now());
            self.metrics
                .shards_held
                .set(i64::try_from(held).unwrap_or(i64::MAX));
            Runtime::sleep(ROUND_INTERVAL.mul_f64(0.9 + client.random() / 5.0)).await;
        }
    }

    /// Releases the leases, so that other nodes need not wait for them to expire.
    ///
    /// Stops at the first failure; the remaining leases expire.
    pub(in crate::node) async fn release_leases(&self, client: &PlatformClient) {
        for shard in 0..SHARDS {
            let decision = self.leases.watches[shard as usize].lock().release();
            if let Err(cause) = self.write_lease(client, shard, decision).await {
                log::debug!(event = "lease_not_given_back", shard, cause:% = cause;
                    "cannot release the lease; it will expire");
                return;
            }
        }
    }

    async fn lease_round(&self, client: &PlatformClient) -> Result<(), CallError> {
        let listing = client.list(LEASE_PREFIX, 0).await?;
        let rows: BTreeMap<String, (Version, Option<LeaseRecord>)> = listing
            .rows
            .into_iter()
            .map(|listed| {
                let record = listed.row.value.as_deref();
                let record = record.and_then(|text| serde_json::from_str(text).ok());
                (listed.key, (listed.row.version, record))
            })
            .collect();
        let nodes = self.lease_candidates();
        for shard in 0..SHARDS {
            let (version, record) = rows.get(&lease_key(shard)).cloned().unwrap_or_default();
            let decision = {
                let now = self.clock.now();
                let mut watch = self.leases.watches[shard as usize].lock();
                watch.observe(version, record, now);
                let rank = candidate_rank(shard, &self.settings.host, &nodes);
                watch.decide(rank.unwrap_or(usize::MAX), now)
            };
            self.write_lease(client, shard, decision).await?;
        }
        Ok(())
    }

    async fn write_lease(
        &self,
        client: &PlatformClient,
        shard: u32,
        decision: LeaseDecision,
    ) -> Result<(), CallError> {
        let LeaseDecision::Write { record, version } = decision else {
            return Ok(());
        };
        let key = lease_key(shard);
        let commit = Commit {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key,
                value: serde_json::to_string(&record).ok(),
            }],
        };
        let sent_at = self.clock.now();
        if let CommitOutcome::Committed(version) = client.commit(&commit).await? {
            let now = self.clock.now();
            let mut watch = self.leases.watches[shard as usize].lock();
            watch.record_write(version, record, sent_at, now);
        }
        Ok(())
    }

    /// Hosts of the nodes that may hold leases: those of the host list and this node's.
    ///
    /// A host runs one node, so its name identifies the node.
    fn lease_candidates(&self) -> BTreeSet<HostId> {
        let mut hosts = self.node_hosts.lock().clone();
        hosts.insert(self.settings.host.clone());
        hosts
    }
}
