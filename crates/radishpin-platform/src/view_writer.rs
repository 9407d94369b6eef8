//! Commits changes of the view: the rows with the head row, and profiles with their history.

use crate::{CallError, Commit, CommitOutcome, Condition, OperationId, PlatformClient, Write};
use radishpin_protocol::{
    HEAD_KEY, HEAD_KIND_PREFIX, HISTORY_PREFIX, HeadRecord, PROFILE_PREFIX, ProfileId, Version,
};
use std::collections::BTreeSet;

/// Digits of a version in a history key, so that keys sort as versions do.
const VERSION_DIGITS: usize = 20;

/// A row to write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RowChange {
    /// Key of the row.
    pub key: String,
    /// Version of the row that the change was decided on; 0 for a row never written.
    pub expected_version: Version,
    /// New value, JSON text; `None` deletes.
    pub value: Option<String>,
}

/// Rows that change together.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ViewChange {
    /// Rows to write.
    pub rows: Vec<RowChange>,
    /// Rows that the decision rests on and that must not have changed.
    pub unchanged: Vec<Condition>,
    /// Version of the view that the decision rests on as a whole, as when it needs the absence
    /// of a row; `None` where the rows above say it all.
    pub whole_view: Option<Version>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ChangeOutcome {
    /// It is durable; the view has this version.
    Accepted(Version),
    /// Another change came first; nothing was written.
    Conflict {
        /// The row that had changed; the head where the whole view had to be unchanged.
        key: String,
        /// Its present version.
        current_version: Version,
    },
}

/// An earlier profile document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProfileHistoryEntry {
    /// Version of the document.
    pub version: Version,
    /// The document, JSON text.
    pub document: String,
}

/// Writes changes of the view.
#[derive(Clone, Debug)]
pub struct ViewWriter {
    client: PlatformClient,
}

impl ViewWriter {
    /// A writer over `client`.
    pub fn new(client: PlatformClient) -> Self {
        Self { client }
    }

    /// Commits a change.
    ///
    /// # Errors
    /// [`CallError::Refused`] where nothing was written, [`CallError::Unknown`] where that
    /// could not be found out.
    pub async fn commit(&self, change: &ViewChange) -> Result<ChangeOutcome, CallError> {
        self.commit_with(change, Vec::new()).await
    }

    /// Writes a profile, or deletes it, and keeps the document that it replaces.
    ///
    /// `change` holds further conditions; the profile's row is added to it.
    ///
    /// # Errors
    /// As [`Self::commit`].
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

    /// Documents that a profile had before the present one, oldest first.
    ///
    /// # Errors
    /// The platform did not answer.
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

/// Conditions and writes of a change; conditions on rows come before the one on the head, so
/// that a conflict names the row where there is one.
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

/// Writes of the head, and of the head of each kind of row that changes.
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
