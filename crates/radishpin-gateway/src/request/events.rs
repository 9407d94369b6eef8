//! Splits a stream of server-sent events at the ends of events.

use bytes::{Bytes, BytesMut};

/// Blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Buffers an incomplete event until its end arrives, and keeps the id of the last complete one.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Appends a chunk and returns the events that are complete now; empty if there are none.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.pending.extend_from_slice(chunk);
        let end = self
            .pending
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let complete = self.pending.split_to(end + EVENT_END.len()).freeze();
        let mut lines = complete.split(|byte| *byte == b'\n').rev();
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

    /// Discards an incomplete event, which the endpoint that resumes the stream sends again.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// Takes the bytes after the last complete event, once the stream has ended.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}
