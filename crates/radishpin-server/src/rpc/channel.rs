//! RPC client: a connection that is opened on demand and reopened after a failure.

use super::listener::SmolExecutor;
use crate::Token;
use http::{HeaderValue, Request, Response, Uri, header::AUTHORIZATION, uri::PathAndQuery};
use hyper::{
    body::Incoming,
    client::conn::http2::{self, SendRequest},
};
use parking_lot::Mutex;
use quick_error::quick_error;
use radishpin_runtime::{Runtime, timeout};
use smol::{lock::Mutex as AsyncMutex, net::TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
    time::Duration,
};
use tonic::body::Body;
use tower_service::Service;

const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(2);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Flow-control window of a stream; limits what is buffered here for a slow caller.
const STREAM_WINDOW_BYTES: u32 = 256 * 1024;
/// Flow-control window of the connection.
const CONNECTION_WINDOW_BYTES: u32 = 8 * 1024 * 1024;

quick_error! {
    /// Why a call got no response.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum ChannelError {
        /// The connection could not be opened; nothing was sent.
        Connect(cause: io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The connection failed; the peer may have received the call.
        Transport(cause: hyper::Error) {
            display("connection failed: {cause}")
            source(cause)
        }
        /// The address or path of the call does not form a valid URI; nothing was sent.
        Malformed(cause: http::Error) {
            display("cannot build the request: {cause}")
            source(cause)
        }
    }
}

/// A connection to one peer, shared by all clones.
///
/// Serves as the transport of the generated `tonic` clients, as in `AgentClient::new(channel)`.
#[derive(Clone)]
pub struct Channel {
    shared: Arc<Shared>,
}

struct Shared {
    runtime: Runtime,
    address: SocketAddr,
    authorization: Option<HeaderValue>,
    sender: Mutex<Option<SendRequest<Body>>>,
    // Held while connecting, so that concurrent calls open only one connection.
    connecting: AsyncMutex<()>,
}

impl std::fmt::Debug for Channel {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Channel")
            .field("address", &self.shared.address)
            .finish_non_exhaustive()
    }
}

impl Channel {
    /// Creates a channel to `address` whose calls carry `token`; it connects on the first call.
    pub fn new(runtime: Runtime, address: SocketAddr, token: &Token) -> Self {
        let authorization = HeaderValue::from_str(&token.authorization()).ok();
        Self::with_authorization(runtime, address, authorization)
    }

    /// Creates a channel to `address` that adds no token to the calls' own metadata; agents refuse
    /// calls that carry none.
    pub fn without_token(runtime: Runtime, address: SocketAddr) -> Self {
        Self::with_authorization(runtime, address, None)
    }

    fn with_authorization(
        runtime: Runtime,
        address: SocketAddr,
        authorization: Option<HeaderValue>,
    ) -> Self {
        let sender = Mutex::new(None);
        let connecting = AsyncMutex::new(());
        Self {
            shared: Arc::new(Shared {
                runtime,
                address,
                authorization,
                sender,
                connecting,
            }),
        }
    }
}

impl Shared {
    fn open_sender(&self) -> Option<SendRequest<Body>> {
        let mut slot = self.sender.lock();
        if slot.as_ref().is_some_and(SendRequest::is_closed) {
            *slot = None;
        }
        slot.clone()
    }

    async fn sender(&self) -> Result<SendRequest<Body>, ChannelError> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _guard = self.connecting.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let sender = self.connect().await?;
        *self.sender.lock() = Some(sender.clone());
        Ok(sender)
    }

    /// A connection for repeating a call that could not be sent on `failed`.
    async fn reconnect(
        &self,
        failed: &SendRequest<Body>,
    ) -> Result<SendRequest<Body>, ChannelError> {
        if failed.is_closed() {
            return self.sender().await;
        }
        *self.sender.lock() = None;
        self.sender().await
    }

    async fn connect(&self) -> Result<SendRequest<Body>, ChannelError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address))
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ChannelError::Connect)?;
        stream.set_nodelay(true).map_err(ChannelError::Connect)?;
        let (sender, connection) = http2::Builder::new(SmolExecutor(self.runtime.clone()))
            .timer(SmolTimer::new())
            .keep_alive_interval(KEEP_ALIVE_INTERVAL)
            .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
            .initial_stream_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
            .handshake(FuturesIo::new(stream))
            .await
            .map_err(ChannelError::Transport)?;
        self.runtime.spawn_detached(async move {
            if let Err(cause) = connection.await {
                log::debug!(event = "rpc_connection_ended", cause:% = cause; "connection ended");
            }
        });
        Ok(sender)
    }

    fn prepare_request(&self, request: &mut Request<Body>) -> Result<(), ChannelError> {
        let path = request.uri().path_and_query().cloned();
        let uri = Uri::builder()
            .scheme("http")
            .authority(self.address.to_string())
            .path_and_query(path.unwrap_or_else(|| PathAndQuery::from_static("/")))
            .build()
            .map_err(ChannelError::Malformed)?;
        *request.uri_mut() = uri;
        if let Some(value) = &self.authorization {
            request.headers_mut().insert(AUTHORIZATION, value.clone());
        }
        Ok(())
    }
}

impl Service<Request<Body>> for Channel {
    type Response = Response<Incoming>;
    type Error = ChannelError;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, Self::Error>> + Send>>;

    fn poll_ready(&mut self, _context: &mut Context<'_>) -> Poll<Result<(), Self::Error>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, mut request: Request<Body>) -> Self::Future {
        let shared = Arc::clone(&self.shared);
        Box::pin(async move {
            shared.prepare_request(&mut request)?;
            let mut sender = shared.sender().await?;
            let mut failed = match sender.try_send_request(request).await {
                Ok(response) => return Ok(response),
                Err(failed) => failed,
            };
            // hyper returns a request that it never wrote: the connection had closed unnoticed, so
            // sending it again on a new one is safe.
            let Some(request) = failed.take_message() else {
                return Err(ChannelError::Transport(failed.into_error()));
            };
            let mut sender = shared.reconnect(&sender).await?;
            sender
                .send_request(request)
                .await
                .map_err(ChannelError::Transport)
        })
    }
}
