//! Commits whose outcome can be determined after a lost response.
//!
//! Each commit also writes the row `operation/ID`, on the condition that this row was never
//! written. If the commit is sent again after a lost response and had taken effect, it conflicts
//! on exactly that row; otherwise it takes effect now. It never takes effect twice.

use super::{CallKind, PlatformClient};
use crate::{CallError, Cause, Commit, CommitOutcome, Condition, OperationId, Row, Write};
use radishpin_protocol::Version;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key prefix of operation rows; the operation id follows.
pub const OPERATION_PREFIX: &str = "operation/";

/// Value of an operation row.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OperationState {
    /// The commit with this operation id took effect.
    Committed,
    /// The operation was abandoned before its commit arrived, so the commit will have no effect.
    Abandoned,
}

/// Final outcome of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// The commit took effect; the rows that it wrote got this version.
    Committed(Version),
    /// The commit had no effect and will have none later.
    NoEffect,
}

impl PlatformClient {
    /// Returns a new unique id for [`Self::commit_as`].
    pub fn new_operation(&self) -> OperationId {
        self.shared.limits.new_operation()
    }

    /// Commits under a new operation id, and retries after a lost response.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the commit had no effect, [`CallError::Unknown`] if its outcome
    /// could not be determined.
    pub async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, CallError> {
        self.commit_as(self.new_operation(), commit).await
    }

    /// Commits under `operation`; a commit takes effect at most once per operation id, however
    /// often it is sent.
    ///
    /// # Errors
    /// Same as for [`Self::commit`].
    pub async fn commit_as(
        &self,
        operation: OperationId,
        commit: &Commit,
    ) -> Result<CommitOutcome, CallError> {
        let key = operation_key(&operation);
        let commit = with_operation_row(&key, OperationState::Committed, commit);
        let (outcome, earlier_attempt_unknown) =
            self.send_until_answered(operation.clone(), &commit).await?;
        match outcome {
            CommitOutcome::Conflict(condition) if condition.key == key => {
                self.settle_conflict(operation, &condition, earlier_attempt_unknown)
                    .await
            }
            other => Ok(other),
        }
    }

    /// Commits without an operation row.
    ///
    /// This saves a write, but the commit is not retried after a lost response. It suits rows
    /// whose value identifies the writer, such as leases, which the caller can read back.
    ///
    /// # Errors
    /// Same as for [`Self::commit`], but the operation id of [`CallError::Unknown`] is empty and
    /// cannot be settled.
    pub async fn commit_once(&self, commit: &Commit) -> Result<CommitOutcome, CallError> {
        let mut attempts = self.start_attempts(CallKind::Commit);
        loop {
            let call = self.shared.platform.commit(commit);
            let failure = match self.attempt(&attempts, call).await {
                Ok(outcome) => return Ok(outcome),
                Err(failure) => failure,
            };
            if failure.may_have_taken_effect {
                return Err(failure.into_unknown(OperationId::new()));
            }
            if !self.wait_for_retry(&mut attempts, &failure).await {
                return Err(failure.into_refused());
            }
        }
    }

    /// Determines whether an operation took effect; if it did not, abandons it so that it cannot
    /// take effect later.
    ///
    /// # Errors
    /// [`CallError::Refused`] if the platform is down, [`CallError::Unknown`] if the operation row
    /// was deleted by the sweep or the response was lost again. In both cases the outcome of the
    /// operation remains unknown.
    pub async fn settle(&self, operation: &OperationId) -> Result<Settled, CallError> {
        let key = operation_key(operation);
        let no_changes = Commit::default();
        let commit = with_operation_row(&key, OperationState::Abandoned, &no_changes);
        let (outcome, _) = self.send_until_answered(operation.clone(), &commit).await?;
        let settled = match outcome {
            CommitOutcome::Committed(_) => Settled::NoEffect,
            CommitOutcome::Conflict(_) => self.read_operation(operation).await?,
        };
        self.count_settled(settled);
        Ok(settled)
    }

    /// Sends a commit that has an operation row, with retries. Also returns whether an earlier
    /// attempt may have taken effect.
    async fn send_until_answered(
        &self,
        operation: OperationId,
        commit: &Commit,
    ) -> Result<(CommitOutcome, bool), CallError> {
        let mut attempts = self.start_attempts(CallKind::Commit);
        let mut unknown_failure = None;
        loop {
            let call = self.shared.platform.commit(commit);
            let failure = match self.attempt(&attempts, call).await {
                Ok(outcome) => return Ok((outcome, unknown_failure.is_some())),
                Err(failure) => failure,
            };
            if failure.may_have_taken_effect {
                unknown_failure = Some(failure.clone());
            }
            if !self.wait_for_retry(&mut attempts, &failure).await {
                return Err(match unknown_failure {
                    Some(unknown_failure) => unknown_failure.into_unknown(operation),
                    None => failure.into_refused(),
                });
            }
        }
    }

    /// Determines the outcome of a commit that conflicted on its own operation row.
    async fn settle_conflict(
        &self,
        operation: OperationId,
        condition: &Condition,
        earlier_attempt_unknown: bool,
    ) -> Result<CommitOutcome, CallError> {
        let settled = if earlier_attempt_unknown {
            // An operation is abandoned only after its own call has ended, so the row was written
            // by an earlier attempt of this call.
            Settled::Committed(condition.version)
        } else {
            self.read_operation(&operation).await?
        };
        self.count_settled(settled);
        match settled {
            Settled::Committed(version) => Ok(CommitOutcome::Committed(version)),
            Settled::NoEffect => Err(CallError::Refused {
                cause: Cause::Abandoned,
                retry_after: Duration::ZERO,
            }),
        }
    }

    async fn read_operation(&self, operation: &OperationId) -> Result<Settled, CallError> {
        let row = self.get(&operation_key(operation)).await?;
        match operation_state(&row) {
            Some(OperationState::Committed) => Ok(Settled::Committed(row.version)),
            Some(OperationState::Abandoned) => Ok(Settled::NoEffect),
            None => Err(CallError::Unknown {
                operation: operation.clone(),
                cause: Cause::Abandoned,
            }),
        }
    }

    fn count_settled(&self, settled: Settled) {
        self.shared.metrics.record_settled(match settled {
            Settled::Committed(_) => "committed",
            Settled::NoEffect => "never",
        });
    }
}

fn operation_key(operation: &str) -> String {
    format!("{OPERATION_PREFIX}{operation}")
}

fn operation_state(row: &Row) -> Option<OperationState> {
    serde_json::from_str(row.value.as_deref()?).ok()
}

/// Adds the operation row to a commit.
///
/// Its condition comes first and the platform reports the first condition that failed, so a
/// conflict on another row proves that the operation has not taken effect.
fn with_operation_row(key: &str, state: OperationState, commit: &Commit) -> Commit {
    let condition = Condition {
        key: key.to_owned(),
        version: 0,
    };
    let value = match state {
        OperationState::Committed => "\"committed\"",
        OperationState::Abandoned => "\"abandoned\"",
    };
    let write = Write {
        key: key.to_owned(),
        value: Some(value.to_owned()),
    };
    let mut conditions = vec![condition];
    conditions.extend_from_slice(&commit.conditions);
    let mut writes = commit.writes.clone();
    writes.push(write);
    Commit { conditions, writes }
}
