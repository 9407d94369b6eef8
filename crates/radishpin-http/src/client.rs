//! HTTP client with a pool of kept-alive connections.

mod body;
mod exchange;
mod head;
mod pool;
mod read_body;

pub use read_body::read_body;

use crate::socket::Socket;
use exchange::{RequestWriter, WriteError};
use http_types::{Request, Response};
use pool::Pool;
use quick_error::quick_error;
use radishpin_runtime::timeout;
use smol::Async;
use std::{
    io,
    net::{SocketAddr, TcpStream},
    sync::Arc,
    time::Duration,
};

/// Timeouts of a client's connections, and the size of its pool.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time within which a connection must be established.
    pub connect_timeout: Duration,
    /// Maximum number of idle connections that are kept per address.
    pub idle_connections: usize,
    /// Time after which an idle connection is no longer reused.
    pub idle_timeout: Duration,
}

impl Default for ClientLimits {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_connections: 64,
            idle_timeout: Duration::from_secs(30),
        }
    }
}

quick_error! {
    /// Failure of a call, which tells whether the peer may have received the request.
    #[derive(Debug)]
    pub enum ClientError {
        /// No byte of the request was sent: the connection or the request's body failed before.
        Connect(cause: std::io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The call failed after at least a part of the request was sent.
        Broken(cause: String) {
            display("connection broken after sending: {cause}")
        }
    }
}

/// HTTP client; clones share its connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// Creates a client with an empty pool.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
        }
    }

    /// Sends a request and returns the response when its head has arrived.
    ///
    /// The body streams from the connection. Dropping the future or the response closes the
    /// connection, which cancels the work at the peer; a body read to its end returns the
    /// connection to the pool. A pooled connection that the peer has closed is detected before
    /// the request is written and replaced by another one; a request is never sent twice.
    /// Waiting for the response has no timeout: the code that calls this sets one.
    ///
    /// # Errors
    /// [`ClientError::Connect`] if nothing was sent, otherwise [`ClientError::Broken`].
    pub async fn send(
        &self,
        address: SocketAddr,
        request: Request,
    ) -> Result<Response, ClientError> {
        let mut writer = RequestWriter::new(request);
        loop {
            let (mut socket, new_connection) = match self.pool.take(address) {
                Some(socket) => (socket, false),
                None => (self.connect(address).await?, true),
            };
            let written = writer.write(&mut socket).await;
            let fully_written = written.is_ok();
            let write_error = match written {
                Ok(()) => None,
                // A pooled connection failed before a byte was sent, so another one may be used.
                Err(WriteError::NothingSent(_)) if !new_connection => continue,
                Err(WriteError::NothingSent(error)) => return Err(ClientError::Connect(error)),
                Err(WriteError::PartlySent(error)) => Some(error),
            };
            // A peer may respond and close before it has read the whole request.
            return writer
                .read_response(socket, &self.pool, address, fully_written)
                .await
                .map_err(|error| ClientError::Broken(write_error.unwrap_or(error)));
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<Socket, ClientError> {
        let connecting = Async::<TcpStream>::connect(address);
        let limit = self.pool.limits.connect_timeout;
        let stream = timeout(limit, connecting)
            .await
            .unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
            .map_err(ClientError::Connect)?;
        Socket::new(Arc::new(stream)).map_err(ClientError::Connect)
    }
}
