//! Answers that end early must not look complete, however either side marks their ends.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::TestCluster,
    endpoint::Behavior,
    raw_endpoint::{CHUNKED, RawEndpoint, RawResponse, UNFRAMED, header},
};

const TWO_EVENTS: &str = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\n";
const TWO_EVENTS_AND_A_HALF: &str = "id: 1\ndata: t1\n\nid: 2\ndata: t2\n\nid: 3\nda";
const LAST_EVENT: &str = "id: 3\ndata: t3\n\n";

fn chunked(body: &str) -> RawResponse {
    RawResponse::closed(CHUNKED, &format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len()))
}

fn ask(path: &str, response: RawResponse) -> CallerResponse {
    let cluster = TestCluster::start();
    let _endpoint = RawEndpoint::start(&cluster, "e1", move |_| response.clone());
    cluster.wait_until_ready();
    cluster.ask(&CallerRequest::new(path, "s1"))
}

#[test]
fn a_stream_without_length_that_is_closed_inside_an_event_does_not_look_complete() {
    let response = RawResponse::closed(UNFRAMED, TWO_EVENTS_AND_A_HALF);
    let got = ask("/ticker/2f", response);
    assert_eq!((got.status, got.complete), (200, false));
    assert!(got.body.starts_with(TWO_EVENTS), "{}", got.body);
}

#[test]
fn a_stream_without_length_that_is_closed_before_its_first_event_does_not_look_complete() {
    let got = ask("/ticker/2f", RawResponse::closed(UNFRAMED, ""));
    assert!(!got.complete, "{got}");
}

#[test]
fn a_stream_whose_last_chunk_comes_inside_an_event_does_not_look_complete() {
    let got = ask("/ticker/2f", chunked(TWO_EVENTS_AND_A_HALF));
    assert_eq!((got.status, got.complete), (200, false));
}

#[test]
fn a_stream_without_length_that_is_reset_does_not_look_complete() {
    let got = ask("/ticker/2f", RawResponse::reset(UNFRAMED, TWO_EVENTS));
    assert_eq!((got.status, got.complete), (200, false));
}

#[test]
fn a_stream_without_length_that_is_closed_after_an_event_is_complete() {
    for path in ["/ticker/2f", "/feed/2f"] {
        let got = ask(path, RawResponse::closed(UNFRAMED, TWO_EVENTS));
        assert_eq!((got.status, got.complete), (200, true), "{path}");
        assert_eq!(got.body, TWO_EVENTS, "{path}");
    }
}

#[test]
fn a_stream_whose_lines_end_in_crlf_is_complete() {
    let body = TWO_EVENTS.replace('\n', "\r\n");
    for path in ["/ticker/2f", "/feed/2f"] {
        let got = ask(path, RawResponse::closed(UNFRAMED, &body));
        assert_eq!((got.status, got.complete), (200, true), "{path}");
        assert_eq!(got.body, body, "{path}");
    }
}

/// Sends a request to a resumable route whose endpoints break off each stream inside event 3, and
/// complete it where it is resumed after event 2.
fn ask_resumable(convert: fn(&str) -> String) -> CallerResponse {
    let cluster = TestCluster::start();
    let _endpoints = ["e1", "e2"].map(|id| {
        RawEndpoint::start(&cluster, id, move |head| {
            let body = match header(head, "last-event-id").as_deref() {
                Some("2") => LAST_EVENT,
                _ => TWO_EVENTS_AND_A_HALF,
            };
            RawResponse::closed(UNFRAMED, &convert(body))
        })
    });
    cluster.wait_until_ready();
    cluster.ask(&CallerRequest::new("/feed/2f", "s1"))
}

#[test]
fn a_resumable_stream_without_length_is_resumed_after_it_was_closed_inside_an_event() {
    let got = ask_resumable(str::to_owned);
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(got.body, format!("{TWO_EVENTS}{LAST_EVENT}"));
}

#[test]
fn a_resumable_stream_in_crlf_lines_is_resumed_after_its_last_complete_event() {
    let got = ask_resumable(|body| body.replace('\n', "\r\n"));
    assert_eq!((got.status, got.complete), (200, true));
    assert_eq!(
        got.body.replace("\r\n", "\n"),
        format!("{TWO_EVENTS}{LAST_EVENT}")
    );
}

/// A stream that is resumed after an unknown event would start again.
#[test]
fn a_stream_whose_events_have_no_ids_is_not_resumed() {
    let cluster = TestCluster::start();
    let _endpoints = ["e1", "e2"].map(|id| {
        let response = RawResponse::closed(UNFRAMED, "data: t1\n\ndata: t2\n\nda");
        RawEndpoint::start(&cluster, id, move |_| response.clone())
    });
    cluster.wait_until_ready();
    let got = cluster.ask(&CallerRequest::new("/feed/2f", "s1"));
    assert_eq!((got.status, got.complete), (200, false));
    assert_eq!(got.body, "data: t1\n\ndata: t2\n\n");
}

#[test]
fn an_answer_without_length_that_is_reset_does_not_look_complete() {
    let head = UNFRAMED.replace("text/event-stream", "text/plain");
    let got = ask("/order/2f", RawResponse::reset(&head, "half an answer"));
    assert_eq!(got.status, 502);
}

#[test]
fn a_broken_stream_does_not_look_complete_to_an_http_1_0_caller() {
    let cluster = TestCluster::start();
    let (engine, _sidecar) = cluster.start_engine("i1", &["m0"]);
    cluster.wait_until_ready();
    engine.script(&[Behavior::BreakAfter(2)]);
    let ask = CallerRequest::new("/dictation/2f", "s1")
        .model("m0")
        .http_1_0();
    let got = cluster.ask(&ask);
    assert_eq!((got.status, got.complete), (200, false));
}

#[test]
fn a_whole_stream_looks_complete_to_an_http_1_0_caller() {
    let cluster = TestCluster::start();
    let (_engine, _sidecar) = cluster.start_engine("i1", &["m0"]);
    cluster.wait_until_ready();
    let ask = CallerRequest::new("/dictation/2f", "s1")
        .model("m0")
        .http_1_0();
    let got = cluster.ask(&ask);
    assert_eq!((got.status, got.complete), (200, true));
}
