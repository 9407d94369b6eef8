//! Encodes a response with `async-h1` into a bounded buffer, and checks its length.

use crate::{
    encode_buffer::{EncodeBuffer, Encoded},
    headers::names_close,
};
use async_h1::server::Encoder;
use http_types::{
    Method, Response,
    headers::{CONNECTION, CONTENT_LENGTH, HeaderName, TRANSFER_ENCODING},
};
use std::{
    io,
    task::{Context, Poll},
};

/// Encoder of the current response, and its buffer.
#[derive(Debug)]
pub(super) struct ResponseEncoder {
    encoder: Option<Encoder>,
    buffer: EncodeBuffer,
    produced_bytes: u64,
    // Content-Length of the response; `None` if the body's length is not checked.
    expected_body_bytes: Option<u64>,
    head_bytes: Option<u64>,
}

impl ResponseEncoder {
    pub(super) fn new() -> Self {
        Self {
            encoder: None,
            buffer: EncodeBuffer::new(),
            produced_bytes: 0,
            expected_body_bytes: None,
            head_bytes: None,
        }
    }

    /// Starts to encode a response; returns whether the connection must close after it.
    pub(super) fn start(&mut self, mut response: Response, method: Method, close: bool) -> bool {
        let close = prepare(&mut response, close);
        self.expected_body_bytes = match method {
            Method::Head => None,
            _ => response.len().map(|length| length as u64),
        };
        self.head_bytes = None;
        self.produced_bytes = 0;
        self.buffer.clear();
        self.encoder = Some(Encoder::new(response, method));
        close
    }

    /// Appends bytes that are already encoded, outside any response.
    pub(super) fn append_encoded(&mut self, bytes: &[u8]) {
        self.buffer.append(bytes);
    }

    /// Drops the response and its body; pending bytes stay.
    pub(super) fn finish(&mut self) {
        self.encoder = None;
    }

    /// Frees a buffer that has grown.
    pub(super) fn shrink(&mut self) {
        self.buffer.shrink();
    }

    /// Encoded bytes that have not been written yet.
    pub(super) fn pending(&self) -> &[u8] {
        self.buffer.pending()
    }

    /// Marks the first `count` pending bytes as written.
    pub(super) fn mark_written(&mut self, count: usize) {
        self.buffer.mark_written(count);
    }

    /// Encodes until the response ends or the buffer is full.
    ///
    /// When this is ready and no bytes are pending, the whole response is encoded.
    pub(super) fn poll_fill_buffer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(encoder) = self.encoder.as_mut() {
            match self.buffer.poll_encode(context, encoder) {
                Poll::Ready(Ok(Encoded::Bytes(count))) => self.record_produced(count),
                Poll::Ready(Ok(Encoded::End)) => self.encoder = None,
                Poll::Ready(Ok(Encoded::BufferFull)) => break,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn record_produced(&mut self, count: usize) {
        self.produced_bytes += count as u64;
        // The encoder never mixes head and body in one read, but may take several for the head.
        let in_head = self.head_bytes.is_none() && self.expected_body_bytes.is_some();
        if in_head && self.buffer.pending().ends_with(b"\r\n\r\n") {
            self.head_bytes = Some(self.produced_bytes);
        }
    }

    /// Whether the body had the length that the head announced.
    pub(super) fn is_complete_response(&self) -> bool {
        match (self.expected_body_bytes, self.head_bytes) {
            (Some(body), Some(head)) => self.produced_bytes == head + body,
            (Some(_), None) => false,
            (None, _) => true,
        }
    }
}

/// Removes the framing headers that only the encoder may set; returns whether the connection
/// must close after the response.
fn prepare(response: &mut Response, close: bool) -> bool {
    let close_requested = response.header(CONNECTION).is_some_and(|values| {
        values
            .iter()
            .any(|value| names_close(value.as_str().as_bytes()))
    });
    response.remove_header(TRANSFER_ENCODING);
    if response.len().is_none() {
        response.remove_header(CONTENT_LENGTH);
    }
    remove_headers_with_line_breaks(response);
    let close = close || close_requested;
    if close {
        response.insert_header(CONNECTION, "close");
    }
    close
}

/// Removes headers with a line break in a value, which would inject headers or a body.
fn remove_headers_with_line_breaks(response: &mut Response) {
    let with_line_break: Vec<HeaderName> = response
        .iter()
        .filter(|(_, values)| values.iter().any(|value| has_line_break(value.as_str())))
        .map(|(name, _)| name.clone())
        .collect();
    for name in with_line_break {
        log::error!(header:% = name; "dropped a response header with a line break");
        response.remove_header(name);
    }
}

fn has_line_break(value: &str) -> bool {
    value.bytes().any(|byte| byte == b'\r' || byte == b'\n')
}
