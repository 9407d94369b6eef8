//! Streaming responses: each event is relayed to the caller as it arrives.

use super::{
    attempt::{AttemptResult, OpenStream},
    events::StreamContent,
    forward::{Forward, ForwardOutcome},
    response::{BodyFraming, ResponseBody, ResponseError, remove_connection_headers},
};
use bytes::Bytes;
use futures_lite::stream::unfold;
use http::{Response, StatusCode, response::Parts};
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
    /// Head of the response that the caller got.
    head: Parts,
    content: StreamContent,
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
        content: StreamContent::of(&open.head.headers, resumable),
        head: open.head.clone(),
        open: Some(open),
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
                Ok(None) => {
                    self.end();
                    return None;
                }
                Err(ResponseError::TimedOut) => return Some(Err(self.abort("out_of_time"))),
                Err(ResponseError::Truncated | ResponseError::GaveWay) => {
                    self.end_assignment(RequestOutcome::Broken);
                    if self.resume().await {
                        continue;
                    }
                    return Some(Err(self.abort("endpoint_broke_off")));
                }
            };
            let relayed = self.content.push(part);
            if self.content.is_endless() {
                return Some(Err(self.abort("endless_event")));
            }
            if !relayed.is_empty() {
                self.bind_version();
                self.timing.record(self.forward.gateway.clock.now());
                return Some(Ok(relayed));
            }
        }
        None
    }

    /// Reads the next chunk from the endpoint; `None` at the end of a complete stream.
    async fn receive(&mut self) -> Result<Option<Bytes>, ResponseError> {
        let now = self.forward.gateway.clock.now();
        let remaining = self.forward.call.remaining(now);
        let Some(open) = &mut self.open else {
            return Err(ResponseError::Truncated);
        };
        loop {
            match timeout(remaining, open.body.frame()).await {
                None => return Err(ResponseError::TimedOut),
                Some(None) => return self.check_end(),
                Some(Some(Err(_))) => return Err(ResponseError::Truncated),
                Some(Some(Ok(frame))) => {
                    if let Ok(data) = frame.into_data() {
                        return Ok(Some(data));
                    }
                }
            }
        }
    }

    /// Binds the stream to the software version that brings events to its caller.
    fn bind_version(&mut self) {
        if let Some(open) = &self.open {
            let version = open.assignment.software_version.as_ref();
            self.forward.stream_version.bind(version);
        }
    }

    /// Accepts a regular end of the body only if the content is complete.
    fn check_end(&self) -> Result<Option<Bytes>, ResponseError> {
        let framing = self.framing();
        if self.content.is_complete(framing) {
            return Ok(None);
        }
        let scanner = self.content.scanner().unwrap_or_default();
        log::info!(
            event = "stream_ended_early", request = self.forward.call.id, endpoint = self.endpoint(),
            framing = framing.name(), events = scanner.events(), inside_event = scanner.is_inside_event();
            "the endpoint's response ended before its stream did"
        );
        Err(ResponseError::Truncated)
    }

    fn framing(&self) -> BodyFraming {
        self.open.as_ref().map_or(BodyFraming::UntilClose, |open| {
            BodyFraming::of(&open.head.headers)
        })
    }

    fn endpoint(&self) -> &str {
        self.open
            .as_ref()
            .map_or("-", |open| &open.assignment.endpoint)
    }

    fn end(&mut self) {
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
            assignment.answered();
            let served = assignment.served();
            assignment.end(served);
        }
        self.forward.finish("answered", StatusCode::OK, "stream");
    }

    fn log_timing(&self) {
        let received_at = self.forward.call.received_at;
        let first = self
            .timing
            .first_at
            .unwrap_or_default()
            .saturating_sub(received_at);
        let scanner = self.content.scanner().unwrap_or_default();
        log::info!(
            event = "stream_passed", request = self.forward.call.id, endpoint = self.endpoint(),
            framing = self.framing().name(), events = scanner.events(),
            inside_event = scanner.is_inside_event(), first_event_ms = first.as_millis() as u64,
            longest_gap_ms = self.timing.longest_gap.as_millis() as u64;
            "stream relayed to its end"
        );
    }

    fn abort(&mut self, reason: &str) -> ResponseError {
        self.ended = true;
        self.end_assignment(RequestOutcome::Failed);
        self.forward.finish("cut", StatusCode::OK, reason);
        ResponseError::Truncated
    }

    fn end_assignment(&mut self, outcome: RequestOutcome) {
        if let Some(open) = self.open.take() {
            open.assignment.end(outcome);
        }
    }

    /// Resumes the stream at another endpoint of its software version after the last complete event;
    /// returns whether an endpoint accepted that.
    async fn resume(&mut self) -> bool {
        let StreamContent::ResumableEvents(events) = &mut self.content else {
            return false;
        };
        events.start_resumed();
        let last_id = events.last_id().map(str::to_owned);
        let unknown_position = self.timing.last_at.is_some() && last_id.is_none();
        if unknown_position
            || self.forward.stream_version.is_unknown()
            || !self.forward.may_resume(self.timing.last_at)
        {
            return false;
        }
        log::info!(
            event = "stream_resumes", request = self.forward.call.id,
            software_version = self.forward.stream_version.bound().unwrap_or("-"), after = last_id.as_deref().unwrap_or("-");
            "stream broke; resuming it at another endpoint"
        );
        match self.forward.forward(last_id.as_deref()).await {
            ForwardOutcome::Answered(AttemptResult::Stream(open)) => {
                let continues = StreamContent::continues(&self.head, &open.head);
                if continues {
                    self.open = Some(*open);
                } else {
                    open.assignment.end(RequestOutcome::Failed);
                }
                continues
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
