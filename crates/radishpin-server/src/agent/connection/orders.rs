//! Load and unload orders sent to a model engine, and the reports read from it.

use super::endpoint::{Endpoint, EndpointError, read_json};
use http_types::{Method, Request, StatusCode};
use radishpin_core::process::{Order, OrderKind, OrderOutcome, Target};
use radishpin_protocol::{
    engine::{
        self, EngineErrorBody, EngineErrorKind, EngineReport, LOAD_PATH, LoadTarget, REPORT_PATH,
        UNLOAD_PATH,
    },
    prelude::*,
};
use radishpin_runtime::timeout;

/// Timeout for reading a report; a read that times out counts as missed and is repeated later.
const REPORT_TIMEOUT: Duration = Duration::from_secs(2);

impl Endpoint {
    /// Sends an order and waits for its outcome; `Unknown` if none arrives within `limit`.
    pub(in crate::agent) async fn order(&self, order: &Order, limit: Duration) -> OrderOutcome {
        match timeout(limit, self.send_order(order)).await {
            Some(outcome) => outcome,
            None => OrderOutcome::Unknown,
        }
    }

    /// Reads which models and adapters the engine holds.
    ///
    /// # Errors
    /// The engine does not respond in time, or the response is not a valid report.
    pub(in crate::agent) async fn report(&self) -> Result<EngineReport, EndpointError> {
        let request = Request::new(Method::Get, self.url(REPORT_PATH)?);
        let read = async {
            let mut response = self.client.send(self.address, request).await?;
            read_json(&mut response).await
        };
        match timeout(REPORT_TIMEOUT, read).await {
            Some(report) => report,
            None => Err(EndpointError::Broken(
                "timed out reading the report".to_owned(),
            )),
        }
    }

    async fn send_order(&self, order: &Order) -> OrderOutcome {
        let Ok(request) = self.order_request(order) else {
            return OrderOutcome::Failed;
        };
        match self.client.send(self.address, request).await {
            Ok(mut response) => match response.status() {
                StatusCode::Ok => OrderOutcome::Done,
                _ => outcome_of(read_json(&mut response).await.ok()),
            },
            Err(radishpin_http::ClientError::Connect(_)) => OrderOutcome::Failed,
            Err(radishpin_http::ClientError::Broken(_)) => OrderOutcome::Unknown,
        }
    }

    fn order_request(&self, order: &Order) -> Result<Request, EndpointError> {
        let path = match order.kind {
            OrderKind::Load => LOAD_PATH,
            OrderKind::Unload => UNLOAD_PATH,
        };
        let body = engine::Order {
            target: load_target(&order.target),
            size_mb: order.size_mb,
            number: engine::OrderNumber {
                incarnation: order.number.incarnation,
                sequence: order.number.sequence,
            },
        };
        let text =
            serde_json::to_string(&body).map_err(|e| EndpointError::Malformed(e.to_string()))?;
        let mut request = Request::new(Method::Post, self.url(path)?);
        request.set_body(text);
        request.set_content_type(http_types::mime::JSON);
        Ok(request)
    }
}

/// Maps an engine's error to the outcome of the order: `Failed` if it surely had no effect.
fn outcome_of(body: Option<EngineErrorBody>) -> OrderOutcome {
    match body.map(|body| body.error.kind) {
        Some(
            EngineErrorKind::StaleOrder
            | EngineErrorKind::LoadFailed
            | EngineErrorKind::BadRequest
            | EngineErrorKind::UnknownPath,
        ) => OrderOutcome::Failed,
        _ => OrderOutcome::Unknown,
    }
}

/// Converts a ledger target to the engine's format.
pub(in crate::agent) fn load_target(target: &Target) -> LoadTarget {
    match target {
        Target::Model(model) => LoadTarget::model(model.clone()),
        Target::Adapter { model, adapter } => LoadTarget::adapter(adapter.clone(), model.clone()),
    }
}

/// Converts an engine's target to the ledger's format.
pub(in crate::agent) fn ledger_target(target: &LoadTarget) -> Target {
    match &target.adapter {
        None => Target::Model(target.model.clone()),
        Some(adapter) => Target::Adapter {
            model: target.model.clone(),
            adapter: adapter.clone(),
        },
    }
}
