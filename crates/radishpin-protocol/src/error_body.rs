//! The body of every answer that is an error, to callers and operators alike.

use crate::{Ran, RequestId, ResultCode, Version};
use serde::{Deserialize, Serialize};

/// `{"error": {..}}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// What went wrong.
    pub error: ErrorDetail,
}

/// What went wrong, and what can be done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// Number of the result code.
    pub code: u32,
    /// Name of the result code.
    pub name: String,
    /// What happened in this case.
    pub reason: String,
    /// What to do about it.
    pub help: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Id of the request.
    pub request_id: RequestId,
    /// Version that stands now, where a change lost a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Version>,
}

impl ErrorBody {
    /// The body for a code; `reason` says what happened in this case.
    pub fn new(code: ResultCode, reason: impl Into<String>, request_id: impl Into<String>) -> Self {
        Self {
            error: ErrorDetail {
                code: code.number(),
                name: code.name().to_owned(),
                reason: reason.into(),
                help: code.help().to_owned(),
                ran: code.ran(),
                request_id: request_id.into(),
                current_version: None,
            },
        }
    }

    /// The same body with another word on whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.error.ran = ran;
        self
    }

    /// The same body with the version that stands now.
    #[must_use]
    pub fn with_current_version(mut self, version: Version) -> Self {
        self.error.current_version = Some(version);
        self
    }

    /// The body as JSON text.
    pub fn to_json(&self) -> String {
        // Only strings and numbers: serialization cannot fail.
        serde_json::to_string(self).unwrap_or_default()
    }
}
