//! A response body that is produced in chunks while the caller reads it.

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send>>;

/// Reader over a stream of chunks; holds one chunk and requests the next only after it is read.
pub(super) struct ChunkReader {
    // Never locked: the mutex makes the reader `Sync`, which the HTTP library requires.
    chunks: Mutex<ChunkStream>,
    chunk: Vec<u8>,
    consumed_bytes: usize,
}

impl ChunkReader {
    /// Creates a reader of `chunks`; empty ones are skipped.
    pub(super) fn new(chunks: impl Stream<Item = io::Result<Vec<u8>>> + Send + 'static) -> Self {
        Self {
            chunks: Mutex::new(Box::pin(chunks)),
            chunk: Vec::new(),
            consumed_bytes: 0,
        }
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.consumed_bytes >= reader.chunk.len() {
            match ready!(reader.chunks.get_mut().as_mut().poll_next(context)) {
                Some(chunk) => reader.chunk = chunk?,
                None => return Poll::Ready(Ok(&[])),
            }
            reader.consumed_bytes = 0;
        }
        Poll::Ready(Ok(&reader.chunk[reader.consumed_bytes..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.consumed_bytes += amount;
    }
}

impl AsyncRead for ChunkReader {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let length = available.len().min(buffer.len());
        buffer[..length].copy_from_slice(&available[..length]);
        self.consume(length);
        Poll::Ready(Ok(length))
    }
}
