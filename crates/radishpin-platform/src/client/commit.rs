//! Commits whose outcome can be settled after a lost reply.
//!
//! A commit carries a write of the row `operation/ID`, on the condition that it was never
//! written. Sent again after a lost reply, it conflicts on exactly that row if it took effect,
//! and takes effect otherwise; it never takes effect twice.

use super::{CallKind, PlatformClient};
use crate::{CallError, Cause, Commit, CommitOutcome, Condition, OperationId, Row, Write};
use radishpin_protocol::Version;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Key prefix of operation rows.
pub const OPERATION_PREFIX: &str = "operation/";

/// What an operation row says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OperationState {
    /// The commit took effect.
    Committed,
    /// The commit never takes effect.
    Abandoned,
}

/// What became of an operation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Settled {
    /// It took effect with this version.
    Committed(Version),
    /// It has no effect and never will.
    NoEffect,
}

impl PlatformClient {
    /// An id for [`Self::commit_as`].
    pub fn new_operation(&self) -> OperationId {
        self.shared.limits.new_operation()
    }

    /// Commits under a new operation id; sent again after a lost reply.
    ///
    /// # Errors
    /// [`CallError::Refused`] where it had no effect, [`CallError::Unknown`] where that could
    /// not be found out.
    pub async fn commit(&self, commit: &Commit) -> Result<CommitOutcome, CallError> {
        self.commit_as(self.new_operation(), commit).await
    }

    /// Commits under `operation`, which takes effect once however often it is sent.
    ///
    /// # Errors
    /// As [`Self::commit`].
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

    /// Commits without an operation row: cheaper, but never sent again after a lost reply. For
    /// rows whose value tells who wrote it, such as leases, which the caller reads back.
    ///
    /// # Errors
    /// As [`Self::commit`]; the operation of [`CallError::Unknown`] cannot be settled.
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

    /// Finds out whether an operation took effect, and keeps it from doing so later.
    ///
    /// # Errors
    /// [`CallError::Refused`] where the platform is down, and [`CallError::Unknown`] where the
    /// row of the operation was swept already or the answer was lost again; in both cases the
    /// operation is as unknown as before.
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

    /// Sends a commit that takes effect at most once until it is answered; tells whether an
    /// earlier try may have taken effect.
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

    /// The outcome of a commit that conflicted on its own operation row.
    async fn settle_conflict(
        &self,
        operation: OperationId,
        condition: &Condition,
        earlier_attempt_unknown: bool,
    ) -> Result<CommitOutcome, CallError> {
        let settled = if earlier_attempt_unknown {
            // Nobody abandons an operation while its own call still tries.
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

/// The commit with its operation row, whose condition comes first: a conflict on another row
/// then proves that the operation has not taken effect.
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
