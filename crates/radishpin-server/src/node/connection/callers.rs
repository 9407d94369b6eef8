//! HTTP API for callers.

use crate::{
    http_fault, metrics,
    node::{
        Node,
        request::{Call, Refusal, parse_model_call, parse_service_call, refusal_response},
    },
};
use http_types::{Method, Response, StatusCode, mime};
use radishpin_http::{Handler, HttpFault, ReceivedRequest};
use radishpin_protocol::prelude::*;
use serde::Serialize;
use std::sync::Arc;

/// Path prefix of plain services; the service's name and the path at the endpoint follow.
const SERVICES_PREFIX: &str = "/services/";

/// HTTP handler of the API for callers.
#[derive(Clone, Debug)]
pub(in crate::node) struct CallersApi {
    node: Arc<Node>,
}

/// What the path of a request refers to.
enum Route {
    Completion,
    Models,
    Service { name: String, path: String },
    Health,
    Ready,
    Metrics,
}

impl CallersApi {
    /// Creates the handler of `node`.
    pub(in crate::node) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn answer(&self, received: ReceivedRequest, route: Route) -> Result<Response, Refusal> {
        match route {
            Route::Health => Ok(text_response("ok\n".to_owned())),
            Route::Metrics => Ok(text_response(metrics::encode(&self.node.metrics.registry))),
            Route::Ready => self
                .node
                .check_ready()
                .map(|()| text_response("ready\n".to_owned())),
            Route::Models => self.node.check_ready().map(|()| self.models()),
            Route::Completion => {
                self.node.check_ready()?;
                let call = parse_model_call(&self.node, received)?;
                self.serve(call).await
            }
            Route::Service { name, path } => {
                self.node.check_ready()?;
                let call = parse_service_call(&self.node, received, &name, &path)?;
                self.serve(call).await
            }
        }
    }

    /// Serves a call. A refusal becomes a response here because the caller of this method does not
    /// know the call's ID.
    async fn serve(&self, call: Call) -> Result<Response, Refusal> {
        let started_at = self.node.clock.now();
        let external_id = call.external_id.clone();
        let model = call.model().cloned().unwrap_or_default();
        let result = self.node.serve(call).await;
        let elapsed = self.node.clock.now().saturating_sub(started_at);
        match result {
            Ok(response) => {
                self.node.metrics.observe_time_to_answer(elapsed);
                log::debug!(
                    event = "answered",
                    request_id = external_id.as_str(),
                    model = model.as_str(),
                    status = u16::from(response.status()),
                    took_ms = elapsed.as_millis() as u64;
                    "answered"
                );
                Ok(response)
            }
            Err(refusal) => Ok(self.respond_to_refusal(&refusal, &external_id)),
        }
    }

    /// Counts and logs the refusal, and builds the response.
    fn respond_to_refusal(&self, refusal: &Refusal, request_id: &str) -> Response {
        self.node.metrics.count_refusal(refusal.code);
        log::info!(
            event = "refused",
            request_id,
            code = refusal.code.number(),
            name = refusal.code.name();
            "{}", refusal.reason
        );
        refusal_response(refusal, request_id)
    }

    fn models(&self) -> Response {
        let view = self.node.view();
        let names = view.models.keys().chain(view.adapters.keys());
        let data = names
            .map(|name| ModelEntry {
                id: name,
                object: "model",
                owned_by: "radishpin",
            })
            .collect();
        let list = ModelList {
            object: "list",
            data,
        };
        json_response(&list)
    }
}

impl Handler for CallersApi {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let _running = self.node.count_running();
        let request_id = self.node.next_request_id();
        let result = match route(&received) {
            Ok(route) => self.answer(received, route).await,
            Err(refusal) => Err(refusal),
        };
        result.unwrap_or_else(|refusal| self.respond_to_refusal(&refusal, &request_id))
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        let (code, reason) = http_fault::code_and_reason(fault);
        self.respond_to_refusal(&Refusal::new(code, reason), &self.node.next_request_id())
    }
}

#[derive(Serialize)]
struct ModelList<'a> {
    object: &'static str,
    data: Vec<ModelEntry<'a>>,
}

#[derive(Serialize)]
struct ModelEntry<'a> {
    id: &'a str,
    object: &'static str,
    owned_by: &'static str,
}

fn route(received: &ReceivedRequest) -> Result<Route, Refusal> {
    let method = received.request.method();
    let path = received.request.url().path();
    if let Some(rest) = path.strip_prefix(SERVICES_PREFIX) {
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let path = if path.is_empty() { "/" } else { path };
        return Ok(Route::Service {
            name: name.to_owned(),
            path: path.to_owned(),
        });
    }
    let (expected_method, route) = match path {
        "/v1/completions" | "/v1/chat/completions" => (Method::Post, Route::Completion),
        "/v1/models" => (Method::Get, Route::Models),
        "/healthz" => (Method::Get, Route::Health),
        "/readyz" => (Method::Get, Route::Ready),
        "/metrics" => (Method::Get, Route::Metrics),
        _ => {
            return Err(Refusal::new(
                ResultCode::UnknownPath,
                format!("no path {path:?}"),
            ));
        }
    };
    if method != expected_method {
        let reason = format!("{path} takes {expected_method}, not {method}");
        return Err(Refusal::new(ResultCode::MethodNotAllowed, reason));
    }
    Ok(route)
}

fn text_response(text: String) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(text);
    response
}

fn json_response(value: &impl Serialize) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    match serde_json::to_string(value) {
        Ok(text) => response.set_body(text),
        Err(cause) => {
            log::error!(event = "encode_failed", cause:% = cause; "cannot encode a response");
            response.set_status(StatusCode::InternalServerError);
        }
    }
    response.set_content_type(mime::JSON);
    response
}
