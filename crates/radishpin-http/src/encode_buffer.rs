//! Bounded buffer for encoded bytes that wait to be written to a socket.

use futures_lite::AsyncRead;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Initial size of the buffer, to which an idle connection's buffer shrinks.
const MIN_BUFFER_BYTES: usize = 2 * 1024;
/// Size up to which the encoder grows the buffer; bounds the memory for a peer that does not
/// read.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Minimum free space in the buffer before the encoder is polled.
const MIN_FREE_BYTES: usize = 512;

/// Encoded bytes that have not been written to the socket yet.
#[derive(Debug)]
pub(crate) struct EncodeBuffer {
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

impl EncodeBuffer {
    /// Creates an empty buffer of the initial size.
    pub(crate) fn new() -> Self {
        Self {
            buffer: vec![0; MIN_BUFFER_BYTES],
            start: 0,
            end: 0,
        }
    }

    /// Encoded bytes that have not been written yet.
    pub(crate) fn pending(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Marks the first `count` pending bytes as written.
    pub(crate) fn mark_written(&mut self, count: usize) {
        self.start += count;
        if self.start == self.end {
            self.clear();
        }
    }

    /// Discards the pending bytes.
    pub(crate) fn clear(&mut self) {
        self.start = 0;
        self.end = 0;
    }

    /// Replaces a buffer that has grown by an empty one of the initial size.
    pub(crate) fn shrink(&mut self) {
        if self.buffer.len() > MIN_BUFFER_BYTES {
            *self = Self::new();
        }
    }

    /// Appends bytes that are already encoded, growing the buffer as needed.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.buffer.truncate(self.end);
        self.buffer.extend_from_slice(bytes);
        self.end = self.buffer.len();
        let size = self.end.max(MIN_BUFFER_BYTES);
        self.buffer.resize(size, 0);
    }

    /// Polls the encoder once and appends what it yields, as far as it fits.
    ///
    /// # Errors
    /// Reading the message's body failed.
    pub(crate) fn poll_encode(
        &mut self,
        context: &mut Context<'_>,
        encoder: &mut (impl AsyncRead + Unpin),
    ) -> Poll<io::Result<Encoded>> {
        if self.buffer.len() - self.end < MIN_FREE_BYTES {
            if self.buffer.len() >= MAX_BUFFER_BYTES || self.start > 0 {
                return Poll::Ready(Ok(Encoded::BufferFull));
            }
            self.buffer.resize(self.buffer.len() * 2, 0);
        }
        match Pin::new(encoder).poll_read(context, &mut self.buffer[self.end..]) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(0)) => Poll::Ready(Ok(Encoded::End)),
            Poll::Ready(Ok(count)) => {
                self.end += count;
                Poll::Ready(Ok(Encoded::Bytes(count)))
            }
        }
    }
}

/// Result of one [`EncodeBuffer::poll_encode`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Encoded {
    /// This many bytes were appended.
    Bytes(usize),
    /// Nothing was encoded because the buffer is full.
    BufferFull,
    /// The message is fully encoded.
    End,
}
