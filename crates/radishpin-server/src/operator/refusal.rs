//! Refusals of operators' requests.

use http_types::{Response, StatusCode, headers::CONTENT_TYPE};
use radishpin_protocol::{ErrorBody, ResultCode, Version};
use std::time::Duration;

/// Why a request is refused, with the details of the error response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refusal {
    code: ResultCode,
    reason: String,
    help: Option<String>,
    current_version: Option<Version>,
    allow: Option<&'static str>,
    retry_after: Option<Duration>,
}

impl Refusal {
    pub(super) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: reason.into(),
            help: None,
            current_version: None,
            allow: None,
            retry_after: None,
        }
    }

    /// Adds the document's current version.
    pub(super) fn with_current_version(self, version: Version) -> Self {
        Self {
            current_version: Some(version),
            ..self
        }
    }

    /// Replaces the default help of the result code.
    pub(super) fn with_help(self, help: String) -> Self {
        Self {
            help: Some(help),
            ..self
        }
    }

    /// Adds the `Allow` header with the methods that the path supports.
    pub(super) fn with_allow(self, allow: &'static str) -> Self {
        Self {
            allow: Some(allow),
            ..self
        }
    }

    /// Adds the `Retry-After` header.
    pub(super) fn with_retry_after(self, retry_after: Duration) -> Self {
        Self {
            retry_after: Some(retry_after),
            ..self
        }
    }

    pub(super) fn code(&self) -> ResultCode {
        self.code
    }

    pub(super) fn reason(&self) -> &str {
        &self.reason
    }

    /// The error response for the request `request_id`.
    pub(super) fn response(&self, request_id: &str) -> Response {
        let mut body = ErrorBody::new(self.code, self.reason.clone(), request_id);
        body.error.current_version = self.current_version;
        if let Some(help) = &self.help {
            body.error.help.clone_from(help);
        }
        let mut response = json_response(self.code.status(), body.to_json());
        if let Some(allow) = self.allow {
            response.insert_header("allow", allow);
        }
        if self.code == ResultCode::TokenMissing {
            response.insert_header("www-authenticate", "Bearer");
        }
        if let Some(retry_after) = self.retry_after {
            // The header has whole seconds; rounding up prevents a retry that is too early.
            let seconds = retry_after.as_millis().div_ceil(1_000);
            response.insert_header("retry-after", seconds.to_string());
        }
        response
    }
}

/// A response with a JSON body.
pub(super) fn json_response(status: u16, body: String) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    response.set_body(body);
    response.insert_header(CONTENT_TYPE, "application/json");
    response
}
