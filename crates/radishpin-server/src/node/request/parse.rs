//! Parses an HTTP request into a [`Call`].

use super::{Call, CallKind, Refusal, refusal::REQUEST_ID_HEADER};
use crate::node::Node;
use http_types::Request;
use radishpin_http::ReceivedRequest;
use radishpin_protocol::{ServiceKind, prelude::*, wire::Header};
use serde::Deserialize;

/// Header with which a caller shortens the patience of the profile, in ms.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header that identifies a call that must run at most once.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Longest value of a header that the node itself reads, such as a request ID.
const HEADER_VALUE_BYTES_MAX: usize = 128;
/// Request headers that are not forwarded to the endpoint.
const NOT_FORWARDED: [&str; 5] = [
    "authorization",
    "connection",
    "proxy-authorization",
    DEADLINE_HEADER,
    REQUEST_ID_HEADER,
];

/// Fields of a completion request that the node itself reads.
#[derive(Deserialize)]
struct CompletionFields {
    model: String,
    #[serde(default)]
    stream: bool,
}

/// Parses a completion request.
///
/// # Errors
/// The body or a header is invalid, or the model is unknown.
pub(in crate::node) fn parse_model_call(
    node: &Node,
    received: ReceivedRequest,
) -> Result<Call, Refusal> {
    let fields = completion_fields(&received.body)?;
    let view = node.view();
    let Some(resolved) = view.resolve(&fields.model) else {
        let reason = format!("no model or adapter is named {:?}", fields.model);
        return Err(Refusal::new(ResultCode::UnknownModel, reason));
    };
    let kind = CallKind::Model {
        model: resolved.model_id.clone(),
        adapter: resolved
            .adapter
            .map(|(id, adapter)| (id.clone(), adapter.size_mb)),
        stream: fields.stream,
    };
    let path = received.request.url().path().to_owned();
    build_call(
        node,
        &view,
        received,
        kind,
        resolved.model.service.clone(),
        path,
    )
}

/// Parses the fields that the node reads; the whole body must be valid UTF-8 and JSON.
fn completion_fields(body: &[u8]) -> Result<CompletionFields, Refusal> {
    let invalid_body = |cause: &dyn std::fmt::Display| {
        let reason = format!("the body is not a completion: {cause}");
        Refusal::new(ResultCode::InvalidField, reason)
    };
    let text = std::str::from_utf8(body).map_err(|e| invalid_body(&e))?;
    serde_json::from_str(text).map_err(|e| invalid_body(&e))
}

/// Parses a call to a plain service; `path` is the part of the URL after the service's name.
///
/// # Errors
/// A header is invalid, or no plain service has this name.
pub(in crate::node) fn parse_service_call(
    node: &Node,
    received: ReceivedRequest,
    service: &str,
    path: &str,
) -> Result<Call, Refusal> {
    let view = node.view();
    let is_plain = view
        .services
        .get(service)
        .is_some_and(|s| s.kind == ServiceKind::Plain);
    if !is_plain {
        let reason = format!("no plain service is named {service:?}");
        return Err(Refusal::new(ResultCode::UnknownService, reason));
    }
    let path = match received.request.url().query() {
        Some(query) => format!("{path}?{query}"),
        None => path.to_owned(),
    };
    build_call(
        node,
        &view,
        received,
        CallKind::Service,
        service.to_owned(),
        path,
    )
}

fn build_call(
    node: &Node,
    view: &ClusterView,
    received: ReceivedRequest,
    kind: CallKind,
    service: ServiceId,
    path: String,
) -> Result<Call, Refusal> {
    let request = &received.request;
    let Some(profile) = view.profile_of(&service) else {
        let reason = format!("service {service:?} has no profile");
        return Err(Refusal::new(ResultCode::Internal, reason));
    };
    let id = node.next_request_id();
    let external_id = bounded_header(request, REQUEST_ID_HEADER)?.unwrap_or_else(|| id.clone());
    let patience = patience(request, profile)?;
    let safe_method = request.method().is_safe();
    Ok(Call {
        id,
        external_id,
        kind,
        service,
        method: request.method().to_string(),
        path,
        headers: forwarded_headers(request),
        priority: profile.priority,
        idempotent: profile.idempotent || safe_method,
        idempotency_key: bounded_header(request, IDEMPOTENCY_KEY_HEADER)?,
        patience,
        deadline: node.clock.now() + patience,
        body: received.body,
    })
}

/// The profile's patience, or the time in the `x-deadline-ms` header if that is shorter.
fn patience(request: &Request, profile: &Profile) -> Result<Duration, Refusal> {
    let Some(text) = bounded_header(request, DEADLINE_HEADER)? else {
        return Ok(profile.patience());
    };
    let deadline_ms: u64 = text.parse().map_err(|_| {
        let reason = format!("{DEADLINE_HEADER}: {text:?} is not a number of milliseconds");
        Refusal::new(ResultCode::InvalidField, reason)
    })?;
    Ok(profile.patience().min(Duration::from_millis(deadline_ms)))
}

/// Value of a header that the node itself reads; `None` if the request has no such header.
///
/// # Errors
/// The header has several values, or one that is empty, too long or not all visible ASCII.
pub(in crate::node) fn bounded_header(
    request: &Request,
    name: &str,
) -> Result<Option<String>, Refusal> {
    let Some(values) = request.header(name) else {
        return Ok(None);
    };
    let value = values.last().as_str();
    let visible = value.bytes().all(|byte| byte.is_ascii_graphic());
    if value.is_empty()
        || value.len() > HEADER_VALUE_BYTES_MAX
        || !visible
        || values.iter().count() > 1
    {
        let reason = format!(
            "{name}: one value of 1 to {HEADER_VALUE_BYTES_MAX} visible characters is needed"
        );
        return Err(Refusal::new(ResultCode::InvalidField, reason));
    }
    Ok(Some(value.to_owned()))
}

fn forwarded_headers(request: &Request) -> Vec<Header> {
    request
        .iter()
        .filter(|(name, _)| !NOT_FORWARDED.contains(&name.as_str()))
        .flat_map(|(name, values)| values.iter().map(move |value| (name, value)))
        .map(|(name, value)| Header {
            name: name.as_str().to_owned(),
            value: value.as_str().as_bytes().to_vec(),
        })
        .collect()
}
