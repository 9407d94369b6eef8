//! RPC server: one task for each connection, one HTTP/2 connection for each peer.

use super::preface;
use http::{Request, Response};
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper_util::service::TowerToHyperService;
use radishpin_http::Shutdown;
use radishpin_runtime::Runtime;
use smol::net::{TcpListener, TcpStream};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::{convert::Infallible, future::Future, io, pin::pin, time::Duration};
use tonic::body::Body;
use tower_service::Service;

/// Time between pings on an idle connection.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// Time without an answer to a ping after which the connection is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest number of concurrent streams on one connection.
const MAX_STREAMS: u32 = 10_000;
/// Delay after a failed accept; without it, a lack of file descriptors causes a busy loop.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Runs hyper's internal tasks on the process's executor.
#[derive(Clone, Debug)]
pub(super) struct SmolExecutor(pub(super) Runtime);

impl<F> hyper::rt::Executor<F> for SmolExecutor
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    fn execute(&self, future: F) {
        self.0.spawn(future).detach();
    }
}

/// Serves `service` on `listener` until `shutdown` begins; running calls are not interrupted.
pub async fn serve_rpc<S>(runtime: Runtime, listener: TcpListener, service: S, shutdown: Shutdown)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send + 'static,
{
    loop {
        let accept = async { Some(listener.accept().await) };
        let stop = async {
            shutdown.begun().await;
            None
        };
        match futures_lite::future::or(stop, accept).await {
            None => return,
            Some(Ok((stream, _peer))) => {
                let connection =
                    serve_connection(runtime.clone(), stream, service.clone(), shutdown.clone());
                runtime.spawn_detached(connection);
            }
            Some(Err(cause)) => delay_after_accept_error(&cause).await,
        }
    }
}

async fn delay_after_accept_error(cause: &io::Error) {
    log::warn!(event = "accept_failed", cause:% = cause; "cannot accept a connection");
    Runtime::sleep(ACCEPT_RETRY_DELAY).await;
}

async fn serve_connection<S>(runtime: Runtime, stream: TcpStream, service: S, shutdown: Shutdown)
where
    S: Service<Request<Incoming>, Response = Response<Body>, Error = Infallible>,
    S: Clone + Send + Sync + 'static,
    S::Future: Send + 'static,
{
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!(event = "nodelay_failed", cause:% = cause;
            "cannot set TCP_NODELAY on the connection");
    }
    let Some(stream) = preface::read_preface(stream).await else {
        log::debug!(event = "rpc_no_preface";
            "closing a connection that did not send the HTTP/2 preface");
        return;
    };
    let connection = http2::Builder::new(SmolExecutor(runtime))
        .timer(SmolTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT)
        .max_concurrent_streams(MAX_STREAMS)
        .serve_connection(FuturesIo::new(stream), TowerToHyperService::new(service));
    let mut connection = pin!(connection);
    let ended = async { Some(connection.as_mut().await) };
    let stop = async {
        shutdown.begun().await;
        None
    };
    let result = match futures_lite::future::or(ended, stop).await {
        Some(result) => result,
        None => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(cause) = result {
        log::debug!(event = "rpc_connection_ended", cause:% = cause; "connection ended");
    }
}
