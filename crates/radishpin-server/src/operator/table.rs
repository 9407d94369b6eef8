//! Reads and conditional writes of the platform's table, with refusals in place of errors.

use super::{name::random_id, refusal::Refusal};
use radishpin_platform::{
    Commit, CommitOutcome, Condition, Listing, Platform, PlatformError, Row, Write,
};
use radishpin_protocol::{HEAD_KEY, HeadRecord, ResultCode, Version};
use std::{fmt, sync::Arc};

/// The platform's table as the operators' API uses it.
#[derive(Clone)]
pub struct Table {
    platform: Arc<dyn Platform>,
}

impl fmt::Debug for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Table")
    }
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Written {
    /// Durable.
    Committed(Version),
    /// A condition failed; nothing was written.
    Conflict(Condition),
}

impl Table {
    /// Uses `platform`.
    pub fn new(platform: Arc<dyn Platform>) -> Self {
        Self { platform }
    }

    /// Reads a row.
    pub(super) async fn get(&self, key: &str) -> Result<Row, Refusal> {
        self.platform.get(key).await.map_err(|e| down(&e))
    }

    /// Lists the rows under a prefix.
    pub(super) async fn list(&self, prefix: &str) -> Result<Listing, Refusal> {
        self.platform.list(prefix, 0).await.map_err(|e| down(&e))
    }

    /// Writes rows of the view; `key` is the one that the order names.
    pub(super) async fn commit(
        &self,
        key: &str,
        conditions: Vec<Condition>,
        mut writes: Vec<Write>,
    ) -> Result<Written, Refusal> {
        let head = HeadRecord {
            operation: random_id(),
        };
        writes.push(Write {
            key: HEAD_KEY.to_owned(),
            value: serde_json::to_string(&head).ok(),
        });
        match self.platform.commit(&Commit { conditions, writes }).await {
            Ok(CommitOutcome::Committed(version)) => Ok(Written::Committed(version)),
            Ok(CommitOutcome::Conflict(failed)) => Ok(Written::Conflict(failed)),
            Err(PlatformError::Unknown(cause)) => Err(unknown(key, &cause)),
            Err(error) => Err(down(&error)),
        }
    }
}

fn down(error: &PlatformError) -> Refusal {
    Refusal::new(ResultCode::PlatformDown, error.to_string())
}

fn unknown(key: &str, cause: &str) -> Refusal {
    let reason = format!("whether the change of {key} took effect is not known: {cause}");
    let help = format!(
        "GET /v1/{} once the platform answers; repeat the change only if it is not there.",
        path_of(key)
    );
    Refusal::new(ResultCode::ChangeUnknown, reason).with_help(help)
}

/// Path of a row's document in this API.
fn path_of(key: &str) -> String {
    match key.split_once('/') {
        Some((kind, name)) => format!("{kind}s/{name}"),
        None => key.to_owned(),
    }
}
