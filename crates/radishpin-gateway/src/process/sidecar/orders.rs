//! Orders to the engine: sends the one that is due, and learns the engine's id from refusals.

use super::{BODY_BYTES_MAX, Sidecar};
use crate::connection::{Connection, ExchangeError, post};
use http::HeaderMap;
use radishpin_adapter::{EndpointOrder, ORDER_PATH, decode_order_answer, encode_order, header};
use radishpin_core::process::{Action, ActionOutcome};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;

/// Timeout of an order, connecting included; short because the engine is on the same host.
const ORDER_TIMEOUT: Duration = Duration::from_millis(40);
/// Fencing token of all orders. It is constant because the only holder that ever sends orders to
/// an engine is the host of its sidecar.
const FENCING_TOKEN: u64 = 1;

impl Sidecar {
    /// Sends the next order, if one is due; returns whether there was one.
    pub(super) async fn send_next_order(&self) -> bool {
        let now = self.clock.now();
        let (decision, endpoint) = {
            let mut residency = self.residency.lock();
            (residency.decide(now), residency.endpoint().cloned())
        };
        let (Some((action, sequence)), Some(endpoint)) = (decision, endpoint) else {
            return false;
        };
        let tier = match &action {
            Action::Load(model) => self.residency.lock().tier(model).name(),
            Action::Unload(_) | Action::LoadAdapter(..) | Action::UnloadAdapter(..) => "-",
        };
        let action_outcome =
            timeout(ORDER_TIMEOUT, self.send_order(&action, sequence, &endpoint)).await;
        let action_outcome = action_outcome.unwrap_or(ActionOutcome::Unknown);
        let took = self.clock.now().saturating_sub(now);
        self.metrics.order_s.observe(took.as_secs_f64());
        let (kind, model, adapter) = order_fields(&action);
        let outcome = outcome_name(action_outcome);
        self.metrics
            .orders
            .with_label_values(&[kind, outcome])
            .inc();
        log::info!(
            event = "order_sent", kind = kind, model = model, adapter = adapter.unwrap_or("-"), tier = tier,
            endpoint = endpoint, sequence = sequence, outcome = outcome, took_ms = took.as_millis() as u64;
            "order settled"
        );
        self.residency
            .lock()
            .record_outcome(&action, action_outcome, self.clock.now());
        true
    }

    async fn send_order(&self, action: &Action, sequence: u64, endpoint: &str) -> ActionOutcome {
        let host = self.settings.lock().host.clone();
        let (_, model, adapter) = order_fields(action);
        let order = EndpointOrder {
            load: matches!(action, Action::Load(_) | Action::LoadAdapter(..)),
            model,
            adapter,
            expected_sequence: sequence,
            holder: &host,
            fencing_token: FENCING_TOKEN,
        };
        let Ok(body) = encode_order(&order) else {
            return ActionOutcome::Refused;
        };
        let Ok(mut connection) = Connection::open(&self.runtime, self.engine).await else {
            return ActionOutcome::Refused;
        };
        let headers = [(header::EXPECTED_ENDPOINT, endpoint)];
        let answer = post(
            &mut connection,
            self.engine,
            ORDER_PATH,
            &headers,
            body,
            BODY_BYTES_MAX,
        );
        match answer.await {
            Ok(answer) => match decode_order_answer(answer.status) {
                ActionOutcome::Misdirected => self.learn_engine_id(&answer.headers, endpoint),
                action_outcome => action_outcome,
            },
            Err(ExchangeError::NotSent | ExchangeError::Connect(_)) => ActionOutcome::Refused,
            Err(_) => ActionOutcome::Unknown,
        }
    }

    /// Records the engine's id from its refusal of an order that was addressed to `expected`.
    ///
    /// If the refusal has no other id, the recorded one is discarded and the order counts as
    /// refused.
    fn learn_engine_id(&self, headers: &HeaderMap, expected: &str) -> ActionOutcome {
        let reported_id = headers
            .get(header::ENDPOINT)
            .and_then(|id| id.to_str().ok());
        match reported_id {
            Some(id) if id != expected => {
                log::info!(event = "engine_replaced", expected = expected, endpoint = id; "engine has a new id");
                let id = Some(id.to_owned());
                self.residency.lock().set_engine_id(id);
                ActionOutcome::Misdirected
            }
            _ => {
                self.residency.lock().set_engine_id(None);
                ActionOutcome::Refused
            }
        }
    }
}

fn order_fields(action: &Action) -> (&'static str, &str, Option<&str>) {
    match action {
        Action::Load(model) => ("load", model, None),
        Action::Unload(model) => ("unload", model, None),
        Action::LoadAdapter(model, adapter) => ("load_adapter", model, Some(adapter)),
        Action::UnloadAdapter(model, adapter) => ("unload_adapter", model, Some(adapter)),
    }
}

fn outcome_name(action_outcome: ActionOutcome) -> &'static str {
    match action_outcome {
        ActionOutcome::Accepted => "accepted",
        ActionOutcome::Unneeded => "unneeded",
        ActionOutcome::Refused => "refused",
        ActionOutcome::Misdirected => "misdirected",
        ActionOutcome::Unknown => "unknown",
    }
}
