//! Calls with an `Idempotency-Key` (keyed calls): a durable row per key ensures that at most one
//! node runs the call.
//!
//! The node writes the row before it sends an attempt; the row names the attempt and its endpoint.
//! Each write is conditional on the version that was read, so only the node whose write was
//! applied may send. Comparisons of wall-clock times allow for [`CLOCK_SKEW`].

use crate::request::TombstoneOutcome;
use radishpin_protocol::{UnixMs, prelude::*};
use serde::{Deserialize, Serialize};

/// Longest response body that is stored in the row itself; longer ones go to the object store.
pub const INLINE_ANSWER_BYTES: usize = 16 * 1024;
/// Largest tolerated difference between the clocks of two hosts.
const CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Digest of the service, method, path and body of a request: with the same key, a request with
/// another fingerprint is refused.
pub type Fingerprint = String;

/// An attempt of a keyed call, recorded before it is sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// Unique id of the write that recorded the attempt.
    pub operation: String,
    /// Request that the attempt belongs to.
    pub request_id: RequestId,
    /// Number of the attempt within the request, from 1.
    pub attempt: AttemptNumber,
    /// Endpoint that the attempt is sent to.
    pub endpoint: EndpointId,
    /// Incarnation of the endpoint's agent when the row was written.
    pub incarnation: Incarnation,
    /// Deadline of the caller, by the clock of the node that wrote the row.
    pub deadline_unix_ms: UnixMs,
}

/// Response to a finished call, as stored for replay.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredAnswer {
    /// Stored in the row.
    Inline {
        /// Media type of the body.
        content_type: String,
        /// The body.
        body: String,
    },
    /// Stored in the object store.
    Object {
        /// Media type of the body.
        content_type: String,
        /// Key of the object.
        key: String,
    },
}

impl StoredAnswer {
    /// Stores `body` inline if it is UTF-8 of at most [`INLINE_ANSWER_BYTES`]. Otherwise refers to
    /// the object `object_key`, which the caller must write before the row.
    pub fn from_body(content_type: &str, body: &[u8], object_key: &str) -> Self {
        let content_type = content_type.to_owned();
        let text = std::str::from_utf8(body).ok();
        match text.filter(|text| text.len() <= INLINE_ANSWER_BYTES) {
            Some(text) => Self::Inline {
                content_type,
                body: text.to_owned(),
            },
            None => Self::Object {
                content_type,
                key: object_key.to_owned(),
            },
        }
    }
}

/// The durable row of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum KeyedRow {
    /// An attempt may have been sent; no outcome is recorded yet.
    Pending {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// The attempt that may have been sent.
        dispatch: Dispatch,
        /// When the key may be reused.
        expires_unix_ms: UnixMs,
    },
    /// The call was refused with proof that it did not run.
    NotRun {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// When the key may be reused.
        expires_unix_ms: UnixMs,
    },
    /// The call ran and its response is recorded.
    Finished {
        /// Fingerprint of the request.
        fingerprint: Fingerprint,
        /// HTTP status of the response.
        status: u16,
        /// Content type and body of the response.
        answer: StoredAnswer,
        /// When the key may be reused.
        expires_unix_ms: UnixMs,
    },
}

impl KeyedRow {
    /// When the key may be reused and the row deleted.
    pub fn expires_unix_ms(&self) -> UnixMs {
        match self {
            Self::Pending {
                expires_unix_ms, ..
            }
            | Self::NotRun {
                expires_unix_ms, ..
            }
            | Self::Finished {
                expires_unix_ms, ..
            } => *expires_unix_ms,
        }
    }

    fn fingerprint(&self) -> &Fingerprint {
        match self {
            Self::Pending { fingerprint, .. }
            | Self::NotRun { fingerprint, .. }
            | Self::Finished { fingerprint, .. } => fingerprint,
        }
    }

    fn is_expired(&self, now_unix_ms: UnixMs) -> bool {
        is_past(self.expires_unix_ms(), now_unix_ms)
    }
}

/// A keyed call as seen by the node that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// Fingerprint of the request.
    pub fingerprint: Fingerprint,
    /// The attempt that the node is about to send.
    pub dispatch: Dispatch,
    /// Current time by the node's clock.
    pub now_unix_ms: UnixMs,
    /// Time from now until the row expires.
    pub retention: Duration,
}

/// Result of a conditional write to the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write was applied.
    Committed,
    /// The row no longer had the expected version; nothing was written.
    Conflict,
    /// The write was not applied: the store refused it, or it was never sent.
    NoEffect,
    /// No reply: the write may have been applied, or may still be.
    Unknown,
}

/// Next step of the node for a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedStep {
    /// Write the row if it still has this version, then call [`after_commit`].
    Write {
        /// Version that the row must have; 0 if it must not have been written before.
        if_version: Version,
        /// The new row.
        row: KeyedRow,
    },
    /// Read the row, then call [`after_read`].
    Read,
    /// Send the attempt; the row that names it is committed.
    Send,
    /// Tombstone the attempt that another write recorded, then call [`after_tombstone`].
    Tombstone {
        /// Version of the row that names the attempt.
        version: Version,
        /// The attempt to tombstone.
        dispatch: Dispatch,
    },
    /// Answer the caller with the stored response.
    Replay {
        /// HTTP status of the stored response.
        status: u16,
        /// Content type and body of the stored response.
        answer: StoredAnswer,
    },
    /// Refuse the call with this code.
    Refuse(ResultCode),
}

/// First step of each attempt: claims the key by writing a pending row that names the attempt.
/// `if_version` is 0 for the first attempt, later the version of the node's own last write.
pub fn claim_key(call: &KeyedCall, if_version: Version) -> KeyedStep {
    let row = KeyedRow::Pending {
        fingerprint: call.fingerprint.clone(),
        dispatch: call.dispatch.clone(),
        expires_unix_ms: expiry(call),
    };
    KeyedStep::Write { if_version, row }
}

/// Decides the next step after the write that [`claim_key`] asked for.
pub fn after_commit(reply: StoreReply) -> KeyedStep {
    match reply {
        StoreReply::Committed => KeyedStep::Send,
        StoreReply::Conflict | StoreReply::Unknown => KeyedStep::Read,
        StoreReply::NoEffect => KeyedStep::Refuse(ResultCode::KeyUnchecked),
    }
}

/// Decides the next step after a read. `read` is `None` if the store did not answer; a version of
/// 0 means that the row was never written.
pub fn after_read(call: &KeyedCall, read: Option<(Version, Option<&KeyedRow>)>) -> KeyedStep {
    let Some((version, row)) = read else {
        return KeyedStep::Refuse(ResultCode::KeyUnchecked);
    };
    let Some(row) = row.filter(|row| !row.is_expired(call.now_unix_ms)) else {
        return claim_key(call, version);
    };
    if *row.fingerprint() != call.fingerprint {
        return KeyedStep::Refuse(ResultCode::KeyReused);
    }
    match row {
        KeyedRow::NotRun { .. } => claim_key(call, version),
        KeyedRow::Finished { status, answer, .. } => KeyedStep::Replay {
            status: *status,
            answer: answer.clone(),
        },
        KeyedRow::Pending { dispatch, .. } => after_pending(call, version, dispatch),
    }
}

/// Decides the next step after the attempt of another write was tombstoned; the deadline of that
/// attempt has passed. Pass [`TombstoneOutcome::Unknown`] if the agent did not answer or if
/// another incarnation of it did.
pub fn after_tombstone(call: &KeyedCall, version: Version, outcome: TombstoneOutcome) -> KeyedStep {
    match outcome {
        TombstoneOutcome::NeverRuns => claim_key(call, version),
        TombstoneOutcome::Started => KeyedStep::Refuse(ResultCode::KeyInProgress),
        TombstoneOutcome::Finished | TombstoneOutcome::Unknown => {
            KeyedStep::Refuse(ResultCode::OutcomeUnknown)
        }
    }
}

/// The row to write when the call has finished.
pub fn finished_row(call: &KeyedCall, status: u16, answer: StoredAnswer) -> KeyedRow {
    KeyedRow::Finished {
        fingerprint: call.fingerprint.clone(),
        status,
        answer,
        expires_unix_ms: expiry(call),
    }
}

/// The row to write when the call is refused with proof that it did not run.
pub fn not_run_row(call: &KeyedCall) -> KeyedRow {
    KeyedRow::NotRun {
        fingerprint: call.fingerprint.clone(),
        expires_unix_ms: expiry(call),
    }
}

/// Refuses the call until the deadline of another write's attempt has passed, and only then
/// tombstones that attempt.
fn after_pending(call: &KeyedCall, version: Version, dispatch: &Dispatch) -> KeyedStep {
    if dispatch.operation == call.dispatch.operation {
        return KeyedStep::Send;
    }
    if !is_past(dispatch.deadline_unix_ms, call.now_unix_ms) {
        return KeyedStep::Refuse(ResultCode::KeyInProgress);
    }
    KeyedStep::Tombstone {
        version,
        dispatch: dispatch.clone(),
    }
}

fn expiry(call: &KeyedCall) -> UnixMs {
    let retention_ms = u64::try_from(call.retention.as_millis()).unwrap_or(u64::MAX);
    call.now_unix_ms.saturating_add(retention_ms)
}

/// Whether a time written by another host has passed, even with the largest tolerated clock skew.
fn is_past(unix_ms: UnixMs, now_unix_ms: UnixMs) -> bool {
    let skew_ms = u64::try_from(CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
    unix_ms.saturating_add(skew_ms) <= now_unix_ms
}
