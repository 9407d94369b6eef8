//! Malformed bytes and requests fail alone: the agent keeps serving other connections.

use crate::fixture::{Fixture, TOKEN};
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use std::{
    io::{Read, Write},
    net::{Shutdown, TcpStream},
    time::Duration,
};
use tonic::body::Body;
use tower_service::Service;

/// Timeout for the agent to close a connection; it only keeps a failing test from hanging.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(30);
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

async fn send(fixture: &Fixture, path: &str, headers: &[(&str, &str)], body: &[u8]) -> String {
    let mut request = Request::post(path).header("te", "trailers");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    let body = Body::new(Full::new(body.to_vec().into()).map_err(|never| match never {}));
    let request = request.body(body).unwrap();
    let response: Result<Response<Incoming>, _> = fixture.channel().call(request).await;
    let Ok(response) = response else {
        return "no response".to_owned();
    };
    let (head, body) = response.into_parts();
    let trailers = body
        .collect()
        .await
        .ok()
        .and_then(|b| b.trailers().cloned());
    let in_head = head.headers.get("grpc-status");
    let in_trailers = trailers.as_ref().and_then(|t| t.get("grpc-status"));
    let grpc = in_head
        .or(in_trailers)
        .and_then(|value| value.to_str().ok());
    format!(
        "{} grpc-status={}",
        head.status.as_u16(),
        grpc.unwrap_or("none")
    )
}

#[test]
fn requests_that_are_not_valid_calls_end_in_a_status() {
    let fixture = Fixture::plain();
    let execute = "/radishpin.v1.Agent/Execute";
    let grpc = ("content-type", "application/grpc");
    smol::block_on(async {
        let cases = [
            (
                "unknown method",
                send(&fixture, "/radishpin.v1.Agent/Nope", &[grpc], b"").await,
            ),
            (
                "unknown service",
                send(&fixture, "/x.Y/Execute", &[grpc], b"").await,
            ),
            ("root", send(&fixture, "/", &[grpc], b"").await),
            ("no message", send(&fixture, execute, &[grpc], b"").await),
            (
                "truncated frame",
                send(&fixture, execute, &[grpc], b"\0\0\0\0\x09ab").await,
            ),
            (
                "wrong length",
                send(&fixture, execute, &[grpc], b"\0\xff\xff\xff\xffab").await,
            ),
            (
                "no protobuf",
                send(&fixture, execute, &[grpc], b"\0\0\0\0\x02\xff\xff").await,
            ),
            (
                "compressed",
                send(&fixture, execute, &[grpc], b"\x01\0\0\0\x02ab").await,
            ),
            (
                "invalid flag",
                send(&fixture, execute, &[grpc], b"\x07\0\0\0\x02ab").await,
            ),
            ("no content type", send(&fixture, execute, &[], b"").await),
            (
                "invalid headers",
                send(
                    &fixture,
                    execute,
                    &[grpc, ("grpc-timeout", "soon"), ("grpc-encoding", "zip")],
                    b"\0\0\0\0\0",
                )
                .await,
            ),
        ];
        let lines: Vec<String> = cases.iter().map(|(n, got)| format!("{n}: {got}")).collect();
        insta::assert_snapshot!(lines.join("\n"), @"
        unknown method: 200 grpc-status=12
        unknown service: 200 grpc-status=12
        root: 200 grpc-status=12
        no message: 200 grpc-status=13
        truncated frame: 200 grpc-status=13
        wrong length: 200 grpc-status=11
        no protobuf: 200 grpc-status=13
        compressed: 200 grpc-status=13
        invalid flag: 200 grpc-status=13
        no content type: 200 grpc-status=13
        invalid headers: 200 grpc-status=12
        ");
        assert!(fixture.journal.runs().is_empty());
        fixture.assert_serves().await;
    });
}

#[test]
fn idle_connections_are_closed() {
    let fixture = Fixture::plain();
    let connect = |bytes: &[u8]| {
        let mut stream = TcpStream::connect(fixture.running.address).unwrap();
        stream.set_read_timeout(Some(CLOSE_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        stream
    };
    for mut stream in [connect(b""), connect(&PREFACE[..10])] {
        assert_eq!(stream.read_to_end(&mut Vec::new()).unwrap(), 0);
    }
    smol::block_on(fixture.assert_serves());
}

#[test]
fn malformed_bytes_close_only_their_connection() {
    let fixture = Fixture::plain();
    let http1 = format!(
        "POST /radishpin.v1.Agent/Sync HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {TOKEN}\r\n\r\n"
    );
    let oversized_frame = [PREFACE, b"\xff\xff\xff\x00\x00\x00\x00\x00\x01"].concat();
    let invalid_frame = [PREFACE, b"\x00\x00\x04\x04\x00\x00\x00\x00\x07abcd"].concat();
    let cases: [&[u8]; 7] = [
        b"",
        b"\x00",
        b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
        http1.as_bytes(),
        &PREFACE[..10],
        &oversized_frame,
        &invalid_frame,
    ];
    for bytes in cases {
        let mut stream = TcpStream::connect(fixture.running.address).unwrap();
        stream.set_read_timeout(Some(CLOSE_TIMEOUT)).unwrap();
        stream.write_all(bytes).unwrap();
        let _ = stream.shutdown(Shutdown::Write);
        let mut response = Vec::new();
        // The agent may close the connection with a reset.
        let end = stream.read_to_end(&mut response).map_err(|e| e.kind());
        assert!(
            !matches!(
                end,
                Err(std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
            ),
            "{bytes:?}: not closed"
        );
    }
    assert!(fixture.journal.runs().is_empty());
    smol::block_on(fixture.assert_serves());
}
