//! Refusals of requests, and the HTTP responses that report them.

use http_types::{Response, StatusCode, mime};
use radishpin_protocol::{ErrorBody, prelude::*};

/// Header with the request ID, accepted from callers and returned to them.
pub(in crate::node) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest reason; longer ones, such as those that quote a name from the request, are truncated.
const REASON_CHARACTERS_MAX: usize = 300;

/// Why a request is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) struct Refusal {
    /// Result code; determines the HTTP status and whether the call may have run.
    pub code: ResultCode,
    /// Explanation for the caller, in the response body and the log.
    pub reason: String,
    /// Time after which a retry may succeed, for `Retry-After`; `None` if retrying is not advised.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// Creates a refusal without `Retry-After`.
    pub(in crate::node) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: truncated(reason.into()),
            retry_after: None,
        }
    }

    /// Sets the time after which a retry may succeed.
    pub(in crate::node) const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

fn truncated(mut reason: String) -> String {
    if let Some((end, _)) = reason.char_indices().nth(REASON_CHARACTERS_MAX) {
        reason.truncate(end);
        reason.push_str("..");
    }
    reason
}

/// Builds the HTTP response; without a request ID header if `request_id` is empty.
pub(in crate::node) fn refusal_response(refusal: &Refusal, request_id: &str) -> Response {
    let status = StatusCode::try_from(refusal.code.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::InternalServerError));
    let body = ErrorBody::new(refusal.code, &refusal.reason, request_id);
    response.set_body(body.to_json());
    response.set_content_type(mime::JSON);
    if !request_id.is_empty() {
        response.insert_header(REQUEST_ID_HEADER, request_id);
    }
    if let Some(retry_after) = refusal.retry_after {
        response.insert_header("retry-after", retry_after_seconds(retry_after).to_string());
    }
    response
}

/// Converts to the whole seconds of `Retry-After`: at least 1, and rounded up so that callers do
/// not retry too early.
fn retry_after_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_secs();
    if duration.subsec_nanos() > 0 {
        seconds + 1
    } else {
        seconds.max(1)
    }
}
