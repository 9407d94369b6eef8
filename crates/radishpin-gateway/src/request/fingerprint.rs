//! Fingerprints of requests, which tell whether two of them are the same but for the attempt.

use http::{HeaderMap, HeaderName, Method, Uri, header};
use radishpin_adapter::header as wire;
use radishpin_core::request::RequestFingerprint;
use sha2::{Digest, Sha256};

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

/// Computes the fingerprint of a request from its method, host, path, query, body, the parts of its prompt
/// that other requests may share, and the headers that tell who its caller is.
///
/// The hash is cryptographic, so that no caller can craft a request with the fingerprint of another one.
pub(crate) fn fingerprint(
    method: &Method,
    uri: &Uri,
    headers: &HeaderMap,
    body: &[u8],
) -> RequestFingerprint {
    let host = headers.get(header::HOST);
    let host = host.map_or(uri.host().unwrap_or_default().as_bytes(), |host| {
        host.as_bytes()
    });
    let path = uri.path_and_query().map_or("", |path| path.as_str());
    let mut hash = Sha256::new();
    write(&mut hash, method.as_str().as_bytes());
    write(&mut hash, &host.to_ascii_lowercase());
    write(&mut hash, path.as_bytes());
    let mut identifying: Vec<(&str, &[u8])> = headers
        .iter()
        .filter(|(name, _)| is_identifying(name))
        .map(|(name, value)| (name.as_str(), value.as_bytes()))
        .collect();
    identifying.sort_unstable();
    for (name, value) in identifying {
        write(&mut hash, name.as_bytes());
        write(&mut hash, value);
    }
    // Ends the headers, as none has an empty name.
    write(&mut hash, &[]);
    let prefix = headers.get(wire::PROMPT_PREFIX);
    let prefix = prefix.and_then(|prefix| prefix.to_str().ok());
    for part in prefix
        .map(wire::parse_shared_parts)
        .unwrap_or_default()
        .ids()
    {
        write(&mut hash, &part.to_be_bytes());
    }
    write(&mut hash, &[]);
    write(&mut hash, body);
    let digest = hash.finalize();
    let (first, _) = digest.split_at(size_of::<RequestFingerprint>());
    first
        .iter()
        .fold(0, |bits, byte| (bits << u8::BITS) | u64::from(*byte))
}

/// Writes a field with its length, so that no two sequences of fields hash alike.
fn write(hash: &mut Sha256, field: &[u8]) {
    hash.update((field.len() as u64).to_be_bytes());
    hash.update(field);
}

fn is_identifying(name: &HeaderName) -> bool {
    let text = name.as_str();
    !NOT_IDENTIFYING.contains(name)
        && !TRACING.contains(&text)
        && !wire::NOT_IDENTIFYING.contains(&text)
}
