//! The platform in memory: versions, conditions, listings, and each of its faults.

use radishpin_platform::{Commit, CommitOutcome, Condition, Platform, PlatformError, Write};
use radishpin_standin::{Clock, Faults, MemoryPlatform, Outage};
use smol::block_on;
use std::time::Duration;

const SEED: u64 = 7;

fn write(key: &str, version: u64, value: Option<&str>) -> Commit {
    Commit {
        conditions: vec![Condition {
            key: key.into(),
            version,
        }],
        writes: vec![Write {
            key: key.into(),
            value: value.map(str::to_owned),
        }],
    }
}

#[test]
fn commits_share_one_version_and_fail_whole() {
    let platform = MemoryPlatform::new(SEED);
    let mut both = write("a/1", 0, Some("x"));
    both.writes.push(Write {
        key: "b/1".into(),
        value: Some("y".into()),
    });
    block_on(async {
        assert_eq!(
            platform.commit(&both).await,
            Ok(CommitOutcome::Committed(1))
        );
        let conflict = Condition {
            key: "a/1".into(),
            version: 1,
        };
        assert_eq!(
            platform.commit(&both).await,
            Ok(CommitOutcome::Conflict(conflict))
        );
        let deleted = platform.commit(&write("a/1", 1, None)).await;
        assert_eq!(deleted, Ok(CommitOutcome::Committed(2)));
        let listing = platform.list("a/", 1).await.unwrap();
        insta::assert_json_snapshot!(listing, @r#"
        {
          "version": 2,
          "rows": [
            {
              "key": "a/1",
              "row": {
                "version": 2,
                "value": null
              }
            }
          ]
        }
        "#);
        assert_eq!(platform.list("a/", 2).await.unwrap().rows, vec![]);
        assert_eq!(platform.list("", 0).await.unwrap().rows.len(), 2);
    });
}

#[test]
fn a_lost_reply_has_its_effect_and_a_lost_request_has_none() {
    let platform = MemoryPlatform::new(SEED);
    platform.change_faults(|faults| {
        faults.lose_commit_requests = 1;
        faults.lose_commit_replies = 1;
    });
    block_on(async {
        let lost = platform.commit(&write("a", 0, Some("1"))).await;
        assert_eq!(lost, Err(PlatformError::Unknown("request lost".into())));
        assert_eq!(platform.row("a").version, 0);
        let lost = platform.commit(&write("a", 0, Some("2"))).await;
        assert_eq!(lost, Err(PlatformError::Unknown("reply lost".into())));
        assert_eq!(platform.row("a").version, 1);
    });
}

#[test]
fn an_outage_refuses_and_rate_limits_follow_the_clock() {
    let clock = Clock::manual();
    let platform = MemoryPlatform::with_clock(clock.clone(), SEED);
    platform.set_faults(Faults {
        outage: Outage::Refusing,
        ..Faults::default()
    });
    let refused = block_on(platform.get("a"));
    assert_eq!(refused, Err(PlatformError::Unavailable("outage".into())));
    platform.set_faults(Faults {
        reads_per_second: Some(40),
        ..Faults::default()
    });
    let served = || {
        (0..100)
            .filter(|_| block_on(platform.get("a")).is_ok())
            .count()
    };
    assert_eq!(served(), 10);
    clock.advance(Duration::from_millis(100));
    assert_eq!(served(), 4);
    assert_eq!(platform.counts().reads, 14);
    assert_eq!(platform.counts().rate_limited, 186);
}

#[test]
fn the_host_list_lags() {
    let clock = Clock::manual();
    let platform = MemoryPlatform::with_clock(clock.clone(), SEED);
    platform.change_faults(|faults| faults.hosts_lag_ms = 1_000);
    clock.advance(Duration::from_secs(1));
    platform.set_hosts(vec![radishpin_platform::HostEntry {
        host: "h1".into(),
        availability_zone: "gondar".into(),
        state: radishpin_platform::HostState::Live,
        peer_address: None,
    }]);
    assert_eq!(block_on(platform.hosts()).unwrap().len(), 0);
    clock.advance(Duration::from_secs(1));
    assert_eq!(block_on(platform.hosts()).unwrap().len(), 1);
}
