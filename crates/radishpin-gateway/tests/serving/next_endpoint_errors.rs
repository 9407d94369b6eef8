//! A stream that has begun breaks off, and the next endpoint answers with an error: the caller gets none of it,
//! and its stream does not look complete.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::TestCluster,
    raw_endpoint::{RawEndpoint, RawResponse, UNFRAMED, header},
};

const TWO_EVENTS: &str = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n";
const BROKEN: &str = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\nda";

/// Responses of the next endpoint, `{id}` being the request's.
const ERRORS: [&str; 12] = [
    "HTTP/1.1 500 Internal Server Error\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\n\
     Content-Length: 7\r\n\r\nerror\n\n",
    "HTTP/1.1 500 Internal Server Error\r\nRadishpin-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\n\
     Content-Length: 22\r\n\r\nid: 3\ndata: an error\n\n",
    "HTTP/1.1 503 Service Unavailable\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Not-Executed: 1\r\n\
     Content-Length: 6\r\n\r\nfull\n\n",
    "HTTP/1.1 503 Service Unavailable\r\nRadishpin-Attempt-Id: {id}\r\nContent-Length: 6\r\n\r\nfull\n\n",
    "HTTP/1.1 404 Not Found\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\n\
     Content-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\n\
     Content-Type: text/plain\r\nContent-Length: 15\r\n\r\nout of memory\n\n",
    "HTTP/1.1 200 OK\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\n\
     Content-Type: application/json\r\nContent-Length: 16\r\n\r\n{\"error\":true}\n\n",
    "HTTP/1.1 200 OK\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 204 No Content\r\nRadishpin-Attempt-Id: {id}\r\nRadishpin-Response-Signature: sig\r\n\r\n",
    "HTTP/1.1 200 OK\r\nRadishpin-Attempt-Id: other\r\nRadishpin-Response-Signature: sig\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 16\r\n\r\nid: 3\ndata: t3\n\n",
    "HTTP/1.1 200 OK\r\nRadishpin-Attempt-Id: {id}\r\nContent-Type: text/event-stream\r\n\
     Content-Length: 16\r\n\r\nid: 3\ndata: t3\n\n",
    "error: not a response at all\n\n",
];

/// Asks a route whose first endpoint breaks its stream off inside event 3; whichever endpoint is asked to go on
/// responds with `error`.
fn ask(path: &str, error: &'static str) -> CallerResponse {
    let cluster = TestCluster::start();
    let _endpoints = ["e1", "e2"].map(|id| {
        RawEndpoint::start(&cluster, id, move |head| {
            match header(head, "last-event-id") {
                Some(_) => RawResponse::closed(error, ""),
                None => RawResponse::closed(UNFRAMED, BROKEN),
            }
        })
    });
    cluster.wait_until_ready();
    cluster.ask(&CallerRequest::new(path, "s1"))
}

#[test]
fn an_error_of_the_next_endpoint_never_gets_into_a_resumable_stream() {
    for error in ERRORS {
        let got = ask("/feed/2f", error);
        assert_eq!((got.status, got.complete), (200, false), "{error}");
        assert_eq!(got.body, TWO_EVENTS, "{error}");
    }
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_where_it_broke_off() {
    let got = ask("/ticker/2f", ERRORS[0]);
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(got.body, BROKEN);
}
