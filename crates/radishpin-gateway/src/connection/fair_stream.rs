//! A TCP stream that lets other tasks run while its peer sends bytes without end, and tells when its
//! peer does not take what is written.

use super::pieces::WriteProgress;
use smol::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Bytes that are read in one go before other tasks get their turn.
const READ_BYTES_MAX: usize = 64 * 1024;

/// A stream whose reads pause now and then even if there is always more to read, as a task that reads
/// on and on, such as one that skips interim responses, would keep timers from firing.
#[derive(Debug)]
pub(crate) struct FairStream {
    stream: TcpStream,
    /// Bytes that were read since the last pause.
    read_bytes: usize,
    progress: WriteProgress,
}

impl FairStream {
    /// Records in `progress` whether bytes for the peer wait in this process, as the socket takes no more.
    pub(crate) fn new(stream: TcpStream, progress: WriteProgress) -> Self {
        Self {
            stream,
            read_bytes: 0,
            progress,
        }
    }
}

impl AsyncRead for FairStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        if self.read_bytes >= READ_BYTES_MAX {
            self.read_bytes = 0;
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        match &read {
            Poll::Ready(Ok(count)) => self.read_bytes += *count,
            Poll::Ready(Err(_)) | Poll::Pending => self.read_bytes = 0,
        }
        read
    }
}

impl AsyncWrite for FairStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        if written.is_pending() {
            self.progress.set_blocked(true);
        }
        written
    }

    /// The HTTP library flushes once it has written all that it buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.progress.set_blocked(false);
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
