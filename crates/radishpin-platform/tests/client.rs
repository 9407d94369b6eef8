//! Tests of the client against a failing platform: outages, lost replies, rate limits, unknown
//! outcomes.

#[path = "support/shared.rs"]
mod support;

use prometheus::{Registry, TextEncoder};
use radishpin_platform::{
    CallError, Cause, Commit, CommitOutcome, Condition, OperationSweep, PlatformClient,
    PlatformError, PlatformMetrics, Settled, Write,
};
use radishpin_standin::{Faults, MemoryPlatform, Outage};
use smol::block_on;
use std::{sync::Arc, time::Duration};
use support::{SEED, client, client_with, fast_settings, row_commit};

#[test]
fn a_lost_reply_is_settled_by_a_retry() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    platform.change_faults(|faults| faults.lose_commit_replies = 2);
    let outcome = block_on(client.commit(&row_commit("a", 0, "1")));
    assert_eq!(outcome, Ok(CommitOutcome::Committed(1)));
    assert_eq!(platform.row("a").version, 1);
    assert_eq!(platform.counts().writes, 3);
}

#[test]
fn a_lost_request_is_retried_and_a_conflict_is_still_reported() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    platform.change_faults(|faults| faults.lose_commit_requests = 1);
    let outcome = block_on(client.commit(&row_commit("a", 0, "1")));
    assert_eq!(outcome, Ok(CommitOutcome::Committed(1)));
    platform.change_faults(|faults| faults.lose_commit_requests = 1);
    let outcome = block_on(client.commit(&row_commit("a", 0, "2")));
    let conflict = Condition {
        key: "a".into(),
        version: 1,
    };
    assert_eq!(outcome, Ok(CommitOutcome::Conflict(conflict)));
}

#[test]
fn an_unknown_outcome_is_settled_later_as_committed_or_without_effect() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    let unknown = |lose: fn(&mut Faults), key: &str| {
        platform.change_faults(lose);
        let result = block_on(client.commit(&row_commit(key, 0, "1")));
        platform.set_faults(Faults::default());
        match result {
            Err(CallError::Unknown { operation, .. }) => operation,
            other => panic!("expected an unknown outcome, not {other:?}"),
        }
    };
    let done = unknown(|faults| faults.lose_commit_replies = 99, "done");
    assert_eq!(block_on(client.settle(&done)), Ok(Settled::Committed(1)));
    let lost = unknown(|faults| faults.lose_commit_requests = 99, "lost");
    assert_eq!(block_on(client.settle(&lost)), Ok(Settled::NoEffect));
    // The first request arrives late, after the operation was abandoned.
    let late = block_on(client.commit_as(lost.clone(), &row_commit("lost", 0, "1")));
    let refused = CallError::Refused {
        cause: Cause::Abandoned,
        retry_after: Duration::ZERO,
    };
    assert_eq!(late, Err(refused));
    assert_eq!(platform.row("lost").version, 0);
    assert_eq!(block_on(client.settle(&lost)), Ok(Settled::NoEffect));
}

#[test]
fn an_operation_repeated_by_a_later_process_takes_effect_once() {
    let platform = MemoryPlatform::new(SEED);
    let first = client(&platform);
    let operation = first.new_operation();
    let commit = row_commit("a", 0, "1");
    let outcome = block_on(first.commit_as(operation.clone(), &commit));
    assert_eq!(outcome, Ok(CommitOutcome::Committed(1)));
    let second = client(&platform);
    let outcome = block_on(second.commit_as(operation, &commit));
    assert_eq!(outcome, Ok(CommitOutcome::Committed(1)));
}

#[test]
fn a_commit_without_operation_row_is_not_retried_after_a_lost_reply() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    platform.change_faults(|faults| faults.lose_commit_replies = 1);
    let result = block_on(client.commit_once(&row_commit("lease/1", 0, "me")));
    assert!(matches!(result, Err(CallError::Unknown { .. })));
    assert_eq!(platform.counts().writes, 1);
}

#[test]
fn the_breaker_refuses_calls_in_an_outage() {
    let platform = MemoryPlatform::new(SEED);
    let client = client_with(&platform, support::long_open_settings());
    platform.change_faults(|faults| faults.outage = Outage::Refusing);
    let failures: Vec<&str> = (0..4)
        .filter_map(|_| block_on(client.get("a")).err())
        .map(|error| match error {
            CallError::Refused { cause, .. } => cause.name(),
            CallError::Unknown { .. } => "unknown",
        })
        .collect();
    let failures = failures.join(" ");
    insta::assert_snapshot!(failures, @"unavailable breaker_open breaker_open breaker_open");
    assert_eq!(platform.counts().unavailable, 5);
}

#[test]
fn calls_succeed_again_after_an_outage() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    platform.change_faults(|faults| faults.outage = Outage::Refusing);
    for _ in 0..8 {
        assert!(block_on(client.get("a")).is_err());
    }
    platform.set_faults(Faults::default());
    block_on(async {
        while let Err(CallError::Refused { retry_after, .. }) = client.get("a").await {
            smol::Timer::after(retry_after).await;
        }
    });
    assert_eq!(platform.counts().reads, 1);
}

#[test]
fn calls_to_a_silent_platform_time_out() {
    let platform = MemoryPlatform::new(SEED);
    let client = client_with(&platform, support::single_attempt_settings());
    platform.change_faults(|faults| faults.outage = Outage::Silent);
    let read = block_on(client.get("a"));
    let refused = CallError::Refused {
        cause: Cause::Timeout,
        retry_after: Duration::ZERO,
    };
    assert_eq!(read, Err(refused));
    let written = block_on(client.commit(&row_commit("a", 0, "1")));
    assert!(matches!(written, Err(CallError::Unknown { .. })));
    let stored = block_on(client.put_object("o", b"1"));
    assert!(matches!(stored, Err(CallError::Unknown { .. })));
}

#[test]
fn a_rate_limit_does_not_open_the_breaker_and_every_attempt_is_counted() {
    let platform = MemoryPlatform::new(SEED);
    let registry = Registry::new();
    let client = PlatformClient::new(
        Arc::new(platform.clone()),
        support::single_attempt_settings(),
        PlatformMetrics::register(&registry).unwrap(),
        SEED,
    );
    platform.change_faults(|faults| faults.reads_per_second = Some(0));
    for _ in 0..4 {
        drop(block_on(client.get("a")));
    }
    platform.set_faults(Faults::default());
    assert!(block_on(client.get("a")).is_ok());
    let text = TextEncoder::new()
        .encode_to_string(&registry.gather())
        .unwrap();
    let lines: Vec<&str> = text.lines().filter(|line| !line.starts_with('#')).collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    radishpin_platform_breaker_state 0
    radishpin_platform_calls_total{call="get",outcome="ok"} 2
    radishpin_platform_calls_total{call="get",outcome="rate_limited"} 3
    radishpin_platform_retries_refused_total 0
    radishpin_view_rows_malformed_total 0
    "#);
}

#[test]
fn a_call_over_the_rate_limit_is_retried_once() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    platform.change_faults(|faults| faults.writes_per_second = Some(0));
    assert!(block_on(client.commit(&row_commit("a", 0, "1"))).is_ok());
    let limited = block_on(client.commit(&row_commit("b", 0, "1")));
    let refused = CallError::Refused {
        cause: Cause::Platform(PlatformError::RateLimited),
        retry_after: Duration::ZERO,
    };
    assert_eq!(limited, Err(refused));
    assert_eq!(platform.counts().rate_limited, 2);
}

#[test]
fn expired_operation_rows_are_deleted_and_newer_ones_kept() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    let retention = Duration::from_secs(3_600);
    let mut sweep = OperationSweep::new(client.clone(), retention);
    block_on(async {
        for key in ["a", "b"] {
            assert!(client.commit(&row_commit(key, 0, "1")).await.is_ok());
        }
        assert_eq!(sweep.run(Duration::from_secs(1)).await, Ok(0));
        assert!(client.commit(&row_commit("c", 0, "1")).await.is_ok());
        assert_eq!(sweep.run(Duration::from_secs(3_600)).await, Ok(0));
        assert_eq!(sweep.run(Duration::from_secs(3_601)).await, Ok(2));
        assert_eq!(sweep.run(Duration::from_secs(3_602)).await, Ok(0));
        assert_eq!(sweep.run(Duration::from_secs(7_200)).await, Ok(1));
    });
}

/// Guards against retries that apply a commit twice, and against commits that are reported wrongly.
///
/// Several clients increment one row while the platform loses requests and replies. The final sum
/// must equal the number of increments that were reported as committed.
#[test]
fn every_commit_takes_effect_exactly_as_often_as_it_is_reported() {
    for seed in [1, 2, 3, 5, 8] {
        let platform = MemoryPlatform::new(seed);
        platform.change_faults(|faults| {
            faults.lose_reply_percent = 30;
            faults.lose_commit_requests = 20;
        });
        let clients: Vec<_> = (0..4)
            .map(|_| client_with(&platform, fast_settings()))
            .collect();
        let mut reported = 0;
        for round in 0..50 {
            reported += u64::from(block_on(add_one(&clients[round % 4])));
        }
        let row = platform.row("sum").value.unwrap_or_default();
        assert_eq!(row, reported.to_string(), "seed {seed}");
    }
}

async fn add_one(client: &PlatformClient) -> bool {
    let Ok(row) = client.get("sum").await else {
        return false;
    };
    let sum = row.value.as_deref().unwrap_or("0").parse::<u64>();
    let sum = sum.expect("a sum");
    let commit = Commit {
        conditions: vec![Condition {
            key: "sum".into(),
            version: row.version,
        }],
        writes: vec![Write {
            key: "sum".into(),
            value: Some((sum + 1).to_string()),
        }],
    };
    match client.commit(&commit).await {
        Ok(CommitOutcome::Committed(_)) => true,
        Ok(CommitOutcome::Conflict(_)) | Err(CallError::Refused { .. }) => false,
        Err(CallError::Unknown { operation, .. }) => loop {
            match client.settle(&operation).await {
                Ok(settled) => return matches!(settled, Settled::Committed(_)),
                Err(_) => smol::Timer::after(Duration::from_millis(1)).await,
            };
        },
    }
}
