//! The JSON body of all error responses to callers and operators.

use crate::{Ran, RequestId, ResultCode, Version};
use serde::{Deserialize, Serialize};

/// JSON body of an error response: `{"error": {..}}`.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: ErrorDetail,
}

/// What went wrong, whether the request may have run, and what to do.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ErrorDetail {
    /// [`ResultCode::number`] of the error.
    pub code: u32,
    /// [`ResultCode::name`] of the error.
    pub name: String,
    /// What happened in this particular case.
    pub reason: String,
    /// [`ResultCode::help`] of the error: what the caller can do.
    pub help: String,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Id of the request that failed.
    pub request_id: RequestId,
    /// Current version of the document; present if a conditional change failed on a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub current_version: Option<Version>,
}

impl ErrorBody {
    /// Creates the body for a code; `reason` says what happened in this particular case.
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

    /// Overrides what the code says about whether the request ran.
    #[must_use]
    pub fn with_ran(mut self, ran: Ran) -> Self {
        self.error.ran = ran;
        self
    }

    /// Adds the current version of the document.
    #[must_use]
    pub fn with_current_version(mut self, version: Version) -> Self {
        self.error.current_version = Some(version);
        self
    }

    /// Serializes the body as JSON.
    pub fn to_json(&self) -> String {
        // Serialization cannot fail: all fields are strings, numbers or unit variants.
        serde_json::to_string(self).unwrap_or_default()
    }
}
