//! Responses to callers: buffered bodies, and event streams that resume after a failure.

use super::{
    Call, Refusal,
    attempt::{Attempt, FailedAttempt, Part},
    body::ChunkReader,
    dispatch::{REPLAYED_HEADER, RequestState, StartedAnswer},
    refusal::REQUEST_ID_HEADER,
};
use crate::{node::Node, wire_header};
use futures_lite::stream;
use http_types::{Body, Response, StatusCode};
use radishpin_core::request::{AttemptOutcome, ChunkVerdict, StreamCursor, StreamTimeouts};
use radishpin_protocol::{ErrorBody, engine::STREAM_END, prelude::*, wire::Head};
use std::{io, sync::Arc};

/// Size up to which a response is buffered before the caller gets its first byte, so that a failed
/// attempt can be retried; the rest of a larger one is passed through.
const BUFFERED_BODY_BYTES_MAX: usize = 1024 * 1024;
/// Lower bound of the stall timeout, for callers with less patience.
const STALL_TIMEOUT_MIN: Duration = Duration::from_secs(1);

/// Time without a new part after which a response that is not an event stream counts as broken.
fn stall_timeout(call: &Call) -> Duration {
    call.patience.max(STALL_TIMEOUT_MIN)
}

impl Node {
    /// Sends attempts until one succeeds, and builds the response from it.
    ///
    /// # Errors
    /// The call is refused before the response to the caller has started.
    pub(in crate::node) async fn serve(self: &Arc<Self>, call: Call) -> Result<Response, Refusal> {
        let mut state = RequestState::new(Arc::clone(self), call);
        if state.call.is_stream() {
            let started = state.start_answer(0).await?;
            return Ok(event_response(state, started));
        }
        if let Some(replayed) = state.check_key().await? {
            return Ok(Answer::from(replayed).into_response(&state.call));
        }
        let served = serve_buffered(&mut state).await;
        if let (Err(refusal), Some(keyed)) = (&served, state.keyed.as_mut())
            && refusal.code.ran() == Ran::No
        {
            keyed.release();
        }
        served
    }
}

async fn serve_buffered(state: &mut RequestState) -> Result<Response, Refusal> {
    loop {
        let started = state.start_answer(0).await?;
        match buffer_answer(started, stall_timeout(&state.call)).await {
            Ok(answer) => {
                store_answer(state, &answer).await;
                return Ok(answer.into_response(&state.call));
            }
            Err(failed) => state.recover(failed).await?,
        }
    }
}

/// Stores the response of a keyed call for replay. One that is too large to be buffered is not
/// stored, and a repeated call is refused because the outcome is unknown.
async fn store_answer(state: &mut RequestState, answer: &Answer) {
    let status = u16::try_from(answer.head.status).unwrap_or_default();
    let content_type = answer.header("content-type");
    let replayed = answer.header(REPLAYED_HEADER).is_some();
    if let (Some(keyed), None, false) = (state.keyed.as_mut(), &answer.rest, replayed) {
        keyed
            .store_answer(
                &state.call,
                status,
                content_type.unwrap_or_default(),
                &answer.body,
            )
            .await;
    }
}

/// A response that is complete, or of which only the start is buffered.
struct Answer {
    head: Head,
    body: Vec<u8>,
    /// Attempt to read the rest from; `None` if the body is complete.
    rest: Option<Attempt>,
}

async fn buffer_answer(started: StartedAnswer, stall: Duration) -> Result<Answer, FailedAttempt> {
    let mut answer = Answer::from(started);
    while let Some(attempt) = answer.rest.as_mut() {
        if answer.body.len() > BUFFERED_BODY_BYTES_MAX {
            break;
        }
        match attempt.next(stall).await? {
            Part::Chunk(_, data) => answer.body.extend_from_slice(&data),
            Part::End => answer.rest = None,
            Part::Head(_) => return Err(attempt.malformed()),
        }
    }
    Ok(answer)
}

impl From<StartedAnswer> for Answer {
    fn from(started: StartedAnswer) -> Self {
        Self {
            head: started.head,
            body: started.first_chunk.unwrap_or_default(),
            rest: started.attempt,
        }
    }
}

impl Answer {
    fn header(&self, name: &str) -> Option<&str> {
        let header = self
            .head
            .headers
            .iter()
            .find(|header| header.name == name)?;
        std::str::from_utf8(&header.value).ok()
    }

    fn into_response(self, call: &Call) -> Response {
        let mut response = response_head(&self.head, call);
        let Some(attempt) = self.rest else {
            set_body(&mut response, Body::from(self.body));
            return response;
        };
        let buffered = stream::once(Ok(self.body));
        // A truncated response must not look complete, so its body ends with an error.
        let stall = stall_timeout(call);
        let rest = stream::unfold(Some(attempt), move |attempt| async move {
            let mut attempt = attempt?;
            match attempt.next(stall).await {
                Ok(Part::Chunk(_, data)) => Some((Ok(data), Some(attempt))),
                Ok(Part::End) => None,
                Ok(Part::Head(_)) => Some((Err(io::ErrorKind::InvalidData.into()), None)),
                Err(failed) => Some((Err(io::Error::other(failed.detail)), None)),
            }
        });
        let reader = ChunkReader::new(stream::StreamExt::chain(buffered, rest));
        set_body(&mut response, Body::from_reader(reader, None));
        response
    }
}

/// Sets the body and restores the endpoint's content type, which that overwrites.
fn set_body(response: &mut Response, body: Body) {
    let content_type = response.header("content-type").cloned();
    response.set_body(body);
    if let Some(content_type) = content_type {
        response.insert_header("content-type", &content_type);
    }
}

fn response_head(head: &Head, call: &Call) -> Response {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|s| StatusCode::try_from(s).ok());
    let mut response = Response::new(status.unwrap_or(StatusCode::BadGateway));
    for header in &head.headers {
        if let Some((name, value)) = wire_header::to_http(header) {
            response.append_header(name, value);
        }
    }
    response.insert_header(REQUEST_ID_HEADER, call.external_id.as_str());
    response
}

/// Builds the response to a completion request with `stream`. A response that is not an event
/// stream, such as the endpoint's own error for an invalid field, is forwarded as it is.
fn event_response(state: RequestState, started: StartedAnswer) -> Response {
    let mut response = response_head(&started.head, &state.call);
    let content_type = response.content_type();
    if content_type.is_none_or(|mime| mime.essence() != "text/event-stream") {
        return Answer::from(started).into_response(&state.call);
    }
    let relay = EventRelay::new(state, started);
    let reader = ChunkReader::new(stream::unfold(relay, |mut relay| async {
        let event = relay.next_sse_event().await?;
        Some((Ok(event), relay))
    }));
    set_body(&mut response, Body::from_reader(reader, None));
    response
}

/// Relays events from attempts to the caller, each exactly once and in order.
struct EventRelay {
    state: RequestState,
    cursor: StreamCursor,
    timeouts: StreamTimeouts,
    last_event_at: Duration,
    first_chunk: Option<Vec<u8>>,
    attempt: Option<Attempt>,
}

impl EventRelay {
    fn new(state: RequestState, started: StartedAnswer) -> Self {
        let mut cursor = StreamCursor::new(state.attempts);
        if started.first_chunk.is_some() {
            cursor.accept(state.attempts, 0);
        }
        Self {
            timeouts: StreamTimeouts::new(state.call.patience),
            last_event_at: state.node.clock.now(),
            state,
            cursor,
            first_chunk: started.first_chunk,
            attempt: started.attempt,
        }
    }

    /// Next event in the format of server-sent events; `None` after the last.
    async fn next_sse_event(&mut self) -> Option<Vec<u8>> {
        if let Some(first_chunk) = self.first_chunk.take() {
            return Some(sse_event(&first_chunk));
        }
        if self.cursor.is_ended() {
            return None;
        }
        match self.next_event().await {
            Ok(Some(data)) => {
                self.last_event_at = self.state.node.clock.now();
                Some(sse_event(&data))
            }
            Ok(None) => {
                self.end();
                Some(sse_event(STREAM_END.as_bytes()))
            }
            Err(refusal) => {
                self.end();
                Some(self.error_event(&refusal))
            }
        }
    }

    async fn next_event(&mut self) -> Result<Option<Vec<u8>>, Refusal> {
        loop {
            let Some(attempt) = self.attempt.as_mut() else {
                return Ok(None);
            };
            let number = attempt.number;
            let inactivity_timeout = self.timeouts.inactivity_timeout();
            let failed = match attempt.next(inactivity_timeout).await {
                Ok(Part::Chunk(offset, data)) => match self.cursor.accept(number, offset) {
                    ChunkVerdict::Accept => return Ok(Some(data)),
                    ChunkVerdict::Duplicate => continue,
                    ChunkVerdict::Gap { .. }
                    | ChunkVerdict::Superseded
                    | ChunkVerdict::AfterEnd => attempt.malformed(),
                },
                Ok(Part::End) => return Ok(None),
                Ok(Part::Head(_)) => attempt.malformed(),
                Err(failed) => failed,
            };
            if let Some(data) = self.resume(failed).await? {
                return Ok(Some(data));
            }
        }
    }

    /// Resumes the stream after the last event sent, at another endpoint or the same one; returns
    /// the next event, or `None` if the new attempt has none left.
    async fn resume(&mut self, mut failed: FailedAttempt) -> Result<Option<Vec<u8>>, Refusal> {
        self.attempt = None;
        failed.outcome = broken_in_answer(failed.outcome, self.state.call.idempotent);
        self.state.call.deadline = self.timeouts.next_event_deadline(self.last_event_at);
        self.state.recover(failed).await?;
        let started = self.state.start_answer(self.cursor.expected()).await?;
        self.cursor.resume(self.state.attempts);
        self.attempt = started.attempt;
        if started.first_chunk.is_some() {
            self.cursor
                .accept(self.state.attempts, self.cursor.expected());
        }
        Ok(started.first_chunk)
    }

    fn end(&mut self) {
        self.attempt = None;
        self.cursor.end(self.cursor.attempt());
    }

    /// Error event that ends a stream which cannot resume; the end marker of a complete stream is
    /// not sent after it.
    fn error_event(&self, refusal: &Refusal) -> Vec<u8> {
        let state = &self.state;
        state.node.metrics.count_refusal(ResultCode::AnswerBroken);
        let external_id = &state.call.external_id;
        let body = ErrorBody::new(ResultCode::AnswerBroken, &refusal.reason, external_id);
        sse_event(body.to_json().as_bytes())
    }
}

/// Outcome of an attempt that failed in the middle of a stream. A leaving endpoint hands over a
/// resumable stream in an orderly way, which does not count against the retry budget.
fn broken_in_answer(outcome: AttemptOutcome, resumable: bool) -> AttemptOutcome {
    match outcome {
        AttemptOutcome::Refused {
            code: ResultCode::EndpointLeaving,
            ..
        } if resumable => AttemptOutcome::Refused {
            code: ResultCode::EndpointLeaving,
            not_run: true,
        },
        _ => AttemptOutcome::BrokenInAnswer { resumable },
    }
}

fn sse_event(data: &[u8]) -> Vec<u8> {
    let mut text = Vec::with_capacity(data.len() + 8);
    text.extend_from_slice(b"data: ");
    text.extend_from_slice(data);
    text.extend_from_slice(b"\n\n");
    text
}
