//! Reads and conditional writes of the platform's table, with errors mapped to refusals.

use super::refusal::Refusal;
use radishpin_platform::{
    CallError, ChangeOutcome, Condition, Listing, PlatformClient, ProfileHistoryEntry, Row,
    RowChange, ViewChange, ViewWriter,
};
use radishpin_protocol::{ProfileId, ResultCode, Version};
use std::time::Duration;

/// The platform's table as used by the operators' API.
#[derive(Clone, Debug)]
pub struct Table {
    client: PlatformClient,
    writer: ViewWriter,
}

/// A change of one document with the conditions under which it is committed.
#[derive(Clone, Debug)]
pub(super) struct Change<'a> {
    /// Key of the document's row.
    pub(super) key: &'a str,
    /// The row as read; its version must still be current.
    pub(super) row: &'a Row,
    /// New value; `None` deletes the document.
    pub(super) value: Option<String>,
    /// Other rows that must be unchanged.
    pub(super) unchanged: Vec<Condition>,
    /// Version of the view that must be unchanged, if the change depends on the whole view.
    pub(super) whole_view: Option<Version>,
}

impl<'a> Change<'a> {
    /// A change that depends on its own row only.
    pub(super) fn new(key: &'a str, row: &'a Row, value: Option<String>) -> Self {
        Self {
            key,
            row,
            value,
            unchanged: Vec::new(),
            whole_view: None,
        }
    }

    fn conditions(&self) -> ViewChange {
        ViewChange {
            rows: Vec::new(),
            unchanged: self.unchanged.clone(),
            whole_view: self.whole_view,
        }
    }

    fn view_change(self) -> ViewChange {
        let mut change = self.conditions();
        change.rows.push(RowChange {
            key: self.key.to_owned(),
            expected_version: self.row.version,
            value: self.value,
        });
        change
    }
}

impl Table {
    /// Reads and writes the table through `client`.
    pub fn new(client: PlatformClient) -> Self {
        let writer = ViewWriter::new(client.clone());
        Self { client, writer }
    }

    /// Reads a row; a missing row has no value.
    pub(super) async fn get(&self, key: &str) -> Result<Row, Refusal> {
        let row = self.client.get(key).await;
        row.map_err(|error| refusal(key, &error))
    }

    /// Lists the rows under a prefix.
    pub(super) async fn list(&self, prefix: &str) -> Result<Listing, Refusal> {
        let listing = self.client.list(prefix, 0).await;
        listing.map_err(|error| refusal(prefix, &error))
    }

    /// Reads the replaced documents of a profile, oldest first.
    pub(super) async fn profile_history(
        &self,
        name: &ProfileId,
    ) -> Result<Vec<ProfileHistoryEntry>, Refusal> {
        let history = self.writer.profile_history(name).await;
        history.map_err(|error| refusal(name, &error))
    }

    /// Commits a change if all of its conditions hold.
    pub(super) async fn commit(&self, change: Change<'_>) -> Result<ChangeOutcome, Refusal> {
        let key = change.key.to_owned();
        let outcome = self.writer.commit(&change.view_change()).await;
        outcome.map_err(|error| refusal(&key, &error))
    }

    /// Commits a change of a profile and adds the replaced document to its history.
    pub(super) async fn commit_profile(
        &self,
        name: &str,
        change: Change<'_>,
    ) -> Result<ChangeOutcome, Refusal> {
        let conditions = change.conditions();
        let outcome = self
            .writer
            .write_profile(name, change.row.version, change.value, conditions)
            .await;
        outcome.map_err(|error| refusal(change.key, &error))
    }
}

fn refusal(key: &str, error: &CallError) -> Refusal {
    match error {
        CallError::Refused { retry_after, .. } => {
            Refusal::new(ResultCode::PlatformDown, error.to_string())
                .with_retry_after((*retry_after).max(MIN_RETRY_AFTER))
        }
        CallError::Unknown { .. } => change_unknown(key, error),
    }
}

/// Lower bound of `Retry-After` while the platform refuses calls.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time after which the platform can probably tell whether a change took effect.
const UNKNOWN_RETRY_AFTER: Duration = Duration::from_secs(5);

fn change_unknown(key: &str, error: &CallError) -> Refusal {
    let reason = format!("whether the change of {key} took effect is not known: {error}");
    let help = format!(
        "GET /v1/{} once the platform answers; repeat the change only if it is not there.",
        path_of(key)
    );
    Refusal::new(ResultCode::ChangeUnknown, reason)
        .with_help(help)
        .with_retry_after(UNKNOWN_RETRY_AFTER)
}

/// Path of a row's document below `/v1/`, such as `profiles/NAME`.
fn path_of(key: &str) -> String {
    match key.split_once('/') {
        Some((kind, name)) => format!("{kind}s/{name}"),
        None => key.to_owned(),
    }
}
