//! Property test: random and mutated bytes end in a response or a close, and the server keeps
//! serving.

use crate::support::TestServer;
use proptest::prelude::*;
use radishpin_http::ServerLimits;
use std::time::Duration;

const VALID: &[u8] = b"POST /x HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
    5\r\nhello\r\n0\r\n\r\nGET /y HTTP/1.1\r\nhost: b\r\ncontent-length: 3\r\n\r\nabc";

fn limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 512,
        body_bytes: 512,
        head_timeout: Duration::from_millis(40),
        body_timeout: Duration::from_millis(40),
        idle_timeout: Duration::from_millis(40),
        ..ServerLimits::default()
    }
}

fn mutated() -> impl Strategy<Value = Vec<u8>> {
    let changes = prop::collection::vec((0..VALID.len(), any::<u8>()), 1..6);
    (changes, 0..=VALID.len()).prop_map(|(changes, length)| {
        let mut bytes = VALID.to_vec();
        for (index, byte) in changes {
            bytes[index] = byte;
        }
        bytes.truncate(length);
        bytes
    })
}

/// Sends bytes, optionally shuts down writing, and waits until the server closes; then checks
/// that the server still answers a valid request.
fn check_still_serves(
    server: &TestServer,
    bytes: &[u8],
    half_close: bool,
) -> Result<(), TestCaseError> {
    let mut caller = server.connect();
    caller.send(bytes);
    if half_close {
        let _ = caller.stream.shutdown(std::net::Shutdown::Write);
    }
    let answer = caller.read_to_close();
    prop_assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 "),
        "{answer:?}"
    );
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    let next = server.exchange(request);
    prop_assert!(next.starts_with("HTTP/1.1 200 OK"), "{next:?}");
    Ok(())
}

#[test]
fn any_bytes_end_in_a_response_or_a_close() {
    let server = TestServer::start(limits());
    let bytes = prop_oneof![prop::collection::vec(any::<u8>(), 0..700), mutated()];
    let config = ProptestConfig {
        cases: 192,
        ..ProptestConfig::default()
    };
    proptest!(config, |(bytes in bytes, half_close in any::<bool>())| {
        check_still_serves(&server, &bytes, half_close)?;
    });
}
