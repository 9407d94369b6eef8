//! Body of a streamed answer: an event a token, then the end mark.

use super::{POLL, call::Call, faults::AnswerFault};
use crate::journal::RunEnd;
use futures_lite::{AsyncBufRead, AsyncRead, ready};
use radishpin_protocol::engine::STREAM_END;
use smol::Timer;
use std::{
    future::Future,
    io,
    pin::Pin,
    task::{Context, Poll},
};

/// Writes the payload of one event.
pub(super) type Payload = Box<dyn Fn(&str, &str) -> String + Send + Sync>;

/// A call as a body; dropped early, the call is cancelled.
pub(super) struct TokenStream {
    call: Call,
    payload: Payload,
    /// Runs until the next token is due.
    due: Option<Timer>,
    buffer: Vec<u8>,
    read: usize,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Tokens,
    EndMark,
    Ended,
}

impl TokenStream {
    pub(super) fn new(call: Call, payload: Payload) -> Self {
        let state = if call.left() == 0 {
            State::EndMark
        } else {
            State::Tokens
        };
        Self {
            call,
            payload,
            due: None,
            buffer: Vec::new(),
            read: 0,
            state,
        }
    }

    /// Waits for the next event and puts it into the buffer; leaves it empty at the end.
    fn poll_event(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.state {
            State::Ended => Poll::Ready(Ok(())),
            State::EndMark => {
                self.call.end(RunEnd::Finished);
                self.put_event(STREAM_END);
                self.state = State::Ended;
                Poll::Ready(Ok(()))
            }
            State::Tokens => self.poll_token(context),
        }
    }

    fn poll_token(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(self.poll_due(context));
        if !self.call.stands() {
            self.call.end(RunEnd::Cut);
            return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
        }
        if self.call.is_halfway() {
            match self.call.fault {
                AnswerFault::Broken => {
                    return Poll::Ready(Err(io::ErrorKind::ConnectionReset.into()));
                }
                // No waker is kept: only the hang-up of the peer ends the call.
                AnswerFault::Lost => return Poll::Pending,
                AnswerFault::None | AnswerFault::Crossed => {}
            }
        }
        let token = self.call.generate();
        let payload = (self.payload)(self.call.answer_attempt(), &token);
        self.put_event(&payload);
        if self.call.left() == 0 {
            self.state = State::EndMark;
        }
        Poll::Ready(Ok(()))
    }

    /// Waits until the next token is due and the engine is not frozen.
    fn poll_due(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            let timer = match &mut self.due {
                Some(timer) => timer,
                None => {
                    let delay = self.call.next_delay();
                    if delay.is_zero() && !self.call.frozen() {
                        return Poll::Ready(());
                    }
                    self.due.insert(Timer::after(delay))
                }
            };
            ready!(Pin::new(timer).poll(context));
            self.due = None;
            if !self.call.frozen() {
                return Poll::Ready(());
            }
            self.due = Some(Timer::after(POLL));
        }
    }

    fn put_event(&mut self, payload: &str) {
        self.buffer.clear();
        self.read = 0;
        self.buffer.extend_from_slice(b"data: ");
        self.buffer.extend_from_slice(payload.as_bytes());
        self.buffer.extend_from_slice(b"\n\n");
    }
}

impl AsyncBufRead for TokenStream {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let this = self.get_mut();
        if this.read == this.buffer.len() {
            this.buffer.clear();
            this.read = 0;
            ready!(this.poll_event(context))?;
        }
        Poll::Ready(Ok(&this.buffer[this.read..]))
    }

    fn consume(mut self: Pin<&mut Self>, amount: usize) {
        self.read = (self.read + amount).min(self.buffer.len());
    }
}

impl AsyncRead for TokenStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let available = ready!(self.as_mut().poll_fill_buf(context))?;
        let count = available.len().min(target.len());
        target[..count].copy_from_slice(&available[..count]);
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}
