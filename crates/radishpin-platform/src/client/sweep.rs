//! Deletes old operation rows.

use super::{PlatformClient, commit::OPERATION_PREFIX};
use crate::{CallError, Commit, Write};
use radishpin_protocol::Version;
use std::{collections::VecDeque, time::Duration};

/// Rows deleted by one commit.
const MAX_ROWS_PER_SWEEP: usize = 200;

/// Deletes operation rows some time after it first saw them.
///
/// Ages are counted from the sweep's own sight of a row, so no two clocks are compared; a new
/// sweep keeps every row for the whole retention again. The retention must be longer than any
/// call may try, see [`super::ClientSettings::call_timeout`], with the longest time that a
/// message may be on its way.
#[derive(Debug)]
pub struct OperationSweep {
    client: PlatformClient,
    retention: Duration,
    listed_version: Version,
    first_seen: VecDeque<(Duration, String)>,
}

impl OperationSweep {
    /// A sweep that has seen nothing.
    pub fn new(client: PlatformClient, retention: Duration) -> Self {
        Self {
            client,
            retention,
            listed_version: 0,
            first_seen: VecDeque::new(),
        }
    }

    /// Lists new rows, deletes a batch of old ones, and returns how many it deleted.
    ///
    /// # Errors
    /// The platform did not answer; the next run goes on where this one stopped.
    pub async fn run(&mut self, now: Duration) -> Result<usize, CallError> {
        self.list_new_rows(now).await?;
        let expired = self.count_expired(now);
        if expired == 0 {
            return Ok(0);
        }
        let writes = self.first_seen.iter().take(expired).map(|(_, key)| Write {
            key: key.clone(),
            value: None,
        });
        let commit = Commit {
            conditions: Vec::new(),
            writes: writes.collect(),
        };
        // Deleting a row twice is harmless, so an unknown outcome is simply repeated.
        self.client.commit_once(&commit).await?;
        self.first_seen.drain(..expired);
        Ok(expired)
    }

    async fn list_new_rows(&mut self, now: Duration) -> Result<(), CallError> {
        let listing = self
            .client
            .list(OPERATION_PREFIX, self.listed_version)
            .await?;
        let live = listing
            .rows
            .into_iter()
            .filter(|row| row.row.value.is_some());
        self.first_seen.extend(live.map(|row| (now, row.key)));
        self.listed_version = listing.version;
        Ok(())
    }

    fn count_expired(&self, now: Duration) -> usize {
        let is_expired = |at: Duration| now.saturating_sub(at) >= self.retention;
        self.first_seen
            .iter()
            .take(MAX_ROWS_PER_SWEEP)
            .take_while(|(at, _)| is_expired(*at))
            .count()
    }
}
