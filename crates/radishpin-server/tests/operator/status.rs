//! The status report: the current view and the cached reports.

use crate::fixture::Fixture;
use http_types::Method;
use radishpin_protocol::wire;
use serde_json::Value;
use std::time::Instant;

fn report() -> wire::SyncReply {
    wire::SyncReply {
        endpoint: "e1".to_owned(),
        incarnation: 3,
        view_version: 41,
        load: Some(wire::Load {
            running: 2,
            queued: 1,
            memory_used_mb: 300,
            leaving: true,
            ..wire::Load::default()
        }),
        replicas: vec![wire::ReplicaReport {
            model: "m1".to_owned(),
            state: wire::ReplicaState::Loaded.into(),
            adapters: vec!["a1".to_owned()],
            ..wire::ReplicaReport::default()
        }],
        ..wire::SyncReply::default()
    }
}

/// The status report without the ages, which vary between runs.
fn without_ages(mut value: Value) -> Value {
    match &mut value {
        Value::Object(fields) => {
            fields.retain(|name, _| name != "heard_ms_ago");
            for field in fields.values_mut() {
                *field = without_ages(field.take());
            }
        }
        Value::Array(items) => {
            for item in items {
                *item = without_ages(item.take());
            }
        }
        _ => {}
    }
    value
}

#[test]
fn status_shows_records_and_reports() {
    let fixture = Fixture::new();
    let endpoint = r#"{"host":"h1","availability_zone":"gondar","agent_address":"127.0.0.1:1","service":"drafting","memory_mb":1000,"concurrency":4,"incarnation":3}"#;
    let model = r#"{"service":"drafting","size_mb":300,"replicas":1,"grants":{"e1":{"state":"held","since_version":1}}}"#;
    fixture.platform.put_row("endpoint/e1", Some(endpoint));
    fixture.platform.put_row("endpoint/e2", Some(endpoint));
    fixture.platform.put_row("model/m1", Some(model));
    fixture
        .platform
        .put_row("head", Some(r#"{"operation":"set-up"}"#));
    fixture.poll();
    let now = Instant::now();
    fixture.status_cache.record_agent_report(report(), now);
    fixture
        .status_cache
        .record_node_version("node-2".to_owned(), 42, now);
    let answer = fixture.send_authorized(Method::Get, "/v1/status", "", "");
    let status: Value = serde_json::from_str(&answer.body).unwrap();
    insta::assert_json_snapshot!(without_ages(status));
    fixture
        .status_cache
        .retain_agent_reports(|endpoint| endpoint != "e1");
    let answer = fixture.send_authorized(Method::Get, "/v1/status", "", "");
    assert!(!answer.body.contains("\"running\""), "{answer:?}");
}
