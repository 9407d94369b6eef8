//! Commits changes of the view, together with the head rows and the history of profiles.

use crate::{CallError, Commit, CommitOutcome, Condition, OperationId, PlatformClient, Write};
use radishpin_protocol::{
    HEAD_KEY, HEAD_KIND_PREFIX, HISTORY_PREFIX, HeadRecord, PROFILE_PREFIX, ProfileId, Version,
};
use std::collections::BTreeSet;

/// Digits of a version in a history key; zero padding makes keys sort by version.
const VERSION_DIGITS: usize = 20;

/// A conditional write of one row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Full key of the row, including its prefix.
    pub key: String,
    /// Version that the row must have; 0 requires that it was never written.
    pub expected_version: Version,
    /// New value as JSON text; `None` deletes the row.
    pub value: Option<String>,
}

/// A change of the view that is applied atomically.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// Rows that the change writes or deletes.
    pub rows: Vec<RowChange>,
    /// Rows that are not written but must still have the given versions.
    pub unchanged: Vec<Condition>,
    /// Version that the whole view must still have, for a change that depends on the absence of
    /// rows, for example; `None` if the conditions above suffice.
    pub whole_view: Option<Version>,
}

/// Result of a change of the view.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// The change is durable and the view now has this version.
    Accepted(Version),
    /// A row or the view had been changed before; nothing was written.
    Conflict {
        /// Key of the row that had changed, or of the head row if `whole_view` did not match.
        key: String,
        /// Current version of that row.
        current_version: Version,
    },
}

/// A profile document that was replaced or deleted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProfileHistoryEntry {
    /// Version of the profile's row while this document was current.
    pub version: Version,
    /// The document as JSON text.
    pub document: String,
}

/// Commits changes of the view; readers learn of them through the head rows.
#[derive(Clone, Debug)]
pub struct ViewWriter {
    client: PlatformClient,
}

impl ViewWriter {
    /// Creates a writer that commits through `client`.
    pub fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Commits a change.
    ///
    /// # Errors
    /// [`CallError::Refused`] if nothing was written, [`CallError::Unknown`] if the outcome could
    /// not be determined.
    pub async fn commit(&self, change: &ViewChange) -> Result<ChangeOutcome, CallError> {
        self.commit_with(change, Vec::new()).await
    }

    /// Writes or deletes a profile and stores the replaced document in the profile's history.
    ///
    /// `change` holds further conditions and rows; the profile's row is added to it.
    ///
    /// # Errors
    /// Same as for [`Self::commit`].
    pub async fn write_profile(
        &self,
        name: &str,
        expected_version: Version,
        document: Option<String>,
        mut change: ViewChange,
    ) -> Result<ChangeOutcome, CallError> {
        let key = format!("{PROFILE_PREFIX}{name}");
        let current = self.client.get(&key).await?;
        if current.version != expected_version {
            return Ok(ChangeOutcome::Conflict {
                key,
                current_version: current.version,
            });
        }
        let history = current.value.map(|value| Write {
            key: history_key(name, current.version),
            value: Some(value),
        });
        change.rows.push(RowChange {
            key,
            expected_version,
            value: document,
        });
        self.commit_with(&change, history.into_iter().collect())
            .await
    }

    /// Lists the former documents of a profile, oldest first.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the platform could not be read.
    pub async fn profile_history(
        &self,
        name: &ProfileId,
    ) -> Result<Vec<ProfileHistoryEntry>, CallError> {
        let prefix = history_prefix(name);
        let listing = self.client.list(&prefix, 0).await?;
        let entries = listing.rows.into_iter().filter_map(|listed| {
            let version = listed.key.strip_prefix(&prefix)?.parse().ok()?;
            let document = listed.row.value?;
            Some(ProfileHistoryEntry { version, document })
        });
        Ok(entries.collect())
    }

    async fn commit_with(
        &self,
        change: &ViewChange,
        extra_writes: Vec<Write>,
    ) -> Result<ChangeOutcome, CallError> {
        let operation = self.client.new_operation();
        let mut commit = build_commit(change);
        commit.writes.extend(extra_writes);
        commit.writes.extend(head_writes(change, &operation));
        let outcome = self.client.commit_as(operation, &commit).await?;
        Ok(match outcome {
            CommitOutcome::Committed(version) => ChangeOutcome::Accepted(version),
            CommitOutcome::Conflict(condition) => ChangeOutcome::Conflict {
                key: condition.key,
                current_version: condition.version,
            },
        })
    }
}

/// Builds the commit of a change. Conditions on rows come before the one on the head, so that a
/// conflict names the changed row if there is one.
fn build_commit(change: &ViewChange) -> Commit {
    let rows = change.rows.iter().map(|row| Condition {
        key: row.key.clone(),
        version: row.expected_version,
    });
    let head = change.whole_view.map(|version| Condition {
        key: HEAD_KEY.to_owned(),
        version,
    });
    let conditions = rows.chain(change.unchanged.iter().cloned()).chain(head);
    let writes = change.rows.iter().map(|row| Write {
        key: row.key.clone(),
        value: row.value.clone(),
    });
    Commit {
        conditions: conditions.collect(),
        writes: writes.collect(),
    }
}

/// Writes of the head row and of the head row of each kind of row that changes.
fn head_writes(change: &ViewChange, operation: &OperationId) -> Vec<Write> {
    let record = HeadRecord {
        operation: operation.clone(),
    };
    let value = serde_json::to_string(&record).unwrap_or_default();
    let kinds: BTreeSet<&str> = change
        .rows
        .iter()
        .filter_map(|row| Some(row.key.split_once('/')?.0))
        .collect();
    let kinds = kinds.iter().map(|kind| format!("{HEAD_KIND_PREFIX}{kind}"));
    std::iter::once(HEAD_KEY.to_owned())
        .chain(kinds)
        .map(|key| Write {
            key,
            value: Some(value.clone()),
        })
        .collect()
}

fn history_prefix(name: &str) -> String {
    format!("{HISTORY_PREFIX}{PROFILE_PREFIX}{name}/")
}

fn history_key(name: &str, version: Version) -> String {
    let prefix = history_prefix(name);
    format!("{prefix}{version:0VERSION_DIGITS$}")
}
