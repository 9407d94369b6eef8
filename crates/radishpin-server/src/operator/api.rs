//! HTTP handler of the operators' listener.

use super::{
    StatusCache, auth, is_name, name::random_id, profiles, refusal::Refusal, route::Route,
    services, status, stops, table::Table,
};
use crate::{Token, http_fault};
use http_types::{Request, Response};
use prometheus::{IntCounterVec, Opts, Registry};
use radishpin_http::{Handler, HttpFault, ReceivedRequest, ServerLimits};
use radishpin_protocol::{ClusterView, NodeId, RequestId, UnixMs};
use std::{
    fmt,
    sync::Arc,
    time::{SystemTime, UNIX_EPOCH},
};

/// Header for the request id; the response repeats it.
const REQUEST_ID: &str = "x-request-id";
/// Largest request body.
const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum number of open connections of operators.
const MAX_CONNECTIONS: usize = 256;

/// Returns the view that the node currently uses; its version is 0 before the first one.
pub type ViewSource = Arc<dyn Fn() -> Arc<ClusterView> + Send + Sync>;

/// Parts of the node that the operators' API uses.
#[derive(Clone)]
pub struct OperatorContext {
    /// Name of the node, shown in the status report.
    pub node: NodeId,
    /// Token that operators must send.
    pub token: Token,
    /// Returns the node's current view.
    pub view: ViewSource,
    /// The platform's table, which holds all accepted changes.
    pub table: Table,
    /// Latest reports of agents and versions of other nodes.
    pub status_cache: Arc<StatusCache>,
    /// Wall clock, for the windows of planned stops.
    pub clock: fn() -> SystemTime,
}

impl OperatorContext {
    /// The clock in milliseconds since the Unix epoch; 0 if it is before the epoch.
    pub(super) fn now_unix_ms(&self) -> UnixMs {
        let since_epoch = (self.clock)().duration_since(UNIX_EPOCH);
        let millis = since_epoch.unwrap_or_default().as_millis();
        UnixMs::try_from(millis).unwrap_or(UnixMs::MAX)
    }
}

impl fmt::Debug for OperatorContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("OperatorContext")
            .field("node", &self.node)
            .finish_non_exhaustive()
    }
}

/// Limits of the operators' listener on bodies and connections.
pub fn operator_limits() -> ServerLimits {
    ServerLimits {
        body_bytes: MAX_BODY_BYTES,
        connections: MAX_CONNECTIONS,
        ..ServerLimits::default()
    }
}

/// HTTP handler that authenticates, routes and logs the requests of operators.
#[derive(Debug)]
pub struct OperatorApi {
    context: OperatorContext,
    refusals: IntCounterVec,
}

impl OperatorApi {
    /// Creates the handler and registers its counter of refused requests.
    ///
    /// # Errors
    /// Fails if the registry already has a metric of that name.
    pub fn new(context: OperatorContext, registry: &Registry) -> Result<Self, prometheus::Error> {
        let opts = Opts::new(
            "radishpin_operator_refusals_total",
            "Operators' orders refused, by result code.",
        );
        let refusals = IntCounterVec::new(opts, &["code"])?;
        registry.register(Box::new(refusals.clone()))?;
        Ok(Self { context, refusals })
    }

    async fn answer(&self, received: &ReceivedRequest) -> Result<Response, Refusal> {
        let request = &received.request;
        auth::check(request, &self.context.token)?;
        let route = Route::find(request.method(), request.url().path())?;
        let context = &self.context;
        match route {
            Route::ListProfiles => profiles::list(context).await,
            Route::ShowProfile(name) => profiles::show(context, &name).await,
            Route::PutProfile(name) => profiles::put(context, &name, received).await,
            Route::DeleteProfile(name) => profiles::delete(context, &name, request).await,
            Route::ProfileHistory(name) => profiles::history(context, &name).await,
            Route::ShowService(name) => services::show(context, &name).await,
            Route::PutService(name) => services::put(context, &name, received).await,
            Route::ListStops => stops::list(context).await,
            Route::PlanStop => stops::plan(context, received).await,
            Route::ShowStop(id) => stops::show(context, &id).await,
            Route::CancelStop(id) => stops::cancel(context, &id).await,
            Route::Status => status::show(context),
        }
    }

    fn refusal_response(&self, refusal: &Refusal, request_id: &str) -> Response {
        let code = refusal.code();
        self.refusals.with_label_values(&[code.name()]).inc();
        log::info!(
            event = "order_refused",
            request_id,
            code = code.number(),
            name = code.name();
            "{}", refusal.reason()
        );
        refusal.response(request_id)
    }
}

impl Handler for OperatorApi {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        let request_id = request_id(&received.request);
        let mut response = match self.answer(&received).await {
            Ok(response) => response,
            Err(refusal) => self.refusal_response(&refusal, &request_id),
        };
        log::info!(
            event = "order_answered",
            request_id = request_id.as_str(),
            method = received.request.method().as_ref(),
            path = received.request.url().path(),
            status = u16::from(response.status());
            "request answered"
        );
        response.insert_header(REQUEST_ID, request_id);
        response
    }

    fn refuse(&self, fault: HttpFault) -> Response {
        let (code, reason) = http_fault::code_and_reason(fault);
        let request_id = random_id();
        let mut response = self.refusal_response(&Refusal::new(code, reason), &request_id);
        response.insert_header(REQUEST_ID, request_id);
        response
    }
}

/// The request id from the header if it is a valid name, otherwise a new random one.
fn request_id(request: &Request) -> RequestId {
    let given = request
        .header(REQUEST_ID)
        .map(|values| values.last().as_str());
    match given {
        Some(id) if is_name(id) => id.to_owned(),
        _ => random_id(),
    }
}
