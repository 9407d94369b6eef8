//! Non-blocking TCP stream with a read buffer.

use smol::Async;
use std::{
    io::{self, Read, Write},
    net::TcpStream,
    sync::Arc,
    task::{Context, Poll},
};

/// Initial size of a read buffer, to which an idle connection's buffer shrinks.
const MIN_BUFFER_BYTES: usize = 4 * 1024;
/// Maximum size of a read buffer.
pub(crate) const MAX_BUFFER_BYTES: usize = 64 * 1024;

/// A connected stream and the bytes that were read from it but not consumed yet.
#[derive(Debug)]
pub(crate) struct Socket {
    io: Arc<Async<TcpStream>>,
    buffer: Vec<u8>,
    start: usize,
    end: usize,
    // The last read emptied the kernel's buffer, so another read would return `WouldBlock`.
    drained: bool,
    // The last read filled the buffer, so a larger buffer saves system calls.
    filled: bool,
}

impl Socket {
    /// Wraps a connected stream and sets `TCP_NODELAY` on it.
    ///
    /// # Errors
    /// The option cannot be set, for example because the stream is no longer connected.
    pub(crate) fn new(io: Arc<Async<TcpStream>>) -> io::Result<Self> {
        io.get_ref().set_nodelay(true)?;
        Ok(Self {
            io,
            buffer: vec![0; MIN_BUFFER_BYTES],
            start: 0,
            end: 0,
            drained: false,
            filled: false,
        })
    }

    /// Bytes that were read but not consumed.
    pub(crate) fn buffered(&self) -> &[u8] {
        &self.buffer[self.start..self.end]
    }

    /// Removes the first `count` buffered bytes.
    pub(crate) fn consume(&mut self, count: usize) {
        self.start = (self.start + count).min(self.end);
        if self.start == self.end {
            self.start = 0;
            self.end = 0;
        }
    }

    /// Replaces an empty buffer that has grown by one of the initial size.
    pub(crate) fn shrink(&mut self) {
        if self.start == self.end && self.buffer.len() > MIN_BUFFER_BYTES {
            self.buffer = vec![0; MIN_BUFFER_BYTES];
        }
    }

    /// Reads more bytes into the buffer; zero means that the peer has closed its side.
    ///
    /// # Errors
    /// The connection failed, or the buffer is full at its maximum size.
    pub(crate) fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.make_room()?;
        if self.drained {
            self.drained = false;
            // The first poll may report the readiness of bytes that were already read.
            if self.io.poll_readable(context)?.is_pending()
                || self.io.poll_readable(context)?.is_pending()
            {
                return Poll::Pending;
            }
        }
        loop {
            match self.try_read() {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                result => return Poll::Ready(result),
            }
            match self.io.poll_readable(context) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    fn try_read(&mut self) -> io::Result<usize> {
        let space = &mut self.buffer[self.end..];
        let room = space.len();
        let count = self.io.get_ref().read(space)?;
        self.end += count;
        self.drained = count > 0 && count < room;
        self.filled = count == room;
        Ok(count)
    }

    fn make_room(&mut self) -> io::Result<()> {
        if self.filled && self.end == 0 && self.buffer.len() < MAX_BUFFER_BYTES {
            self.filled = false;
            self.buffer = vec![0; self.buffer.len() * 2];
        }
        if self.end < self.buffer.len() {
            return Ok(());
        }
        if self.start > 0 {
            self.buffer.copy_within(self.start..self.end, 0);
            self.end -= self.start;
            self.start = 0;
            return Ok(());
        }
        if self.buffer.len() >= MAX_BUFFER_BYTES {
            return Err(io::Error::other("read buffer is full"));
        }
        self.buffer.resize(self.buffer.len() * 2, 0);
        Ok(())
    }

    /// Writes as many of `bytes` as the kernel accepts, and returns their number.
    ///
    /// # Errors
    /// The connection failed.
    pub(crate) fn poll_write(
        &self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        loop {
            match self.io.get_ref().write(bytes) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) if error.kind() == io::ErrorKind::Interrupted => continue,
                result => return Poll::Ready(result),
            }
            match self.io.poll_writable(context) {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
    }

    /// Whether an idle connection cannot be reused: it was closed, failed or has unsolicited bytes.
    pub(crate) fn is_stale(&self) -> bool {
        if self.start != self.end {
            return true;
        }
        let mut byte = [0_u8];
        match self.io.get_ref().peek(&mut byte) {
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
            Ok(_) => true,
        }
    }

    /// Shuts down the write half of the connection.
    pub(crate) fn shut_down_writing(&self) {
        // An error means that the connection is already closed.
        let _ = self.io.get_ref().shutdown(std::net::Shutdown::Write);
    }
}
