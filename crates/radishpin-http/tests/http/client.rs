//! Tests of the client: connection reuse, stale connections, response framing and whether a
//! failed request was sent.

use crate::support::{Caller, Event, TEST_TIMEOUT, TestServer, body_text};
use futures_lite::AsyncReadExt;
use http_types::{Body, Method, Request, Response, Url};
use insta::assert_snapshot;
use radishpin_http::{Client, ClientError, ClientLimits, ServerLimits, read_body};
use radishpin_runtime::timeout;
use std::{
    io::Write,
    net::{SocketAddr, TcpListener},
    thread,
    time::Duration,
};

/// Listener whose connections a test serves with raw bytes.
struct Peer {
    listener: TcpListener,
    address: SocketAddr,
}

impl Peer {
    fn bind() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        Self { listener, address }
    }

    fn accept(&self) -> Caller {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Caller { stream }
    }

    fn url(&self) -> Url {
        Url::parse(&format!("http://{}/x", self.address)).unwrap()
    }

    /// Sends a request by a new client, responds with `answer` and closes the connection.
    fn answer(&self, method: Method, answer: &str) -> Result<Response, ClientError> {
        thread::scope(|scope| {
            scope.spawn(|| {
                let mut caller = self.accept();
                caller.read_until("\r\n\r\n");
                caller.send(answer.as_bytes());
            });
            let client = Client::new(ClientLimits::default());
            smol::block_on(client.send(self.address, Request::new(method, self.url())))
        })
    }
}

fn summary(response: &Response) -> String {
    let mut lines: Vec<String> = response
        .iter()
        .map(|(name, value)| format!("{name}: {value}"))
        .collect();
    lines.sort();
    format!("{}\n{}", response.status(), lines.join("\n"))
}

#[test]
fn a_response_keeps_all_but_its_non_ascii_headers() {
    let answer = "HTTP/1.1 200 Tudo bém\r\nx-owner: Afinação\r\nx-plain: yes\r\n\
        content-length: 2\r\nconnection: close\r\n\r\nok";
    let mut response = Peer::bind().answer(Method::Get, answer).unwrap();
    let body = smol::block_on(body_text(&mut response));
    assert_snapshot!(format!("{}\n{body}", summary(&response)), @r#"
    200
    content-length: ["2"]
    content-type: ["application/octet-stream"]
    x-plain: ["yes"]
    ok
    "#);
}

#[test]
fn connections_are_reused() {
    let server = TestServer::start(ServerLimits {
        connections: 1,
        ..ServerLimits::default()
    });
    let client = Client::new(ClientLimits::default());
    for text in ["one", "two", ""] {
        let mut request = Request::new(Method::Post, server.url("/x"));
        request.set_body(text);
        let mut response = smol::block_on(client.send(server.address, request)).unwrap();
        assert_eq!(smol::block_on(body_text(&mut response)), text);
    }
}

#[test]
fn a_streamed_response_returns_its_connection_to_the_pool() {
    let peer = Peer::bind();
    let client = Client::new(ClientLimits::default());
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut caller = peer.accept();
            for _ in 0..2 {
                caller.read_until("\r\n\r\n");
                // The body's end arrives in several parts, which must not block the reader.
                for part in [
                    "HTTP/1.1 200 OK\r\ntransfer-enc",
                    "oding: chunked\r\n\r\n4\r\nab",
                    "cd\r",
                    "\n0\r\n",
                    "\r",
                    "\n",
                ] {
                    caller.send(part.as_bytes());
                    thread::sleep(std::time::Duration::from_millis(5));
                }
            }
        });
        for _ in 0..2 {
            let request = Request::new(Method::Get, peer.url());
            let mut response = smol::block_on(client.send(peer.address, request)).unwrap();
            assert_eq!(smol::block_on(body_text(&mut response)), "abcd");
        }
    });
}

#[test]
fn a_stale_connection_is_replaced_before_anything_is_sent() {
    let peer = Peer::bind();
    let client = Client::new(ClientLimits::default());
    let mut requests = 0;
    thread::scope(|scope| {
        let served = scope.spawn(|| {
            let mut heads = 0;
            for _ in 0..3 {
                let mut caller = peer.accept();
                heads += usize::from(caller.read_until("\r\n\r\n").contains("/x"));
                caller.send(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                // Keeps the connection by its headers, but closes it here.
            }
            heads
        });
        for _ in 0..3 {
            let request = Request::new(Method::Post, peer.url());
            let mut response = smol::block_on(client.send(peer.address, request)).unwrap();
            assert_eq!(smol::block_on(body_text(&mut response)), "ok");
            thread::sleep(std::time::Duration::from_millis(50));
        }
        requests = served.join().unwrap();
    });
    assert_eq!(requests, 3);
}

#[test]
fn a_request_on_a_connection_closed_after_sending_is_not_retried() {
    let peer = Peer::bind();
    let client = Client::new(ClientLimits::default());
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut caller = peer.accept();
            caller.read_until("\r\n\r\n");
            caller.send(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n");
            caller.read_until("\r\n\r\n");
        });
        let send =
            || smol::block_on(client.send(peer.address, Request::new(Method::Post, peer.url())));
        drop(send().unwrap());
        let error = send().unwrap_err();
        assert!(matches!(error, ClientError::Broken(_)), "{error}");
    });
    peer.listener.set_nonblocking(true).unwrap();
    assert!(peer.listener.accept().is_err());
}

#[test]
fn a_refused_connection_is_reported_as_not_sent() {
    let peer = Peer::bind();
    let (address, url) = (peer.address, peer.url());
    drop(peer);
    let client = Client::new(ClientLimits::default());
    let error = smol::block_on(client.send(address, Request::new(Method::Get, url))).unwrap_err();
    assert!(matches!(error, ClientError::Connect(_)), "{error}");
}

#[test]
fn responses_are_framed_by_their_heads() {
    let peer = Peer::bind();
    let cases = [
        (
            Method::Head,
            "HTTP/1.1 200 OK\r\ncontent-length: 9\r\nconnection: keep-alive\r\n\r\n",
        ),
        (Method::Get, "HTTP/1.1 204 No Content\r\n\r\n"),
        (
            Method::Get,
            "HTTP/1.1 304 Not Modified\r\ncontent-length: 9\r\n\r\n",
        ),
        (
            Method::Get,
            "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\na",
        ),
        (Method::Get, "HTTP/1.0 200 OK\r\n\r\nuntil the end"),
        (
            Method::Get,
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked\r\n\r\n1\r\na\r\n0\r\nt: u\r\n\r\n",
        ),
    ];
    let mut results = Vec::new();
    for (method, answer) in cases {
        let mut response = peer.answer(method, answer).unwrap();
        let summary = summary(&response);
        let body = smol::block_on(body_text(&mut response));
        results.push(format!("{summary}\n[{body}]\n"));
    }
    assert_snapshot!(results.join("\n"));
}

#[test]
fn invalid_responses_give_specific_errors() {
    let peer = Peer::bind();
    let long = format!("HTTP/1.1 200 OK\r\nb: {}\r\n\r\n", "c".repeat(9000));
    let cases = [
        "",
        "HTTP/1.1 200 OK\r\n",
        "junk\r\n\r\n",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ncontent-length: 1\r\ntransfer-encoding: chunked\r\n\r\na",
        "HTTP/1.1 200 OK\r\ncontent-length: -1\r\n\r\na",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: gzip\r\n\r\na",
        &long,
    ];
    let results: Vec<String> = cases
        .iter()
        .map(|answer| peer.answer(Method::Get, answer).unwrap_err().to_string())
        .collect();
    assert_snapshot!(results.join("\n"));
}

#[test]
fn a_truncated_body_is_an_error() {
    let peer = Peer::bind();
    let cases = [
        "HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nabXX",
    ];
    for answer in cases {
        let mut response = peer.answer(Method::Get, answer).unwrap();
        let mut bytes = Vec::new();
        let mut body = response.take_body();
        let error = smol::block_on(body.read_to_end(&mut bytes)).unwrap_err();
        assert_ne!(
            error.kind(),
            std::io::ErrorKind::Other,
            "{answer:?}: {error}"
        );
    }
}

/// Most bytes that the sockets between two processes hold, in both directions.
const SOCKET_BYTES: usize = 8 * 1024 * 1024;
/// Largest body that the tests read.
const BODY_BYTES_MAX: usize = 1024 * 1024;

/// Calls a peer that repeats `unit` after `start` until the client closes. Returns whether the call failed
/// or ran out of time, and how many bytes the peer sent.
fn call_endless_peer(start: &str, unit: &str) -> (bool, usize) {
    let peer = Peer::bind();
    thread::scope(|scope| {
        let sending = scope.spawn(|| {
            let mut caller = peer.accept();
            caller.read_until("\r\n\r\n");
            caller.send(start.as_bytes());
            let unit = unit.repeat(64 * 1024 / unit.len());
            let mut sent = 0;
            while let Ok(count) = caller.stream.write(unit.as_bytes()) {
                sent += count;
            }
            sent
        });
        let failed = smol::block_on(async {
            let client = Client::new(ClientLimits::default());
            let call = async {
                let request = Request::new(Method::Get, peer.url());
                let mut response = client.send(peer.address, request).await?;
                let body = read_body(&mut response, BODY_BYTES_MAX).await;
                body.map_err(|cause| ClientError::Broken(cause.to_string()))
            };
            let outcome = timeout(Duration::from_secs(1), call).await;
            !matches!(outcome, Some(Ok(_)))
        });
        (failed, sending.join().unwrap())
    })
}

/// Servers in trouble send bytes without end until their client closes.
#[test]
fn heads_and_bodies_without_end_are_errors_and_few_of_their_bytes_are_read() {
    let head = "HTTP/1.1 200 OK\r\n";
    let chunked = &format!("{head}transfer-encoding: chunked\r\n\r\n");
    let chunk = &format!("400\r\n{}\r\n", "a".repeat(0x400));
    let cases = [
        (format!("{head}x: "), "a"),
        (head.to_owned(), "x: a\r\n"),
        (String::new(), "a"),
        (format!("{head}\r\n"), "a"),
        (chunked.clone(), chunk),
        (format!("{chunked}1;"), "a"),
        (format!("{chunked}0\r\n"), "x: a\r\n"),
        (
            format!("{head}content-length: 18446744073709551615\r\n\r\n"),
            "a",
        ),
    ];
    for (start, unit) in cases {
        let (failed, sent) = call_endless_peer(&start, unit);
        assert!(failed, "{start:?}");
        let sent_max = SOCKET_BYTES + BODY_BYTES_MAX;
        assert!(sent <= sent_max, "{start:?}: {sent} bytes");
    }
}

/// The client skips them one by one, and must still notice that its time is up.
#[test]
fn interim_responses_without_end_run_out_of_time() {
    let (failed, _) = call_endless_peer("", "HTTP/1.1 100 Continue\r\n\r\n");
    assert!(failed);
}

#[test]
fn dropping_the_call_cancels_it_at_the_peer() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    let (address, request) = (
        server.address,
        Request::new(Method::Get, server.url("/gate")),
    );
    let call = server
        .runtime
        .spawn(async move { client.send(address, request).await.map(|_| ()) });
    assert_eq!(server.next_event(), Event::Handled("GET /gate".to_owned()));
    smol::block_on(call.cancel());
    assert_eq!(server.next_event(), Event::HandlerDropped);
}

#[test]
fn dropping_the_response_cancels_its_stream_at_the_peer() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    let request = Request::new(Method::Get, server.url("/stream"));
    let response = smol::block_on(client.send(server.address, request)).unwrap();
    assert_eq!(
        server.next_event(),
        Event::Handled("GET /stream".to_owned())
    );
    drop(response);
    assert_eq!(server.next_event(), Event::BodyDropped);
}

#[test]
fn a_body_without_length_is_sent_in_chunks() {
    let server = TestServer::start(ServerLimits::default());
    let client = Client::new(ClientLimits::default());
    let text = "long ".repeat(20_000);
    let reader = futures_lite::io::Cursor::new(text.clone());
    let mut request = Request::new(Method::Post, server.url("/x"));
    request.set_body(Body::from_reader(reader, None));
    let mut response = smol::block_on(client.send(server.address, request)).unwrap();
    assert_eq!(smol::block_on(body_text(&mut response)), text);
}

#[test]
fn a_response_before_the_whole_request_is_read_is_returned() {
    let peer = Peer::bind();
    let client = Client::new(ClientLimits::default());
    thread::scope(|scope| {
        scope.spawn(|| {
            let mut caller = peer.accept();
            caller.read_until("\r\n\r\n");
            caller.send(b"HTTP/1.1 413 Payload Too Large\r\ncontent-length: 0\r\n\r\n");
            caller.stream.flush().unwrap();
            // Sends nothing more and keeps the connection open until the client closes it.
            caller.read_to_close();
        });
        let mut request = Request::new(Method::Post, peer.url());
        request.set_body(vec![b'x'; 32 * 1024 * 1024]);
        let response = smol::block_on(client.send(peer.address, request)).unwrap();
        assert_eq!(response.status(), 413);
    });
}
