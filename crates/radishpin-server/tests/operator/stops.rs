//! Planned stops: plans, warnings, idempotence, cancellation, retention.

use crate::fixture::{Answer, Fixture, NOW_UNIX_MS, PROFILE, refusal, version};
use http_types::Method;
use radishpin_protocol::wire;
use std::time::Instant;

const HOUR_MS: u64 = 3_600_000;

fn plan(fixture: &Fixture, id: &str, target: &str, from_ms: u64, to_ms: u64) -> Answer {
    let body = format!(
        r#"{{"id":"{id}","target":{target},"from_unix_ms":{},"to_unix_ms":{}}}"#,
        NOW_UNIX_MS + from_ms,
        NOW_UNIX_MS + to_ms
    );
    fixture.send_authorized(Method::Post, "/v1/stops", "", &body)
}

fn put_endpoint(fixture: &Fixture, name: &str, host: &str, zone: &str, service: &str) {
    let record = format!(
        r#"{{"host":"{host}","availability_zone":"{zone}","agent_address":"127.0.0.1:1","service":"{service}","memory_mb":1000,"concurrency":4,"incarnation":1}}"#
    );
    fixture
        .platform
        .put_row(&format!("endpoint/{name}"), Some(&record));
}

fn put_model(fixture: &Fixture, name: &str, endpoints: &[&str]) {
    let grants: Vec<String> = endpoints
        .iter()
        .map(|endpoint| format!(r#""{endpoint}":{{"state":"held","since_version":1}}"#))
        .collect();
    let record = format!(
        r#"{{"service":"drafting","size_mb":100,"replicas":2,"grants":{{{}}}}}"#,
        grants.join(",")
    );
    fixture
        .platform
        .put_row(&format!("model/{name}"), Some(&record));
}

/// Three endpoints on two hosts in two availability zones; a plain service has only one of them.
fn cluster() -> Fixture {
    let fixture = Fixture::new();
    put_endpoint(&fixture, "e1", "h1", "gondar", "drafting");
    put_endpoint(&fixture, "e2", "h2", "lalibela", "drafting");
    put_endpoint(&fixture, "b1", "h1", "gondar", "booking");
    put_model(&fixture, "spread", &["e1", "e2"]);
    put_model(&fixture, "single", &["e1"]);
    put_model(&fixture, "nowhere", &[]);
    let services = &fixture.platform;
    services.put_row("profile/slow", Some(PROFILE));
    services.put_row(
        "service/drafting",
        Some(r#"{"kind":"models","profile":"slow"}"#),
    );
    services.put_row(
        "service/booking",
        Some(r#"{"kind":"plain","profile":"slow"}"#),
    );
    services.put_row("head", Some(r#"{"operation":"set-up"}"#));
    fixture.poll();
    fixture
}

#[test]
fn a_plan_warns_of_what_will_be_refused() {
    let fixture = cluster();
    let h1 = plan(&fixture, "s1", r#"{"host":"h1"}"#, HOUR_MS, 2 * HOUR_MS);
    assert_eq!(h1.status, 201, "{h1:?}");
    fixture.poll();
    // Together, the two stops cover both endpoints with grants of `spread`.
    let zone = r#"{"availability_zone":"lalibela"}"#;
    plan(&fixture, "s2", zone, 0, 90 * 60_000);
    plan(&fixture, "s3", r#"{"host":"h9"}"#, HOUR_MS, 2 * HOUR_MS);
    fixture.poll();
    let list = fixture.send_authorized(Method::Get, "/v1/stops", "", "");
    let list: serde_json::Value = serde_json::from_str(&list.body).unwrap();
    insta::assert_json_snapshot!(list);
}

fn report(endpoint: &str, memory_used_mb: u32, loaded: &[&str]) -> wire::SyncReply {
    let replica = |model: &&str| wire::ReplicaReport {
        model: (*model).to_owned(),
        state: wire::ReplicaState::Loaded.into(),
        ..wire::ReplicaReport::default()
    };
    wire::SyncReply {
        endpoint: endpoint.to_owned(),
        load: Some(wire::Load {
            memory_used_mb,
            load_time_ms: 4_000,
            ..wire::Load::default()
        }),
        replicas: loaded.iter().map(replica).collect(),
        ..wire::SyncReply::default()
    }
}

#[test]
fn warnings_use_the_reports_of_agents() {
    let fixture = cluster();
    let now = Instant::now();
    fixture
        .status_cache
        .record_agent_report(report("e1", 200, &["single", "spread"]), now);
    fixture
        .status_cache
        .record_agent_report(report("e2", 950, &["spread"]), now);
    let full = plan(&fixture, "s1", r#"{"host":"h1"}"#, HOUR_MS, 2 * HOUR_MS);
    fixture
        .status_cache
        .record_agent_report(report("e2", 100, &["spread"]), now);
    let late = plan(&fixture, "s2", r#"{"host":"h1"}"#, 5_000, HOUR_MS);
    let lines = [full, late].map(|answer| warnings(&answer));
    insta::assert_snapshot!(lines.join("\n\n"), @"
    model single: no endpoint that stays has 100 MB for it; its calls are refused during the window
    model spread: no further endpoint that stays takes its 100 MB; it has fewer replicas during the window
    service booking: none of its endpoints stays; its calls are refused during the window

    model spread: no further endpoint that stays takes its 100 MB; it has fewer replicas during the window
    model single: its replacement is loaded 6000 ms too late for the window
    service booking: none of its endpoints stays; its calls are refused during the window
    ");
}

fn warnings(answer: &Answer) -> String {
    let body: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    let warnings = body["warnings"].as_array().cloned().unwrap_or_default();
    let lines: Vec<&str> = warnings.iter().filter_map(|line| line.as_str()).collect();
    lines.join("\n")
}

#[test]
fn repeating_a_plan_changes_nothing() {
    let fixture = cluster();
    let target = r#"{"host":"h2"}"#;
    let first = plan(&fixture, "s1", target, HOUR_MS, 2 * HOUR_MS);
    let again = plan(&fixture, "s1", target, HOUR_MS, 2 * HOUR_MS);
    assert_eq!(first.status, 201, "{first:?}");
    assert_eq!(again.status, 200, "{again:?}");
    assert_eq!(version(&first), version(&again));
    let other = plan(&fixture, "s1", target, HOUR_MS, 3 * HOUR_MS);
    insta::assert_snapshot!(refusal(&other), @"409 version_conflict ran=no current 11: stop/s1 exists at version 11; the order names none");
}

#[test]
fn a_stop_is_cancelled_once() {
    let fixture = cluster();
    plan(&fixture, "s1", r#"{"host":"h2"}"#, HOUR_MS, 2 * HOUR_MS);
    let cancelled = fixture.send_authorized(Method::Delete, "/v1/stops/s1", "", "");
    assert_eq!(cancelled.status, 200, "{cancelled:?}");
    let again = fixture.send_authorized(Method::Delete, "/v1/stops/s1", "", "");
    insta::assert_snapshot!(refusal(&again), @"404 unknown_stop ran=no: no planned stop s1");
    let planned = plan(&fixture, "s1", r#"{"host":"h2"}"#, HOUR_MS, 2 * HOUR_MS);
    assert_eq!(planned.status, 201, "{planned:?}");
}

#[test]
fn an_invalid_plan_is_refused() {
    let fixture = cluster();
    let inverted = plan(&fixture, "-s", r#"{"host":"a b"}"#, 2 * HOUR_MS, HOUR_MS);
    let target = plan(&fixture, "s1", r#"{"rack":"r1"}"#, 0, HOUR_MS);
    let past = r#"{"id":"s1","target":{"host":"h1"},"from_unix_ms":1,"to_unix_ms":2}"#;
    let past = fixture.send_authorized(Method::Post, "/v1/stops", "", past);
    let lines = [inverted, target, past].map(|answer| refusal(&answer));
    insta::assert_snapshot!(lines.join("\n"), @"
    422 document_invalid ran=no: id: not a name; target.host: not a name; to_unix_ms: must be after from_unix_ms
    422 document_invalid ran=no: target: unknown variant `rack`, expected `host` or `availability_zone` at line 1 column 27
    422 document_invalid ran=no: to_unix_ms: is in the past
    ");
}

#[test]
fn stops_that_ended_long_ago_are_deleted() {
    let fixture = cluster();
    let put = |id: &str, ended_ms_ago: u64| {
        let to_unix_ms = NOW_UNIX_MS - ended_ms_ago;
        let from_unix_ms = to_unix_ms - HOUR_MS;
        let record = format!(
            r#"{{"id":"{id}","target":{{"host":"h2"}},"from_unix_ms":{from_unix_ms},"to_unix_ms":{to_unix_ms}}}"#
        );
        fixture
            .platform
            .put_row(&format!("stop/{id}"), Some(&record));
    };
    put("old", 8 * 24 * HOUR_MS);
    put("recent", 6 * 24 * HOUR_MS);
    fixture
        .platform
        .put_row("head", Some(r#"{"operation":"later"}"#));
    fixture.poll();
    let planned = plan(&fixture, "s1", r#"{"host":"h2"}"#, HOUR_MS, 2 * HOUR_MS);
    assert_eq!(planned.status, 201, "{planned:?}");
    let kept = ["old", "recent", "s1"].map(|id| {
        let row = fixture.platform.row(&format!("stop/{id}"));
        row.value.is_some()
    });
    assert_eq!(kept, [false, true, true]);
}
