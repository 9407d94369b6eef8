//! HTTP client with a pool of kept-alive connections.

mod body;
mod exchange;
mod head;
mod pool;

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

/// Bounds on the client's connections.
#[derive(Clone, Copy, Debug)]
pub struct ClientLimits {
    /// Time to connect.
    pub connect_timeout: Duration,
    /// Idle connections kept for each address.
    pub idle_connections: usize,
    /// Time that an idle connection is kept.
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
    /// Why a call failed.
    #[derive(Debug)]
    pub enum ClientError {
        /// No connection; nothing was sent.
        Connect(cause: std::io::Error) {
            display("cannot connect: {cause}")
            source(cause)
        }
        /// The connection failed after the request was sent in part or whole.
        Broken(cause: String) {
            display("connection broken after sending: {cause}")
        }
    }
}

/// HTTP client; clones share the pool.
#[derive(Clone, Debug)]
pub struct Client {
    pool: Arc<Pool>,
}

impl Client {
    /// A client with an empty pool.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            pool: Arc::new(Pool::new(limits)),
        }
    }

    /// Sends a request and returns the response when its head has arrived.
    ///
    /// The body streams from the connection. Dropping the future or the response closes the
    /// connection, which cancels the work at the peer; a body read to its end returns the
    /// connection to the pool. A pooled connection that the peer has closed meanwhile is found
    /// before the request is written, and another one is taken; a request is never sent twice.
    /// Waiting for the response has no time limit: that is the caller's to set.
    ///
    /// # Errors
    /// [`ClientError::Connect`] where nothing was sent, else [`ClientError::Broken`].
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
                // A pooled connection failed before it took a byte, so another one may be used.
                Err(WriteError::NothingSent(_)) if !new_connection => continue,
                Err(WriteError::NothingSent(error)) => return Err(ClientError::Connect(error)),
                Err(WriteError::PartlySent(error)) => Some(error),
            };
            // A peer may answer and close before it has read the whole request.
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
