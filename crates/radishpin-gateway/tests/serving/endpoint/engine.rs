//! What an endpoint does as a model engine: its report, and orders to load and to unload.

use super::{Body, Endpoint, json_response};
use http::{Response, StatusCode};
use serde_json::{Value, json};
use std::{
    collections::{BTreeMap, BTreeSet},
    time::Instant,
};

impl Endpoint {
    pub(super) fn has_loaded(&self, target: &str) -> bool {
        self.finish_due_load();
        let state = self.state.lock();
        match target.split_once('/') {
            Some((model, adapter)) => {
                let adapters = state.models.get(model);
                adapters.is_some_and(|adapters| adapters.contains(adapter))
            }
            None => state.models.contains_key(target),
        }
    }

    fn finish_due_load(&self) {
        let mut state = self.state.lock();
        if let Some((model, ready_at)) = state.loading.clone()
            && Instant::now() >= ready_at
        {
            state.loading = None;
            state.on_disk.insert(model.clone());
            state.models.insert(model, BTreeSet::new());
        }
    }

    pub(super) fn report(&self) -> Value {
        self.finish_due_load();
        let state = self.state.lock();
        json!({
            "stage": "both", "models": model_list(&state.models), "busy": state.loading.is_some(),
            "sequence": state.sequence, "waiting": 0, "running": 0, "born": state.started_unix_ms,
            "at_hand": { "in_memory": [], "on_disk": state.on_disk },
        })
    }

    pub(super) async fn handle_order(&self, body: &[u8]) -> Response<Body> {
        self.finish_due_load();
        let order: Value = serde_json::from_slice(body).expect("order is JSON");
        let text = |field: &str| order[field].as_str().unwrap_or_default().to_owned();
        let (operation, model, adapter) = (text("operation"), text("model"), text("adapter"));
        let expected = order["expected"].as_u64();
        let ignored = {
            let mut state = self.state.lock();
            let target = if adapter.is_empty() {
                model.clone()
            } else {
                format!("{model}/{adapter}")
            };
            let line = format!("{operation} {target} @{}", expected.unwrap_or(0));
            state.orders.push(line);
            let ignored = state.ignored_orders > 0;
            state.ignored_orders = state.ignored_orders.saturating_sub(1);
            ignored
        };
        if ignored {
            std::future::pending::<()>().await;
        }
        let mut state = self.state.lock();
        if state.loading.is_some() || expected != Some(state.sequence) {
            return json_response(StatusCode::CONFLICT, json!({}));
        }
        state.sequence += 1;
        match (operation.as_str(), adapter.is_empty()) {
            ("load", true) => state.loading = Some((model, Instant::now() + self.load_duration)),
            ("load", false) => {
                state.models.entry(model).or_default().insert(adapter);
            }
            (_, true) => {
                state.models.remove(&model);
            }
            (_, false) => {
                if let Some(adapters) = state.models.get_mut(&model) {
                    adapters.remove(&adapter);
                }
            }
        }
        json_response(StatusCode::ACCEPTED, json!({}))
    }
}

pub(super) fn model_list(models: &BTreeMap<String, BTreeSet<String>>) -> Value {
    let models = models
        .iter()
        .map(|(name, adapters)| json!({"name": name, "version": 1, "adapters": adapters}));
    models.collect()
}
