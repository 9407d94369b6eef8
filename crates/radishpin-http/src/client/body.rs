//! Response body that streams from its connection as it is read.

use super::pool::Pool;
use crate::{
    chunk::{ChunkScanner, Step},
    socket::Socket,
};
use futures_lite::{AsyncBufRead, AsyncRead};
use std::{
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

/// How a response's body is framed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ResponseFraming {
    /// A body of this many bytes.
    Length(usize),
    /// The chunked coding.
    Chunked,
    /// All bytes until the peer closes the connection.
    UntilClose,
}

#[derive(Debug)]
enum Remaining {
    Bytes(usize),
    // The first `ready` bytes of the socket's buffer are data.
    Chunks { scanner: ChunkScanner, ready: usize },
    UntilClose,
    Nothing,
}

/// Body of a response, which owns the connection until its end.
#[derive(Debug)]
pub(super) struct ResponseBody {
    // `None` after the end of the body or a failure.
    socket: Option<Socket>,
    remaining: Remaining,
    // Pool to which the connection returns after the body, if it can be reused.
    pool: Option<(Arc<Pool>, SocketAddr)>,
}

impl ResponseBody {
    /// Creates the body of a connection whose next byte is the body's first.
    pub(super) fn new(
        socket: Socket,
        framing: ResponseFraming,
        pool: Option<(Arc<Pool>, SocketAddr)>,
    ) -> Self {
        let remaining = match framing {
            ResponseFraming::Length(length) => Remaining::Bytes(length),
            ResponseFraming::Chunked => Remaining::Chunks {
                scanner: ChunkScanner::new(),
                ready: 0,
            },
            ResponseFraming::UntilClose => Remaining::UntilClose,
        };
        let mut body = Self {
            socket: Some(socket),
            remaining,
            pool,
        };
        if framing == ResponseFraming::Length(0) {
            body.finish();
        }
        body
    }

    /// Ends the body: returns the connection to the pool if it can be reused, else closes it.
    fn finish(&mut self) {
        self.remaining = Remaining::Nothing;
        let Some(socket) = self.socket.take() else {
            return;
        };
        if let Some((pool, address)) = self.pool.take()
            && socket.buffered().is_empty()
        {
            pool.put(address, socket);
        }
    }

    /// Number of data bytes at the start of the socket's buffer; zero at the end of the body.
    fn poll_ready(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        loop {
            match self.ready() {
                Ok(Some(count)) => return Poll::Ready(Ok(count)),
                Ok(None) => {}
                Err(error) => return Poll::Ready(Err(self.fail(error))),
            }
            let Some(socket) = self.socket.as_mut() else {
                return Poll::Ready(Err(io::ErrorKind::NotConnected.into()));
            };
            match socket.poll_fill(context) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(Ok(0)) if matches!(self.remaining, Remaining::UntilClose) => {
                    self.finish()
                }
                Poll::Ready(Ok(0)) => {
                    let error = io::ErrorKind::UnexpectedEof.into();
                    return Poll::Ready(Err(self.fail(error)));
                }
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(error)) => return Poll::Ready(Err(self.fail(error))),
            }
        }
    }

    /// Like [`Self::poll_ready`] without reading from the socket; `None` if more bytes are needed.
    fn ready(&mut self) -> io::Result<Option<usize>> {
        loop {
            let buffered = self.buffered_bytes();
            match &mut self.remaining {
                Remaining::Nothing => return Ok(Some(0)),
                Remaining::Bytes(remaining) => return Ok(nonzero(buffered.min(*remaining))),
                Remaining::UntilClose => return Ok(nonzero(buffered)),
                Remaining::Chunks { ready, .. } if *ready > 0 => return Ok(Some(*ready)),
                Remaining::Chunks { scanner, ready } => {
                    let input = self.socket.as_ref().map_or(&[][..], Socket::buffered);
                    match scanner.next(input).map_err(|_| invalid_chunk())? {
                        Step::NeedMore => return Ok(None),
                        Step::Data(count) => *ready = count,
                        Step::Skip(count) => self.skip(count),
                        Step::End(count) => {
                            self.skip(count);
                            self.finish();
                        }
                    }
                }
            }
        }
    }

    fn buffered_bytes(&self) -> usize {
        self.socket
            .as_ref()
            .map_or(0, |socket| socket.buffered().len())
    }

    fn skip(&mut self, count: usize) {
        if let Some(socket) = self.socket.as_mut() {
            socket.consume(count);
        }
    }

    fn fail(&mut self, error: io::Error) -> io::Error {
        self.socket = None;
        error
    }

    fn consume_data(&mut self, count: usize) {
        self.skip(count);
        match &mut self.remaining {
            Remaining::Bytes(remaining) => {
                *remaining -= count.min(*remaining);
                if *remaining == 0 {
                    self.finish();
                }
            }
            Remaining::Chunks { ready, .. } => {
                *ready -= count.min(*ready);
                if *ready == 0 {
                    // Processes a buffered end of the body; the next read reports errors.
                    let _ = self.ready();
                }
            }
            Remaining::UntilClose | Remaining::Nothing => {}
        }
    }
}

fn nonzero(count: usize) -> Option<usize> {
    Some(count).filter(|count| *count > 0)
}

fn invalid_chunk() -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, "broken chunked body")
}

impl AsyncRead for ResponseBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        match self.poll_ready(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(ready)) => {
                let count = ready.min(buffer.len());
                if let Some(socket) = &self.socket {
                    buffer[..count].copy_from_slice(&socket.buffered()[..count]);
                }
                self.consume_data(count);
                Poll::Ready(Ok(count))
            }
        }
    }
}

impl AsyncBufRead for ResponseBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        match body.poll_ready(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Ready(Ok(count)) => {
                let buffered = body.socket.as_ref().map_or(&[][..], Socket::buffered);
                Poll::Ready(Ok(&buffered[..count]))
            }
        }
    }

    fn consume(mut self: Pin<&mut Self>, count: usize) {
        self.consume_data(count);
    }
}
