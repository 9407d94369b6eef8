//! The bounded buffer between a message's encoder and its socket.

use futures_lite::AsyncRead;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Size of the buffer at rest.
const MIN_BUFFER_BYTES: usize = 2 * 1024;
/// Largest buffer, and so the most that is held for a peer that doesn't read.
const MAX_BUFFER_BYTES: usize = 16 * 1024;
/// Least room that the encoder is asked to fill.
const MIN_FREE_BYTES: usize = 512;

/// Encoded bytes that are not written yet.
#[derive(Debug)]
pub(crate) struct EncodeBuffer {
    buffer: Vec<u8>,
    start: usize,
    end: usize,
}

impl EncodeBuffer {
    /// An empty buffer.
    pub(crate) fn new() -> Self {
        Self {
            buffer: vec![0; MIN_BUFFER_BYTES],
            start: 0,
            end: 0,
        }
    }

    /// Bytes that are encoded but not written.
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

    /// Drops what is pending.
    pub(crate) fn clear(&mut self) {
        self.start = 0;
        self.end = 0;
    }

    /// Gives back a buffer that has grown.
    pub(crate) fn shrink(&mut self) {
        if self.buffer.len() > MIN_BUFFER_BYTES {
            *self = Self::new();
        }
    }

    /// Appends bytes that are encoded already.
    pub(crate) fn append(&mut self, bytes: &[u8]) {
        self.buffer.truncate(self.end);
        self.buffer.extend_from_slice(bytes);
        self.end = self.buffer.len();
        let size = self.end.max(MIN_BUFFER_BYTES);
        self.buffer.resize(size, 0);
    }

    /// Encodes once, as much as fits.
    ///
    /// # Errors
    /// The message's body failed.
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

/// What one turn of the encoder yielded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Encoded {
    /// This many bytes.
    Bytes(usize),
    /// Nothing, as the buffer is full.
    BufferFull,
    /// Nothing, as the message is whole.
    End,
}
