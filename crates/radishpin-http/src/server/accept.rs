//! Accepts connections and spawns a task for each.

use super::{Handler, ServerLimits, Shutdown, connection::Connection, registry::Registry};
use crate::socket::Socket;
use futures_lite::{FutureExt, future};
use radishpin_runtime::Runtime;
use smol::net::{TcpListener, TcpStream};
use std::{
    future::Future, io, net::SocketAddr, panic::AssertUnwindSafe, sync::Arc, task::Poll,
    time::Duration,
};

/// Delay after a failed accept, for example when no file descriptor is free.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Length of the listen queue: large enough that callers need not reconnect during a burst.
const BACKLOG: i32 = 4096;
/// Consecutive accept failures after which the server ends with an error.
const MAX_CONSECUTIVE_FAILURES: u32 = 200;

/// Accept loop of one server.
pub(super) struct Acceptor<H> {
    pub(super) runtime: Runtime,
    pub(super) listener: TcpListener,
    pub(super) handler: Arc<H>,
    pub(super) limits: ServerLimits,
    pub(super) registry: Arc<Registry>,
}

impl<H: Handler> Acceptor<H> {
    /// Accepts connections until the shutdown begins; the listener closes on return.
    ///
    /// # Errors
    /// The socket cannot listen, or accepting failed many times in a row.
    pub(super) async fn run(self, shutdown: &Shutdown) -> io::Result<()> {
        rustix::net::listen(&self.listener, BACKLOG)?;
        let mut failures = 0;
        while let Some(accepted) = until_shutdown(shutdown, self.accept()).await {
            match accepted {
                Ok((stream, peer)) => {
                    failures = 0;
                    // Waits only at the connection limit; a shutdown ends the wait, and the
                    // connection is served beyond the limit.
                    until_shutdown(shutdown, self.wait_for_slot()).await;
                    self.spawn_connection(stream, peer);
                }
                Err(error) if failures > MAX_CONSECUTIVE_FAILURES => return Err(error),
                Err(error) => {
                    failures += 1;
                    log::warn!(error:%; "cannot accept a connection");
                    Runtime::sleep(ACCEPT_RETRY_DELAY).await;
                }
            }
        }
        self.accept_backlog().await;
        Ok(())
    }

    async fn accept(&self) -> io::Result<(TcpStream, SocketAddr)> {
        loop {
            match self.listener.accept().await {
                // The caller disconnected before the connection was accepted.
                Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
                result => return result,
            }
        }
    }

    /// Evicts idle connections until the number of connections is below its limit.
    async fn wait_for_slot(&self) {
        while self.registry.open_count() >= self.limits.connections {
            self.registry.evict_one();
            // The evicted connection may have received a request and stayed open, so another
            // one is evicted after a tick.
            let tick = Runtime::sleep(self.limits.tick());
            self.registry.wait_for_close().or(tick).await;
        }
    }

    /// Serves the connections in the kernel's accept queue, so that their requests are not lost.
    async fn accept_backlog(&self) {
        while let Some(Ok((stream, peer))) = future::poll_once(self.listener.accept()).await {
            self.spawn_connection(stream, peer);
        }
    }

    fn spawn_connection(&self, stream: TcpStream, peer: SocketAddr) {
        let socket = match Socket::new(stream.into()) {
            Ok(socket) => socket,
            Err(error) => {
                log::debug!(peer:%, error:%; "cannot set up an accepted connection");
                return;
            }
        };
        let registration = self.registry.register();
        let connection = Connection::new(socket, peer, self.limits, registration);
        let registry = Arc::clone(&self.registry);
        let mut run = Box::pin(connection.run(Arc::clone(&self.handler)));
        let run = future::poll_fn(move |context| match registry.is_aborted() {
            true => Poll::Ready(()),
            false => run.as_mut().poll(context),
        });
        self.runtime.spawn_detached(async move {
            // A panic in a handler must not affect other connections.
            if AssertUnwindSafe(run).catch_unwind().await.is_err() {
                log::error!(peer:%; "request handler panicked");
            }
        });
    }
}

/// Runs `work` until it completes, or returns `None` when the shutdown begins.
async fn until_shutdown<T>(shutdown: &Shutdown, work: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(work.await) };
    let shutdown_begun = async {
        shutdown.begun().await;
        None
    };
    work.or(shutdown_begun).await
}
