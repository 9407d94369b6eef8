//! A caller's connection as the HTTP library sees it while it serves one request.

use super::{head::RequestLength, registry::Seat};
use event_listener::Event;
use radishpin_protocol::prelude::*;
use smol::{
    Timer,
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use std::{
    io,
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
};

/// Bytes that are read to notice that a caller has closed its connection while its request is being served. What
/// it sends instead, such as pipelined requests, remains in the buffers of the system.
const PROBE_BYTES: usize = 64;

/// How far the response to a request is.
#[derive(Debug, Default)]
pub(super) struct Exchange {
    /// Whether the HTTP library has taken all of the response.
    pub(super) is_responded: AtomicBool,
    /// Whether all of the response has been written to the socket.
    is_written: AtomicBool,
    written: Event,
    /// Whether all bytes of the request have been handed to the HTTP library.
    is_handed_out: AtomicBool,
    /// Whether the connection failed as its peer did not read.
    pub(super) is_stalled: AtomicBool,
}

impl Exchange {
    /// Whether the response has been written to its end.
    pub(super) fn is_written(&self) -> bool {
        self.is_written.load(Ordering::Acquire)
    }

    /// Waits until the response has been written to its end.
    pub(super) async fn written(&self) {
        loop {
            let written = self.written.listen();
            if self.is_written() {
                return;
            }
            written.await;
        }
    }

    /// Whether all bytes of the request have been handed to the HTTP library; never if its length is unknown.
    pub(super) fn is_handed_out(&self) -> bool {
        self.is_handed_out.load(Ordering::Acquire)
    }

    /// Begins another exchange.
    pub(super) fn restart(&self) {
        self.is_responded.store(false, Ordering::Release);
        self.is_written.store(false, Ordering::Release);
    }
}

/// Hands out the bytes of one request, of which some have been read before, and no others if its length is known.
#[derive(Debug)]
pub(super) struct CallerStream {
    stream: TcpStream,
    /// Bytes that have been read from the socket, of which the first `handed` have been handed out.
    buffer: Vec<u8>,
    handed: usize,
    /// What is left of the request.
    left: RequestLength,
    /// The last bytes that were handed out.
    tail: [u8; 4],
    exchange: Arc<Exchange>,
    seat: Arc<Seat>,
    /// Longest time for which the peer may read nothing.
    stall_timeout: Duration,
    stall: Option<Timer>,
}

impl CallerStream {
    pub(super) fn new(
        stream: TcpStream,
        buffer: Vec<u8>,
        length: RequestLength,
        exchange: Arc<Exchange>,
        seat: Arc<Seat>,
        stall_timeout: Duration,
    ) -> Self {
        Self {
            stream,
            buffer,
            handed: 0,
            left: length,
            tail: [0; 4],
            exchange,
            seat,
            stall_timeout,
            stall: None,
        }
    }

    /// The socket, with the bytes that follow the request.
    pub(super) fn into_rest(mut self) -> (TcpStream, Vec<u8>) {
        self.buffer.drain(..self.handed);
        self.buffer.shrink_to_fit();
        (self.stream, self.buffer)
    }

    fn room(&self, buffer: &[u8]) -> usize {
        match self.left {
            RequestLength::Known(left) => usize::try_from(left)
                .unwrap_or(usize::MAX)
                .min(buffer.len()),
            RequestLength::Unknown => buffer.len(),
        }
    }

    fn record_handed(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(self.tail.len())..] {
            self.tail.rotate_left(1);
            self.tail[3] = *byte;
        }
        if let RequestLength::Known(left) = &mut self.left {
            *left -= bytes.len() as u64;
            self.exchange
                .is_handed_out
                .store(*left == 0, Ordering::Release);
        }
        if !self.may_be_incomplete() {
            self.seat.resume();
        }
    }

    /// Whether the request has more bytes; a guess from its last bytes if its length is unknown.
    fn may_be_incomplete(&self) -> bool {
        match self.left {
            RequestLength::Known(left) => left > 0,
            RequestLength::Unknown => self.tail != *b"\r\n\r\n",
        }
    }

    /// Notices the end of the connection after the request has been handed out.
    fn poll_end(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        if self.handed < self.buffer.len() {
            return Poll::Pending;
        }
        let mut probe = [0; PROBE_BYTES];
        match Pin::new(&mut self.stream).poll_read(context, &mut probe) {
            Poll::Ready(Ok(bytes)) if bytes > 0 => {
                self.handed = 0;
                self.buffer = probe[..bytes].to_vec();
                Poll::Pending
            }
            ended => ended,
        }
    }

    fn poll_stall(&mut self, context: &mut Context<'_>) -> Poll<io::Error> {
        let stall_timeout = self.stall_timeout;
        let stall = self
            .stall
            .get_or_insert_with(|| Timer::after(stall_timeout));
        match Pin::new(stall).poll(context) {
            Poll::Pending => {
                self.seat.wait();
                Poll::Pending
            }
            Poll::Ready(_) => {
                self.exchange.is_stalled.store(true, Ordering::Release);
                self.seat.record_stalled();
                Poll::Ready(io::ErrorKind::TimedOut.into())
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let this = &mut *self;
        let room = this.room(buffer);
        if room == 0 {
            return this.poll_end(context);
        }
        if this.handed < this.buffer.len() {
            let bytes = room.min(this.buffer.len() - this.handed);
            buffer[..bytes].copy_from_slice(&this.buffer[this.handed..this.handed + bytes]);
            this.handed += bytes;
            if this.handed == this.buffer.len() {
                this.handed = 0;
                this.buffer = Vec::new();
            }
            this.record_handed(&buffer[..bytes]);
            return Poll::Ready(Ok(bytes));
        }
        let read = Pin::new(&mut this.stream).poll_read(context, &mut buffer[..room]);
        match &read {
            Poll::Ready(Ok(bytes)) => this.record_handed(&buffer[..*bytes]),
            Poll::Ready(Err(_)) => {}
            Poll::Pending if this.may_be_incomplete() => this.seat.wait(),
            Poll::Pending => {}
        }
        read
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, buffer);
        if written.is_pending() {
            return self.poll_stall(context).map(Err);
        }
        if self.stall.take().is_some() {
            self.seat.resume();
        }
        written
    }

    /// The HTTP library flushes once it has written all that it buffered.
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.is_responded.load(Ordering::Acquire) {
            self.exchange.is_written.store(true, Ordering::Release);
            self.exchange.written.notify(usize::MAX);
        }
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_close(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(context)
    }
}
