//! Cuts a stream into whole events.

use bytes::{Bytes, BytesMut};

/// End of an event.
const EVENT_END: &[u8] = b"\n\n";
const ID_FIELD: &[u8] = b"id:";

/// Holds back the part of an event that has not come whole, and knows the id of the last whole one.
#[derive(Debug, Default)]
pub(crate) struct EventBuffer {
    pending: BytesMut,
    last_id: Option<String>,
}

impl EventBuffer {
    /// Takes in a chunk; returns the events that are whole now, empty where there are none.
    pub(crate) fn push(&mut self, chunk: &[u8]) -> Bytes {
        self.pending.extend_from_slice(chunk);
        let end = self
            .pending
            .windows(EVENT_END.len())
            .rposition(|window| window == EVENT_END);
        let Some(end) = end else {
            return Bytes::new();
        };
        let whole = self.pending.split_to(end + EVENT_END.len()).freeze();
        let mut lines = whole.split(|byte| *byte == b'\n').rev();
        let id = lines.find_map(|line| line.strip_prefix(ID_FIELD));
        if let Some(id) = id.and_then(|id| std::str::from_utf8(id).ok()) {
            self.last_id = Some(id.trim().to_owned());
        }
        whole
    }

    /// Id of the last whole event.
    pub(crate) fn last_id(&self) -> Option<&str> {
        self.last_id.as_deref()
    }

    /// Drops the part of an event that has not come whole.
    pub(crate) fn drop_partial(&mut self) {
        self.pending.clear();
    }

    /// What follows the last whole event.
    pub(crate) fn take_rest(&mut self) -> Bytes {
        self.pending.split().freeze()
    }
}
