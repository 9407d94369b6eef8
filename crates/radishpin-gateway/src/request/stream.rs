//! Streaming responses: each event is relayed to the caller as it arrives.

use super::{
    attempt::{AttemptResult, OpenStream},
    event_scanner::EventScanner,
    events::EventBuffer,
    forward::{Forward, ForwardOutcome},
    response::{BodyFraming, ResponseBody, ResponseError, remove_connection_headers},
};
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::{Response, StatusCode};
use http_body_util::{BodyExt, StreamBody};
use hyper::body::Frame;
use radishpin_core::{process::RequestOutcome, version::RequestSemantics};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;

/// Relays a stream from an endpoint to the caller. Dropping it before the end means that the
/// caller left.
struct StreamRelay {
    forward: Forward,
    open: Option<OpenStream>,
    /// Splits a resumable stream into events; `None` if no other endpoint may resume the stream.
    events: Option<EventBuffer>,
    scanner: EventScanner,
    timing: StreamTiming,
    ended: bool,
}

/// Times at which parts of a stream were relayed, and the longest gap between two of them.
#[derive(Clone, Copy, Debug, Default)]
struct StreamTiming {
    first_at: Option<Duration>,
    last_at: Option<Duration>,
    longest_gap: Duration,
}

impl StreamTiming {
    fn record(&mut self, now: Duration) {
        let gap = self
            .last_at
            .map_or(Duration::ZERO, |last| now.saturating_sub(last));
        self.longest_gap = self.longest_gap.max(gap);
        self.first_at.get_or_insert(now);
        self.last_at = Some(now);
    }
}

/// Returns the response that relays a stream to the caller.
pub(crate) fn stream_response(forward: Forward, open: OpenStream) -> Response<ResponseBody> {
    let mut head = open.head.clone();
    remove_connection_headers(&mut head.headers);
    let resumable = forward.call.route.semantics == RequestSemantics::ResumableStream;
    let relay = StreamRelay {
        forward,
        open: Some(open),
        events: resumable.then(EventBuffer::default),
        scanner: EventScanner::default(),
        timing: StreamTiming::default(),
        ended: false,
    };
    let frames = unfold(relay, |mut relay| async move {
        let frame = relay.next().await?;
        Some((frame.map(Frame::data), relay))
    });
    Response::from_parts(head, StreamBody::new(frames).boxed_unsync())
}

impl StreamRelay {
    /// Returns the next part for the caller; `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, ResponseError>> {
        while !self.ended {
            let part = match self.receive().await {
                Ok(Some(part)) => part,
                Ok(None) => return self.end(),
                Err(ResponseError::TimedOut) => return Some(Err(self.abort("out_of_time"))),
                Err(ResponseError::Truncated) => {
                    if self.resume().await {
                        continue;
                    }
                    return Some(Err(self.abort("endpoint_broke_off")));
                }
            };
            let complete = match &mut self.events {
                Some(events) => events.push(&part),
                None => part,
            };
            if !complete.is_empty() {
                self.timing.record(self.forward.gateway.clock.now());
                return Some(Ok(complete));
            }
        }
        None
    }

    /// Reads the next chunk from the endpoint; `None` at the end of the stream.
    async fn receive(&mut self) -> Result<Option<Bytes>, ResponseError> {
        let now = self.forward.gateway.clock.now();
        let remaining = self.forward.call.remaining(now);
        let Some(open) = &mut self.open else {
            return Err(ResponseError::Truncated);
        };
        loop {
            match timeout(remaining, open.body.frame()).await {
                None => return Err(ResponseError::TimedOut),
                Some(None) => return Ok(None),
                Some(Some(Err(_))) => return Err(ResponseError::Truncated),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        self.scanner.scan(&data);
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    fn end(&mut self) -> Option<Result<Bytes, ResponseError>> {
        self.ended = true;
        self.log_timing();
        if let Some(open) = self.open.take() {
            let OpenStream {
                assignment,
                pooled,
                keep_alive,
                ..
            } = open;
            let pool = &self.forward.gateway.pool;
            pool.release(&assignment.endpoint, pooled, keep_alive);
            let served = assignment.served();
            assignment.end(served);
        }
        self.forward.finish("answered", StatusCode::OK, "stream");
        let rest = self.events.as_mut().map(EventBuffer::take_rest);
        rest.filter(|rest| !rest.is_empty()).map(Ok)
    }

    fn log_timing(&self) {
        let received_at = self.forward.call.received_at;
        let first = self
            .timing
            .first_at
            .unwrap_or_default()
            .saturating_sub(received_at);
        let Some(open) = &self.open else { return };
        log::info!(
            event = "stream_passed", request = self.forward.call.id, endpoint = open.assignment.endpoint,
            framing = BodyFraming::of(&open.head.headers).name(), events = self.scanner.events(),
            inside_event = self.scanner.is_inside_event(), first_event_ms = first.as_millis() as u64,
            longest_gap_ms = self.timing.longest_gap.as_millis() as u64;
            "stream relayed to its end"
        );
    }

    fn abort(&mut self, reason: &str) -> ResponseError {
        self.ended = true;
        self.end_assignment();
        self.forward.finish("cut", StatusCode::OK, reason);
        ResponseError::Truncated
    }

    fn end_assignment(&mut self) {
        if let Some(open) = self.open.take() {
            open.assignment.end(RequestOutcome::Failed);
        }
    }

    /// Resumes the stream at another endpoint after the last complete event; returns whether an
    /// endpoint accepted that.
    async fn resume(&mut self) -> bool {
        self.end_assignment();
        let Some(events) = &mut self.events else {
            return false;
        };
        events.drop_partial();
        let last_id = events.last_id().map(str::to_owned);
        if !self.forward.may_resume(self.timing.last_at) {
            return false;
        }
        log::info!(
            event = "stream_resumes", request = self.forward.call.id, after = last_id.as_deref().unwrap_or("-");
            "stream broke; resuming it at another endpoint"
        );
        match self.forward.forward(last_id.as_deref()).await {
            ForwardOutcome::Answered(AttemptResult::Stream(open)) => {
                self.open = Some(*open);
                true
            }
            _ => false,
        }
    }
}

impl Drop for StreamRelay {
    fn drop(&mut self) {
        if !self.ended {
            self.forward
                .finish("canceled", StatusCode::OK, "caller_left");
        }
    }
}
