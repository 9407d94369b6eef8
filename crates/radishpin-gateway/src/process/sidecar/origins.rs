//! Copies of the origins of streams, kept for gateways that did not begin them.

use super::{BODY_BYTES_MAX, Sidecar, empty_response};
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use radishpin_core::request::{OriginRequest, StreamOrigin};

/// Records an origin, or answers with one, as JSON; `null` if there is none.
pub(super) async fn handle_origins(
    sidecar: &Sidecar,
    request: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let body = Limited::new(request.into_body(), BODY_BYTES_MAX)
        .collect()
        .await;
    let request = body
        .ok()
        .and_then(|body| serde_json::from_slice(&body.to_bytes()).ok());
    let Some(request) = request else {
        log::warn!(event = "origin_unreadable"; "cannot read a gateway's request about the origin of a stream");
        return empty_response(StatusCode::BAD_REQUEST);
    };
    match serde_json::to_vec(&answer(sidecar, request)) {
        Ok(body) => Response::new(Full::from(body)),
        Err(cause) => {
            log::error!(event = "origin_failed", cause:% = cause; "cannot serialize the origin of a stream");
            empty_response(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn answer(sidecar: &Sidecar, request: OriginRequest) -> Option<StreamOrigin> {
    let now = sidecar.clock.now();
    let mut origins = sidecar.origins.lock();
    match request {
        OriginRequest::Record(origin) => {
            origins.record(origin, now);
            None
        }
        OriginRequest::Find(attempt) => origins.find(&attempt, now).cloned(),
    }
}
