//! Deletes operation rows after their retention.

use super::{PlatformClient, commit::OPERATION_PREFIX};
use crate::{CallError, Commit, Write};
use radishpin_protocol::Version;
use std::{collections::VecDeque, time::Duration};

/// Maximum number of rows that one run deletes, in one commit.
const MAX_ROWS_PER_SWEEP: usize = 200;

/// Deletes operation rows when the retention has passed since it first listed them.
///
/// The age of a row counts from the time at which this sweep first listed it, so clocks of
/// different machines are never compared. A new sweep therefore keeps every row for the whole
/// retention again.
///
/// The retention must exceed the time for which a call may be retried (see
/// [`super::ClientSettings::call_timeout`]) plus the longest delay of a message in the network.
#[derive(Debug)]
pub struct OperationSweep {
    client: PlatformClient,
    retention: Duration,
    listed_version: Version,
    /// Time of the first listing and key of each row, oldest first.
    first_seen: VecDeque<(Duration, String)>,
}

impl OperationSweep {
    /// Creates a sweep that has not listed any rows yet.
    pub fn new(client: PlatformClient, retention: Duration) -> Self {
        Self {
            client,
            retention,
            listed_version: 0,
            first_seen: VecDeque::new(),
        }
    }

    /// Lists new rows, deletes up to 200 expired ones, and returns the number of deleted rows.
    ///
    /// # Errors
    /// Fails if the platform does not respond; the next run continues where this one stopped.
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
        // Deleting a row is idempotent: after an unknown outcome the next run deletes it again.
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
