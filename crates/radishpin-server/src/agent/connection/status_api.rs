//! The agent's HTTP interface for monitoring: metrics, health and readiness.

use crate::{agent::Agent, http_fault, metrics};
use http_types::{Method, Request, Response, StatusCode, mime};
use radishpin_http::{Handler, HttpFault, ReceivedRequest, ServerLimits};
use radishpin_protocol::{ErrorBody, prelude::*};
use std::sync::Arc;

/// Maximum size of a request body; no path expects one.
const BODY_BYTES_MAX: usize = 1024;
/// Maximum number of open connections.
const CONNECTIONS_MAX: usize = 64;

/// Result code and text of an error response.
type Refusal = (ResultCode, String);

/// Serves `/metrics`, `/healthz` and `/readyz`.
#[derive(Clone, Debug)]
pub(in crate::agent) struct StatusApi {
    agent: Arc<Agent>,
}

impl StatusApi {
    /// Creates the handler; the caller binds the listener.
    pub(in crate::agent) const fn new(agent: Arc<Agent>) -> Self {
        Self { agent }
    }

    /// Limits for the listener, smaller than the default because only monitoring uses it.
    pub(in crate::agent) fn limits() -> ServerLimits {
        ServerLimits {
            body_bytes: BODY_BYTES_MAX,
            connections: CONNECTIONS_MAX,
            ..ServerLimits::default()
        }
    }

    fn response_text(&self, request: &Request) -> Result<String, Refusal> {
        let path = request.url().path();
        let result = match path {
            "/metrics" => Ok(metrics::encode(&self.agent.metrics.registry)),
            "/healthz" => Ok("ok\n".to_owned()),
            "/readyz" => self.agent.check_ready().map(|()| "ready\n".to_owned()),
            _ => return Err((ResultCode::UnknownPath, format!("no path {path:?}"))),
        };
        match request.method() {
            Method::Get | Method::Head => result,
            method => {
                let reason = format!("{path} takes GET, not {method}");
                Err((ResultCode::MethodNotAllowed, reason))
            }
        }
    }
}

impl Handler for StatusApi {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        match self.response_text(&received.request) {
            Ok(text) => {
                let mut response = Response::new(StatusCode::Ok);
                response.set_body(text);
                response
            }
            Err((code, reason)) => refusal_response(code, &reason),
        }
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        let (code, reason) = http_fault::code_and_reason(fault);
        refusal_response(code, reason)
    }
}

impl Agent {
    /// Succeeds if the agent is registered, has a view and is not leaving.
    fn check_ready(&self) -> Result<(), Refusal> {
        if self.leaving() {
            return Err((
                ResultCode::EndpointLeaving,
                "the endpoint is leaving".into(),
            ));
        }
        if self.incarnation() == 0 {
            return Err((ResultCode::NotReady, "the agent is not registered".into()));
        }
        if self.view_version() == 0 {
            return Err((ResultCode::NotReady, "no view is in force".into()));
        }
        Ok(())
    }
}

fn refusal_response(code: ResultCode, reason: &str) -> Response {
    let status = StatusCode::try_from(code.status());
    let mut response = Response::new(status.unwrap_or(StatusCode::InternalServerError));
    // Requests to this API have no request IDs, because it does not serve callers.
    response.set_body(ErrorBody::new(code, reason, "").to_json());
    response.set_content_type(mime::JSON);
    response
}
