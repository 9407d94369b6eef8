//! Bodies that are sent in small pieces.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::{
    convert::Infallible,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

/// Largest piece, in bytes. The HTTP library copies each into its write buffer, which keeps the size of the largest
/// for as long as the connection is open.
pub(crate) const PIECE_BYTES_MAX: usize = 16 * 1024;
/// Largest piece of a request's body. An endpoint that reads slowly into small socket buffers is sent smaller ones so slowly
/// that its connection could not be reused in time.
const REQUEST_PIECE_BYTES_MAX: usize = 1024 * 1024;

/// How far the body of a request has been written to its connection.
#[derive(Clone, Debug, Default)]
pub(crate) struct WriteProgress {
    /// Whether bytes that have been buffered for the peer wait in this process.
    is_blocked: Arc<AtomicBool>,
    /// Whether the HTTP library has not taken the whole body yet.
    is_pending: Arc<AtomicBool>,
}

impl WriteProgress {
    pub(super) fn set_blocked(&self, is_blocked: bool) {
        self.is_blocked.store(is_blocked, Ordering::Release);
    }

    /// Whether the last request has been written to its end.
    pub(super) fn is_written(&self) -> bool {
        !self.is_pending.load(Ordering::Acquire) && !self.is_blocked.load(Ordering::Acquire)
    }
}

/// A complete body that the HTTP library takes in pieces.
#[derive(Debug)]
pub(crate) struct Pieces {
    rest: Bytes,
    progress: WriteProgress,
}

impl Pieces {
    /// Sends `bytes` and records how far they have been written.
    pub(crate) fn new(bytes: Bytes, progress: WriteProgress) -> Self {
        progress
            .is_pending
            .store(!bytes.is_empty(), Ordering::Release);
        Self {
            rest: bytes,
            progress,
        }
    }
}

impl From<Bytes> for Pieces {
    fn from(bytes: Bytes) -> Self {
        Self::new(bytes, WriteProgress::default())
    }
}

impl Body for Pieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.rest.is_empty() {
            return Poll::Ready(None);
        }
        let bytes = self.rest.len().min(REQUEST_PIECE_BYTES_MAX);
        let piece = self.rest.split_to(bytes);
        if self.rest.is_empty() {
            // Until the library flushes, which it does once it has written all that it buffered.
            self.progress.set_blocked(true);
            self.progress.is_pending.store(false, Ordering::Release);
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.rest.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.rest.len() as u64)
    }
}
