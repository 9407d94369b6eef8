//! Tests that malformed, truncated, oversized and slow requests are refused.

use crate::support::TestServer;
use insta::assert_snapshot;
use radishpin_http::ServerLimits;
use std::time::Duration;

/// Sends each request on a new connection, and returns status line and body of the responses.
fn response_summaries(server: &TestServer, requests: &[(&str, &[u8])]) -> String {
    requests
        .iter()
        .map(|(name, bytes)| {
            let answer = server.exchange(bytes);
            let status = answer.lines().next().unwrap_or("closed");
            let body = answer.split_once("\n\n").map_or("", |(_, body)| body);
            format!("{name}: {status} / {body}")
        })
        .collect::<Vec<_>>()
        .join("\n")
}

fn short_limits() -> ServerLimits {
    ServerLimits {
        head_bytes: 1024,
        body_bytes: 16,
        head_timeout: Duration::from_millis(100),
        body_timeout: Duration::from_millis(100),
        idle_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    }
}

#[test]
fn malformed_heads_are_refused() {
    let server = TestServer::start(ServerLimits::default());
    let requests: &[(&str, &[u8])] = &[
        ("no host", b"GET / HTTP/1.1\r\n\r\n"),
        ("two hosts", b"GET / HTTP/1.1\r\nhost: a\r\nhost: a\r\n\r\n"),
        ("empty host", b"GET / HTTP/1.1\r\nhost:\r\n\r\n"),
        ("host with path", b"GET / HTTP/1.1\r\nhost: a/b\r\n\r\n"),
        ("host with user", b"GET / HTTP/1.1\r\nhost: u@a\r\n\r\n"),
        ("junk", b"\x00\x01\xff junk"),
        ("binary line", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n"),
        ("old version", b"GET / HTTP/1.0\r\nhost: a\r\n\r\n"),
        ("new version", b"GET / HTTP/2.0\r\nhost: a\r\n\r\n"),
        (
            "unknown method",
            b"FROBNICATE / HTTP/1.1\r\nhost: a\r\n\r\n",
        ),
        ("bare line feeds", b"GET / HTTP/1.1\nhost: a\n\n"),
        (
            "one bare line feed",
            b"GET / HTTP/1.1\r\nhost: a\nb: c\r\n\r\n",
        ),
        (
            "folded header",
            b"GET / HTTP/1.1\r\nhost: a\r\nb: c\r\n d\r\n\r\n",
        ),
        ("space before colon", b"GET / HTTP/1.1\r\nhost : a\r\n\r\n"),
        ("bad target", b"GET nowhere HTTP/1.1\r\nhost: a\r\n\r\n"),
        (
            "value not text",
            b"GET / HTTP/1.1\r\nhost: a\r\nb: \xff\xfe\r\n\r\n",
        ),
        (
            "odd expectation",
            b"POST / HTTP/1.1\r\nhost: a\r\nexpect: cake\r\n\r\n",
        ),
    ];
    assert_snapshot!(response_summaries(&server, requests));
}

#[test]
fn non_ascii_header_values_are_refused_and_the_server_keeps_serving() {
    let server = TestServer::start(ServerLimits::default());
    let request = "GET / HTTP/1.1\r\nhost: a\r\nx-note: Afinação\r\n\r\n".as_bytes();
    let refused: Vec<_> = std::iter::repeat_n(("beyond ASCII", request), 8).collect();
    for summary in response_summaries(&server, &refused).lines() {
        assert_eq!(
            summary,
            "beyond ASCII: HTTP/1.1 400 Bad Request / Malformed"
        );
    }
    let next = server.exchange(b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert!(next.starts_with("HTTP/1.1 200 OK"), "{next:?}");
}

#[test]
fn ambiguous_framing_is_refused() {
    let server = TestServer::start(ServerLimits::default());
    let requests: &[(&str, &[u8])] = &[
        ("two lengths", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nxy"),
        ("same length twice", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 1\r\n\r\nx"),
        ("list of lengths", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1, 1\r\n\r\nx"),
        ("signed length", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: +1\r\n\r\nx"),
        ("empty length", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length:\r\n\r\nx"),
        ("length overflows", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999\r\n\r\nx"),
        ("length and chunked", b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ("gzip", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip, chunked\r\n\r\n0\r\n\r\n"),
        ("chunked twice", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n"),
        ("chunk without size", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\r\n\r\n"),
        ("chunk size junk", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nxyz\r\n"),
        ("chunk size overflows", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nfffffffffffffffff\r\n"),
        ("chunk too long", b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nxyz\r\n"),
    ];
    assert_snapshot!(response_summaries(&server, requests));
}

#[test]
fn truncated_requests_are_refused() {
    let server = TestServer::start(ServerLimits::default());
    let requests: &[(&str, &[u8])] = &[
        ("in the request line", b"GET / HT"),
        ("in a header", b"GET / HTTP/1.1\r\nho"),
        (
            "in the body",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nxy",
        ),
        (
            "in a chunk",
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nxy",
        ),
    ];
    let mut results = Vec::new();
    for (name, bytes) in requests {
        let mut caller = server.connect();
        caller.send(bytes);
        caller.stream.shutdown(std::net::Shutdown::Write).unwrap();
        let answer = caller.read_to_close();
        let status = answer.lines().next().unwrap_or("closed").to_owned();
        results.push(format!("{name}: {status}"));
    }
    assert_snapshot!(results.join("\n"), @r"
    in the request line: HTTP/1.1 400 Bad Request
    in a header: HTTP/1.1 400 Bad Request
    in the body: HTTP/1.1 400 Bad Request
    in a chunk: HTTP/1.1 400 Bad Request
    ");
}

#[test]
fn oversized_requests_are_refused() {
    let server = TestServer::start(short_limits());
    let long_header = format!(
        "GET / HTTP/1.1\r\nhost: a\r\nb: {}\r\n\r\n",
        "c".repeat(2000)
    );
    let endless_line = format!("GET /{}", "a".repeat(2000));
    let many = format!("GET / HTTP/1.1\r\nhost: a\r\n{}\r\n", "b:\r\n".repeat(200));
    let long_body = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 17\r\n\r\n";
    let long_chunks = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n\
        9\r\n123456789\r\n8\r\n12345678\r\n0\r\n\r\n";
    let requests: &[(&str, &[u8])] = &[
        ("long header", long_header.as_bytes()),
        ("endless line", endless_line.as_bytes()),
        ("many headers", many.as_bytes()),
        ("long body, refused before it comes", long_body),
        ("long chunked body", long_chunks),
    ];
    assert_snapshot!(response_summaries(&server, requests));
}

#[test]
fn slow_requests_are_refused() {
    let server = TestServer::start(short_limits());
    let requests: &[(&str, &[u8])] = &[
        ("head stalls", b"GET / HTTP/1.1\r\nho"),
        (
            "body stalls",
            b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\n\r\nxy",
        ),
        (
            "chunk stalls",
            b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n5\r\nxy",
        ),
        ("nothing comes", b""),
    ];
    assert_snapshot!(response_summaries(&server, requests));
}

#[test]
fn a_refused_upload_still_receives_its_response() {
    let server = TestServer::start(short_limits());
    let mut request = b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 4000000\r\n\r\n".to_vec();
    request.extend(vec![b'x'; 4_000_000]);
    let answer = server.exchange(&request);
    assert_snapshot!(answer);
}
