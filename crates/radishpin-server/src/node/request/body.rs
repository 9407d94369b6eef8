//! A response body that is produced piece by piece while the caller reads it.

use futures_lite::{AsyncBufRead, AsyncRead, Stream};
use parking_lot::Mutex;
use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

type ChunkStream = Pin<Box<dyn Stream<Item = io::Result<Vec<u8>>> + Send>>;

/// Reader over a stream of pieces; nothing is produced ahead of the caller's reading but one
/// piece.
pub(super) struct ChunkReader {
    // The lock is never contended: it makes the reader `Sync`, as the HTTP library asks.
    pieces: Mutex<ChunkStream>,
    piece: Vec<u8>,
    consumed_bytes: usize,
}

impl ChunkReader {
    /// A reader of `pieces`; empty pieces are passed over.
    pub(super) fn new(pieces: impl Stream<Item = io::Result<Vec<u8>>> + Send + 'static) -> Self {
        Self {
            pieces: Mutex::new(Box::pin(pieces)),
            piece: Vec::new(),
            consumed_bytes: 0,
        }
    }
}

impl AsyncBufRead for ChunkReader {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let reader = self.get_mut();
        while reader.consumed_bytes >= reader.piece.len() {
            match ready!(reader.pieces.get_mut().as_mut().poll_next(context)) {
                Some(piece) => reader.piece = piece?,
                None => return Poll::Ready(Ok(&[])),
            }
            reader.consumed_bytes = 0;
        }
        Poll::Ready(Ok(&reader.piece[reader.consumed_bytes..]))
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
