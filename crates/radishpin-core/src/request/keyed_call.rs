//! Calls with an `Idempotency-Key`: a durable row decides who may run one.
//!
//! The row is written before the attempt is sent, names the attempt and its endpoint, and every
//! write is conditional on the version that was read, so only the node whose write took effect
//! may send. Wall-clock times are compared with [`CLOCK_SKEW`] in hand.

use crate::request::TombstoneOutcome;
use radishpin_protocol::{UnixMs, prelude::*};
use serde::{Deserialize, Serialize};

/// Longest answer that is kept in the row itself; a longer one goes to the object store.
pub const INLINE_ANSWER_BYTES: usize = 16 * 1024;
/// By how much the clocks of two hosts may differ.
const CLOCK_SKEW: Duration = Duration::from_secs(5);

/// Digest of everything in a request that makes it the same request: service, method, path, body.
pub type Fingerprint = String;

/// Where and when an attempt of a keyed call was to be sent.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Dispatch {
    /// Id of the write that announced it; unique.
    pub operation: String,
    /// The request.
    pub request_id: RequestId,
    /// The attempt within the request.
    pub attempt: AttemptNumber,
    /// The endpoint.
    pub endpoint: EndpointId,
    /// Life of the agent that it is sent to.
    pub incarnation: Incarnation,
    /// When its caller gives up, by the clock of the node that wrote it.
    pub deadline_unix_ms: UnixMs,
}

/// The answer of a finished call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StoredAnswer {
    /// In the row.
    Inline {
        /// Media type of the body.
        content_type: String,
        /// The body.
        body: String,
    },
    /// In the object store.
    Object {
        /// Media type of the body.
        content_type: String,
        /// Key of the object.
        key: String,
    },
}

impl StoredAnswer {
    /// Places a body in the row where it fits, else under `key` in the object store, where it
    /// must be written before the row.
    pub fn from_body(content_type: &str, body: &[u8], key: &str) -> Self {
        let content_type = content_type.to_owned();
        let text = std::str::from_utf8(body).ok();
        match text.filter(|text| text.len() <= INLINE_ANSWER_BYTES) {
            Some(text) => Self::Inline {
                content_type,
                body: text.to_owned(),
            },
            None => Self::Object {
                content_type,
                key: key.to_owned(),
            },
        }
    }
}

/// The durable row of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
pub enum KeyedRow {
    /// An attempt may have been sent; its outcome is not recorded.
    Pending {
        /// What was asked.
        fingerprint: Fingerprint,
        /// The attempt.
        dispatch: Dispatch,
        /// When the key is free again.
        expires_unix_ms: UnixMs,
    },
    /// It was refused with proof that it did not run.
    NotRun {
        /// What was asked.
        fingerprint: Fingerprint,
        /// When the key is free again.
        expires_unix_ms: UnixMs,
    },
    /// It ran and was answered.
    Finished {
        /// What was asked.
        fingerprint: Fingerprint,
        /// HTTP status of the answer.
        status: u16,
        /// The answer.
        answer: StoredAnswer,
        /// When the key is free again.
        expires_unix_ms: UnixMs,
    },
}

impl KeyedRow {
    /// When the key is free again and the row may be deleted.
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

/// A keyed call at the node that serves it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeyedCall {
    /// What is asked.
    pub fingerprint: Fingerprint,
    /// The attempt that the node would send.
    pub dispatch: Dispatch,
    /// The node's clock.
    pub now_unix_ms: UnixMs,
    /// How long the key is remembered.
    pub retention: Duration,
}

/// What the store said to a conditional write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// It took effect.
    Committed,
    /// Another write came first.
    Conflict,
    /// It had no effect: refused, or never sent.
    NoEffect,
    /// No reply: it may have taken effect, or may still.
    Unknown,
}

/// What the node does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyedStep {
    /// Write the row if it still has this version (0: never written), then [`after_commit`].
    Write {
        /// Version that the row must have.
        if_version: Version,
        /// The new row.
        row: KeyedRow,
    },
    /// Read the row, then [`after_read`].
    Read,
    /// The row is this node's: send the attempt that it names.
    Send,
    /// Tombstone the attempt of another node, then [`after_tombstone`].
    Tombstone {
        /// Version of the row.
        version: Version,
        /// The attempt to tombstone.
        dispatch: Dispatch,
    },
    /// Answer with what is stored.
    Replay {
        /// HTTP status.
        status: u16,
        /// The answer.
        answer: StoredAnswer,
    },
    /// Answer with this code.
    Refuse(ResultCode),
}

/// First step, and the step before any further attempt: announce the attempt. `if_version` is 0 at
/// first, then the version that the node's own last write got.
pub fn claim_key(call: &KeyedCall, if_version: Version) -> KeyedStep {
    let row = KeyedRow::Pending {
        fingerprint: call.fingerprint.clone(),
        dispatch: call.dispatch.clone(),
        expires_unix_ms: expiry(call),
    };
    KeyedStep::Write { if_version, row }
}

/// After the write of [`claim_key`].
pub fn after_commit(reply: StoreReply) -> KeyedStep {
    match reply {
        StoreReply::Committed => KeyedStep::Send,
        StoreReply::Conflict | StoreReply::Unknown => KeyedStep::Read,
        StoreReply::NoEffect => KeyedStep::Refuse(ResultCode::KeyUnchecked),
    }
}

/// After a read; `None` where the store did not answer. A version of 0 means never written.
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

/// After the attempt of a row that another node wrote was tombstoned, and its own deadline has
/// passed. Pass [`TombstoneOutcome::Unknown`] where the agent did not answer, or another life of
/// it did.
pub fn after_tombstone(call: &KeyedCall, version: Version, outcome: TombstoneOutcome) -> KeyedStep {
    match outcome {
        TombstoneOutcome::NeverRuns => claim_key(call, version),
        TombstoneOutcome::Started => KeyedStep::Refuse(ResultCode::KeyInProgress),
        TombstoneOutcome::Finished | TombstoneOutcome::Unknown => {
            KeyedStep::Refuse(ResultCode::OutcomeUnknown)
        }
    }
}

/// The row to write when the call was answered.
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

/// Another node's attempt is left alone until its caller has given up.
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

/// Whether a time written by another host has surely passed.
fn is_past(unix_ms: UnixMs, now_unix_ms: UnixMs) -> bool {
    let skew_ms = u64::try_from(CLOCK_SKEW.as_millis()).unwrap_or(u64::MAX);
    unix_ms.saturating_add(skew_ms) <= now_unix_ms
}
