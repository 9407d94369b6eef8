//! In-memory stream from which `async-h1` parses a head that was already read and validated.

use futures_lite::io::{AsyncRead, AsyncWrite};
use std::{
    io,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// Reader over the bytes of one head; writes are discarded.
#[derive(Clone, Debug)]
pub(crate) struct HeadReader {
    head: Arc<[u8]>,
    position: usize,
}

impl HeadReader {
    /// Creates a reader that starts at the head's first byte.
    pub(crate) fn new(head: &[u8]) -> Self {
        Self {
            head: Arc::from(head),
            position: 0,
        }
    }
}

impl AsyncRead for HeadReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let rest = &self.head[self.position..];
        let count = rest.len().min(buffer.len());
        buffer[..count].copy_from_slice(&rest[..count]);
        self.position += count;
        Poll::Ready(Ok(count))
    }
}

impl AsyncWrite for HeadReader {
    fn poll_write(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Poll::Ready(Ok(bytes.len()))
    }

    fn poll_flush(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_close(self: Pin<&mut Self>, _context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }
}
