//! Sends one request and receives its response on a connection.

use super::{
    body::{ResponseBody, ResponseFraming},
    head::{self, ResponseHead},
    pool::Pool,
};
use crate::{
    encode_buffer::{EncodeBuffer, Encoded},
    socket::Socket,
};
use async_h1::client::Encoder;
use futures_lite::future::poll_fn;
use http_types::{
    Body, Method, Request, Response,
    headers::{CONTENT_LENGTH, EXPECT, TRANSFER_ENCODING},
};
use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    task::{Context, Poll},
};

/// Why a request could not be written completely.
#[derive(Debug)]
pub(super) enum WriteError {
    /// No byte of the request was sent.
    NothingSent(io::Error),
    /// Some bytes of the request were sent before the connection or the request's body failed.
    PartlySent(String),
}

/// Encodes a request and writes it to a connection.
pub(super) struct RequestWriter {
    method: Method,
    encoder: Option<Encoder>,
    buffer: EncodeBuffer,
    bytes_sent: bool,
}

impl RequestWriter {
    pub(super) fn new(mut request: Request) -> Self {
        request.remove_header(TRANSFER_ENCODING);
        // The body is sent without waiting for an interim response.
        request.remove_header(EXPECT);
        if request.len().is_none() {
            request.remove_header(CONTENT_LENGTH);
        }
        Self {
            method: request.method(),
            encoder: Some(Encoder::new(request)),
            buffer: EncodeBuffer::new(),
            bytes_sent: false,
        }
    }

    /// Writes the request; after [`WriteError::NothingSent`] it may be written to another
    /// connection.
    pub(super) async fn write(&mut self, socket: &mut Socket) -> Result<(), WriteError> {
        poll_fn(|context| self.poll_send(context, socket)).await
    }

    fn poll_send(
        &mut self,
        context: &mut Context<'_>,
        socket: &mut Socket,
    ) -> Poll<Result<(), WriteError>> {
        loop {
            let fully_encoded = match self.poll_fill_buffer(context) {
                Poll::Ready(Ok(())) => true,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(self.body_failed(error))),
                Poll::Pending => false,
            };
            if self.buffer.pending().is_empty() {
                return match fully_encoded {
                    true => Poll::Ready(Ok(())),
                    false => self.poll_early_response(context, socket),
                };
            }
            match socket.poll_write(context, self.buffer.pending()) {
                Poll::Pending => return self.poll_early_response(context, socket),
                Poll::Ready(Ok(count)) if count > 0 => self.mark_written(count),
                Poll::Ready(Ok(_)) => {
                    return Poll::Ready(Err(self.write_failed(io::ErrorKind::WriteZero.into())));
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(self.write_failed(error))),
            }
        }
    }

    /// Fails when the peer responds or closes before it has read the whole request.
    fn poll_early_response(
        &self,
        context: &mut Context<'_>,
        socket: &mut Socket,
    ) -> Poll<Result<(), WriteError>> {
        match socket.poll_fill(context) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Err(error)) => Poll::Ready(Err(self.write_failed(error))),
            Poll::Ready(Ok(_)) => {
                let error = io::Error::other("the peer did not read the whole request");
                Poll::Ready(Err(self.write_failed(error)))
            }
        }
    }

    fn poll_fill_buffer(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        while let Some(encoder) = self.encoder.as_mut() {
            match self.buffer.poll_encode(context, encoder) {
                Poll::Ready(Ok(Encoded::Bytes(_))) => {}
                Poll::Ready(Ok(Encoded::End)) => self.encoder = None,
                Poll::Ready(Ok(Encoded::BufferFull)) => break,
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(()))
    }

    fn mark_written(&mut self, count: usize) {
        self.bytes_sent = true;
        self.buffer.mark_written(count);
    }

    fn write_failed(&self, error: io::Error) -> WriteError {
        match self.bytes_sent {
            true => WriteError::PartlySent(error.to_string()),
            false => WriteError::NothingSent(error),
        }
    }

    fn body_failed(&self, error: io::Error) -> WriteError {
        let error = io::Error::new(error.kind(), format!("the request's body failed: {error}"));
        self.write_failed(error)
    }

    /// Reads the final response's head, and moves the connection into the response's body.
    pub(super) async fn read_response(
        &self,
        mut socket: Socket,
        pool: &Arc<Pool>,
        address: SocketAddr,
        reusable: bool,
    ) -> Result<Response, String> {
        let (head, mut response) = self.read_final_head(&mut socket).await?;
        let return_to = (reusable && head.keep_alive).then(|| (Arc::clone(pool), address));
        let length = match head.framing {
            ResponseFraming::Length(length) => Some(length),
            ResponseFraming::Chunked | ResponseFraming::UntilClose => None,
        };
        let body = ResponseBody::new(socket, head.framing, return_to);
        let body = match self.method {
            Method::Head => head::body_of_head(&response),
            _ => Body::from_reader(body, length),
        };
        head::set_body(&mut response, head, body);
        Ok(response)
    }

    async fn read_final_head(
        &self,
        socket: &mut Socket,
    ) -> Result<(ResponseHead, Response), String> {
        loop {
            let length = read_head(socket).await?;
            let bytes = &socket.buffered()[..length];
            let head = head::check(bytes, self.method)?;
            if head.is_interim() {
                socket.consume(length);
                continue;
            }
            let response = head::decode(bytes, head).await?;
            socket.consume(length);
            return Ok((head, response));
        }
    }
}

/// Reads until a complete head is buffered, and returns its length.
async fn read_head(socket: &mut Socket) -> Result<usize, String> {
    loop {
        if let Some(length) = head::find_end(socket.buffered())? {
            return Ok(length);
        }
        match poll_fn(|context| socket.poll_fill(context)).await {
            Ok(0) => return Err("the peer closed before it answered".to_owned()),
            Ok(_) => {}
            Err(error) => return Err(error.to_string()),
        }
    }
}
