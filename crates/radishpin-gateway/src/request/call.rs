//! A caller's request: routed, and read to its end.

use super::{
    assignment::Assignment,
    body::{BodyLimits, RequestBodyError, read_request_body},
    fingerprint::fingerprint,
    response::{
        ResponseBody, access_response, close_early, gateway_response, refusal_response,
        remove_connection_headers,
    },
    sender::{Sender, read_credential},
};
use crate::process::Gateway;
use bytes::Bytes;
use http::{
    HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header, request::Parts,
};
use hyper::body::{Body, Incoming};
use radishpin_adapter::header as wire;
use radishpin_core::{
    process::Refusal,
    request::{PaceLimits, RequestFingerprint, SharedParts},
    version::{CallerLimits, Catalog, Credential, Customer, Route},
};
use radishpin_protocol::prelude::*;
use std::sync::{Arc, OnceLock};

/// Retry-After while the gateway has no usable configuration for a request.
const STARTING_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Levels of urgency at a model engine; 0 is the most urgent.
const URGENCY_LEVELS: u8 = 10;
const MOST_URGENT: u8 = 0;

/// A caller's request, routed and with its complete body.
#[derive(Debug)]
pub(crate) struct Call {
    /// Id of the caller's attempt, which endpoints echo; empty if the caller sent none.
    pub(crate) id: RequestId,
    pub(crate) route: Arc<Route>,
    /// The customer on whose behalf it is served, by the configuration that it was routed by; `None` if there
    /// are no customers, and for requests without a known key on public routes.
    pub(crate) customer: Option<Arc<Customer>>,
    /// What it says about its sender, for the check before each send.
    pub(crate) credential: Credential,
    /// Priority among the requests that the gateway serves; 0 is the most urgent.
    pub(crate) priority: u8,
    pub(crate) service: ServiceId,
    /// Whether the service runs models.
    pub(crate) is_engine: bool,
    pub(crate) target: Option<(ModelId, Option<AdapterId>)>,
    /// The caller's attempt that brought the first event of the stream which this one resumes.
    pub(crate) resumes: Option<RequestId>,
    /// Whether the caller has events of the stream and resumes it after them.
    pub(crate) resumes_stream: bool,
    /// Tokens of the prompt; 0 if the caller did not send the number.
    pub(crate) prompt_tokens: u32,
    /// Sum of the prompt tokens and the maximum output tokens; `None` if the caller did not send both.
    pub(crate) token_count: Option<u64>,
    /// Parts of the prompt that other requests may share; empty for a plain service.
    pub(crate) shared_parts: SharedParts,
    /// Version of the configuration that the request was routed by.
    pub(crate) catalog_version: u64,
    pub(crate) received_at: Duration,
    /// Time by which the response must be complete, from the caller's deadline header and the
    /// route's timeout.
    pub(crate) deadline: Duration,
    /// Random number for all decisions on this request that are spread at random.
    pub(crate) random: u64,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: Bytes,
    /// Urgency at a model engine.
    urgency: u8,
    fingerprint: OnceLock<RequestFingerprint>,
}

impl Call {
    /// Routes a request and reads its body.
    ///
    /// # Errors
    /// The response to a request that cannot be routed or read.
    pub(crate) async fn read(
        gateway: &Gateway,
        request: Request<Incoming>,
    ) -> Result<Self, Box<Response<ResponseBody>>> {
        let received_at = gateway.clock.now();
        let Some(catalog) = gateway.catalog() else {
            return Err(Box::new(refusal_response("starting", STARTING_RETRY_AFTER)));
        };
        let (parts, body) = request.into_parts();
        let Some(route) = find_route(&catalog, &parts) else {
            log::info!(event = "request_unrouted", version = catalog.version, path = parts.uri.path(); "no route matches the request");
            return Err(Box::new(gateway_response(
                StatusCode::NOT_FOUND,
                "no route",
            )));
        };
        let route = Arc::clone(route);
        let credential = read_credential(&parts.headers);
        let customer = gateway.identify(&catalog, &route, credential);
        let customer = customer.map_err(|reason| {
            let id = header_text(&parts.headers, wire::ATTEMPT_ID).unwrap_or_default();
            gateway.record_access_refusal(id, &route, &catalog, reason);
            let refusal = Refusal::access(reason, rand::random());
            Box::new(access_response(&refusal, body.is_end_stream()))
        })?;
        let random: u64 = rand::random();
        let Some(service) = route.service(random).cloned() else {
            return Err(Box::new(refusal_response(
                "route without a service",
                STARTING_RETRY_AFTER,
            )));
        };
        let time_limit =
            caller_timeout(&parts.headers).map_or(route.timeout, |p| p.min(route.timeout));
        let deadline = received_at + time_limit;
        let limits = body_limits(gateway, &catalog.limits, time_limit);
        let now = || gateway.clock.now();
        let body = read_request_body(&gateway.memory_budget, body, limits, now).await;
        let body = body.map_err(|cause| Box::new(body_response(gateway, cause, random)))?;
        let service_config = catalog.services.get(&service);
        let prompt_size =
            header_text(&parts.headers, wire::TOKEN_COUNTS).and_then(wire::parse_prompt_size);
        let is_engine = service_config.is_some_and(|service| service.engine.is_some());
        let (priority, urgency, sender) = if catalog.customers.is_some() {
            let urgency = customer_urgency(&catalog, customer.as_deref(), &route);
            (urgency, urgency, Sender::Customer(customer.clone()))
        } else {
            (route.priority, route_urgency(&route), Sender::AsReceived)
        };
        Ok(Self {
            id: header_text(&parts.headers, wire::ATTEMPT_ID)
                .unwrap_or_default()
                .to_owned(),
            target: header_text(&parts.headers, wire::MODEL)
                .filter(|_| is_engine)
                .map(wire::parse_model),
            resumes: header_text(&parts.headers, wire::RESUMES).map(str::to_owned),
            resumes_stream: parts.headers.contains_key(wire::RESUMES)
                || parts.headers.contains_key(wire::LAST_EVENT_ID),
            prompt_tokens: prompt_size.map_or(0, |size| size.prompt_tokens),
            token_count: prompt_size
                .map(|size| u64::from(size.prompt_tokens) + u64::from(size.output_tokens_max)),
            shared_parts: header_text(&parts.headers, wire::PROMPT_PREFIX)
                .filter(|_| is_engine)
                .map(wire::parse_shared_parts)
                .unwrap_or_default(),
            urgency,
            priority,
            customer,
            credential,
            route,
            service,
            is_engine,
            catalog_version: catalog.version,
            received_at,
            deadline,
            random,
            method: parts.method,
            uri: parts.uri,
            headers: forwarded_headers(parts.headers, &sender),
            body,
            fingerprint: OnceLock::new(),
        })
    }

    /// Model and adapter that the request needs; `None` for a plain service.
    pub(crate) fn target(&self) -> Option<(&str, Option<&str>)> {
        let (model, adapter) = self.target.as_ref()?;
        Some((model, adapter.as_deref()))
    }

    /// Fingerprint of the request, the same for all attempts at it; computed when it is first needed.
    pub(crate) fn fingerprint(&self) -> RequestFingerprint {
        let compute = || fingerprint(&self.method, &self.uri, &self.headers, &self.body);
        *self.fingerprint.get_or_init(compute)
    }

    /// Builds the request that is sent to its assigned endpoint at `now` as `sender`'s; `last_event_id`
    /// resumes a stream.
    ///
    /// # Errors
    /// The endpoint's id or `last_event_id` is no valid header value.
    pub(crate) fn endpoint_request(
        &self,
        assignment: &Assignment,
        sender: &Sender,
        last_event_id: Option<&str>,
        now: Duration,
    ) -> http::Result<Request<Bytes>> {
        let remaining = self.deadline.saturating_sub(now);
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(self.uri.clone())
            .body(self.body.clone())?;
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        sender.apply(headers);
        headers.insert(
            wire::DEADLINE_MS,
            HeaderValue::from(remaining.as_millis() as u64),
        );
        headers.insert(
            wire::EXPECTED_ENDPOINT,
            HeaderValue::from_str(&assignment.endpoint)?,
        );
        if self.is_engine {
            // Engines would leave it waiting behind those that kept its customer or route from being served.
            let urgency = if assignment.is_raised {
                MOST_URGENT
            } else {
                self.urgency
            };
            headers.insert(wire::URGENCY, HeaderValue::from(u16::from(urgency)));
        }
        if let Some(id) = last_event_id {
            headers.insert(wire::LAST_EVENT_ID, HeaderValue::from_str(id)?);
        }
        Ok(request)
    }

    /// Time by which the caller must get the next part of the response, if it got the last one at
    /// `last_part_at`; it leaves otherwise.
    pub(crate) fn next_part_deadline(&self, last_part_at: Duration) -> Duration {
        self.deadline.min(last_part_at + self.route.event_timeout)
    }

    /// Time left at `now` until the deadline; zero once it has passed.
    pub(crate) fn remaining(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }
}

/// Urgency at a model engine of a request on a route, where there are no customers.
fn route_urgency(route: &Route) -> u8 {
    route.priority.saturating_mul(2).min(URGENCY_LEVELS - 1)
}

fn customer_urgency(catalog: &Catalog, customer: Option<&Customer>, route: &Route) -> u8 {
    let level = catalog.urgency(customer, route, usize::from(URGENCY_LEVELS));
    u8::try_from(level).unwrap_or(u8::MAX)
}

fn find_route<'a>(catalog: &'a Catalog, parts: &Parts) -> Option<&'a Arc<Route>> {
    let host = header_text(&parts.headers, header::HOST.as_str()).or_else(|| parts.uri.host())?;
    let name = host.split_once(':').map_or(host, |(name, _)| name);
    catalog.route(&name.to_ascii_lowercase(), parts.uri.path())
}

fn caller_timeout(headers: &HeaderMap) -> Option<Duration> {
    wire::parse_deadline(header_text(headers, wire::DEADLINE_MS)?)
}

/// Returns the value of a header; `None` if it is absent or not visible ASCII.
pub(crate) fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

fn forwarded_headers(mut headers: HeaderMap, sender: &Sender) -> HeaderMap {
    remove_connection_headers(&mut headers);
    for name in wire::RESERVED {
        headers.remove(name);
    }
    headers.remove(header::EXPECT);
    sender.apply(&mut headers);
    headers
}

fn body_limits(gateway: &Gateway, limits: &CallerLimits, time_limit: Duration) -> BodyLimits {
    let settings = gateway.settings.lock();
    let pace = PaceLimits {
        idle_max: limits.idle_timeout,
        bytes_per_s_min: settings.body_bytes_per_s_min,
    };
    BodyLimits {
        bytes_max: limits.body_bytes,
        time_limit,
        pace: settings.host_limits.memory_mb.map(|_| pace),
    }
}

/// Returns the response to a request whose body was not read to its end, and counts it.
fn body_response(
    gateway: &Gateway,
    cause: RequestBodyError,
    random: u64,
) -> Response<ResponseBody> {
    match cause {
        RequestBodyError::TooLarge => {
            gateway_response(StatusCode::PAYLOAD_TOO_LARGE, "body is too large")
        }
        RequestBodyError::Broken => gateway_response(StatusCode::BAD_REQUEST, "body broke off"),
        RequestBodyError::TimedOut => {
            gateway_response(StatusCode::REQUEST_TIMEOUT, "body did not come in time")
        }
        RequestBodyError::Stalled => {
            gateway.memory_budget.count_stalled();
            let response = gateway_response(StatusCode::REQUEST_TIMEOUT, "body stalled");
            close_early(response)
        }
        RequestBodyError::NoMemory => {
            gateway.memory_budget.count_rejected();
            let refusal = Refusal::no_memory(random);
            let reason = refusal.reason.name();
            gateway.metrics.refusals.with_label_values(&[reason]).inc();
            close_early(refusal_response(reason, refusal.retry_after))
        }
    }
}
