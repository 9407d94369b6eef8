//! Deletion of expired rows: operations, and idempotency keys with their stored answers.

use crate::{clock::unix_now_ms, node::Node};
use radishpin_core::request::KeyedRow;
use radishpin_platform::{CallError, Commit, Condition, OperationSweep, PlatformClient, Write};
use radishpin_protocol::{CALL_PREFIX, UnixMs, prelude::*};
use radishpin_runtime::Runtime;
use std::sync::Arc;

/// Pause between two sweeps.
const SWEEP_INTERVAL: Duration = Duration::from_secs(30);
/// Time for which the row of an operation is kept: longer than any call is retried plus the
/// longest time that a message may be in transit.
const OPERATION_RETENTION: Duration = Duration::from_secs(600);
/// Time for which the row of an idempotency key is kept after its expiry, as a node whose clock is
/// behind may still rely on it.
const EXPIRY_MARGIN_MS: u64 = 60_000;
/// Largest number of idempotency keys deleted by one sweep.
const MAX_ROWS_PER_SWEEP: usize = 100;

impl Node {
    /// Deletes expired rows until the process ends.
    ///
    /// Only the node that holds the lease on the first shard deletes any.
    pub(in crate::node) async fn sweep_rows(self: Arc<Self>, client: PlatformClient) {
        let mut operations = OperationSweep::new(client.clone(), OPERATION_RETENTION);
        let mut calls = CallSweep::new(client);
        loop {
            Runtime::sleep(SWEEP_INTERVAL).await;
            let now = self.clock.now();
            if !self.leases.holds_first_shard(now) {
                continue;
            }
            let swept = match operations.run(now).await {
                Ok(operations) => calls
                    .run(unix_now_ms())
                    .await
                    .map(|calls| operations + calls),
                Err(cause) => Err(cause),
            };
            match swept {
                Ok(rows) => self.metrics.rows_swept.inc_by(rows as u64),
                Err(cause) => {
                    log::debug!(event = "sweep_failed", cause:% = cause;
                        "cannot delete expired rows; trying again in the next sweep");
                }
            }
        }
    }
}

/// Deletes the rows of expired idempotency keys.
struct CallSweep {
    client: PlatformClient,
    listed_version: Version,
    rows: BTreeMap<String, (UnixMs, Version)>,
}

impl CallSweep {
    fn new(client: PlatformClient) -> Self {
        Self {
            client,
            listed_version: 0,
            rows: BTreeMap::new(),
        }
    }

    /// Lists the changed rows, deletes up to [`MAX_ROWS_PER_SWEEP`] expired ones, and returns how
    /// many it deleted.
    async fn run(&mut self, now_unix_ms: UnixMs) -> Result<usize, CallError> {
        self.refresh().await?;
        let due: Vec<(String, Version)> = self.due(now_unix_ms);
        for (key, version) in &due {
            self.delete(key, *version).await?;
            self.rows.remove(key);
        }
        Ok(due.len())
    }

    async fn refresh(&mut self) -> Result<(), CallError> {
        let listing = self.client.list(CALL_PREFIX, self.listed_version).await?;
        for listed in listing.rows {
            let record = listed.row.value.as_deref();
            let record = record.and_then(|text| serde_json::from_str::<KeyedRow>(text).ok());
            match record {
                Some(record) => {
                    let entry = (record.expires_unix_ms(), listed.row.version);
                    self.rows.insert(listed.key, entry);
                }
                None => {
                    self.rows.remove(&listed.key);
                }
            }
        }
        self.listed_version = listing.version;
        Ok(())
    }

    fn due(&self, now_unix_ms: UnixMs) -> Vec<(String, Version)> {
        let expired = |expires: UnixMs| expires.saturating_add(EXPIRY_MARGIN_MS) <= now_unix_ms;
        let due = self.rows.iter().filter(|(_, (at, _))| expired(*at));
        due.take(MAX_ROWS_PER_SWEEP)
            .map(|(key, (_, version))| (key.clone(), *version))
            .collect()
    }

    /// Deletes a row unless it has been written since `version`.
    async fn delete(&self, key: &str, version: Version) -> Result<(), CallError> {
        let commit = Commit {
            conditions: vec![Condition {
                key: key.to_owned(),
                version,
            }],
            writes: vec![Write {
                key: key.to_owned(),
                value: None,
            }],
        };
        self.client.commit_once(&commit).await.map(|_| ())
    }
}
