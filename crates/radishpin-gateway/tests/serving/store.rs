//! A fake of the platform's table store, with the calls that gateways and sidecars make.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_runtime::{Runtime, timeout};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// How the store handles calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreBehavior {
    Answer,
    /// Responds 503.
    Refuse,
    /// Never responds.
    Hang,
}

#[derive(Debug)]
struct StoreState {
    /// Values and versions by table and key.
    rows: BTreeMap<(String, String), (Value, u64)>,
    /// Deleted rows with the version of their deletion.
    removed: BTreeMap<(String, String), u64>,
    version: u64,
    /// Feeds that continue from an earlier version are refused.
    history_from: u64,
    behavior: StoreBehavior,
}

#[derive(Debug)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Event,
}

impl Store {
    pub fn start(runtime: &Runtime) -> (Arc<Self>, SocketAddr) {
        let state = StoreState {
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            version: 1,
            history_from: 0,
            behavior: StoreBehavior::Answer,
        };
        let store = Arc::new(Self {
            state: Mutex::new(state),
            changed: Event::new(),
        });
        let shared_store = Arc::clone(&store);
        let address =
            super::cluster::serve(runtime, "127.0.0.1:0", Arc::default(), move |request| {
                let store = Arc::clone(&shared_store);
                async move { Ok(store.respond(request).await) }
            });
        (store, address)
    }

    /// Writes a row. A string is served verbatim, as a row that need not be valid base64; other
    /// values are served as base64 of their JSON.
    pub fn put(&self, table: &str, key: &str, value: Value) {
        let mut state = self.state.lock();
        state.version += 1;
        let version = state.version;
        let row_key = (table.to_owned(), key.to_owned());
        state.removed.remove(&row_key);
        state.rows.insert(row_key, (value, version));
        drop(state);
        self.changed.notify(usize::MAX);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut state = self.state.lock();
        state.version += 1;
        let version = state.version;
        let row_key = (table.to_owned(), key.to_owned());
        state.rows.remove(&row_key);
        state.removed.insert(row_key, version);
        drop(state);
        self.changed.notify(usize::MAX);
    }

    pub fn set_behavior(&self, behavior: StoreBehavior) {
        self.state.lock().behavior = behavior;
    }

    /// Discards all changes so far; feeds that continue from before are refused.
    pub fn discard_history(&self) {
        let mut state = self.state.lock();
        state.version += 1;
        state.history_from = state.version;
        drop(state);
        self.changed.notify(usize::MAX);
    }

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let query_field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find_map(|(key, value)| (key == name).then(|| value.to_owned()))
                .unwrap_or_default()
        };
        let behavior = self.state.lock().behavior;
        match behavior {
            StoreBehavior::Answer => {}
            StoreBehavior::Refuse => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreBehavior::Hang => std::future::pending::<()>().await,
        }
        let table = query_field("table");
        match path.as_str() {
            "/rows-get" => self.page(&table, 0, false),
            "/rows-feed" => {
                let after: u64 = query_field("after").parse().unwrap_or(0);
                let wait_ms: u64 = query_field("wait_ms").parse().unwrap_or(0);
                let wait = Duration::from_millis(wait_ms);
                let _ = timeout(wait, self.wait_for_change(&table, after)).await;
                if after < self.state.lock().history_from {
                    return status(StatusCode::GONE);
                }
                self.page(&table, after, true)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn wait_for_change(&self, table: &str, after: u64) {
        loop {
            let listener = self.changed.listen();
            {
                let state = self.state.lock();
                let is_newer = |((row_table, _), version): (&(String, String), u64)| {
                    row_table.as_str() == table && version > after
                };
                let written = state.rows.iter().any(|(key, (_, v))| is_newer((key, *v)));
                let removed = state.removed.iter().any(|(key, v)| is_newer((key, *v)));
                if written || removed || after < state.history_from {
                    return;
                }
            }
            listener.await;
        }
    }

    fn page(&self, table: &str, after: u64, with_removed: bool) -> Response<Full<Bytes>> {
        let state = self.state.lock();
        let mut listed = Vec::new();
        for ((row_table, key), (value, version)) in &state.rows {
            if row_table == table && *version > after {
                let value = match value {
                    Value::String(text) => text.clone(),
                    value => STANDARD.encode(value.to_string()),
                };
                listed.push(json!({
                    "table": table, "part": "", "key": key, "value": value, "record_version": version,
                }));
            }
        }
        if with_removed {
            for ((row_table, key), version) in &state.removed {
                if row_table == table && *version > after {
                    listed.push(json!({
                        "table": table, "part": "", "key": key, "removed": true, "record_version": version,
                    }));
                }
            }
        }
        let page = json!({
            "rows": listed, "has_more": false, "record_version": state.version, "now_ms": 1,
        });
        Response::new(Full::from(page.to_string()))
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
