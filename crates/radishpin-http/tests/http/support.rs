//! Test server whose handler selects a behaviour by path, and a caller that sends raw bytes.

use futures_lite::{AsyncBufRead, AsyncRead, AsyncReadExt, Stream};
use http_types::{Body, Response, StatusCode, Url};
use radishpin_http::{Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown};
use radishpin_runtime::Runtime;
use smol::net::TcpListener;
use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpStream},
    pin::Pin,
    sync::{
        Arc,
        mpsc::{Receiver, Sender, channel},
    },
    task::{Context, Poll},
    time::Duration,
};

/// Fails a test that would otherwise hang; no passing test waits this long.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Handler call or drop that the test server reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    Handled(String),
    HandlerDropped,
    BodyDropped,
}

/// Handler that selects its behaviour by the request's path.
pub struct TestHandler {
    events: Sender<Event>,
    gate: async_channel::Receiver<()>,
}

impl Handler for TestHandler {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let path = received.request.url().path().to_owned();
        let method = received.request.method();
        let _ = self.events.send(Event::Handled(format!("{method} {path}")));
        match path.as_str() {
            "/gate" => {
                let dropped = OnDrop(self.events.clone(), Event::HandlerDropped);
                let _ = self.gate.recv().await;
                std::mem::forget(dropped);
                text("passed")
            }
            "/stream" => stream(Body::from_reader(self.gated_body(), None)),
            "/endless" => stream(Body::from_reader(
                futures_lite::io::BufReader::new(Endless),
                None,
            )),
            "/short" => stream(Body::from_reader(
                futures_lite::io::Cursor::new("ab"),
                Some(5),
            )),
            "/panic" => panic!("panic requested by the test"),
            "/break" => {
                let mut response = text("x");
                response.append_header("x-broken", "a\r\nx-forged: b");
                response
            }
            "/empty" => Response::new(StatusCode::NoContent),
            _ => text(&String::from_utf8_lossy(&received.body)),
        }
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        let status = match fault {
            HttpFault::Malformed => StatusCode::BadRequest,
            HttpFault::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
            HttpFault::BodyTooLarge => StatusCode::PayloadTooLarge,
            HttpFault::Timeout => StatusCode::RequestTimeout,
        };
        let mut response = Response::new(status);
        response.set_body(format!("{fault:?}"));
        response
    }
}

impl TestHandler {
    fn gated_body(&self) -> GatedBody {
        GatedBody {
            gate: Box::pin(self.gate.clone()),
            part: Vec::new(),
            _dropped: OnDrop(self.events.clone(), Event::BodyDropped),
        }
    }
}

fn text(body: &str) -> Response {
    stream(Body::from_string(body.to_owned()))
}

fn stream(body: Body) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(body);
    response
}

struct OnDrop(Sender<Event>, Event);

impl Drop for OnDrop {
    fn drop(&mut self) {
        let _ = self.0.send(self.1.clone());
    }
}

struct Endless;

impl AsyncRead for Endless {
    fn poll_read(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        buffer.fill(b'e');
        Poll::Ready(Ok(buffer.len()))
    }
}

/// Body that yields `part` for each message received from the gate, and ends when it closes.
struct GatedBody {
    gate: Pin<Box<async_channel::Receiver<()>>>,
    part: Vec<u8>,
    _dropped: OnDrop,
}

impl AsyncRead for GatedBody {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let count = match self.as_mut().poll_fill_buf(context) {
            Poll::Pending => return Poll::Pending,
            Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
            Poll::Ready(Ok(part)) => {
                let count = part.len().min(buffer.len());
                buffer[..count].copy_from_slice(&part[..count]);
                count
            }
        };
        self.consume(count);
        Poll::Ready(Ok(count))
    }
}

impl AsyncBufRead for GatedBody {
    fn poll_fill_buf(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<&[u8]>> {
        let body = self.get_mut();
        if body.part.is_empty() {
            match body.gate.as_mut().poll_next(context) {
                Poll::Ready(Some(())) => body.part = b"part".to_vec(),
                Poll::Ready(None) => {}
                Poll::Pending => return Poll::Pending,
            }
        }
        Poll::Ready(Ok(&body.part))
    }

    fn consume(self: Pin<&mut Self>, count: usize) {
        self.get_mut().part.drain(..count);
    }
}

/// Server that runs on its own runtime, with access to its events and its gate.
pub struct TestServer {
    pub address: SocketAddr,
    pub events: Receiver<Event>,
    pub gate: async_channel::Sender<()>,
    pub shutdown: Shutdown,
    pub runtime: Runtime,
    serving: Option<smol::Task<io::Result<()>>>,
}

impl TestServer {
    pub fn start(limits: ServerLimits) -> Self {
        let runtime = Runtime::start(2).unwrap();
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
        let address = listener.local_addr().unwrap();
        let (events_sender, events) = channel();
        let (gate, gate_receiver) = async_channel::unbounded();
        let handler = Arc::new(TestHandler {
            events: events_sender,
            gate: gate_receiver,
        });
        let shutdown = Shutdown::default();
        let serve = Server::serve(runtime.clone(), listener, handler, limits, shutdown.clone());
        let serving = Some(runtime.spawn(serve));
        Self {
            address,
            events,
            gate,
            shutdown,
            runtime,
            serving,
        }
    }

    /// Opens a connection for raw bytes.
    pub fn connect(&self) -> Caller {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Caller { stream }
    }

    /// Sends bytes on a new connection, and returns all that the server sends until it closes.
    pub fn exchange(&self, bytes: &[u8]) -> String {
        let mut caller = self.connect();
        caller.send(bytes);
        caller.read_to_close()
    }

    pub fn url(&self, path: &str) -> Url {
        Url::parse(&format!("http://{}{path}", self.address)).unwrap()
    }

    pub fn next_event(&self) -> Event {
        self.events.recv_timeout(TEST_TIMEOUT).unwrap()
    }

    /// Drops the future of `serve` while it runs.
    pub fn kill(&mut self) {
        let serving = self.serving.take().unwrap();
        assert!(smol::block_on(serving.cancel()).is_none());
    }

    /// Waits until `serve` has returned.
    pub fn join(&mut self) {
        let serving = self.serving.take().unwrap();
        smol::block_on(serving).unwrap();
    }
}

/// Client side of a connection, for raw bytes.
pub struct Caller {
    pub stream: TcpStream,
}

impl Caller {
    pub fn send(&mut self, bytes: &[u8]) {
        // The server may close early; the test checks what it reads instead.
        let _ = self.stream.write_all(bytes);
    }

    /// Reads until the server closes; returns the text without `\r` and `date` headers.
    pub fn read_to_close(&mut self) -> String {
        let mut bytes = Vec::new();
        // A reset after the response counts as a close.
        let _ = self.stream.read_to_end(&mut bytes);
        without_date(&bytes)
    }

    /// Reads until the bytes end with `end`; returns the text without `\r` and `date` headers.
    pub fn read_until(&mut self, end: &str) -> String {
        let mut bytes = Vec::new();
        let mut byte = [0];
        while !bytes.ends_with(end.as_bytes()) {
            match self.stream.read(&mut byte).unwrap() {
                0 => break,
                _ => bytes.push(byte[0]),
            }
        }
        without_date(&bytes)
    }
}

fn without_date(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes)
        .replace('\r', "")
        .lines()
        .filter(|line| !line.starts_with("date:"))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Reads a body to its end.
pub async fn body_text(response: &mut Response) -> String {
    let mut text = String::new();
    let mut body = response.take_body();
    body.read_to_string(&mut text).await.unwrap();
    text
}
