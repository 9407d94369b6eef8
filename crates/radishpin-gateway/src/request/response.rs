//! Answers to callers.

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use quick_error::quick_error;
use radishpin_protocol::prelude::*;

quick_error! {
    /// Why an answer breaks off.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ResponseError {
        /// The endpoint broke off, and no other one could go on.
        BrokenOff {
            display("the endpoint broke off")
        }
        /// The route's timeout or the caller's deadline passed.
        TimedOut {
            display("the time for the answer is over")
        }
    }
}

/// Body of an answer.
pub(crate) type ResponseBody = UnsyncBoxBody<Bytes, ResponseError>;

/// A body that is whole.
pub(crate) fn full_body(bytes: Bytes) -> ResponseBody {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer of the gateway's own, with a line of text.
pub(crate) fn gateway_response(status: StatusCode, text: &str) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(Bytes::from(format!("{text}\n"))));
    *response.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    response.headers_mut().insert(header::CONTENT_TYPE, plain);
    response
}

/// The request has not run and never will; the caller may come back after a while.
pub(crate) fn refusal_response(text: &str, retry_after: Duration) -> Response<ResponseBody> {
    let mut response = gateway_response(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::from_str(&seconds) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
    response
}

/// Headers that concern one connection only, or that the body sets.
const CONNECTION_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::TRANSFER_ENCODING,
    header::CONTENT_LENGTH,
    header::TE,
    header::TRAILER,
    header::UPGRADE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
];
const KEEP_ALIVE: &str = "keep-alive";
const PROXY_CONNECTION: &str = "proxy-connection";

/// Removes the headers that concern one connection, also those that `Connection` names.
pub(crate) fn remove_connection_headers(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in CONNECTION_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    headers.remove(PROXY_CONNECTION);
}
