//! Authorized calls with field values that a correct node never sends.

use crate::fixture::Fixture;
use radishpin_protocol::wire::{
    ExecuteRequest, GrantState, GrantView, Header, SyncRequest, TombstoneRequest,
    agent_client::AgentClient,
};

use radishpin_runtime::Runtime;
use std::time::Duration;

/// More than the maximum message size that an agent accepts.
const OVERSIZED_BYTES: usize = 65 * 1024 * 1024;

async fn result_text(fixture: &Fixture, request: ExecuteRequest) -> String {
    match fixture.execute(request).await {
        Ok(result) => result.to_string(),
        Err(status) => format!("{:?}", status.code()),
    }
}

fn header(name: &str, value: &[u8]) -> Header {
    Header {
        name: name.to_owned(),
        value: value.to_vec(),
    }
}

#[test]
fn attempts_with_invalid_fields_are_refused_as_not_run() {
    let fixture = Fixture::plain();
    let valid_attempt = || fixture.valid_attempt();
    let cases = [
        (
            "no id",
            ExecuteRequest {
                request_id: String::new(),
                ..valid_attempt()
            },
        ),
        (
            "long id",
            ExecuteRequest {
                request_id: "x".repeat(257),
                ..valid_attempt()
            },
        ),
        (
            "id not visible",
            ExecuteRequest {
                request_id: "a\r\nb: c".to_owned(),
                ..valid_attempt()
            },
        ),
        (
            "id beyond ASCII",
            ExecuteRequest {
                request_id: "visita-à-casa".to_owned(),
                ..valid_attempt()
            },
        ),
        (
            "attempt 0",
            ExecuteRequest {
                attempt: 0,
                ..valid_attempt()
            },
        ),
        (
            "other incarnation",
            ExecuteRequest {
                incarnation: 77,
                ..valid_attempt()
            },
        ),
        (
            "no incarnation",
            ExecuteRequest {
                incarnation: 0,
                ..valid_attempt()
            },
        ),
        (
            "no time",
            ExecuteRequest {
                remaining_ms: 0,
                ..valid_attempt()
            },
        ),
        (
            "model at a plain service",
            ExecuteRequest {
                model: "m".repeat(100_000),
                ..valid_attempt()
            },
        ),
        (
            "invalid method",
            ExecuteRequest {
                method: "FROB\r\n".to_owned(),
                ..valid_attempt()
            },
        ),
        (
            "path is an authority",
            ExecuteRequest {
                path: ".example:1/".to_owned(),
                ..valid_attempt()
            },
        ),
        (
            "path is a user",
            ExecuteRequest {
                path: "@example/".to_owned(),
                ..valid_attempt()
            },
        ),
        (
            "no path",
            ExecuteRequest {
                path: String::new(),
                ..valid_attempt()
            },
        ),
        (
            "oversized",
            ExecuteRequest {
                body: vec![0; OVERSIZED_BYTES],
                ..valid_attempt()
            },
        ),
    ];
    smol::block_on(async {
        let mut lines = Vec::new();
        for (name, request) in cases {
            lines.push(format!("{name}: {}", result_text(&fixture, request).await));
        }
        insta::assert_snapshot!(lines.join("\n"), @"
        no id: InvalidArgument
        long id: InvalidArgument
        id not visible: InvalidArgument
        id beyond ASCII: InvalidArgument
        attempt 0: InvalidArgument
        other incarnation: NotReady not_run=true
        no incarnation: NotReady not_run=true
        no time: DeadlinePassed not_run=true
        model at a plain service: InvalidField not_run=true
        invalid method: InvalidField not_run=true
        path is an authority: InvalidField not_run=true
        path is a user: InvalidField not_run=true
        no path: InvalidField not_run=true
        oversized: OutOfRange
        ");
        assert!(fixture.journal.runs().is_empty());
        fixture.assert_serves().await;
    });
}

#[test]
fn headers_that_are_invalid_in_http_are_not_forwarded() {
    let fixture = Fixture::plain();
    let request = ExecuteRequest {
        headers: vec![
            header("x-owner", "Afinação".as_bytes()),
            header("x-bytes", b"\xff\xfe"),
            header("x-split", b"a\r\nidempotency-key: forged"),
            header("x-na\r\nme", b"a"),
            header("", b"a"),
            header("x-ção", b"a"),
            header("content-length", b"9999"),
            header("transfer-encoding", b"chunked"),
            header("idempotency-key", b"sound"),
        ],
        ..fixture.valid_attempt()
    };
    smol::block_on(async {
        let id = request.request_id.clone();
        let got = result_text(&fixture, request).await;
        assert_eq!(got, "answered 200");
        let runs = fixture.journal.runs_of(&id);
        let keys: Vec<_> = runs
            .iter()
            .map(|run| run.idempotency_key.as_deref())
            .collect();
        assert_eq!(keys, [Some("sound")]);
        fixture.assert_serves().await;
    });
}

#[test]
fn a_plain_service_receives_no_orders() {
    let fixture = Fixture::plain();
    smol::block_on(async {
        let grant = GrantView {
            model: "m".to_owned(),
            state: GrantState::Held.into(),
            keep_loaded: true,
            ..GrantView::default()
        };
        let view = SyncRequest {
            view_version: 900,
            full: true,
            grants: vec![grant],
            ..SyncRequest::default()
        };
        let mut client = AgentClient::new(fixture.channel());
        client.sync(view).await.unwrap();
        // Long enough for three rounds of the agent's housekeeping, every 100 ms.
        Runtime::sleep(Duration::from_millis(350)).await;
        assert_eq!(fixture.journal.runs(), []);
    });
}

#[test]
fn tombstones_with_invalid_fields_are_refused() {
    let fixture = Fixture::plain();
    smol::block_on(async {
        let mut client = AgentClient::new(fixture.channel());
        let cases = [("", 1), ("x", 0), (&*"x".repeat(257), 1), ("a\nb", 1)];
        for (request_id, attempt) in cases {
            let request_id = request_id.to_owned();
            let tombstone = TombstoneRequest {
                request_id,
                attempt,
            };
            let status = client.tombstone(tombstone).await.unwrap_err();
            assert_eq!(status.code(), tonic::Code::InvalidArgument);
        }
        fixture.assert_serves().await;
    });
}

#[test]
fn an_older_view_never_replaces_the_current_one() {
    let fixture = Fixture::plain();
    smol::block_on(async {
        let mut client = AgentClient::new(fixture.channel());
        for (sent, in_force) in [(500, 500), (499, 500), (1, 500), (0, 500), (501, 501)] {
            let request = SyncRequest {
                view_version: sent,
                full: true,
                ..SyncRequest::default()
            };
            let reply = client.sync(request).await.unwrap().into_inner();
            assert_eq!(reply.view_version, in_force, "after {sent}");
        }
    });
}

#[test]
fn an_engine_receives_only_completions_for_models_it_may_load() {
    let fixture = Fixture::engine();
    let call = |model: &str, path: &str| ExecuteRequest {
        model: model.to_owned(),
        path: path.to_owned(),
        body: br#"{"model":"m","prompt":"x","max_tokens":2}"#.to_vec(),
        ..fixture.valid_attempt()
    };
    let grant = |model: &str, state: i32, size_mb| GrantView {
        model: model.to_owned(),
        state,
        size_mb,
        granted_version: 900,
        idle_unload_ms: u64::MAX,
        ..GrantView::default()
    };
    let held = GrantState::Held.into();
    let view = SyncRequest {
        view_version: 900,
        full: true,
        grants: vec![
            grant("m", held, 1_000),
            grant("huge", held, u32::MAX),
            grant("odd", 1_234, 1),
            grant("", held, 1),
        ],
        stop_in_ms: Some(u64::MAX),
        ..SyncRequest::default()
    };
    smol::block_on(async {
        let mut client = AgentClient::new(fixture.channel());
        client.sync(view).await.unwrap();
        let path = "/v1/completions";
        let far = ExecuteRequest {
            stream: true,
            resume_offset: u64::MAX,
            remaining_ms: u64::MAX,
            body: br#"{"model":"m","prompt":"x","max_tokens":2,"stream":true}"#.to_vec(),
            ..call("m", path)
        };
        let adapter = ExecuteRequest {
            adapter: "a".to_owned(),
            adapter_size_mb: u32::MAX,
            ..call("m", path)
        };
        let lines = [
            ("no model", result_text(&fixture, call("", path)).await),
            (
                "order",
                result_text(&fixture, call("", "/control/load")).await,
            ),
            (
                "order as call",
                result_text(&fixture, call("m", "/control/unload")).await,
            ),
            ("no grant", result_text(&fixture, call("other", path)).await),
            (
                "unknown grant state",
                result_text(&fixture, call("odd", path)).await,
            ),
            ("too large", result_text(&fixture, call("huge", path)).await),
            ("adapter too large", result_text(&fixture, adapter).await),
        ];
        let lines: Vec<String> = lines.iter().map(|(n, got)| format!("{n}: {got}")).collect();
        insta::assert_snapshot!(lines.join("\n"), @"
        no model: InvalidField not_run=true
        order: InvalidField not_run=true
        order as call: InvalidField not_run=true
        no grant: NotGranted not_run=true
        unknown grant state: NotGranted not_run=true
        too large: NoMemory not_run=true
        adapter too large: NoMemory not_run=true
        ");
        assert!(fixture.journal.runs().is_empty());
        insta::assert_snapshot!(result_text(&fixture, far).await, @"answered 400");
        assert_eq!(result_text(&fixture, call("m", path)).await, "answered 200");
        assert!(fixture.journal.overcommits().is_empty());
    });
}
