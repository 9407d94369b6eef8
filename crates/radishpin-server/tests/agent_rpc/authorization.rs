//! Calls without the internal token or with a wrong one are refused and change nothing.

use crate::fixture::Fixture;
use radishpin_protocol::wire::{
    ExecuteRequest, GrantState, GrantView, SyncRequest, TombstoneRequest, agent_client::AgentClient,
};
use tonic::{Request, Status, metadata::MetadataValue};

/// Values of the `authorization` header to refuse; `None` sends no header.
const REJECTED_AUTHORIZATIONS: [Option<&str>; 6] = [
    None,
    Some(""),
    Some("Bearer"),
    Some("Bearer "),
    Some("Basic internal-token-of-tests"),
    Some("Bearer internal-token-of-testz"),
];

fn with_authorization<T>(message: T, authorization: Option<&'static str>) -> Request<T> {
    let mut request = Request::new(message);
    if let Some(value) = authorization {
        let value = MetadataValue::from_static(value);
        request.metadata_mut().insert("authorization", value);
    }
    request
}

fn sync_that_changes_state() -> SyncRequest {
    SyncRequest {
        node: "node-9".to_owned(),
        view_version: 1_000_000,
        full: true,
        grants: vec![GrantView {
            model: "m".to_owned(),
            state: GrantState::Held.into(),
            ..GrantView::default()
        }],
        leaving: true,
        registered_incarnation: 99,
        stop_in_ms: Some(0),
    }
}

fn code<T>(result: Result<T, Status>) -> String {
    match result {
        Ok(_) => "accepted".to_owned(),
        Err(status) => format!("{:?}", status.code()),
    }
}

#[test]
fn forged_calls_are_refused_and_change_nothing() {
    let fixture = Fixture::plain();
    smol::block_on(async {
        let mut client = AgentClient::new(fixture.channel_without_token());
        let mut lines = Vec::new();
        for authorization in REJECTED_AUTHORIZATIONS {
            let attempt: ExecuteRequest = fixture.valid_attempt();
            let tombstone = TombstoneRequest {
                request_id: attempt.request_id.clone(),
                attempt: 1,
            };
            let executed = code(
                client
                    .execute(with_authorization(attempt, authorization))
                    .await,
            );
            let tombstoned = code(
                client
                    .tombstone(with_authorization(tombstone, authorization))
                    .await,
            );
            let synced = code(
                client
                    .sync(with_authorization(sync_that_changes_state(), authorization))
                    .await,
            );
            lines.push(format!(
                "{authorization:?}: {executed} {tombstoned} {synced}"
            ));
        }
        insta::assert_snapshot!(lines.join("\n"), @r#"
        None: Unauthenticated Unauthenticated Unauthenticated
        Some(""): PermissionDenied PermissionDenied PermissionDenied
        Some("Bearer"): PermissionDenied PermissionDenied PermissionDenied
        Some("Bearer "): PermissionDenied PermissionDenied PermissionDenied
        Some("Basic internal-token-of-tests"): PermissionDenied PermissionDenied PermissionDenied
        Some("Bearer internal-token-of-testz"): PermissionDenied PermissionDenied PermissionDenied
        "#);
        assert_eq!(fixture.journal.runs(), []);
        assert_eq!(fixture.running.agent.view_version(), 0);
        assert!(!fixture.running.agent.leaving());
        fixture.assert_serves().await;
    });
}

#[test]
fn a_forged_tombstone_stops_no_attempt() {
    let fixture = Fixture::plain();
    smol::block_on(async {
        let mut client = AgentClient::new(fixture.channel_without_token());
        let attempt = fixture.valid_attempt();
        let tombstone = TombstoneRequest {
            request_id: attempt.request_id.clone(),
            attempt: 1,
        };
        client.tombstone(tombstone).await.unwrap_err();
        let id = attempt.request_id.clone();
        fixture.execute(attempt).await.unwrap();
        assert_eq!(fixture.journal.runs_of(&id).len(), 1);
    });
}
