//! The callers' HTTP interface.

use crate::{
    http_fault, metrics,
    node::{
        Node,
        request::{Call, Refusal, model_call, refusal_response, service_call},
    },
};
use http_types::{Method, Response, StatusCode, mime};
use radishpin_http::{Handler, HttpFault, Received};
use radishpin_protocol::prelude::*;
use serde::Serialize;
use std::sync::Arc;

const SERVICES_PREFIX: &str = "/services/";

/// Answers callers.
#[derive(Clone, Debug)]
pub(in crate::node) struct CallersApi {
    node: Arc<Node>,
}

/// Where a request goes.
enum Route {
    Completion,
    Models,
    Service { name: String, path: String },
    Health,
    Ready,
    Metrics,
}

impl CallersApi {
    /// The interface of `node`.
    pub(in crate::node) const fn new(node: Arc<Node>) -> Self {
        Self { node }
    }

    async fn answer(&self, received: Received, route: Route) -> Result<Response, Refusal> {
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
                let call = model_call(&self.node, received)?;
                self.serve(call).await
            }
            Route::Service { name, path } => {
                self.node.check_ready()?;
                let call = service_call(&self.node, received, &name, &path)?;
                self.serve(call).await
            }
        }
    }

    /// Serves a call; its refusal is answered here, as only here its id is known.
    async fn serve(&self, call: Call) -> Result<Response, Refusal> {
        let started_at = self.node.clock.now();
        let shown_id = call.shown_id.clone();
        let model = call.model().cloned().unwrap_or_default();
        let result = self.node.serve(call).await;
        let took = self.node.clock.now().saturating_sub(started_at);
        match result {
            Ok(response) => {
                self.node.metrics.observe_time_to_answer(took);
                log::debug!(
                    event = "answered",
                    request_id = shown_id.as_str(),
                    model = model.as_str(),
                    status = u16::from(response.status()),
                    took_ms = took.as_millis() as u64;
                    "answered"
                );
                Ok(response)
            }
            Err(refusal) => Ok(self.refused(&refusal, &shown_id)),
        }
    }

    fn refused(&self, refusal: &Refusal, request_id: &str) -> Response {
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
    async fn handle(&self, received: Received) -> Response {
        let _running = self.node.count_running();
        let request_id = self.node.next_request_id();
        let result = match route(&received) {
            Ok(route) => self.answer(received, route).await,
            Err(refusal) => Err(refusal),
        };
        result.unwrap_or_else(|refusal| self.refused(&refusal, &request_id))
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        let (code, reason) = http_fault::code_and_reason(fault);
        self.refused(&Refusal::new(code, reason), &self.node.next_request_id())
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

fn route(received: &Received) -> Result<Route, Refusal> {
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
    let (wanted, route) = match path {
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
    if method != wanted {
        let reason = format!("{path} takes {wanted}, not {method}");
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
            log::error!(event = "encode_failed", cause:% = cause; "cannot encode an answer");
            response.set_status(StatusCode::InternalServerError);
        }
    }
    response.set_content_type(mime::JSON);
    response
}
