//! Refusal of an attempt, as sent to the node.

use radishpin_protocol::{prelude::*, wire};

/// Why an attempt was refused, and whether it is certain that it did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::agent) struct AttemptRefusal {
    /// Sent to the node as a number.
    pub code: ResultCode,
    /// `true` if the attempt did not run and never will; `false` if it may have run.
    pub not_run: bool,
    /// Explanation for logs and for the caller.
    pub detail: String,
    /// Time after which a retry may succeed; zero if unknown.
    pub retry_after: Duration,
}

impl AttemptRefusal {
    /// Creates a refusal of an attempt that did not run and never will.
    pub(in crate::agent) fn not_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: true,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }

    /// Creates a refusal of an attempt that may have run.
    pub(in crate::agent) fn unknown(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(code, detail)
        }
    }

    /// Converts the refusal to the last frame of the reply stream.
    pub(in crate::agent) fn into_frame(self) -> wire::execute_reply::Frame {
        wire::execute_reply::Frame::Refusal(wire::Refusal {
            code: self.code.number(),
            not_run: self.not_run,
            detail: self.detail,
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
