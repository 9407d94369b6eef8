//! Listeners of a gateway, for callers and for readiness probes.

use super::{Gateway, internal_limits};
use crate::{
    connection::{ListenerKind, serve},
    process::GatewayError,
    request::serve_request,
};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use radishpin_adapter::READINESS_PATH;
use std::{net::SocketAddr, sync::Arc};

/// Serves callers at `address`.
///
/// # Errors
/// The address cannot be bound.
pub(super) async fn serve_callers(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<SocketAddr, GatewayError> {
    let limits_gateway = Arc::clone(gateway);
    let limits = move || limits_gateway.caller_limits();
    let shared_gateway = Arc::clone(gateway);
    let handler = move |request| serve_request(Arc::clone(&shared_gateway), request);
    serve(
        &gateway.runtime,
        address,
        limits,
        gateway.connection_registry(ListenerKind::Callers),
        &gateway.shutdown,
        handler,
    )
    .await
}

/// Serves the platform's readiness probes at `address`, also while the gateway drains.
///
/// # Errors
/// The address cannot be bound.
pub(super) async fn serve_readiness(
    gateway: &Arc<Gateway>,
    address: SocketAddr,
) -> Result<SocketAddr, GatewayError> {
    let probed_gateway = Arc::clone(gateway);
    let handler = move |request| std::future::ready(readiness(&probed_gateway, &request));
    // A shutdown that never starts: probes are answered while the gateway drains.
    let no_shutdown = Arc::default();
    serve(
        &gateway.runtime,
        address,
        internal_limits,
        gateway.connection_registry(ListenerKind::Probes),
        &no_shutdown,
        handler,
    )
    .await
}

fn readiness(gateway: &Gateway, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = match request.uri().path() {
        READINESS_PATH if gateway.is_ready() => StatusCode::OK,
        READINESS_PATH => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::NOT_FOUND,
    };
    response
}
