//! A stand-in of the platform's table store, as far as gateways and sidecars read it.

use base64::{Engine as _, engine::general_purpose::STANDARD};
use event_listener::Event;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::{Bytes, Incoming};
use parking_lot::Mutex;
use radishpin_runtime::{Runtime, timeout};
use serde_json::{Value, json};
use std::{collections::BTreeMap, net::SocketAddr, sync::Arc, time::Duration};

/// What the store does with calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreBehavior {
    Answer,
    Refuse,
    Hang,
}

#[derive(Debug)]
struct Rows {
    rows: BTreeMap<(String, String), (Value, u64)>,
    removed: BTreeMap<(String, String), u64>,
    version: u64,
    history_from: u64,
    behavior: StoreBehavior,
}

#[derive(Debug)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Event,
}

impl Store {
    pub fn start(runtime: &Runtime) -> (Arc<Self>, SocketAddr) {
        let rows = Rows {
            rows: BTreeMap::new(),
            removed: BTreeMap::new(),
            version: 1,
            history_from: 0,
            behavior: StoreBehavior::Answer,
        };
        let store = Arc::new(Self {
            rows: Mutex::new(rows),
            changed: Event::new(),
        });
        let answering = Arc::clone(&store);
        let address = super::cluster::serve(runtime, "127.0.0.1:0", move |request| {
            let store = Arc::clone(&answering);
            async move { Ok(store.answer(request).await) }
        });
        (store, address)
    }

    /// Writes a row; a value that is no JSON text stands for bytes of another writer.
    pub fn put(&self, table: &str, key: &str, value: Value) {
        let mut rows = self.rows.lock();
        rows.version += 1;
        let version = rows.version;
        let place = (table.to_owned(), key.to_owned());
        rows.removed.remove(&place);
        rows.rows.insert(place, (value, version));
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    pub fn remove(&self, table: &str, key: &str) {
        let mut rows = self.rows.lock();
        rows.version += 1;
        let version = rows.version;
        let place = (table.to_owned(), key.to_owned());
        rows.rows.remove(&place);
        rows.removed.insert(place, version);
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    pub fn set_behavior(&self, behavior: StoreBehavior) {
        self.rows.lock().behavior = behavior;
    }

    /// Forgets all changes so far: feeds that go on from them are refused.
    pub fn discard_history(&self) {
        let mut rows = self.rows.lock();
        rows.version += 1;
        rows.history_from = rows.version;
        drop(rows);
        self.changed.notify(usize::MAX);
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let query = request.uri().query().unwrap_or_default().to_owned();
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs
                .find_map(|(key, value)| (key == name).then(|| value.to_owned()))
                .unwrap_or_default()
        };
        let behavior = self.rows.lock().behavior;
        match behavior {
            StoreBehavior::Answer => {}
            StoreBehavior::Refuse => return status(StatusCode::SERVICE_UNAVAILABLE),
            StoreBehavior::Hang => std::future::pending::<()>().await,
        }
        let table = field("table");
        match path.as_str() {
            "/rows-get" => self.page(&table, 0, false),
            "/rows-feed" => {
                let after: u64 = field("after").parse().unwrap_or(0);
                let wait_ms: u64 = field("wait_ms").parse().unwrap_or(0);
                let wait = Duration::from_millis(wait_ms);
                let _ = timeout(wait, self.changed_after(&table, after)).await;
                if after < self.rows.lock().history_from {
                    return status(StatusCode::GONE);
                }
                self.page(&table, after, true)
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn changed_after(&self, table: &str, after: u64) {
        loop {
            let listener = self.changed.listen();
            {
                let rows = self.rows.lock();
                let newer = |((t, _), version): (&(String, String), u64)| {
                    t.as_str() == table && version > after
                };
                let written = rows.rows.iter().any(|(key, (_, v))| newer((key, *v)));
                let removed = rows.removed.iter().any(|(key, v)| newer((key, *v)));
                if written || removed || after < rows.history_from {
                    return;
                }
            }
            listener.await;
        }
    }

    fn page(&self, table: &str, after: u64, with_removed: bool) -> Response<Full<Bytes>> {
        let rows = self.rows.lock();
        let mut list = Vec::new();
        for ((row_table, key), (value, version)) in &rows.rows {
            if row_table == table && *version > after {
                let value = match value {
                    Value::String(text) => text.clone(),
                    value => STANDARD.encode(value.to_string()),
                };
                list.push(json!({
                    "table": table, "part": "", "key": key, "value": value, "record_version": version,
                }));
            }
        }
        if with_removed {
            for ((row_table, key), version) in &rows.removed {
                if row_table == table && *version > after {
                    list.push(json!({
                        "table": table, "part": "", "key": key, "removed": true, "record_version": version,
                    }));
                }
            }
        }
        let page = json!({
            "rows": list, "has_more": false, "record_version": rows.version, "now_ms": 1,
        });
        Response::new(Full::from(page.to_string()))
    }
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}
