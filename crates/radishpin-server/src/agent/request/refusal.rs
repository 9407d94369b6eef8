//! Why an attempt is refused.

use radishpin_protocol::{prelude::*, wire};

/// A refusal of an attempt, and whether it is proven not to have run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::agent) struct AttemptRefusal {
    /// The numbered reason.
    pub code: ResultCode,
    /// Whether it did not run and never will.
    pub not_run: bool,
    /// What a log or a caller may read.
    pub detail: String,
    /// When another try makes sense; zero where unknown.
    pub retry_after: Duration,
}

impl AttemptRefusal {
    /// A refusal of an attempt that did not run and never will.
    pub(in crate::agent) fn not_run(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            code,
            not_run: true,
            detail: detail.into(),
            retry_after: Duration::ZERO,
        }
    }

    /// A refusal of an attempt that may have run.
    pub(in crate::agent) fn unknown(code: ResultCode, detail: impl Into<String>) -> Self {
        Self {
            not_run: false,
            ..Self::not_run(code, detail)
        }
    }

    /// The frame that carries it.
    pub(in crate::agent) fn into_frame(self) -> wire::execute_reply::Frame {
        wire::execute_reply::Frame::Refusal(wire::Refusal {
            code: self.code.number(),
            not_run: self.not_run,
            detail: self.detail,
            retry_after_ms: u64::try_from(self.retry_after.as_millis()).unwrap_or(u64::MAX),
        })
    }
}
