//! What of a request tells whether it is the same as another one.

use http::{HeaderMap, HeaderName, Method, Uri, header};
use radishpin_adapter::header as wire;
use radishpin_core::request::{RequestFingerprint, RequestIdentity};

/// Headers of any HTTP client that do not tell who the caller is, or differ between its attempts.
const NOT_IDENTIFYING: [HeaderName; 6] = [
    header::ACCEPT,
    header::ACCEPT_ENCODING,
    header::CONTENT_TYPE,
    header::DATE,
    header::HOST,
    header::USER_AGENT,
];
/// Headers of request tracing, which differ between attempts.
const TRACING: [&str; 6] = [
    "baggage",
    "traceparent",
    "tracestate",
    "x-correlation-id",
    "x-request-id",
    "x-trace-id",
];

/// Computes the fingerprint of a request. Every header counts as telling who the caller is but for those
/// that are known not to.
pub(crate) fn fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> RequestFingerprint {
    let host = headers.get(header::HOST).map(|host| host.as_bytes());
    let prefix = headers.get(wire::PROMPT_PREFIX);
    let prefix = prefix.and_then(|prefix| prefix.to_str().ok());
    let shared_parts = prefix.map(wire::parse_shared_parts).unwrap_or_default();
    let caller_headers = headers.iter().filter(|(name, _)| is_identifying(name));
    let identity = RequestIdentity {
        method: method.as_str(),
        host: host.unwrap_or(uri.host().unwrap_or_default().as_bytes()),
        path: uri.path_and_query().map_or("", |path| path.as_str()),
        caller_headers: caller_headers
            .map(|(name, value)| (name.as_str(), value.as_bytes()))
            .collect(),
        shared_parts: &shared_parts,
        body,
    };
    identity.fingerprint()
}

fn is_identifying(name: &HeaderName) -> bool {
    let text = name.as_str();
    !NOT_IDENTIFYING.contains(name)
        && !TRACING.contains(&text)
        && !wire::NOT_IDENTIFYING.contains(&text)
}
