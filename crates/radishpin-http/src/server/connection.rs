//! Serves the requests of one connection in order, until either side closes.

use super::{
    Handler, ReceivedRequest, ServerLimits,
    body::BodyReader,
    head::{self, Framing, Head},
    registry::Registration,
    response::ResponseEncoder,
};
use crate::{HttpFault, socket::Socket};
use futures_lite::future::poll_fn;
use http_types::{Method, Request, Response};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::pin,
    sync::Arc,
    task::{Context, Poll, Waker},
    time::Duration,
};

/// Time that a refused caller has to read the response before the connection closes.
const LINGER_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of bytes that are discarded while a refused caller still sends.
const MAX_LINGER_BYTES: usize = 64 * 1024 * 1024;
/// Interim response after which a caller with `Expect: 100-continue` sends its body.
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Why a connection ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// Closed by either side, or failed; no response is sent.
    Closed,
    /// The request is answered by `Handler::refuse`, then the connection closes.
    Fault(HttpFault),
}

/// An accepted connection.
#[derive(Debug)]
pub(super) struct Connection {
    socket: Socket,
    peer: SocketAddr,
    limits: ServerLimits,
    registration: Registration,
    // Wakes the task and sets the `io_ready` flag of its `ConnectionState`.
    io_waker: Waker,
    // The last read returned `Pending`, so `io_waker` is registered for reads.
    read_pending: bool,
    response_encoder: ResponseEncoder,
}

impl Connection {
    pub(super) fn new(
        socket: Socket,
        peer: SocketAddr,
        limits: ServerLimits,
        registration: Registration,
    ) -> Self {
        let io_waker = Waker::from(Arc::clone(registration.state()));
        Self {
            socket,
            peer,
            limits,
            registration,
            io_waker,
            read_pending: false,
            response_encoder: ResponseEncoder::new(),
        }
    }

    /// Serves requests until the connection ends.
    pub(super) async fn run<H: Handler>(mut self, handler: Arc<H>) {
        loop {
            match self.serve_request(handler.as_ref()).await {
                Ok(()) => {}
                Err(End::Closed) => return,
                Err(End::Fault(fault)) => return self.refuse(handler.as_ref(), fault).await,
            }
        }
    }

    async fn serve_request<H: Handler>(&mut self, handler: &H) -> Result<(), End> {
        let length = self.read_head().await?;
        let bytes = &self.socket.buffered()[..length];
        let head = head::check(bytes).map_err(End::Fault)?;
        let request = head::decode(bytes, head).await.map_err(End::Fault)?;
        self.socket.consume(length);
        let body = self.read_body(head).await?;
        self.registration.clear_deadline();
        self.answer(handler, head, request, body).await
    }

    async fn answer<H: Handler>(
        &mut self,
        handler: &H,
        head: Head,
        request: Request,
        body: Vec<u8>,
    ) -> Result<(), End> {
        let method = request.method();
        let received = ReceivedRequest {
            request,
            body,
            peer: self.peer,
        };
        let response = self.run_handler(handler, received).await?;
        let close = head.close || self.registration.is_shutdown_requested();
        match self.respond(response, method, close).await? {
            true => Err(End::Closed),
            false => Ok(()),
        }
    }

    /// Runs the handler, and drops it if the caller disconnects.
    async fn run_handler<H: Handler>(
        &mut self,
        handler: &H,
        received: ReceivedRequest,
    ) -> Result<Response, End> {
        let mut work = pin!(handler.handle(received));
        poll_fn(|context| {
            self.registration.state().set_task_waker(context.waker());
            if let Poll::Ready(response) = work.as_mut().poll(context) {
                return Poll::Ready(Ok(response));
            }
            self.poll_disconnect()
        })
        .await
    }

    /// Writes a response; returns whether the connection must close.
    async fn respond(
        &mut self,
        response: Response,
        method: Method,
        close: bool,
    ) -> Result<bool, End> {
        let must_close = self.response_encoder.start(response, method, close);
        let result = poll_fn(|context| {
            self.registration.state().set_task_waker(context.waker());
            self.poll_respond(context)
        })
        .await;
        self.response_encoder.finish();
        self.registration.clear_deadline();
        result.map(|complete| must_close || !complete)
    }

    fn poll_respond(&mut self, context: &mut Context<'_>) -> Poll<Result<bool, End>> {
        loop {
            let fully_encoded = match self.response_encoder.poll_fill_buffer(context) {
                Poll::Ready(Ok(())) => true,
                Poll::Ready(Err(error)) => {
                    log::debug!(peer:% = self.peer, error:%; "response body failed");
                    return Poll::Ready(Err(End::Closed));
                }
                Poll::Pending => false,
            };
            if self.response_encoder.pending().is_empty() {
                if fully_encoded {
                    return Poll::Ready(Ok(self.response_encoder.is_complete_response()));
                }
                return self.poll_disconnect();
            }
            match self.poll_write_pending() {
                Poll::Ready(Ok(())) => {}
                Poll::Ready(Err(end)) => return Poll::Ready(Err(end)),
                Poll::Pending => return self.poll_disconnect(),
            }
        }
    }

    /// Writes the pending bytes; the write deadline runs while no byte can be written.
    fn poll_write_pending(&mut self) -> Poll<Result<(), End>> {
        let mut context = Context::from_waker(&self.io_waker);
        while !self.response_encoder.pending().is_empty() {
            match self
                .socket
                .poll_write(&mut context, self.response_encoder.pending())
            {
                Poll::Ready(Ok(count)) if count > 0 => {
                    self.response_encoder.mark_written(count);
                    self.registration.clear_deadline();
                }
                Poll::Ready(_) => return Poll::Ready(Err(End::Closed)),
                Poll::Pending if self.registration.is_expired() => {
                    return Poll::Ready(Err(End::Closed));
                }
                Poll::Pending => {
                    if !self.registration.has_deadline() {
                        self.registration.set_deadline(self.limits.write_timeout);
                    }
                    return Poll::Pending;
                }
            }
        }
        Poll::Ready(Ok(()))
    }

    /// Ready when the caller has disconnected; buffers pipelined bytes up to the head limit.
    fn poll_disconnect<T>(&mut self) -> Poll<Result<T, End>> {
        while self.socket.buffered().len() < self.limits.head_bytes {
            match self.poll_fill() {
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(end)) => return Poll::Ready(Err(end)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Pending
    }

    fn poll_fill(&mut self) -> Poll<Result<usize, End>> {
        // The socket has not become ready since the last read returned `Pending`.
        if self.read_pending && !self.registration.state().take_io_ready() {
            return Poll::Pending;
        }
        let mut context = Context::from_waker(&self.io_waker);
        let result = self.socket.poll_fill(&mut context);
        self.read_pending = result.is_pending();
        match result {
            Poll::Ready(Ok(0) | Err(_)) => Poll::Ready(Err(End::Closed)),
            Poll::Ready(Ok(count)) => Poll::Ready(Ok(count)),
            Poll::Pending => Poll::Pending,
        }
    }

    /// Reads until a complete head is buffered, and returns its length.
    async fn read_head(&mut self) -> Result<usize, End> {
        self.response_encoder.shrink();
        self.socket.shrink();
        let mut started = false;
        loop {
            self.skip_empty_lines();
            if !self.socket.buffered().is_empty() {
                if let Some(length) = self.find_head_end()? {
                    self.registration.state().set_idle(false);
                    return Ok(length);
                }
                if !started {
                    started = true;
                    self.registration.state().set_idle(false);
                    self.registration.set_deadline(self.limits.head_timeout);
                }
                self.fill(HttpFault::Malformed).await?;
            } else {
                self.registration.state().set_idle(true);
                self.registration.set_deadline(self.limits.idle_timeout);
                self.fill_idle().await?;
            }
        }
    }

    fn find_head_end(&self) -> Result<Option<usize>, End> {
        head::find_end(self.socket.buffered(), self.limits.head_bytes).map_err(End::Fault)
    }

    /// Skips empty lines before a request line, as RFC 9112, section 2.2, recommends.
    fn skip_empty_lines(&mut self) {
        while self.socket.buffered().starts_with(b"\r\n") {
            self.socket.consume(2);
        }
    }

    /// Waits for more bytes of a request that has begun.
    async fn fill(&mut self, fault_on_close: HttpFault) -> Result<(), End> {
        poll_fn(|context| {
            self.registration.state().set_task_waker(context.waker());
            match self.poll_fill() {
                Poll::Ready(Ok(_)) => Poll::Ready(Ok(())),
                Poll::Ready(Err(_)) => Poll::Ready(Err(End::Fault(fault_on_close))),
                Poll::Pending if self.registration.is_expired() => {
                    Poll::Ready(Err(End::Fault(HttpFault::Timeout)))
                }
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    /// Waits for the first byte of the next request.
    async fn fill_idle(&mut self) -> Result<(), End> {
        poll_fn(|context| {
            self.registration.state().set_task_waker(context.waker());
            // Bytes that have arrived are served even if the connection should close.
            match self.poll_fill() {
                Poll::Ready(result) => Poll::Ready(result.map(|_| ())),
                Poll::Pending if self.should_close() => Poll::Ready(Err(End::Closed)),
                Poll::Pending => Poll::Pending,
            }
        })
        .await
    }

    fn should_close(&self) -> bool {
        let state = self.registration.state();
        self.registration.is_shutting_down() || state.is_evicted() || self.registration.is_expired()
    }

    async fn read_body(&mut self, head: Head) -> Result<Vec<u8>, End> {
        if head.framing == Framing::Length(0) {
            return Ok(Vec::new());
        }
        let mut body = BodyReader::new(head.framing, self.limits.body_bytes).map_err(End::Fault)?;
        self.registration.set_deadline(self.limits.body_timeout);
        if head.expects_continue && self.socket.buffered().is_empty() {
            self.write_continue().await?;
        }
        loop {
            let used = body.take(self.socket.buffered()).map_err(End::Fault)?;
            self.socket.consume(used);
            if body.is_complete() {
                return Ok(body.into_bytes());
            }
            self.fill(HttpFault::Malformed).await?;
        }
    }

    async fn write_continue(&mut self) -> Result<(), End> {
        self.response_encoder.append_encoded(CONTINUE_RESPONSE);
        poll_fn(|context| {
            self.registration.state().set_task_waker(context.waker());
            self.poll_write_pending()
        })
        .await?;
        self.registration.set_deadline(self.limits.body_timeout);
        Ok(())
    }

    /// Sends the refusal, then discards input for a while before it closes: closing with unread
    /// input would reset the connection and could lose the response.
    async fn refuse<H: Handler>(&mut self, handler: &H, fault: HttpFault) {
        self.registration.clear_deadline();
        let response = handler.refuse(fault);
        if self.respond(response, Method::Get, true).await.is_err() {
            return;
        }
        self.socket.shut_down_writing();
        self.registration.set_deadline(LINGER_TIMEOUT);
        let mut remaining_bytes = MAX_LINGER_BYTES;
        while let Ok(count) = self.discard().await {
            remaining_bytes = remaining_bytes.saturating_sub(count);
            if remaining_bytes == 0 {
                return;
            }
        }
    }

    /// Reads and discards input, and returns the number of bytes of the last read.
    async fn discard(&mut self) -> io::Result<usize> {
        let count = self.socket.buffered().len();
        self.socket.consume(count);
        match self.fill(HttpFault::Timeout).await {
            Ok(()) => Ok(self.socket.buffered().len()),
            Err(_) => Err(io::ErrorKind::ConnectionAborted.into()),
        }
    }
}
