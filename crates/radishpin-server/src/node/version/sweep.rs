//! Deleting rows that have served their time: operations, and answers kept for replay.

use crate::{clock::unix_now_ms, node::Node};
use radishpin_core::request::KeyedRow;
use radishpin_platform::{CallError, Commit, Condition, OperationSweep, PlatformClient, Write};
use radishpin_protocol::{CALL_PREFIX, UnixMs, prelude::*};
use radishpin_runtime::Runtime;
use std::sync::Arc;

/// Time between two sweeps.
const INTERVAL: Duration = Duration::from_secs(30);
/// Time for which the row of an operation is kept; longer than any call tries, with the longest
/// time that a message may be on its way.
const OPERATION_RETENTION: Duration = Duration::from_secs(600);
/// Time beyond its expiry for which the row of a key is kept, so that no clock that is behind
/// still counts on it.
const EXPIRY_MARGIN_MS: u64 = 60_000;
/// Rows of keys deleted by one commit.
const BATCH: usize = 100;

impl Node {
    /// Sweeps until the process ends; only the holder of the first shard does.
    pub(in crate::node) async fn sweep_rows(self: Arc<Self>, client: PlatformClient) {
        let mut operations = OperationSweep::new(client.clone(), OPERATION_RETENTION);
        let mut calls = CallSweep::new(client);
        loop {
            Runtime::sleep(INTERVAL).await;
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
                    log::debug!(event = "sweep_failed", cause:% = cause; "old rows stay for now");
                }
            }
        }
    }
}

/// Deletes the rows of keys whose time is over.
struct CallSweep {
    client: PlatformClient,
    listed_to: Version,
    rows: BTreeMap<String, (UnixMs, Version)>,
}

impl CallSweep {
    fn new(client: PlatformClient) -> Self {
        Self {
            client,
            listed_to: 0,
            rows: BTreeMap::new(),
        }
    }

    /// Lists what changed, deletes a batch of expired rows, and returns how many.
    async fn run(&mut self, now_unix_ms: UnixMs) -> Result<usize, CallError> {
        self.look().await?;
        let due: Vec<(String, Version)> = self.due(now_unix_ms);
        for (key, version) in &due {
            self.delete(key, *version).await?;
            self.rows.remove(key);
        }
        Ok(due.len())
    }

    async fn look(&mut self) -> Result<(), CallError> {
        let listing = self.client.list(CALL_PREFIX, self.listed_to).await?;
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
        self.listed_to = listing.version;
        Ok(())
    }

    fn due(&self, now_unix_ms: UnixMs) -> Vec<(String, Version)> {
        let expired = |expires: UnixMs| expires.saturating_add(EXPIRY_MARGIN_MS) <= now_unix_ms;
        let due = self.rows.iter().filter(|(_, (at, _))| expired(*at));
        due.take(BATCH)
            .map(|(key, (_, version))| (key.clone(), *version))
            .collect()
    }

    /// Deletes a row unless it was written again meanwhile.
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
