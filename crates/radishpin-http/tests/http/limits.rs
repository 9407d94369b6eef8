//! Tests of the connection limit, graceful shutdown and abort.

use crate::support::{Event, TestServer};
use insta::assert_snapshot;
use radishpin_http::ServerLimits;

fn one_connection() -> ServerLimits {
    ServerLimits {
        connections: 1,
        ..ServerLimits::default()
    }
}

#[test]
fn an_idle_connection_is_evicted_for_a_new_one() {
    let server = TestServer::start(one_connection());
    let mut first = server.connect();
    first.send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(
        first.read_until("\r\n\r\n").lines().next(),
        Some("HTTP/1.1 200 OK")
    );
    let request = b"GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    assert!(server.exchange(request).starts_with("HTTP/1.1 200 OK"));
    assert_eq!(first.read_to_close(), "");
}

#[test]
fn a_new_connection_waits_while_all_are_busy() {
    let server = TestServer::start(one_connection());
    let mut first = server.connect();
    first.send(b"GET /gate HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    let mut second = server.connect();
    second.send(b"GET /2 HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
    server.gate.send_blocking(()).unwrap();
    assert!(first.read_to_close().starts_with("HTTP/1.1 200 OK"));
    assert!(second.read_to_close().starts_with("HTTP/1.1 200 OK"));
    assert_eq!(server.next_event(), Event::Handled("GET /2".to_owned()));
}

#[test]
fn shutdown_closes_idle_connections_and_completes_running_requests() {
    let mut server = TestServer::start(ServerLimits::default());
    let mut idle = server.connect();
    idle.send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(idle.read_until("\r\n\r\n").starts_with("HTTP/1.1 200 OK"));
    assert_eq!(server.next_event(), Event::Handled("GET /1".to_owned()));
    let mut running = server.connect();
    running.send(b"GET /gate HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    server.shutdown.begin();
    server.shutdown.begin();
    assert_eq!(idle.read_to_close(), "");
    server.gate.send_blocking(()).unwrap();
    assert_snapshot!(running.read_to_close());
    server.join();
    assert!(std::net::TcpStream::connect(server.address).is_err());
}

#[test]
fn shutdown_completes_a_partly_received_request() {
    let mut server = TestServer::start(ServerLimits::default());
    let mut caller = server.connect();
    caller.send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\nGET /2 HTTP/1.1\r\n");
    assert!(caller.read_until("\r\n\r\n").starts_with("HTTP/1.1 200 OK"));
    assert_eq!(server.next_event(), Event::Handled("GET /1".to_owned()));
    server.shutdown.begin();
    caller.send(b"host: a\r\n\r\n");
    assert!(
        caller
            .read_to_close()
            .starts_with("HTTP/1.1 200 OK\nconnection: close")
    );
    server.join();
}

#[test]
fn dropping_the_server_aborts_its_connections() {
    let mut server = TestServer::start(ServerLimits::default());
    let mut idle = server.connect();
    idle.send(b"GET /1 HTTP/1.1\r\nhost: a\r\n\r\n");
    assert!(idle.read_until("\r\n\r\n").starts_with("HTTP/1.1 200 OK"));
    assert_eq!(server.next_event(), Event::Handled("GET /1".to_owned()));
    let mut running = server.connect();
    running.send(b"GET /gate HTTP/1.1\r\nhost: a\r\n\r\n");
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    server.kill();
    assert_eq!(server.next_event(), Event::HandlerDropped);
    assert_eq!(running.read_to_close(), "");
    assert_eq!(idle.read_to_close(), "");
}
