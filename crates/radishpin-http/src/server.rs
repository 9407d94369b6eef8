//! HTTP server that runs one task per connection, reads whole bodies within limits and detects
//! disconnects.

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

/// Maximum interval between two checks of the connections' deadlines.
const MAX_TICK: Duration = Duration::from_millis(250);
/// Minimum interval between two checks of the connections' deadlines.
const MIN_TICK: Duration = Duration::from_millis(5);
/// Number of deadline checks within the shortest timeout.
const TICKS_PER_TIMEOUT: u32 = 8;

/// Size limits and timeouts of a server's connections, and their number.
#[derive(Clone, Copy, Debug)]
pub struct ServerLimits {
    /// Maximum size of a head (request line and headers); values above 8191, the limit of
    /// `async-h1`, are lowered to it.
    pub head_bytes: usize,
    /// Maximum size of a request body.
    pub body_bytes: usize,
    /// Time within which a head must arrive, from its first byte.
    pub head_timeout: Duration,
    /// Time within which the whole body must arrive.
    pub body_timeout: Duration,
    /// Time after which a connection without a request is closed.
    pub idle_timeout: Duration,
    /// Time for which a write may make no progress before the connection is closed.
    pub write_timeout: Duration,
    /// Maximum number of open connections; at least 1.
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

    /// Interval between two checks of the deadlines.
    fn tick(&self) -> Duration {
        let shortest = self
            .head_timeout
            .min(self.body_timeout)
            .min(self.idle_timeout)
            .min(self.write_timeout);
        (shortest / TICKS_PER_TIMEOUT).clamp(MIN_TICK, MAX_TICK)
    }
}

/// A request that was received completely.
#[derive(Debug)]
pub struct ReceivedRequest {
    /// Method, target and headers; its own body is empty.
    pub request: Request,
    /// The body, with the chunked coding removed.
    pub body: Vec<u8>,
    /// Remote address of the connection.
    pub peer: SocketAddr,
}

/// Application code that answers a server's requests.
pub trait Handler: Send + Sync + 'static {
    /// Answers a request. The future and the response's body are dropped when the caller
    /// disconnects.
    fn handle(&self, received: ReceivedRequest) -> impl Future<Output = Response> + Send;
    /// Builds the response to a request that is refused before `handle` is called; the
    /// connection closes after it.
    fn refuse(&self, fault: HttpFault) -> Response;
}

/// Namespace of [`Server::serve`]; holds no data.
#[derive(Debug)]
pub struct Server {}

impl Server {
    /// Accepts connections until `shutdown` begins, then waits for the running requests to end.
    ///
    /// At the connection limit, an idle connection is evicted for a new one; if none is idle,
    /// new connections wait until one closes. Dropping the future aborts every connection, with
    /// its handler and response.
    ///
    /// # Errors
    /// The socket cannot listen, or accepting failed many times in a row.
    pub async fn serve<H: Handler>(
        runtime: Runtime,
        listener: TcpListener,
        handler: Arc<H>,
        limits: ServerLimits,
        shutdown: Shutdown,
    ) -> io::Result<()> {
        let limits = limits.clamped();
        let registry = Arc::new(Registry::new(limits.tick(), shutdown.clone()));
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

/// Aborts the open connections when the server's future is dropped.
struct AbortOnDrop(Arc<Registry>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Advances the registry's clock periodically, until the task is dropped.
async fn tick(registry: Arc<Registry>, every: Duration) {
    loop {
        Runtime::sleep(every).await;
        registry.tick();
    }
}
