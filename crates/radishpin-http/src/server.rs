//! HTTP server: one task a connection, bodies read whole within limits, hang-ups noticed.

mod accept;
mod body;
mod connection;
mod head;
mod registry;
mod response;
mod shutdown;

pub use shutdown::Shutdown;

use crate::{HttpFault, headers::MAX_HEAD_BYTES};
use accept::Acceptor;
use http_types::{Request, Response};
use radishpin_runtime::Runtime;
use registry::Registry;
use smol::net::TcpListener;
use std::{future::Future, io, net::SocketAddr, sync::Arc, time::Duration};

/// Longest time between two looks at the connections' deadlines.
const MAX_TICK: Duration = Duration::from_millis(250);
/// Shortest time between two looks.
const MIN_TICK: Duration = Duration::from_millis(5);
/// Looks within the shortest timeout.
const TICKS_PER_TIMEOUT: u32 = 8;

/// Bounds on what one connection may take.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Largest head (request line and headers); at most 8191, which is what `async-h1` takes.
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
            head_bytes: MAX_HEAD_BYTES,
            body_bytes: 8 * 1024 * 1024,
            head_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            idle_timeout: Duration::from_secs(75),
            write_timeout: Duration::from_secs(30),
            connections: 10_000,
        }
    }
}

impl ServerLimits {
    fn clamped(mut self) -> Self {
        self.head_bytes = self.head_bytes.min(MAX_HEAD_BYTES);
        self.connections = self.connections.max(1);
        self
    }

    /// Time between two looks at the deadlines: a deadline is noticed at most this late.
    fn tick(&self) -> Duration {
        let shortest = self
            .head_timeout
            .min(self.body_timeout)
            .min(self.idle_timeout)
            .min(self.write_timeout);
        (shortest / TICKS_PER_TIMEOUT).clamp(MIN_TICK, MAX_TICK)
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

/// A listening HTTP server.
#[derive(Debug)]
pub struct Server {}

impl Server {
    /// Accepts connections until `shutdown` begins, then waits for the running requests.
    ///
    /// Where all connections are taken, one that rests gives way to a new one; where none rests,
    /// new ones wait in the listener's backlog. Dropping the future ends every connection at once,
    /// with the handlers and responses that run on it.
    ///
    /// # Errors
    /// The listener fails for good.
    pub async fn serve<H: Handler>(
        runtime: Runtime,
        listener: TcpListener,
        handler: Arc<H>,
        limits: ServerLimits,
        shutdown: Shutdown,
    ) -> io::Result<()> {
        let limits = limits.clamped();
        let registry = Arc::new(Registry::new(limits.tick()));
        let _abort = AbortOnDrop(Arc::clone(&registry));
        let _ticker = runtime.spawn(tick(Arc::clone(&registry), limits.tick()));
        let acceptor = Acceptor {
            runtime,
            listener,
            handler,
            limits,
            registry: Arc::clone(&registry),
        };
        acceptor.run(&shutdown).await?;
        registry.begin_shutdown();
        while registry.open_count() > 0 {
            registry.wait_for_close().await;
        }
        Ok(())
    }
}

/// Ends the connections where the server's future is dropped before its end.
struct AbortOnDrop(Arc<Registry>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Advances the registry's clock for as long as the server runs.
async fn tick(registry: Arc<Registry>, every: Duration) {
    loop {
        Runtime::sleep(every).await;
        registry.tick();
    }
}
