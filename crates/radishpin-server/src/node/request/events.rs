//! Answers to callers: whole bodies, and event streams that resume after a break.

use super::{
    Call, Refusal,
    attempt::{Attempt, FailedAttempt, Part},
    body::PieceReader,
    dispatch::{Begun, Progress, REPLAYED_HEADER},
    refusal::REQUEST_ID_HEADER,
};
use crate::{node::Node, wire_header};
use futures_lite::stream;
use http_types::{Body, Response, StatusCode};
use radishpin_core::request::{AttemptOutcome, ChunkVerdict, StreamCursor, StreamTimeouts};
use radishpin_protocol::{ErrorBody, engine::STREAM_END, prelude::*, wire::Head};
use std::{io, sync::Arc};

/// Largest answer that is read whole before the caller gets its first byte.
const WHOLE_BODY_BYTES_MAX: usize = 1024 * 1024;
/// Shortest time between two parts of a whole answer after which it counts as broken; the caller's
/// patience, where that is longer.
const STALL_TIMEOUT_MIN: Duration = Duration::from_secs(1);

/// Time between two parts of a whole answer after which it counts as broken.
fn stall_timeout(call: &Call) -> Duration {
    call.patience.max(STALL_TIMEOUT_MIN)
}

impl Node {
    /// Serves a call: attempts, then the answer.
    ///
    /// # Errors
    /// The refusal for the caller.
    pub(in crate::node) async fn serve(self: &Arc<Self>, call: Call) -> Result<Response, Refusal> {
        let mut progress = Progress::new(Arc::clone(self), call);
        if progress.call.is_stream() {
            let begun = progress.begin(0).await?;
            return Ok(event_response(progress, begun));
        }
        if let Some(replayed) = progress.check_key().await? {
            return Ok(Answer::from(replayed).into_response(&progress.call));
        }
        let served = serve_whole(&mut progress).await;
        if let (Err(refusal), Some(keyed)) = (&served, progress.keyed.as_mut())
            && refusal.code.ran() == Ran::No
        {
            keyed.release();
        }
        served
    }
}

async fn serve_whole(progress: &mut Progress) -> Result<Response, Refusal> {
    loop {
        let begun = progress.begin(0).await?;
        match read_whole(begun, stall_timeout(&progress.call)).await {
            Ok(answer) => {
                keep_answer(progress, &answer).await;
                return Ok(answer.into_response(&progress.call));
            }
            Err(failed) => progress.recover(failed).await?,
        }
    }
}

/// Writes the answer of a keyed call down for replay; one that is too large to be read whole
/// is not kept, and a repeated call is told that its outcome is unknown.
async fn keep_answer(progress: &mut Progress, answer: &Answer) {
    let status = u16::try_from(answer.head.status).unwrap_or_default();
    let content_type = answer.header("content-type");
    let replayed = answer.header(REPLAYED_HEADER).is_some();
    if let (Some(keyed), None, false) = (progress.keyed.as_mut(), &answer.rest, replayed) {
        keyed
            .finish(
                &progress.call,
                status,
                content_type.unwrap_or_default(),
                &answer.body,
            )
            .await;
    }
}

/// An answer that is whole, or too large to be read whole first.
struct Answer {
    head: Head,
    body: Vec<u8>,
    rest: Option<Attempt>,
}

async fn read_whole(begun: Begun, stall: Duration) -> Result<Answer, FailedAttempt> {
    let mut answer = Answer::from(begun);
    while let Some(attempt) = answer.rest.as_mut() {
        if answer.body.len() > WHOLE_BODY_BYTES_MAX {
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

impl From<Begun> for Answer {
    fn from(begun: Begun) -> Self {
        Self {
            head: begun.head,
            body: begun.first.unwrap_or_default(),
            rest: begun.attempt,
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
        let mut response = response_of(&self.head, call);
        let Some(attempt) = self.rest else {
            // Setting a body also sets a content type, which is the endpoint's to say.
            let content_type = response.header("content-type").cloned();
            response.set_body(self.body);
            if let Some(content_type) = content_type {
                response.insert_header("content-type", &content_type);
            }
            return response;
        };
        let first = stream::once(Ok(self.body));
        // An answer that breaks off must not look whole, so the body ends in an error.
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
        let reader = PieceReader::new(stream::StreamExt::chain(first, rest));
        response.set_body(Body::from_reader(reader, None));
        response
    }
}

fn response_of(head: &Head, call: &Call) -> Response {
    let status = u16::try_from(head.status)
        .ok()
        .and_then(|s| StatusCode::try_from(s).ok());
    let mut response = Response::new(status.unwrap_or(StatusCode::BadGateway));
    for header in &head.headers {
        if let Some((name, value)) = wire_header::to_http(header) {
            response.append_header(name, value);
        }
    }
    response.insert_header(REQUEST_ID_HEADER, call.shown_id.as_str());
    response
}

/// The answer of a completion asked for as a stream; an answer that is no stream is passed on
/// as it is, such as the endpoint's own refusal of the request's fields.
fn event_response(progress: Progress, begun: Begun) -> Response {
    let mut response = response_of(&begun.head, &progress.call);
    let is_stream = response
        .content_type()
        .is_some_and(|m| m.essence() == "text/event-stream");
    let content_type = response.header("content-type").cloned();
    let reader = if is_stream {
        let pump = Pump::new(progress, begun);
        PieceReader::new(stream::unfold(pump, |mut pump| async {
            let piece = pump.next_piece().await?;
            Some((Ok(piece), pump))
        }))
    } else {
        PieceReader::new(stream::once(Ok(begun.first.unwrap_or_default())))
    };
    response.set_body(Body::from_reader(reader, None));
    if let Some(content_type) = content_type {
        response.insert_header("content-type", &content_type);
    }
    response
}

/// Moves events from attempts to the caller, each exactly once and in order.
struct Pump {
    progress: Progress,
    cursor: StreamCursor,
    patience: StreamTimeouts,
    last_event_at: Duration,
    first: Option<Vec<u8>>,
    attempt: Option<Attempt>,
}

impl Pump {
    fn new(progress: Progress, begun: Begun) -> Self {
        let mut cursor = StreamCursor::new(progress.attempts);
        if begun.first.is_some() {
            cursor.accept(progress.attempts, 0);
        }
        Self {
            patience: StreamTimeouts::new(progress.call.patience),
            last_event_at: progress.node.clock.now(),
            progress,
            cursor,
            first: begun.first,
            attempt: begun.attempt,
        }
    }

    /// The next event as text; `None` after the last.
    async fn next_piece(&mut self) -> Option<Vec<u8>> {
        if let Some(first) = self.first.take() {
            return Some(event(&first));
        }
        if self.cursor.is_ended() {
            return None;
        }
        match self.next_event().await {
            Ok(Some(data)) => {
                self.last_event_at = self.progress.node.clock.now();
                Some(event(&data))
            }
            Ok(None) => {
                self.end();
                Some(event(STREAM_END.as_bytes()))
            }
            Err(refusal) => {
                self.end();
                Some(self.last_words(&refusal))
            }
        }
    }

    async fn next_event(&mut self) -> Result<Option<Vec<u8>>, Refusal> {
        loop {
            let Some(attempt) = self.attempt.as_mut() else {
                return Ok(None);
            };
            let number = attempt.number;
            let silence_max = self.patience.inactivity_timeout();
            let failed = match attempt.next(silence_max).await {
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

    /// Goes on at another endpoint, or the same, where the caller's stream stands.
    async fn resume(&mut self, mut failed: FailedAttempt) -> Result<Option<Vec<u8>>, Refusal> {
        self.attempt = None;
        failed.outcome = broken_in_answer(failed.outcome, self.progress.call.idempotent);
        self.progress.call.deadline = self.patience.next_event_deadline(self.last_event_at);
        self.progress.recover(failed).await?;
        let begun = self.progress.begin(self.cursor.expected()).await?;
        self.cursor.resume(self.progress.attempts);
        self.attempt = begun.attempt;
        if begun.first.is_some() {
            self.cursor
                .accept(self.progress.attempts, self.cursor.expected());
        }
        Ok(begun.first)
    }

    fn end(&mut self) {
        self.attempt = None;
        self.cursor.end(self.cursor.attempt());
    }

    /// A stream that cannot go on says so and ends without the mark of a whole one.
    fn last_words(&self, refusal: &Refusal) -> Vec<u8> {
        let progress = &self.progress;
        progress
            .node
            .metrics
            .count_refusal(ResultCode::AnswerBroken);
        let shown_id = &progress.call.shown_id;
        let body = ErrorBody::new(ResultCode::AnswerBroken, &refusal.reason, shown_id);
        event(body.to_json().as_bytes())
    }
}

/// What a break in the middle of a stream means: an endpoint that leaves hands the rest over in
/// good order, which costs no retry.
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

fn event(data: &[u8]) -> Vec<u8> {
    let mut text = Vec::with_capacity(data.len() + 8);
    text.extend_from_slice(b"data: ");
    text.extend_from_slice(data);
    text.extend_from_slice(b"\n\n");
    text
}
