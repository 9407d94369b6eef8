//! Tests of callers that disconnect or stop reading.

use crate::support::{Event, TestServer};
use radishpin_http::ServerLimits;
use std::{io::Read, time::Duration};

#[test]
fn a_disconnect_drops_the_handler() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /gate HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    drop(caller);
    assert_eq!(server.next_event(), Event::HandlerDropped);
}

#[test]
fn a_disconnect_after_pipelined_bytes_drops_the_handler() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /gate HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    caller.send(b"GET /2 HTTP/1.1\r\nhost: a\r\n\r\n");
    drop(caller);
    assert_eq!(server.next_event(), Event::HandlerDropped);
}

#[test]
fn a_disconnect_drops_the_streaming_body() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /stream HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(
        server.next_event(),
        Event::Handled("GET /stream".to_owned())
    );
    server.gate.send_blocking(()).unwrap();
    assert!(caller.read_until("part\r\n").ends_with("4\npart"));
    drop(caller);
    assert_eq!(server.next_event(), Event::BodyDropped);
}

#[test]
fn each_part_of_a_stream_is_sent_at_once() {
    let server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /stream HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    for _ in 0..3 {
        server.gate.send_blocking(()).unwrap();
        assert!(caller.read_until("part\r\n").ends_with("4\npart"));
    }
    server.gate.close();
    assert_eq!(caller.read_to_close(), "0\n");
}

#[test]
fn a_caller_that_stops_reading_is_disconnected() {
    let limits = ServerLimits {
        write_timeout: Duration::from_millis(100),
        ..ServerLimits::default()
    };
    let mut server = TestServer::start(limits);
    let mut caller = server.connect();
    caller.send(b"GET /endless HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(
        server.next_event(),
        Event::Handled("GET /endless".to_owned())
    );
    // Returns only after the server has closed the stalled connection.
    server.shutdown.begin();
    server.join();
    let mut rest = Vec::new();
    let _ = caller.stream.read_to_end(&mut rest);
}
