//! Deletes old operation rows.

use super::{PlatformClient, commit::OPERATION_PREFIX};
use crate::{CallError, Commit, Write};
use radishpin_protocol::Version;
use std::{collections::VecDeque, time::Duration};

/// Rows deleted by one commit.
const BATCH: usize = 200;

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
    listed_to: Version,
    seen: VecDeque<(Duration, String)>,
}

impl OperationSweep {
    /// A sweep that has seen nothing.
    pub fn new(client: PlatformClient, retention: Duration) -> Self {
        Self {
            client,
            retention,
            listed_to: 0,
            seen: VecDeque::new(),
        }
    }

    /// Lists new rows, deletes a batch of old ones, and returns how many it deleted.
    ///
    /// # Errors
    /// The platform did not answer; the next run goes on where this one stopped.
    pub async fn run(&mut self, now: Duration) -> Result<usize, CallError> {
        self.look(now).await?;
        let due = self.due(now);
        if due == 0 {
            return Ok(0);
        }
        let writes = self.seen.iter().take(due).map(|(_, key)| Write {
            key: key.clone(),
            value: None,
        });
        let commit = Commit {
            conditions: Vec::new(),
            writes: writes.collect(),
        };
        // Deleting a row twice is harmless, so an unknown outcome is simply repeated.
        self.client.commit_once(&commit).await?;
        self.seen.drain(..due);
        Ok(due)
    }

    async fn look(&mut self, now: Duration) -> Result<(), CallError> {
        let listing = self.client.list(OPERATION_PREFIX, self.listed_to).await?;
        let live = listing
            .rows
            .into_iter()
            .filter(|row| row.row.value.is_some());
        self.seen.extend(live.map(|row| (now, row.key)));
        self.listed_to = listing.version;
        Ok(())
    }

    fn due(&self, now: Duration) -> usize {
        let old = |at: Duration| now.saturating_sub(at) >= self.retention;
        self.seen
            .iter()
            .take(BATCH)
            .take_while(|(at, _)| old(*at))
            .count()
    }
}
