//! HTTP server: one task a connection, bodies read whole within limits, hang-ups noticed.

use crate::HttpFault;
use http_types::{Request, Response};
use radishpin_runtime::Runtime;
use smol::net::TcpListener;
use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

/// Bounds on what one connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head (request line and headers).
    pub head_bytes: usize,
    /// Largest body.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its end.
    pub head_timeout: Duration,
    /// Time for the whole body.
    pub body_timeout: Duration,
    /// Time that a connection may rest between requests.
    pub idle_timeout: Duration,
    /// Time that one write may stall before the caller is given up.
    pub write_timeout: Duration,
    /// Connections open at once.
    pub connections: usize,
}

impl Default for ServerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
            connections: 10_000,
        }
    }
}

/// A whole request: head and body.
#[derive(Debug)]
pub struct Received {
    /// The head; its body has been taken out.
    pub request: Request,
    /// The body.
    pub body: Vec<u8>,
    /// Address of the peer.
    pub peer: SocketAddr,
}

/// What a server does with requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. The future is dropped when the caller hangs up, as is the
    /// response's body.
    fn handle(&self, received: Received) -> impl Future<Output = Response> + Send;
    /// Answers a request that never reached `handle`; the connection closes afterwards.
    fn refuse(&self, fault: HttpFault) -> Response;
}

/// Tells a server to stop: no new connections or requests, running ones end.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {}

impl Shutdown {
    /// Starts the stop; idempotent.
    pub fn begin(&self) {
        todo!()
    }

    /// Waits until the stop has begun.
    pub async fn begun(&self) {
        todo!()
    }
}

/// A listening HTTP server.
#[derive(Debug)]
pub struct Server {}

impl Server {
    /// Accepts connections until `shutdown` begins, then waits for the running requests.
    ///
    /// # Errors
    /// The listener fails for good.
    pub async fn serve<H: Handler>(
        _runtime: Runtime,
        _listener: TcpListener,
        _handler: Arc<H>,
        _limits: ServerLimits,
        _shutdown: Shutdown,
    ) -> io::Result<()> {
        todo!()
    }
}
