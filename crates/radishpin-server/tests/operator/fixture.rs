//! Operators' API of a node, called without a socket.

use http_types::{Method, Request, Url};
use parking_lot::Mutex;
use prometheus::Registry;
use radishpin_http::{Handler, ReceivedRequest};
use radishpin_platform::{Backoff, ClientSettings, PlatformClient, PlatformMetrics, ViewReader};
use radishpin_protocol::UnixMs;
use radishpin_server::{
    Token,
    operator::{OperatorApi, OperatorContext, StatusCache, Table},
};
use radishpin_standin::MemoryPlatform;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, UNIX_EPOCH},
};

pub const TOKEN: &str = "0123456789abcdef";
pub const NOW_UNIX_MS: UnixMs = 1_900_000_000_000;
pub const PROFILE: &str = r#"{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":60000,"patience_ms":5000,"priority":5,"class":"interactive","idempotent":true}"#;

/// The API with its in-memory platform and the reader that updates its view.
pub struct Fixture {
    pub platform: MemoryPlatform,
    pub status_cache: Arc<StatusCache>,
    pub api: Arc<OperatorApi>,
    pub registry: Registry,
    reader: Mutex<ViewReader>,
}

/// Status, body and `Retry-After` of a response.
#[derive(Debug, PartialEq, Eq)]
pub struct Answer {
    pub status: u16,
    pub body: String,
    pub retry_after: Option<String>,
}

impl Fixture {
    pub fn new() -> Self {
        let platform = MemoryPlatform::new(1);
        let settings = ClientSettings {
            max_attempts: 2,
            backoff: Backoff {
                base: Duration::from_millis(1),
                cap: Duration::from_millis(2),
            },
            ..ClientSettings::default()
        };
        let metrics = PlatformMetrics::unregistered().expect("metrics");
        let client = PlatformClient::new(Arc::new(platform.clone()), settings, metrics, 1);
        let reader = ViewReader::new(client.clone());
        let handle = reader.handle();
        let status_cache = Arc::new(StatusCache::default());
        let token = Token::new(TOKEN).expect("a token");
        let context = OperatorContext {
            node: "node-1".to_owned(),
            token,
            view: Arc::new(move || handle.current()),
            table: Table::new(client),
            status_cache: Arc::clone(&status_cache),
            clock: || UNIX_EPOCH + Duration::from_millis(NOW_UNIX_MS),
        };
        let registry = Registry::new();
        let api = Arc::new(OperatorApi::new(context, &registry).expect("an API"));
        Self {
            platform,
            status_cache,
            api,
            registry,
            reader: Mutex::new(reader),
        }
    }

    /// Polls the platform once, which updates the node's view.
    pub fn poll(&self) {
        smol::block_on(self.reader.lock().poll()).expect("a poll");
    }

    /// Sends a request with the right token; an empty `if_match` omits the header.
    pub fn send_authorized(
        &self,
        method: Method,
        path: &str,
        if_match: &str,
        body: &str,
    ) -> Answer {
        smol::block_on(self.send_authorized_async(method, path, if_match, body))
    }

    pub async fn send_authorized_async(
        &self,
        method: Method,
        path: &str,
        if_match: &str,
        body: &str,
    ) -> Answer {
        let mut request = request(method, path);
        request.insert_header("authorization", format!("Bearer {TOKEN}"));
        if !if_match.is_empty() {
            request.insert_header("if-match", if_match);
        }
        self.send(request, body).await
    }

    pub async fn send(&self, mut request: Request, body: &str) -> Answer {
        if request.header("x-request-id").is_none() {
            request.insert_header("x-request-id", "r-1");
        }
        let received = ReceivedRequest {
            request,
            body: body.as_bytes().to_vec(),
            peer: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
        };
        let mut response = self.api.handle(received).await;
        let retry_after = response.header("retry-after");
        Answer {
            status: u16::from(response.status()),
            retry_after: retry_after.map(|values| values.last().to_string()),
            body: response.body_string().await.expect("a body"),
        }
    }

    /// Creates a profile from [`PROFILE`] and returns its version.
    pub fn create(&self, name: &str) -> u64 {
        let answer =
            self.send_authorized(Method::Put, &format!("/v1/profiles/{name}"), "", PROFILE);
        assert_eq!(answer.status, 201, "{answer:?}");
        version(&answer)
    }
}

pub fn request(method: Method, path: &str) -> Request {
    let url = Url::parse(&format!("http://127.0.0.1{path}")).expect("a URL");
    Request::new(method, url)
}

/// Version in the response to an accepted change.
pub fn version(answer: &Answer) -> u64 {
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    body["version"].as_u64().expect("a version")
}

/// Status, result code, `ran`, current version and reason of a refusal on one line.
pub fn refusal(answer: &Answer) -> String {
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    let error = &body["error"];
    let text_field = |field: &str| error[field].as_str().unwrap_or("?").to_owned();
    let version = match error["current_version"].as_u64() {
        Some(version) => format!(" current {version}"),
        None => String::new(),
    };
    format!(
        "{} {} ran={}{version}: {}",
        answer.status,
        text_field("name"),
        text_field("ran"),
        text_field("reason")
    )
}
