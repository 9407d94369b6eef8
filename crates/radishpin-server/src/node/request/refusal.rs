//! Refusals as callers get them.

use http_types::{Response, StatusCode, mime};
use radishpin_protocol::{ErrorBody, prelude::*};

/// Header with the id of the request, taken and returned.
pub(in crate::node) const REQUEST_ID_HEADER: &str = "x-request-id";

/// Longest reason; a longer one, as of a name that the caller gave, is cut.
const REASON_CHARACTERS_MAX: usize = 300;

/// Why a request is not served.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(in crate::node) struct Refusal {
    /// The numbered reason.
    pub code: ResultCode,
    /// What happened to this request.
    pub reason: String,
    /// When another try makes sense; `None` where it does not.
    pub retry_after: Option<Duration>,
}

impl Refusal {
    /// A refusal without a time to come back.
    pub(in crate::node) fn new(code: ResultCode, reason: impl Into<String>) -> Self {
        Self {
            code,
            reason: shortened(reason.into()),
            retry_after: None,
        }
    }

    /// The same with a time to come back.
    pub(in crate::node) const fn with_retry_after(mut self, retry_after: Duration) -> Self {
        self.retry_after = Some(retry_after);
        self
    }
}

fn shortened(mut reason: String) -> String {
    if let Some((end, _)) = reason.char_indices().nth(REASON_CHARACTERS_MAX) {
        reason.truncate(end);
        reason.push_str("..");
    }
    reason
}

/// The HTTP answer of a refusal.
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
        response.insert_header("retry-after", whole_seconds(retry_after).to_string());
    }
    response
}

/// `Retry-After` counts in whole seconds; rounded up, so that nobody comes back too early.
fn whole_seconds(duration: Duration) -> u64 {
    let seconds = duration.as_secs();
    if duration.subsec_nanos() > 0 {
        seconds + 1
    } else {
        seconds.max(1)
    }
}
