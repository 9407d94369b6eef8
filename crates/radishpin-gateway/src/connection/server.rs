//! HTTP listeners and the connections that they accept.

use super::{
    caller_stream::{CallerStream, Exchange},
    head::{Head, HeadScan, RequestLength, read_more},
    registry::{ConnectionRegistry, Seat},
    reset::{close_regularly, reset_on_close},
    tracked_body::TrackedBody,
};
use crate::process::{GatewayError, ListenerGuard, Shutdown};
use futures_lite::future;
use http::{HeaderValue, Request, Response, StatusCode, Version, header};
use hyper::{
    body::{Body, Incoming},
    server::conn::http1,
    service::service_fn,
};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};
use smol::{
    io::AsyncReadExt,
    net::{TcpListener, TcpStream},
};
use smol_hyper::rt::{FuturesIo, SmolTimer};
use std::{
    convert::Infallible,
    error::Error,
    future::poll_fn,
    io,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::Poll,
};

/// Pause after a connection could not be accepted, as file descriptors may have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Longest time, and most bytes, for which the rest of a request is read after an early response.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);
const DISCARD_BYTES_MAX: usize = 8 * 1024 * 1024;
/// Bytes that are read and discarded at a time.
const DISCARD_CHUNK_BYTES: usize = 16 * 1024;

/// Most header fields that the HTTP library parses unless it is told otherwise.
const FIELDS_DEFAULT: usize = 100;
/// Most header fields that the HTTP library can represent, with those that the gateway adds.
const FIELDS_MAX: usize = 24_000;
/// Length of the shortest header field with its line end.
const FIELD_BYTES_MIN: usize = 4;

/// Marks a response that ends its connection before the request has been read. Closing the connection while
/// the client still sends would reset it, and the client could lose the response.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DiscardRest;

/// Limits on what a client may send and how long it may take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerLimits {
    /// Largest head of a request, in bytes.
    pub(crate) head_bytes: usize,
    /// Longest time from the first byte of a head to its last one.
    pub(crate) head_timeout: Duration,
    /// Longest time until the first byte of the next head.
    pub(crate) idle_timeout: Duration,
    /// Longest time for which a client may read nothing of its response.
    pub(crate) response_stall: Duration,
}

/// Listens on `address` and serves its connections until the shutdown ends. Returns the bound
/// address, with the port that the system chose if `address` has port 0.
///
/// # Errors
/// The address cannot be bound.
pub(crate) async fn serve<B, H, F>(
    runtime: &Runtime,
    address: SocketAddr,
    limits: impl Fn() -> ServerLimits + Send + 'static,
    registry: Arc<ConnectionRegistry>,
    shutdown: &Arc<Shutdown>,
    handler: H,
) -> Result<SocketAddr, GatewayError>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
{
    let failed = |cause| GatewayError::Listen(address, cause);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let shutdown = Arc::clone(shutdown);
    let listener = (listener, shutdown.count_listener());
    let accepting = accept(
        runtime.clone(),
        listener,
        limits,
        registry,
        shutdown,
        handler,
    );
    runtime.spawn_detached(accepting);
    Ok(address)
}

/// Serves the connections of a listener until the shutdown ends.
async fn accept<B, H, F>(
    runtime: Runtime,
    (listener, guard): (TcpListener, ListenerGuard),
    limits: impl Fn() -> ServerLimits,
    registry: Arc<ConnectionRegistry>,
    shutdown: Arc<Shutdown>,
    handler: H,
) where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
{
    loop {
        let accepted = async { Some(listener.accept().await) };
        let ended = async {
            shutdown.listeners_stopped().await;
            None
        };
        // The end goes first, so that connections which arrive without a pause do not keep the listener open.
        match future::or(ended, accepted).await {
            None => break,
            Some(Ok((stream, _))) => {
                if let Some(seat) = registry.open() {
                    let shutdown = Arc::clone(&shutdown);
                    let handler = handler.clone();
                    let serving = serve_connection(stream, seat, limits(), shutdown, handler);
                    runtime.spawn_detached(serving);
                }
                registry.descriptors_closed().await;
            }
            Some(Err(cause)) => {
                log::warn!(event = "accept_failed", cause:% = cause; "cannot accept a connection");
                Runtime::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
    drop(listener);
    drop(guard);
}

/// How the service of a request left its connection.
enum Served {
    /// The request has been read and its response written to the end; the connection can take another one.
    Idle(TcpStream, Vec<u8>),
    Ended(hyper::Result<()>),
    /// The connection was closed in favor of another one.
    Evicted,
}

/// State of a connection that lasts over its requests.
#[derive(Debug)]
struct ConnectionState {
    socket: TcpStream,
    seat: Arc<Seat>,
    closes_by_reset: AtomicBool,
    discards_rest: AtomicBool,
}

async fn serve_connection<B, H, F>(
    stream: TcpStream,
    seat: Seat,
    limits: ServerLimits,
    shutdown: Arc<Shutdown>,
    handler: H,
) where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
{
    let guard = shutdown.count_connection();
    if let Err(cause) = stream.set_nodelay(true) {
        log::debug!(event = "caller_lost", cause:% = cause; "cannot set up a connection");
        return;
    }
    let state = ConnectionState {
        socket: stream.clone(),
        seat: Arc::new(seat),
        closes_by_reset: AtomicBool::new(false),
        discards_rest: AtomicBool::new(false),
    };
    let ended = serve_requests(stream, &state, &limits, &shutdown, handler).await;
    if let Some(result) = ended {
        let response_broke_off = result.as_ref().is_err_and(hyper::Error::is_user);
        if state.closes_by_reset.load(Ordering::Relaxed) && !response_broke_off {
            log_failure(close_regularly(&state.socket));
        }
        if let Err(cause) = result {
            log::debug!(event = "caller_lost", cause:% = cause; "connection failed");
        }
    }
    drop(guard);
    if state.discards_rest.load(Ordering::Relaxed) {
        let discarding = discard_rest(state.socket.clone());
        let evicted = state.seat.evicted();
        timeout(DISCARD_TIMEOUT, future::or(discarding, evicted)).await;
    }
}

/// Serves the requests of a connection one after the other. Between them, and before the first one, the connection has
/// no buffers but the bytes of the next head. `None` if it must not look as if it ended regularly.
async fn serve_requests<B, H, F>(
    mut stream: TcpStream,
    state: &ConnectionState,
    limits: &ServerLimits,
    shutdown: &Shutdown,
    handler: H,
) -> Option<hyper::Result<()>>
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
{
    let mut buffer = Vec::new();
    let mut is_first = true;
    loop {
        let next = next_head(&mut stream, &mut buffer, limits, &state.seat);
        let closed = async {
            // A connection that has served no request yet serves one.
            if is_first {
                return std::future::pending().await;
            }
            shutdown.closed().await;
            None
        };
        let Some(head) = future::or(next, closed).await else {
            return Some(Ok(()));
        };
        let exchange = Arc::<Exchange>::default();
        let request_stream = CallerStream::new(
            stream,
            std::mem::take(&mut buffer),
            head.length,
            Arc::clone(&exchange),
            Arc::clone(&state.seat),
            limits.response_stall,
        );
        // Boxed, as a connection that waits for a head needs no room for it.
        let serving = Box::pin(serve_request(
            request_stream,
            head,
            exchange.clone(),
            state,
            limits,
            shutdown,
            handler.clone(),
        ));
        match serving.await {
            Served::Idle(idle_stream, rest) => (stream, buffer) = (idle_stream, rest),
            Served::Ended(_) if exchange.is_stalled.load(Ordering::Acquire) => return None,
            Served::Ended(result) => return Some(result),
            Served::Evicted => return None,
        }
        state.seat.charge(buffer.capacity());
        state.seat.wait();
        is_first = false;
        // Others get their turn although the next request may have been read already.
        future::yield_now().await;
    }
}

/// Reads the next head; `None` if the connection ends before, or takes too long.
async fn next_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    limits: &ServerLimits,
    seat: &Seat,
) -> Option<Head> {
    let reading = async {
        if buffer.is_empty() {
            let first = read_more(stream, buffer, limits.head_bytes);
            timeout(limits.idle_timeout, first).await?.ok()?;
        }
        if buffer.is_empty() {
            return None;
        }
        let head = read_head(stream, buffer, limits, seat);
        timeout(limits.head_timeout, head).await?
    };
    let evicted = async {
        seat.evicted().await;
        None
    };
    future::or(reading, evicted).await
}

async fn read_head(
    stream: &mut TcpStream,
    buffer: &mut Vec<u8>,
    limits: &ServerLimits,
    seat: &Seat,
) -> Option<Head> {
    let mut scan = HeadScan::default();
    loop {
        if let Some(head) = scan.scan(buffer, limits.head_bytes) {
            return Some(head);
        }
        seat.charge(buffer.capacity());
        let bytes = read_more(stream, buffer, limits.head_bytes).await.ok()?;
        if bytes == 0 {
            return None;
        }
    }
}

/// Serves a request whose head has been read; if its length is unknown, also those that follow it.
async fn serve_request<B, H, F>(
    stream: CallerStream,
    head: Head,
    exchange: Arc<Exchange>,
    state: &ConnectionState,
    limits: &ServerLimits,
    shutdown: &Shutdown,
    handler: H,
) -> Served
where
    B: Body + Send + Unpin + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn Error + Send + Sync>>,
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
{
    let is_next = AtomicBool::new(false);
    let service = service_fn(|request: Request<Incoming>| {
        // A response to HTTP/1.0 may end with its connection, which must then end regularly only
        // after the whole response, even if this process is killed.
        if request.version() < Version::HTTP_11
            && !state.closes_by_reset.swap(true, Ordering::Relaxed)
        {
            log_failure(reset_on_close(&state.socket));
        }
        let is_next = is_next.swap(true, Ordering::Relaxed);
        let handler = &handler;
        let exchange = &exchange;
        // Boxed, as the HTTP library keeps room for it also while there is no request.
        Box::pin(async move {
            if is_next {
                // Responses that a caller does not read would gather.
                exchange.written().await;
                exchange.restart();
                state.seat.resume();
            }
            let response = match state.seat.charge_request(request.headers().len()) {
                true => handler(request).await.map(Some),
                false => too_many_fields(),
            };
            if response.extensions().get::<DiscardRest>().is_some() {
                state.discards_rest.store(true, Ordering::Relaxed);
            }
            let exchange = Arc::clone(exchange);
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, exchange)))
        })
    });
    let single_request = shutdown.is_closing();
    let fields_max = match head.length {
        RequestLength::Known(_) => head.fields,
        // Other requests may follow on the connection; the shortest field is a letter, a colon and a line end.
        RequestLength::Unknown => limits.head_bytes / FIELD_BYTES_MIN,
    };
    let mut builder = http1::Builder::new();
    builder
        .keep_alive(!single_request)
        .timer(SmolTimer::new())
        .header_read_timeout(limits.idle_timeout)
        .max_buf_size(limits.head_bytes);
    if fields_max > FIELDS_DEFAULT {
        builder.max_headers(fields_max.min(FIELDS_MAX));
    }
    let mut connection = builder.serve_connection(FuturesIo::new(stream), service);
    let mut closed = pin!(async {
        if single_request {
            return std::future::pending().await;
        }
        shutdown.closed().await;
    });
    let mut evicted = pin!(state.seat.evicted());
    let mut is_closing = false;
    let served = poll_fn(|context| {
        if evicted.as_mut().poll(context).is_ready() {
            return Poll::Ready(Some(Served::Evicted));
        }
        if !is_closing && closed.as_mut().poll(context).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        match Pin::new(&mut connection).poll(context) {
            Poll::Ready(result) => Poll::Ready(Some(Served::Ended(result))),
            Poll::Pending if !exchange.is_written() => Poll::Pending,
            Poll::Pending if exchange.is_handed_out() => Poll::Ready(None),
            Poll::Pending => {
                state.seat.wait();
                Poll::Pending
            }
        }
    });
    if let Some(served) = served.await {
        return served;
    }
    let parts = connection.into_parts();
    if !parts.read_buf.is_empty() {
        // Bytes of the body that nobody read must not be taken for the next request.
        return Served::Ended(Ok(()));
    }
    let (stream, rest) = parts.io.into_inner().into_rest();
    Served::Idle(stream, rest)
}

/// The response to a request whose fields would take too much memory; it has not run.
fn too_many_fields<B>() -> Response<Option<B>> {
    let mut response = Response::new(None);
    *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
    let headers = response.headers_mut();
    headers.insert(header::RETRY_AFTER, HeaderValue::from_static("1"));
    headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    response.extensions_mut().insert(DiscardRest);
    response
}

/// Reads what a client still sends, until it ends the connection.
async fn discard_rest(mut socket: TcpStream) {
    let mut chunk = vec![0; DISCARD_CHUNK_BYTES];
    let mut left = DISCARD_BYTES_MAX;
    while left > 0 {
        match socket.read(&mut chunk).await {
            Ok(0) | Err(_) => return,
            Ok(bytes) => left = left.saturating_sub(bytes),
        }
    }
}

fn log_failure(result: io::Result<()>) {
    if let Err(cause) = result {
        log::warn!(event = "socket_option_failed", cause:% = cause; "cannot change how a connection closes");
    }
}
