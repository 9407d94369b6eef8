//! Stand-ins served on loopback, and requests to them.
#![allow(dead_code)]

use http_types::{Method, Request, Response, Url};
use radishpin_http::{Client, ClientError, ClientLimits, Shutdown};
use radishpin_runtime::Runtime;
use smol::net::TcpListener;
use std::{future::Future, io, net::SocketAddr, time::Duration};

/// Looks at a condition before a test gives up on it.
const LOOKS: usize = 5_000;

/// A server on loopback with a client of it.
pub struct Served {
    pub address: SocketAddr,
    pub client: Client,
    runtime: Runtime,
    shutdown: Shutdown,
}

impl Served {
    /// Serves by `serve` on a free port.
    pub fn start<F>(serve: impl FnOnce(Runtime, TcpListener, Shutdown) -> F) -> Self
    where
        F: Future<Output = io::Result<()>> + Send + 'static,
    {
        let runtime = Runtime::start(2).expect("threads");
        let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).expect("a port");
        let address = listener.local_addr().expect("an address");
        let shutdown = Shutdown::default();
        let serving = serve(runtime.clone(), listener, shutdown.clone());
        runtime.spawn_detached(async move { drop(serving.await) });
        Self {
            address,
            client: Client::new(ClientLimits::default()),
            runtime,
            shutdown,
        }
    }

    pub fn request(&self, method: Method, path: &str, body: &str) -> Request {
        let url = Url::parse(&format!("http://{}{path}", self.address)).expect("a URL");
        let mut request = Request::new(method, url);
        request.set_body(body);
        request
    }

    pub fn send(&self, request: Request) -> Result<Response, ClientError> {
        smol::block_on(self.client.send(self.address, request))
    }

    /// Status and body of the answer to a request.
    pub fn ask(&self, method: Method, path: &str, body: &str) -> (u16, String) {
        text(
            self.send(self.request(method, path, body))
                .expect("an answer"),
        )
    }
}

impl Drop for Served {
    fn drop(&mut self) {
        self.shutdown.begin();
    }
}

/// Status and body of an answer.
pub fn text(mut response: Response) -> (u16, String) {
    let body = smol::block_on(response.body_string()).expect("a body");
    (response.status().into(), body)
}

/// Waits for a condition that another thread brings about.
pub fn eventually(condition: impl Fn() -> bool) {
    for _ in 0..LOOKS {
        if condition() {
            return;
        }
        std::thread::sleep(Duration::from_millis(2));
    }
    panic!("the condition did not come about");
}

/// Waits for a future a while; `None` where it stays without a result.
pub fn stays_open<T>(future: impl Future<Output = T>) -> Option<T> {
    smol::block_on(radishpin_runtime::timeout(
        Duration::from_millis(50),
        future,
    ))
}
