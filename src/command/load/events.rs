//! Reads a stream of server-sent events line by line.

use futures_lite::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};
use http_types::Body;
use radishpin_protocol::engine::STREAM_END;
use std::io;

/// Longest event that is taken.
const EVENT_BYTES: usize = 1024 * 1024;
/// Start of a line with an event's data.
const DATA: &str = "data:";

/// What comes next in a stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) enum Event {
    /// An event's data.
    Data(String),
    /// The mark of a whole stream.
    Done,
    /// The end of the body.
    End,
}

/// Reader of events.
pub(super) struct Events {
    body: Box<dyn AsyncBufRead + Unpin + Send + Sync>,
    line: String,
}

impl Events {
    /// Reads events from a body.
    pub(super) fn new(body: Body) -> Self {
        Self {
            body: body.into_reader(),
            line: String::new(),
        }
    }

    /// Waits for the next event.
    ///
    /// # Errors
    /// The connection failed, or the event is too long.
    pub(super) async fn next(&mut self) -> io::Result<Event> {
        loop {
            self.line.clear();
            let limited = &mut (&mut self.body).take(EVENT_BYTES as u64 + 1);
            if limited.read_line(&mut self.line).await? == 0 {
                return Ok(Event::End);
            }
            if self.line.len() > EVENT_BYTES {
                return Err(io::Error::other("an event is too long"));
            }
            match self.line.strip_prefix(DATA).map(str::trim) {
                Some(STREAM_END) => return Ok(Event::Done),
                Some(data) => return Ok(Event::Data(data.to_owned())),
                // Empty lines end events; comments and other fields don't matter here.
                None => {}
            }
        }
    }
}
