//! HTTP client connections, to endpoints, sidecars and the store.

use super::{
    fair_stream::FairStream,
    pieces::{Pieces, WriteProgress},
    reset::reset_on_close,
};
use bytes::Bytes;
use http::{HeaderMap, Request, Response, header};
use http_body_util::{BodyExt, Limited};
use hyper::{
    body::Incoming,
    client::conn::http1::{self, SendRequest},
};
use quick_error::quick_error;
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use rustix::net::sockopt::set_socket_send_buffer_size;
use smol::{Task, net::TcpStream};
use smol_hyper::rt::FuturesIo;
use std::{io, net::SocketAddr};

/// Longest time to open a connection.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which an idle connection is kept if the server sends no Keep-Alive timeout.
const IDLE_TIMEOUT_DEFAULT: Duration = Duration::from_millis(700);
/// Largest head of a response, and read buffer of a connection, in bytes.
const READ_BUFFER_BYTES_MAX: usize = 64 * 1024;
/// Send buffer of a connection, in bytes. A body that fits into the buffers of the system counts as written
/// before the peer has read it, so they are kept small.
const SEND_BUFFER_BYTES: usize = 32 * 1024;
/// Share of the server's Keep-Alive timeout for which a connection is kept, in tenths.
const IDLE_TIMEOUT_TENTHS: u32 = 7;

quick_error! {
    /// Why an exchange brought no usable response.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum ExchangeError {
        /// No connection could be opened; nothing was sent.
        Connect(cause: io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The connection ended before any byte of the request was written.
        NotSent {
            display("connection closed before the request was sent")
        }
        /// The connection failed after the request may have been sent.
        Broken(cause: hyper::Error) {
            display("connection failed: {cause}")
            source(cause)
            from()
        }
        /// The response is incomplete, too large or malformed, or the request could not be built.
        Body(cause: String) {
            display("cannot read the response: {cause}")
        }
    }
}

impl ExchangeError {
    /// Whether the host refused the connection, so that no process listens there.
    pub(crate) fn is_connection_refused(&self) -> bool {
        match self {
            Self::Connect(cause) => cause.kind() == io::ErrorKind::ConnectionRefused,
            Self::NotSent | Self::Broken(_) | Self::Body(_) => false,
        }
    }
}

/// A connection that carries one exchange at a time. Dropping it closes the socket.
#[derive(Debug)]
pub(crate) struct Connection {
    sender: SendRequest<Pieces>,
    /// How far the last request has been written.
    progress: WriteProgress,
    reusable_until: Duration,
    _driver: Task<()>,
}

impl Connection {
    /// Connects to `address` within [`CONNECT_TIMEOUT`].
    pub(crate) async fn open(
        runtime: &Runtime,
        address: SocketAddr,
    ) -> Result<Self, ExchangeError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ExchangeError::Connect)?;
        stream.set_nodelay(true).map_err(ExchangeError::Connect)?;
        // The server must discard what it has not read of a request that was given up, or it could
        // still run it.
        reset_on_close(&stream).map_err(ExchangeError::Connect)?;
        set_socket_send_buffer_size(&stream, SEND_BUFFER_BYTES)
            .map_err(|cause| ExchangeError::Connect(cause.into()))?;
        let progress = WriteProgress::default();
        let stream = FairStream::new(stream, progress.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES_MAX)
            .handshake(FuturesIo::new(stream))
            .await?;
        let driver = runtime.spawn(async move {
            if let Err(cause) = connection.await {
                log::debug!(event = "connection_ended", cause:% = cause; "connection failed");
            }
        });
        Ok(Self {
            sender,
            progress,
            reusable_until: Duration::ZERO,
            _driver: driver,
        })
    }

    /// Waits until the connection can take a request.
    pub(crate) async fn wait_until_ready(&mut self) -> Result<(), ExchangeError> {
        let ready = self.sender.ready().await;
        ready.map_err(|_| ExchangeError::NotSent)
    }

    /// Whether the last request has been written to its end. The HTTP library takes the next one before,
    /// and keeps it until the peer has read on.
    pub(crate) fn is_written(&self) -> bool {
        self.progress.is_written()
    }

    /// Whether the connection has ended.
    pub(crate) fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub(crate) async fn send(
        &mut self,
        request: Request<Bytes>,
    ) -> Result<Response<Incoming>, ExchangeError> {
        self.wait_until_ready().await?;
        let request = request.map(|body| Pieces::new(body, self.progress.clone()));
        self.sender
            .try_send_request(request)
            .await
            .map_err(|mut failed| match failed.take_message() {
                Some(_) => ExchangeError::NotSent,
                None => ExchangeError::Broken(failed.into_error()),
            })
    }

    /// Whether the connection can carry another exchange.
    pub(crate) fn is_usable(&self, now: Duration) -> bool {
        now < self.reusable_until && !self.sender.is_closed()
    }

    /// Keeps the connection reusable for `keep_alive` from `now`; `None` rules out another exchange.
    pub(crate) fn keep(&mut self, keep_alive: Option<Duration>, now: Duration) {
        self.reusable_until = keep_alive.map_or(Duration::ZERO, |idle| now + idle);
    }
}

/// Returns how long a connection can stay idle after a response with these headers; `None` if the
/// server closes it.
pub(crate) fn keep_alive(headers: &HeaderMap) -> Option<Duration> {
    let connection = headers.get(header::CONNECTION);
    let close = connection.is_some_and(|value| {
        value
            .to_str()
            .is_ok_and(|text| text.to_ascii_lowercase().contains("close"))
    });
    if close {
        return None;
    }
    let text = headers
        .get("keep-alive")
        .and_then(|value| value.to_str().ok());
    let seconds = text.and_then(|text| {
        let mut fields = text.split(',').map(str::trim);
        fields.find_map(|field| field.strip_prefix("timeout=")?.parse::<u32>().ok())
    });
    Some(match seconds {
        Some(seconds) => Duration::from_secs(seconds.into()) * IDLE_TIMEOUT_TENTHS / 10,
        None => IDLE_TIMEOUT_DEFAULT,
    })
}

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct BufferedResponse {
    pub(crate) status: u16,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    pub(crate) keep_alive: Option<Duration>,
}

/// Sends a GET request and reads a response of at most `bytes_max` bytes.
pub(crate) async fn get(
    connection: &mut Connection,
    host: SocketAddr,
    path: &str,
    bytes_max: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let request = Request::get(path).header(header::HOST, host.to_string());
    call(connection, request.body(Bytes::new()), bytes_max).await
}

/// Posts a JSON body, with additional headers, and reads a response of at most `bytes_max` bytes.
pub(crate) async fn post(
    connection: &mut Connection,
    host: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Vec<u8>,
    bytes_max: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let mut request = Request::post(path)
        .header(header::HOST, host.to_string())
        .header(header::CONTENT_TYPE, "application/json");
    for (name, value) in headers {
        request = request.header(*name, *value);
    }
    call(connection, request.body(Bytes::from(body)), bytes_max).await
}

async fn call(
    connection: &mut Connection,
    request: http::Result<Request<Bytes>>,
    bytes_max: usize,
) -> Result<BufferedResponse, ExchangeError> {
    let request = request.map_err(|cause| ExchangeError::Body(cause.to_string()))?;
    let response = connection.send(request).await?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, bytes_max).collect().await;
    let body = body.map_err(|cause| ExchangeError::Body(cause.to_string()))?;
    Ok(BufferedResponse {
        status: head.status.as_u16(),
        keep_alive: keep_alive(&head.headers),
        headers: head.headers,
        body: body.to_bytes(),
    })
}
