//! Calls with an `Idempotency-Key`: reads and writes of the key's durable row, which is written
//! before each attempt is sent.

use super::{Call, Refusal, attempt::tombstone_dispatch};
use crate::{
    clock::unix_now_ms,
    node::{Node, connection::AgentLink},
};
use radishpin_core::request::{
    Dispatch, KeyedCall, KeyedRow, KeyedStep, StoreReply, StoredAnswer, after_commit, after_read,
    after_tombstone, claim_key, finished_row, not_run_row,
};
use radishpin_platform::{CallError, Commit, CommitOutcome, Condition, PlatformClient, Write};
use radishpin_protocol::{CALL_PREFIX, prelude::*};
use radishpin_runtime::timeout;
use sha2::{Digest, Sha256};
use std::sync::Arc;

/// Time for which the row of a key, with the response of a finished call, is kept for replay.
const RETENTION: Duration = Duration::from_secs(24 * 3_600);
/// Bounds of the time that a response is held back while it is stored for replay; within them it
/// is the time left to the call's deadline.
const OUTCOME_TIMEOUT_MIN: Duration = Duration::from_millis(20);
const OUTCOME_TIMEOUT_MAX: Duration = Duration::from_secs(1);
/// `Retry-After` of a call whose key is in use or cannot be checked.
const RETRY_AFTER: Duration = Duration::from_secs(2);
/// Largest number of store calls and tombstones to claim a key; the call is refused after that.
const CLAIM_STEPS_MAX: u32 = 8;

/// Result of checking or claiming a key.
pub(super) enum KeyCheck {
    /// The key is free, or claimed by this call: it may go on.
    Proceed,
    /// The call has already finished; its response is stored.
    Replay(Replay),
}

/// Stored response of a finished call.
pub(super) struct Replay {
    pub(super) status: u16,
    pub(super) content_type: String,
    pub(super) body: Vec<u8>,
}

/// The row of one call's key, as last read or written by this node.
pub(super) struct KeyedSession {
    node: Arc<Node>,
    row_key: String,
    fingerprint: String,
    /// Version of the row that the next write is conditional on; 0 if it has never been written.
    version: Version,
    /// The call with the attempt that was recorded last.
    call: KeyedCall,
}

impl KeyedSession {
    /// Creates a session; `None` if the call has no key, or is idempotent and needs none.
    pub(super) fn for_call(node: &Arc<Node>, call: &Call) -> Option<Self> {
        let key = call.idempotency_key.as_ref().filter(|_| !call.idempotent)?;
        let fingerprint = fingerprint(call);
        Some(Self {
            node: Arc::clone(node),
            row_key: format!("{CALL_PREFIX}{}/{key}", call.service),
            version: 0,
            call: keyed_call(node, call, &fingerprint, None, 0),
            fingerprint,
        })
    }

    /// Checks before routing whether the key is free, because only then may a refusal say "not
    /// run".
    ///
    /// # Errors
    /// The key is in use, was used for another request or cannot be checked, or the outcome of an
    /// earlier call is unknown.
    pub(super) async fn check(&mut self, call: &Call) -> Result<KeyCheck, Refusal> {
        let mut step = KeyedStep::Read;
        for _ in 0..CLAIM_STEPS_MAX {
            step = match step {
                KeyedStep::Read => self.read(call).await,
                KeyedStep::Tombstone { version, dispatch } => {
                    self.tombstone(version, &dispatch).await
                }
                KeyedStep::Write { if_version, .. } => {
                    self.version = if_version;
                    return Ok(KeyCheck::Proceed);
                }
                KeyedStep::Send => return Ok(KeyCheck::Proceed),
                KeyedStep::Replay { status, answer } => {
                    return self.replay(status, answer).await.map(KeyCheck::Replay);
                }
                KeyedStep::Refuse(code) => return Err(key_refusal(code)),
            };
        }
        Err(key_refusal(ResultCode::KeyInProgress))
    }

    /// Claims the key by writing the attempt to the row; `Proceed` means that it may be sent.
    ///
    /// # Errors
    /// The key is in use, was used for another request or cannot be checked, or the outcome of an
    /// earlier call is unknown.
    pub(super) async fn record_attempt(
        &mut self,
        call: &Call,
        link: &AgentLink,
        number: AttemptNumber,
    ) -> Result<KeyCheck, Refusal> {
        self.call = keyed_call(&self.node, call, &self.fingerprint, Some(link), number);
        let mut step = claim_key(&self.call, self.version);
        for _ in 0..CLAIM_STEPS_MAX {
            step = match step {
                KeyedStep::Write { if_version, row } => {
                    after_commit(self.write(call, if_version, &row).await)
                }
                KeyedStep::Read => self.read(call).await,
                KeyedStep::Tombstone { version, dispatch } => {
                    self.tombstone(version, &dispatch).await
                }
                KeyedStep::Send => return Ok(KeyCheck::Proceed),
                KeyedStep::Replay { status, answer } => {
                    return self.replay(status, answer).await.map(KeyCheck::Replay);
                }
                KeyedStep::Refuse(code) => return Err(key_refusal(code)),
            };
        }
        Err(key_refusal(ResultCode::KeyInProgress))
    }

    /// Stores the response for replay. Waits for the write until the call's deadline, within the
    /// bounds above; after that it goes on in the background. Until it is done, a repeated call is
    /// refused because the outcome is unknown.
    pub(super) async fn store_answer(
        &mut self,
        call: &Call,
        status: u16,
        content_type: &str,
        body: &[u8],
    ) {
        let key = format!("answers/{}", self.row_key);
        let answer = StoredAnswer::from_body(content_type, body, &key);
        let object = match &answer {
            StoredAnswer::Object { key, .. } => Some((key.clone(), body.to_vec())),
            StoredAnswer::Inline { .. } => None,
        };
        let Some(commit) =
            self.conditional_write(self.version, &finished_row(&self.call, status, answer))
        else {
            return;
        };
        let client = self.node.client.clone();
        let mut write_task = self.node.runtime.spawn(async move {
            if let Some((key, body)) = object
                && let Err(cause) = client.put_object(&key, &body).await
            {
                log::warn!(event = "answer_not_kept", cause:% = cause;
                    "cannot store the response; repeated calls with this key are refused");
                return;
            }
            write_outcome(&client, &commit).await;
        });
        let remaining = call.remaining(self.node.clock.now());
        let wait_limit = remaining.clamp(OUTCOME_TIMEOUT_MIN, OUTCOME_TIMEOUT_MAX);
        if timeout(wait_limit, &mut write_task).await.is_none() {
            write_task.detach();
        }
    }

    /// Frees the key by recording that the call did not run. The write runs in the background, so
    /// the refusal is not delayed.
    pub(super) fn release(&self) {
        if self.version == 0 {
            return;
        }
        let Some(commit) = self.conditional_write(self.version, &not_run_row(&self.call)) else {
            return;
        };
        let client = self.node.client.clone();
        let write = async move { write_outcome(&client, &commit).await };
        self.node.runtime.spawn_detached(write);
    }

    async fn read(&mut self, call: &Call) -> KeyedStep {
        let remaining = call.remaining(self.node.clock.now());
        let row = match timeout(remaining, self.node.client.get(&self.row_key)).await {
            Some(Ok(row)) => row,
            Some(Err(_)) | None => return after_read(&self.call, None),
        };
        self.version = row.version;
        match row.value.as_deref().map(serde_json::from_str::<KeyedRow>) {
            None => after_read(&self.call, Some((row.version, None))),
            Some(Ok(record)) => after_read(&self.call, Some((row.version, Some(&record)))),
            // The row is malformed, so whether an earlier call ran is unknown.
            Some(Err(_)) => KeyedStep::Refuse(ResultCode::OutcomeUnknown),
        }
    }

    async fn write(&mut self, call: &Call, if_version: Version, row: &KeyedRow) -> StoreReply {
        let Some(commit) = self.conditional_write(if_version, row) else {
            return StoreReply::NoEffect;
        };
        let remaining = call.remaining(self.node.clock.now());
        match timeout(remaining, self.node.client.commit_once(&commit)).await {
            Some(Ok(CommitOutcome::Committed(version))) => {
                self.version = version;
                StoreReply::Committed
            }
            Some(Ok(CommitOutcome::Conflict(_))) => StoreReply::Conflict,
            Some(Err(CallError::Refused { .. })) => StoreReply::NoEffect,
            Some(Err(CallError::Unknown { .. })) | None => StoreReply::Unknown,
        }
    }

    async fn tombstone(&self, version: Version, dispatch: &Dispatch) -> KeyedStep {
        let links = self.node.links();
        let outcome = tombstone_dispatch(links.get(&dispatch.endpoint), dispatch).await;
        after_tombstone(&self.call, version, outcome)
    }

    async fn replay(&self, status: u16, answer: StoredAnswer) -> Result<Replay, Refusal> {
        let (content_type, body) = match answer {
            StoredAnswer::Inline { content_type, body } => (content_type, body.into_bytes()),
            StoredAnswer::Object { content_type, key } => {
                match self.node.client.get_object(&key).await {
                    Ok(Some(body)) => (content_type, body),
                    Ok(None) | Err(_) => return Err(key_refusal(ResultCode::KeyUnchecked)),
                }
            }
        };
        self.node.metrics.replays.inc();
        Ok(Replay {
            status,
            content_type,
            body,
        })
    }

    fn conditional_write(&self, if_version: Version, row: &KeyedRow) -> Option<Commit> {
        Some(Commit {
            conditions: vec![Condition {
                key: self.row_key.clone(),
                version: if_version,
            }],
            writes: vec![Write {
                key: self.row_key.clone(),
                value: Some(serde_json::to_string(row).ok()?),
            }],
        })
    }
}

async fn write_outcome(client: &PlatformClient, commit: &Commit) {
    if let Err(cause) = client.commit_once(commit).await {
        log::warn!(event = "outcome_not_kept", cause:% = cause;
            "cannot store the outcome; repeated calls with this key are refused");
    }
}

fn keyed_call(
    node: &Node,
    call: &Call,
    fingerprint: &str,
    link: Option<&AgentLink>,
    number: AttemptNumber,
) -> KeyedCall {
    let now_unix_ms = unix_now_ms();
    let remaining = call.remaining(node.clock.now());
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    KeyedCall {
        fingerprint: fingerprint.to_owned(),
        dispatch: Dispatch {
            operation: format!("{}/{number}", call.id),
            request_id: call.id.clone(),
            attempt: number,
            endpoint: link.map(|link| link.endpoint().clone()).unwrap_or_default(),
            incarnation: link.map(AgentLink::incarnation).unwrap_or_default(),
            deadline_unix_ms: now_unix_ms.saturating_add(remaining_ms),
        },
        now_unix_ms,
        retention: RETENTION,
    }
}

/// Digest of service, method, path and body. The length precedes each part, so that different calls
/// cannot hash the same bytes.
fn fingerprint(call: &Call) -> String {
    let mut digest = Sha256::new();
    let parts = [
        call.service.as_bytes(),
        call.method.as_bytes(),
        call.path.as_bytes(),
        &call.body,
    ];
    for part in parts {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    format!("{:x}", digest.finalize())
}

fn key_refusal(code: ResultCode) -> Refusal {
    let reason = match code {
        ResultCode::KeyReused => "the Idempotency-Key was used with another request",
        ResultCode::KeyUnchecked => "the Idempotency-Key cannot be checked now",
        ResultCode::KeyInProgress => "a call with the same Idempotency-Key is in progress",
        _ => "an earlier call with the same Idempotency-Key has no known outcome",
    };
    let refusal = Refusal::new(code, reason);
    match code {
        ResultCode::KeyUnchecked | ResultCode::KeyInProgress => {
            refusal.with_retry_after(RETRY_AFTER)
        }
        _ => refusal,
    }
}
