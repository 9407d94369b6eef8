//! Calls to the endpoint: completions on a model engine, any request to a plain service.

use crate::wire_header;
use futures_lite::{AsyncBufRead, AsyncBufReadExt, AsyncReadExt};
use http_types::{Method, Request, Response, StatusCode, Url};
use quick_error::quick_error;
use radishpin_http::{Client, ClientError, ClientLimits, read_body};
use radishpin_protocol::{
    ServiceKind,
    engine::{
        CHAT_COMPLETIONS_PATH, COMPLETIONS_PATH, EngineErrorBody, EngineErrorKind, PRIORITY_HEADER,
        REQUEST_ID_HEADER, RESUME_OFFSET_HEADER, STREAM_END,
    },
    wire::{ExecuteRequest, Header},
};
use serde::{Deserialize, de::DeserializeOwned};
use std::{net::SocketAddr, pin::Pin, str::FromStr};

/// Maximum length of a line in an event stream.
const EVENT_BYTES_MAX: usize = 1024 * 1024;
/// Largest report or error of an engine, in bytes.
const JSON_BYTES_MAX: usize = 4 * 1024 * 1024;
/// Maximum number of idle connections to the endpoint.
const IDLE_CONNECTIONS: usize = 256;
/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

quick_error! {
    /// Why a call to the endpoint did not return a complete response.
    #[derive(Debug)]
    #[allow(missing_docs)]
    pub enum EndpointError {
        /// No connection could be opened; nothing was sent.
        Connect(cause: String) {
            display("the endpoint cannot be reached: {cause}")
        }
        /// The request is not valid HTTP or not allowed; nothing was sent.
        Malformed(cause: String) {
            display("the request cannot be passed on: {cause}")
        }
        /// The engine does not have the model loaded; the call did not run.
        NotLoaded {
            display("the endpoint does not have the model loaded")
        }
        /// The engine accepts no calls at the moment; the call did not run.
        Refused {
            display("the endpoint refused the call")
        }
        /// The response belongs to another attempt.
        Crossed {
            display("the endpoint answered another request")
        }
        /// The engine returned a server error; the call may have run.
        Failed(status: u16) {
            display("the endpoint failed the call with status {status}")
        }
        /// The connection failed after the request was sent, or the response is malformed.
        Broken(cause: String) {
            display("the connection to the endpoint broke: {cause}")
        }
        /// The event stream ended before its end marker, or an event exceeds the line limit.
        Truncated {
            display("the endpoint's answer ended too early")
        }
    }
}

/// An item of an event stream.
#[derive(Debug)]
pub(in crate::agent) enum StreamEvent {
    /// Payload of an event, without the `data: ` prefix.
    Data(Vec<u8>),
    /// The end marker; the stream is complete.
    Done,
}

/// HTTP client for the endpoint that the agent runs beside.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Endpoint {
    pub(super) client: Client,
    pub(super) address: SocketAddr,
    kind: ServiceKind,
}

impl Endpoint {
    /// Creates the client; connections are opened on demand.
    pub(in crate::agent) fn new(address: SocketAddr, kind: ServiceKind) -> Self {
        let limits = ClientLimits {
            idle_connections: IDLE_CONNECTIONS,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(limits),
            address,
            kind,
        }
    }

    /// Sends a call and returns once the response head has arrived.
    pub(in crate::agent) async fn call(
        &self,
        call: &ExecuteRequest,
    ) -> Result<EndpointResponse, EndpointError> {
        let attempt = format!("{}/{}", call.request_id, call.attempt);
        let request = self.build_request(call, &attempt)?;
        let response = self.client.send(self.address, request).await?;
        let endpoint_response = EndpointResponse { response, attempt };
        match self.kind {
            ServiceKind::Models => endpoint_response.check_engine_response().await,
            ServiceKind::Plain => Ok(endpoint_response),
        }
    }

    pub(super) fn url(&self, path: &str) -> Result<Url, EndpointError> {
        Url::parse(&format!("http://{}{path}", self.address))
            .map_err(|e| EndpointError::Malformed(e.to_string()))
    }

    fn build_request(
        &self,
        call: &ExecuteRequest,
        attempt: &str,
    ) -> Result<Request, EndpointError> {
        let method =
            Method::from_str(&call.method).map_err(|e| EndpointError::Malformed(e.to_string()))?;
        self.check_target(call)?;
        let mut request = Request::new(method, self.url(&call.path)?);
        request.set_body(call.body.clone());
        for header in &call.headers {
            copy_header(&mut request, header);
        }
        request.insert_header(REQUEST_ID_HEADER, attempt);
        request.insert_header(PRIORITY_HEADER, call.priority.to_string());
        if self.kind == ServiceKind::Models {
            // A resume offset set by the caller would shift the events that the agent numbers.
            request.remove_header(RESUME_OFFSET_HEADER);
        }
        if call.resume_offset > 0 {
            request.insert_header(RESUME_OFFSET_HEADER, call.resume_offset.to_string());
        }
        Ok(request)
    }

    /// Rejects paths that would reach the engine's order API or change the authority of the URL.
    fn check_target(&self, call: &ExecuteRequest) -> Result<(), EndpointError> {
        let valid = match self.kind {
            ServiceKind::Models => {
                let path = call.path.as_str();
                !call.model.is_empty() && [COMPLETIONS_PATH, CHAT_COMPLETIONS_PATH].contains(&path)
            }
            ServiceKind::Plain => call.path.starts_with('/'),
        };
        if valid {
            return Ok(());
        }
        let cause = format!("{:?} is no path for a call", call.path);
        Err(EndpointError::Malformed(cause))
    }
}

impl From<ClientError> for EndpointError {
    fn from(error: ClientError) -> Self {
        match error {
            ClientError::Connect(cause) => Self::Connect(cause.to_string()),
            ClientError::Broken(cause) => Self::Broken(cause),
        }
    }
}

fn copy_header(request: &mut Request, header: &Header) {
    let Some((name, value)) = wire_header::to_http(header) else {
        return;
    };
    if !HOP_BY_HOP.contains(&name.as_str()) {
        request.append_header(name, value);
    }
}

/// A response whose head has arrived and whose body is read incrementally.
#[derive(Debug)]
pub(in crate::agent) struct EndpointResponse {
    response: Response,
    attempt: String,
}

/// The field of an event that identifies its attempt.
#[derive(Deserialize)]
struct EventIdentity<'a> {
    #[serde(borrow)]
    id: Option<&'a str>,
}

impl EndpointResponse {
    /// HTTP status code, which the agent forwards unchanged.
    pub(in crate::agent) fn status(&self) -> u16 {
        self.response.status().into()
    }

    /// Headers to forward: all but hop-by-hop headers and the attempt's ID.
    pub(in crate::agent) fn headers(&self) -> Vec<Header> {
        let forwarded = self.response.iter().filter(|(name, _)| {
            !HOP_BY_HOP.contains(&name.as_str()) && name.as_str() != REQUEST_ID_HEADER
        });
        forwarded
            .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
            .map(|(name, value)| Header {
                name: name.as_str().to_owned(),
                value: value.as_str().as_bytes().to_vec(),
            })
            .collect()
    }

    /// Whether the body is a stream of server-sent events.
    pub(in crate::agent) fn is_event_stream(&self) -> bool {
        let content_type = self.response.content_type();
        content_type.is_some_and(|mime| mime.essence() == "text/event-stream")
    }

    /// The next bytes of the body, in chunks as they were received; empty at the end.
    pub(in crate::agent) async fn next_bytes(&mut self) -> Result<Vec<u8>, EndpointError> {
        let bytes = self.response.fill_buf().await.map_err(read_error)?.to_vec();
        Pin::new(&mut self.response).consume(bytes.len());
        Ok(bytes)
    }

    /// The next event; lines without the `data: ` prefix are skipped.
    pub(in crate::agent) async fn next_event(&mut self) -> Result<StreamEvent, EndpointError> {
        let mut line = String::new();
        loop {
            line.clear();
            let limited = &mut (&mut self.response).take(EVENT_BYTES_MAX as u64);
            let length = limited.read_line(&mut line).await.map_err(read_error)?;
            if length == 0 || !line.ends_with('\n') {
                return Err(EndpointError::Truncated);
            }
            match line.trim_end().strip_prefix("data: ") {
                None => continue,
                Some(STREAM_END) => return Ok(StreamEvent::Done),
                Some(data) => {
                    self.check_event(data)?;
                    return Ok(StreamEvent::Data(data.as_bytes().to_vec()));
                }
            }
        }
    }

    fn check_event(&self, data: &str) -> Result<(), EndpointError> {
        let identity: EventIdentity =
            serde_json::from_str(data).map_err(|e| EndpointError::Broken(e.to_string()))?;
        match identity.id {
            Some(id) if id != self.attempt => Err(EndpointError::Crossed),
            _ => Ok(()),
        }
    }

    async fn check_engine_response(mut self) -> Result<Self, EndpointError> {
        let echoed_id = self
            .response
            .header(REQUEST_ID_HEADER)
            .map(|values| values.as_str());
        if echoed_id.is_some_and(|echoed_id| echoed_id != self.attempt) {
            return Err(EndpointError::Crossed);
        }
        match self.response.status() {
            StatusCode::Conflict | StatusCode::ServiceUnavailable => self.engine_refusal().await,
            status if status.is_server_error() => Err(EndpointError::Failed(status.into())),
            _ => Ok(self),
        }
    }

    async fn engine_refusal(&mut self) -> Result<Self, EndpointError> {
        let body: EngineErrorBody = read_json(&mut self.response).await?;
        Err(match body.error.kind {
            EngineErrorKind::ModelNotLoaded => EndpointError::NotLoaded,
            _ => EndpointError::Refused,
        })
    }
}

/// Reads a whole body as JSON.
pub(super) async fn read_json<T: DeserializeOwned>(
    response: &mut Response,
) -> Result<T, EndpointError> {
    let body = read_body(response, JSON_BYTES_MAX)
        .await
        .map_err(read_error)?;
    serde_json::from_slice(&body).map_err(|e| EndpointError::Broken(e.to_string()))
}

fn read_error(cause: std::io::Error) -> EndpointError {
    EndpointError::Broken(cause.to_string())
}
