//! A caller's request, read whole.

use super::response::{
    ResponseBody, gateway_response, refusal_response, remove_connection_headers,
};
use crate::process::Gateway;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::{Body, Incoming};
use radishpin_adapter::header as wire;
use radishpin_core::version::{Catalog, Route};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;
use std::sync::Arc;

/// When a caller may come back that found no configuration.
const STARTING_RETRY: Duration = Duration::from_millis(500);

/// A caller's request, read whole.
#[derive(Debug)]
pub(crate) struct Call {
    /// Id of the caller's attempt; empty where the caller sent none.
    pub(crate) id: RequestId,
    pub(crate) route: Arc<Route>,
    pub(crate) service: ServiceId,
    /// Whether the service runs models.
    pub(crate) is_engine: bool,
    pub(crate) target: Option<(ModelId, Option<AdapterId>)>,
    /// Tokens of the prompt; 0 where the caller doesn't tell.
    pub(crate) prompt_tokens: u32,
    /// Version of the configuration that routed it.
    pub(crate) catalog_version: u64,
    pub(crate) received_at: Duration,
    /// When the answer has to be complete.
    pub(crate) deadline: Duration,
    /// Shared words for decisions that are spread at random.
    pub(crate) random: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
}

impl Call {
    /// Routes a request and reads it whole.
    ///
    /// # Errors
    /// The answer to a request that cannot be routed or read.
    pub(crate) async fn read(
        gateway: &Gateway,
        request: Request<Incoming>,
    ) -> Result<Self, Box<Response<ResponseBody>>> {
        let received_at = gateway.clock.now();
        let Some(catalog) = gateway.catalog() else {
            return Err(Box::new(refusal_response("starting", STARTING_RETRY)));
        };
        let (parts, body) = request.into_parts();
        let Some(route) = find_route(&catalog, &parts) else {
            log::info!(event = "request_unrouted", version = catalog.version, path = parts.uri.path(); "no route");
            return Err(Box::new(gateway_response(
                StatusCode::NOT_FOUND,
                "no route",
            )));
        };
        let route = Arc::clone(route);
        let random: u64 = rand::random();
        let Some(service) = route.service(random).cloned() else {
            return Err(Box::new(refusal_response(
                "route without a service",
                STARTING_RETRY,
            )));
        };
        let patience =
            caller_patience(&parts.headers).map_or(route.timeout, |p| p.min(route.timeout));
        let deadline = received_at + patience;
        let body = read_body(body, catalog.limits.body_bytes, patience).await?;
        let known = catalog.services.get(&service);
        let is_engine = known.is_some_and(|service| service.engine.is_some());
        Ok(Self {
            id: header_text(&parts.headers, wire::ATTEMPT_ID)
                .unwrap_or_default()
                .to_owned(),
            target: header_text(&parts.headers, wire::MODEL)
                .filter(|_| is_engine)
                .map(wire::parse_model),
            prompt_tokens: header_text(&parts.headers, wire::TOKEN_COUNTS)
                .and_then(wire::parse_prompt_size)
                .map_or(0, |size| size.prompt_tokens),
            route,
            service,
            is_engine,
            catalog_version: catalog.version,
            received_at,
            deadline,
            random,
            method: parts.method,
            uri: parts.uri,
            headers: forwarded_headers(parts.headers),
            body,
        })
    }

    /// Model and adapter, borrowed.
    pub(crate) fn target(&self) -> Option<(&str, Option<&str>)> {
        let (model, adapter) = self.target.as_ref()?;
        Some((model, adapter.as_deref()))
    }

    /// The request for an endpoint, at `now`; `last_event_id` resumes a stream.
    ///
    /// # Errors
    /// A header value cannot be written.
    pub(crate) fn endpoint_request(
        &self,
        endpoint: &str,
        last_event_id: Option<&str>,
        now: Duration,
    ) -> http::Result<Request<Full<Bytes>>> {
        let remaining = self.deadline.saturating_sub(now);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(Full::new(self.body.clone()))?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        headers.insert(
            wire::DEADLINE_MS,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        headers.insert(wire::EXPECTED_ENDPOINT, HeaderValue::from_str(endpoint)?);
        if self.is_engine {
            headers.insert(wire::URGENCY, HeaderValue::from(self.urgency()));
        }
        if let Some(id) = last_event_id {
            headers.insert(wire::LAST_EVENT_ID, HeaderValue::from_str(id)?);
        }
        Ok(request)
    }

    fn urgency(&self) -> u16 {
        /// The least urgent rank.
        const LAST: u16 = 9;
        u16::from(self.route.priority).saturating_mul(2).min(LAST)
    }

    /// When the caller leaves unless it gets a part of the answer, whose last one came at
    /// `last_part_at`.
    pub(crate) fn next_part_deadline(&self, last_part_at: Duration) -> Duration {
        self.deadline.min(last_part_at + self.route.event_patience)
    }

    /// Time left at `now`.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

fn find_route<'a>(catalog: &'a Catalog, parts: &Parts) -> Option<&'a Arc<Route>> {
    let host = header_text(&parts.headers, header::HOST.as_str()).or_else(|| parts.uri.host())?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    catalog.route(&name.to_ascii_lowercase(), parts.uri.path())
}

fn caller_patience(headers: &HeaderMap) -> Option<Duration> {
    let milliseconds = header_text(headers, wire::DEADLINE_MS)?
        .trim()
        .parse()
        .ok()?;
    Some(Duration::from_millis(milliseconds))
}

pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_connection_headers(&mut headers);
    for name in wire::RESERVED {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
    headers
}

async fn read_body(
    body: Incoming,
    bytes_max: usize,
    patience: Duration,
) -> Result<Bytes, Box<Response<ResponseBody>>> {
    let too_large = || {
        Box::new(gateway_response(
            StatusCode::PAYLOAD_TOO_LARGE,
            "body is too large",
        ))
    };
    let least = usize::try_from(body.size_hint().lower()).unwrap_or(usize::MAX);
    if least > bytes_max {
        return Err(too_large());
    }
    match timeout(patience, Limited::new(body, bytes_max).collect()).await {
        Some(Ok(body)) => Ok(body.to_bytes()),
        Some(Err(cause)) if cause.is::<LengthLimitError>() => Err(too_large()),
        Some(Err(_)) => Err(Box::new(gateway_response(
            StatusCode::BAD_REQUEST,
            "body broke off",
        ))),
        None => Err(Box::new(gateway_response(
            StatusCode::REQUEST_TIMEOUT,
            "body did not come in time",
        ))),
    }
}
