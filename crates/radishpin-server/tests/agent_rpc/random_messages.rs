//! Property tests: the agent replies to any message, and the reported results match what ran.

use crate::fixture::{AttemptResult, Fixture};
use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_protocol::wire::{
    ExecuteRequest, GrantView, Header, SyncRequest, TombstoneRequest, agent_client::AgentClient,
    tombstone_reply::Outcome,
};

fn config(seed: u64) -> ProptestConfig {
    ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn request_id() -> impl Strategy<Value = String> {
    prop_oneof!["[a-z0-9-]{1,20}", ".{0,20}", "[!-~]{250,260}"]
}

fn headers() -> impl Strategy<Value = Vec<Header>> {
    let name = prop_oneof!["[a-z-]{1,10}", ".{0,5}"];
    let value = prop::collection::vec(any::<u8>(), 0..12);
    let header = (name, value).prop_map(|(name, value)| Header { name, value });
    prop::collection::vec(header, 0..4)
}

fn attempt() -> impl Strategy<Value = ExecuteRequest> {
    let method = prop_oneof![
        prop::sample::select(vec![
            "GET", "PUT", "POST", "HEAD", "OPTIONS", "CONNECT", "TRACE"
        ])
        .prop_map(str::to_owned),
        ".{0,6}",
    ];
    let path = prop_oneof!["/[a-z0-9/?&.%]{0,20}", ".{0,12}"];
    let call = (
        method,
        path,
        headers(),
        prop::collection::vec(any::<u8>(), 0..200),
    );
    let model = prop_oneof![3 => Just(String::new()), 1 => ".{0,8}"];
    let names = (request_id(), ".{0,5}", model, ".{0,5}");
    let numbers = (
        0..3_u32,
        any::<u32>(),
        any::<u32>(),
        any::<u64>(),
        any::<u64>(),
    );
    let incarnation_choice = prop_oneof![3 => Just(1), 1 => any::<u64>()];
    let time = prop_oneof![2 => Just(60_000), 1 => any::<u64>(), 1 => 0..20_u64];
    let flags = (any::<bool>(), any::<bool>());
    (call, names, numbers, incarnation_choice, time, flags).prop_map(
        |(call, names, numbers, incarnation, remaining_ms, flags)| ExecuteRequest {
            request_id: names.0,
            attempt: numbers.0,
            service: names.1,
            model: names.2,
            adapter: names.3,
            adapter_size_mb: numbers.1,
            method: call.0,
            path: call.1,
            headers: call.2,
            body: call.3,
            remaining_ms,
            priority: numbers.2,
            idempotent: flags.0,
            stream: flags.1,
            resume_offset: numbers.3,
            view_version: numbers.4,
            incarnation,
        },
    )
}

fn view() -> impl Strategy<Value = SyncRequest> {
    let numbers = (any::<u32>(), any::<i32>(), any::<u64>(), any::<u64>());
    let grant = (".{0,6}", numbers, any::<bool>()).prop_map(|(model, n, keep_loaded)| GrantView {
        model,
        size_mb: n.0,
        state: n.1 % 4,
        granted_version: n.2,
        keep_loaded,
        idle_unload_ms: n.3,
    });
    let grants = prop::collection::vec(grant, 0..5);
    let version = prop_oneof![0..2_000_u64, any::<u64>()];
    // `leaving` stays false, or the agent would correctly refuse the attempts that follow.
    (
        ".{0,8}",
        version,
        any::<bool>(),
        grants,
        any::<u64>(),
        any::<Option<u64>>(),
    )
        .prop_map(
            |(node, view_version, full, grants, registered_incarnation, stop_in_ms)| SyncRequest {
                node,
                view_version,
                full,
                grants,
                leaving: false,
                registered_incarnation,
                stop_in_ms,
            },
        )
}

#[test]
fn the_reported_result_of_any_attempt_is_true() {
    let fixture = Fixture::plain();
    proptest!(config(0x5eed_0001), |(request in attempt())| {
        // The prefix makes the ID unique among cases; an ID that must be refused stays invalid.
        let id = match request.request_id.as_str() {
            "" => String::new(),
            id_suffix => format!("{}-{id_suffix}", fixture.unique_id()),
        };
        let request = ExecuteRequest { request_id: id.clone(), ..request };
        let result = smol::block_on(fixture.execute(request));
        let runs = fixture.journal.runs_of(&id).len();
        match result {
            Ok(AttemptResult::Answered(_)) => prop_assert_eq!(runs, 1),
            Ok(AttemptResult::Refused { not_run: true, .. }) | Err(_) => prop_assert_eq!(runs, 0),
            Ok(AttemptResult::Refused { not_run: false, .. }) => prop_assert!(runs <= 1),
            Ok(AttemptResult::Truncated) => prop_assert!(false, "truncated"),
        }
    });
    smol::block_on(fixture.assert_serves());
}

#[test]
fn the_reported_outcome_of_any_tombstone_is_true() {
    let fixture = Fixture::plain();
    proptest!(config(0x5eed_0002), |(id_suffix in request_id(), attempt in 0..4_u32, first in any::<bool>())| {
        smol::block_on(async {
            let mut client = AgentClient::new(fixture.channel());
            let request_id = format!("{}-{id_suffix}", fixture.unique_id());
            let valid_attempt = ExecuteRequest { request_id: request_id.clone(), attempt: attempt.max(1), ..fixture.valid_attempt() };
            if first {
                let _ = fixture.execute(valid_attempt.clone()).await;
            }
            let ran_before = fixture.journal.runs_of(&request_id).len();
            let tombstone = TombstoneRequest { request_id: request_id.clone(), attempt };
            let outcome = client.tombstone(tombstone).await.map(|reply| reply.into_inner().outcome());
            if let Ok(Outcome::NeverRuns) = outcome {
                prop_assert_eq!(ran_before, 0);
                let _ = fixture.execute(valid_attempt).await;
                prop_assert_eq!(fixture.journal.runs_of(&request_id).len(), 0);
            }
            Ok(())
        })?;
    });
    smol::block_on(fixture.assert_serves());
}

#[test]
fn no_sync_lowers_the_view_version() {
    let fixture = Fixture::plain();
    proptest!(config(0x5eed_0003), |(request in view())| {
        let before = fixture.running.agent.view_version();
        let sent = request.view_version;
        let full = request.full;
        let reply = smol::block_on(async {
            AgentClient::new(fixture.channel()).sync(request).await
        });
        let after = reply.unwrap().into_inner().view_version;
        prop_assert!(after >= before);
        prop_assert!(after == before || (full && after == sent));
    });
    smol::block_on(fixture.assert_serves());
}
