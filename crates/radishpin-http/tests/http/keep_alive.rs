//! Tests of connections that carry several requests, and of when they close.

use crate::support::{Event, TestServer};
use insta::assert_snapshot;
use radishpin_http::ServerLimits;

#[test]
fn pipelined_requests_are_answered_in_order() {
    let server = TestServer::start(ServerLimits::default());
    let answer = server.exchange(
        b"POST /1 HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\none\
          POST /2 HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n2\r\ntw\r\n1;x=y\r\no\r\n0\r\nt: u\r\n\r\n\
          \r\nPOST /3 HTTP/1.1\r\nhost: a\r\ncontent-length: 5\r\nconnection: close\r\n\r\nthree",
    );
    assert_snapshot!(answer);
}

#[test]
fn bytes_received_while_the_handler_runs_are_kept() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /gate HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    caller
        .send(b"POST /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\ncontent-length: 3\r\n\r\ntwo");
    server.gate.send_blocking(()).unwrap();
    assert_snapshot!(caller.read_to_close());
}

#[test]
fn a_request_can_arrive_byte_by_byte() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.stream.set_nodelay(true).unwrap();
    let request =
        b"POST / HTTP/1.1\r\nhost: a\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n\
        3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n";
    for byte in request {
        caller.send(&[*byte]);
    }
    assert_snapshot!(caller.read_to_close());
}

#[test]
fn a_request_expecting_100_continue_gets_an_interim_response() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(
        b"POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-Continue\r\nconnection: close\r\ncontent-length: 2\r\n\r\n",
    );
    assert_snapshot!(caller.read_until("\r\n\r\n"));
    caller.send(b"ok");
    assert_snapshot!(caller.read_to_close());
}

#[test]
fn head_and_empty_responses_have_no_body() {
    let server = TestServer::start(ServerLimits::default());
    let answer = server.exchange(
        b"HEAD /x HTTP/1.1\r\nhost: a\r\ncontent-length: 2\r\n\r\nxy\
          GET /empty HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n",
    );
    assert_snapshot!(answer);
}

#[test]
fn a_response_shorter_than_its_content_length_closes_the_connection() {
    let server = TestServer::start(ServerLimits::default());
    let request = b"GET /short HTTP/1.1\r\nhost: a\r\n\r\n";
    assert_snapshot!(server.exchange(request));
}

#[test]
fn a_header_with_a_line_break_is_dropped() {
    let server = TestServer::start(ServerLimits::default());
    let request = b"GET /break HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert_snapshot!(server.exchange(request));
}

#[test]
fn a_panicking_handler_closes_only_its_own_connection() {
    let server = TestServer::start(ServerLimits::default());
    for _ in 0..8 {
        assert_eq!(
            server.exchange(b"GET /panic HTTP/1.1\r\nhost: a\r\n\r\n"),
            ""
        );
    }
    let request = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(server.exchange(request).starts_with("HTTP/1.1 200 OK"));
}
