//! Responses of the stand-ins' HTTP interfaces.

use http_types::{Response, StatusCode, mime};
use radishpin_http::HttpFault;
use radishpin_protocol::engine::{EngineErrorBody, EngineErrorKind};
use serde::Serialize;

/// A response with a JSON body.
pub(crate) fn json(status: u16, body: &impl Serialize) -> Response {
    let status = StatusCode::try_from(status).unwrap_or(StatusCode::InternalServerError);
    let mut response = Response::new(status);
    match serde_json::to_vec(body) {
        Ok(bytes) => response.set_body(bytes),
        Err(error) => {
            response.set_status(StatusCode::InternalServerError);
            response.set_body(error.to_string());
        }
    }
    response.set_content_type(mime::JSON);
    response
}

/// An empty response.
pub(crate) fn empty(status: StatusCode) -> Response {
    Response::new(status)
}

/// An engine's refusal.
pub(crate) fn engine_error(kind: EngineErrorKind) -> Response {
    json(kind.status(), &EngineErrorBody::from(kind))
}

/// Answer to a request that the HTTP server refuses.
pub(crate) fn http_fault(fault: HttpFault) -> Response {
    empty(match fault {
        HttpFault::Malformed => StatusCode::BadRequest,
        HttpFault::HeadTooLarge => StatusCode::RequestHeaderFieldsTooLarge,
        HttpFault::BodyTooLarge => StatusCode::PayloadTooLarge,
        HttpFault::Timeout => StatusCode::RequestTimeout,
    })
}

/// Answers a POST whose body is a JSON document, 400 where it is not.
pub(crate) fn with_json<T: serde::de::DeserializeOwned>(
    body: &[u8],
    answer: impl FnOnce(T) -> Response,
) -> Response {
    match serde_json::from_slice(body) {
        Ok(document) => answer(document),
        Err(error) => json(400, &error.to_string()),
    }
}
