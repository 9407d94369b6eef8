//! Content of a streaming response: which bytes may be relayed, and whether an end is complete.

use super::response::BodyFraming;
use bytes::{Bytes, BytesMut};
use http::{HeaderMap, header, response::Parts};
use radishpin_core::request::EventScanner;

const EVENT_STREAM: &str = "text/event-stream";
const ID_FIELD: &[u8] = b"id:";
/// Largest event, in bytes; one that grows beyond it has no end.
const EVENT_BYTES_MAX: u64 = 1024 * 1024;

/// Content of a streaming response.
#[derive(Debug)]
pub(crate) enum StreamContent {
    /// Events that another endpoint may continue; only complete ones are relayed.
    ResumableEvents(EventBuffer),
    /// Events that are relayed as their bytes arrive.
    Events(EventScanner),
    /// A body of another media type, of which only the framing marks the end.
    Opaque,
}

impl StreamContent {
    /// Determines the content from the headers of a response; one without a media type on a
    /// streaming route holds events.
    pub(crate) fn of(headers: &HeaderMap, resumable: bool) -> Self {
        match media_type(headers) {
            Some(name) if name != EVENT_STREAM => Self::Opaque,
            _ if resumable => Self::ResumableEvents(EventBuffer::default()),
            _ => Self::Events(EventScanner::default()),
        }
    }

    /// Whether a response can continue a stream that began with the head `begun`: it has the same status and media type,
    /// so that no error of another endpoint gets into the stream.
    pub(crate) fn continues(begun: &Parts, next: &Parts) -> bool {
        next.status == begun.status && media_type(&next.headers) == media_type(&begun.headers)
    }

    /// Takes the next bytes and returns those that may be relayed now; empty if there are none.
    pub(crate) fn push(&mut self, chunk: Bytes) -> Bytes {
        match self {
            Self::ResumableEvents(buffer) => buffer.push(&chunk),
            Self::Events(scanner) => {
                scanner.scan(&chunk);
                chunk
            }
            Self::Opaque => chunk,
        }
    }

    /// Whether an event is larger than any that is relayed.
    pub(crate) fn is_endless(&self) -> bool {
        self.scanner()
            .is_some_and(|scanner| scanner.event_bytes() > EVENT_BYTES_MAX)
    }

    /// Whether the content is complete if its body, framed like this, ends now. A connection that
    /// closes marks no end by itself: only the events before it tell a complete stream.
    pub(crate) fn is_complete(&self, framing: BodyFraming) -> bool {
        let Some(scanner) = self.scanner() else {
            return true;
        };
        let has_end = framing != BodyFraming::UntilClose || scanner.events() > 0;
        has_end && !scanner.is_inside_event()
    }

    /// State of the events; `None` if the content is none.
    pub(crate) fn scanner(&self) -> Option<EventScanner> {
        match self {
            Self::ResumableEvents(buffer) => Some(buffer.scanner),
            Self::Events(scanner) => Some(*scanner),
            Self::Opaque => None,
        }
    }
}

/// Media type of a body in lowercase, without parameters; `None` if its headers state none.
fn media_type(headers: &HeaderMap) -> Option<String> {
    let text = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
    let name = text.split(';').next()?;
    Some(name.trim().to_ascii_lowercase())
}

/// Buffers an incomplete event until its end arrives, and keeps the id of the last complete one.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    scanner: EventScanner,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends a chunk and returns the events that are complete now; empty if there are none.
    fn push(&mut self, chunk: &[u8]) -> Bytes {
        let pending_bytes = self.pending.len();
        self.pending.extend_from_slice(chunk);
        let complete_bytes = self.scanner.scan(chunk);
        if complete_bytes == 0 {
            return Bytes::new();
        }
        let complete = self
            .pending
            .split_to(pending_bytes + complete_bytes)
            .freeze();
        let mut lines = complete.split(|byte| matches!(byte, b'\n' | b'\r')).rev();
        let id = lines.find_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
        complete
    }

    /// Id of the last complete event that had one; a stream is resumed after it.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Prepares for the response of the endpoint that resumes the stream: discards an incomplete
    /// event, which that endpoint sends again.
    pub(crate) fn start_resumed(&mut self) {
        self.pending.clear();
        self.scanner = EventScanner::default();
    }
}
