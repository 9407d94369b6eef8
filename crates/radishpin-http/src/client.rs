//! HTTP client with a pool of kept-alive connections.

use http_types::{Request, Response};
use quick_error::quick_error;
use std::{net::SocketAddr, time::Duration};

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
pub struct Client {}

impl Client {
    /// A client with an empty pool.
    pub fn new(_limits: ClientLimits) -> Self {
        todo!()
    }

    /// Sends a request and returns the response when its head has arrived.
    ///
    /// The body streams from the connection. Dropping the future or the response closes the
    /// connection, which cancels the work at the peer; a body read to its end returns the
    /// connection to the pool. A pooled connection that the peer has closed meanwhile is found
    /// before the request is written, and a fresh one is taken; a request is never sent twice.
    ///
    /// # Errors
    /// [`ClientError::Connect`] where nothing was sent, else [`ClientError::Broken`].
    pub async fn send(
        &self,
        _address: SocketAddr,
        _request: Request,
    ) -> Result<Response, ClientError> {
        todo!()
    }
}
