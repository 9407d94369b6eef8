//! Result codes for requests that the HTTP server could not read.

use radishpin_http::HttpFault;
use radishpin_protocol::ResultCode;

/// Result code and reason that are sent to the caller for `fault`.
pub(crate) const fn code_and_reason(fault: HttpFault) -> (ResultCode, &'static str) {
    match fault {
        HttpFault::Malformed => (ResultCode::MalformedRequest, "the request is malformed"),
        HttpFault::HeadTooLarge => (ResultCode::HeadTooLarge, "the head is too large"),
        HttpFault::BodyTooLarge => (ResultCode::BodyTooLarge, "the body is too large"),
        HttpFault::Timeout => (
            ResultCode::SlowRequest,
            "the request did not arrive in time",
        ),
    }
}
