//! Tests of the view reader and writer: views are consistent, versions only increase, and no
//! committed change is lost.

#[path = "support/shared.rs"]
mod support;

use parking_lot::Mutex;
use radishpin_platform::{
    BoxFuture, ChangeOutcome, Commit, CommitOutcome, HostEntry, Listing, Platform, PlatformError,
    Row, RowChange, ViewChange, ViewReader, ViewWriter, Write,
};
use radishpin_protocol::Version;
use radishpin_standin::MemoryPlatform;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use smol::block_on;
use std::sync::Arc;
use support::{SEED, client};

/// A platform that makes a commit before chosen reads.
#[derive(Clone)]
struct InterleavedPlatform {
    platform: MemoryPlatform,
    /// Whether a commit is made before each of the next reads; the last entry is for the next one.
    schedule: Arc<Mutex<Vec<bool>>>,
    /// Number that the next commit writes into both rows.
    next_number: Arc<Mutex<u64>>,
    /// A replica that lags; if set, listings read from it.
    lagging_replica: Arc<Mutex<Option<MemoryPlatform>>>,
}

impl InterleavedPlatform {
    fn new(platform: &MemoryPlatform) -> Self {
        Self {
            platform: platform.clone(),
            schedule: Arc::default(),
            next_number: Arc::new(Mutex::new(1)),
            lagging_replica: Arc::default(),
        }
    }

    fn before_read(&self) {
        if self.schedule.lock().pop() == Some(true) {
            self.commit_next_number();
        }
    }

    /// Writes the same number into two rows whose prefixes are listed early and late in a poll.
    fn commit_next_number(&self) {
        let mut next_number = self.next_number.lock();
        let number = *next_number;
        *next_number += 1;
        let profile = profile(number);
        let stop = stop(number);
        let rows = [
            ("profile/p", profile),
            ("stop/s", stop),
            ("head", "{}".into()),
            ("head/profile", "{}".into()),
            ("head/stop", "{}".into()),
        ];
        let writes = rows.map(|(key, value)| Write {
            key: key.into(),
            value: Some(value),
        });
        let commit = Commit {
            conditions: Vec::new(),
            writes: writes.into(),
        };
        assert!(block_on(self.platform.commit(&commit)).is_ok());
    }
}

impl Platform for InterleavedPlatform {
    fn get<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Row, PlatformError>> {
        self.before_read();
        self.platform.get(key)
    }

    fn commit<'a>(
        &'a self,
        commit: &'a Commit,
    ) -> BoxFuture<'a, Result<CommitOutcome, PlatformError>> {
        self.platform.commit(commit)
    }

    fn list<'a>(
        &'a self,
        prefix: &'a str,
        since: Version,
    ) -> BoxFuture<'a, Result<Listing, PlatformError>> {
        self.before_read();
        let replica = self.lagging_replica.lock().clone();
        let replica = replica.unwrap_or_else(|| self.platform.clone());
        Box::pin(async move { replica.list(prefix, since).await })
    }

    fn put_object<'a>(
        &'a self,
        key: &'a str,
        value: &'a [u8],
    ) -> BoxFuture<'a, Result<(), PlatformError>> {
        self.platform.put_object(key, value)
    }

    fn get_object<'a>(
        &'a self,
        key: &'a str,
    ) -> BoxFuture<'a, Result<Option<Vec<u8>>, PlatformError>> {
        self.platform.get_object(key)
    }

    fn hosts(&self) -> BoxFuture<'_, Result<Vec<HostEntry>, PlatformError>> {
        self.platform.hosts()
    }
}

fn profile(patience_ms: u64) -> String {
    format!(
        r#"{{"format":1,"min_loaded":0,"max_replicas":2,"idle_unload_ms":1000,"patience_ms":{patience_ms},"priority":5,"class":"interactive","idempotent":true}}"#
    )
}

fn stop(unix_ms: u64) -> String {
    format!(
        r#"{{"id":"s","target":{{"host":"h"}},"from_unix_ms":{unix_ms},"to_unix_ms":{unix_ms}}}"#
    )
}

fn change(key: &str, expected_version: Version, value: &str) -> ViewChange {
    ViewChange {
        rows: vec![RowChange {
            key: key.into(),
            expected_version,
            value: Some(value.into()),
        }],
        ..ViewChange::default()
    }
}

/// Guards against views that mix rows of different table versions.
///
/// Tries every schedule of commits before the first ten reads. Each view must hold the same number
/// under both prefixes, equal the table at its version, and be newer than the view before.
#[test]
fn a_view_is_consistent_when_rows_change_between_the_reads() {
    const READS: u32 = 10;
    for schedule in 0..(1_u32 << READS) {
        let platform = MemoryPlatform::new(SEED);
        let interleaved = InterleavedPlatform::new(&platform);
        interleaved.commit_next_number();
        let mut reader = ViewReader::new(client(&interleaved));
        let commits = (0..READS).map(|read| schedule & (1 << read) != 0);
        *interleaved.schedule.lock() = commits.collect();
        let mut version = 0;
        while version < platform.row("head").version || !interleaved.schedule.lock().is_empty() {
            if let Some(view) = block_on(reader.poll()).unwrap() {
                let number = view.profiles["p"].patience_ms;
                assert_eq!(
                    number, view.stops["s"].from_unix_ms,
                    "schedule {schedule:b}"
                );
                assert_eq!(number, view.version, "schedule {schedule:b}");
                assert!(view.version > version, "schedule {schedule:b}");
                version = view.version;
            }
        }
        assert_eq!(reader.handle().current().version, version);
    }
}

#[test]
fn a_poll_overtaken_by_commits_continues_in_the_next_poll() {
    let platform = MemoryPlatform::new(SEED);
    let interleaved = InterleavedPlatform::new(&platform);
    interleaved.commit_next_number();
    let mut reader = ViewReader::new(client(&interleaved));
    *interleaved.schedule.lock() = vec![true; 1_000];
    assert_eq!(block_on(reader.poll()).unwrap(), None);
    assert_eq!(reader.handle().current().version, 0);
    interleaved.schedule.lock().clear();
    let view = block_on(reader.poll()).unwrap().unwrap();
    assert_eq!(view.version, platform.row("head").version);
}

#[test]
fn only_the_kinds_that_changed_are_listed() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    let writer = ViewWriter::new(client.clone());
    let mut reader = ViewReader::new(client);
    let mut reads = Vec::new();
    let mut poll = || {
        let before = platform.counts().reads;
        let view = block_on(reader.poll()).unwrap();
        reads.push(platform.counts().reads - before);
        view.map(|view| view.version)
    };
    assert_eq!(poll(), None);
    let first = change("profile/p", 0, &profile(100));
    assert!(block_on(writer.commit(&first)).is_ok());
    assert_eq!(poll(), Some(1));
    assert_eq!(poll(), None);
    let second = change("profile/p", 1, &profile(200));
    assert!(block_on(writer.commit(&second)).is_ok());
    assert_eq!(poll(), Some(2));
    // A head written by hand does not show which kinds have changed.
    platform.put_row("profile/p", Some(&profile(300)));
    assert_eq!(platform.put_row("head", Some("{}")), 4);
    assert_eq!(poll(), Some(4));
    let patience_ms = reader.handle().current().profiles["p"].patience_ms;
    assert_eq!(patience_ms, 300);
    // Each poll lists the heads, and then: no kind, all six kinds, no kind, one kind, all kinds.
    insta::assert_compact_json_snapshot!(reads, @"[1, 7, 1, 2, 7]");
}

/// Guards against errors in the reuse of the previous view.
///
/// Makes random changes while earlier views are retained or dropped at random. Each polled view
/// must equal the view of a new reader.
#[test]
fn an_updated_view_equals_one_read_from_scratch() {
    for seed in [1, 2, 3, 5, 8, 13] {
        let mut random = SmallRng::seed_from_u64(seed);
        let platform = MemoryPlatform::new(seed);
        let writer = ViewWriter::new(client(&platform));
        let mut reader = ViewReader::new(client(&platform));
        let mut held = Vec::new();
        for _ in 0..200 {
            let rows = (0..random.random_range(1..4)).map(|_| {
                let kind = ["profile", "stop"][random.random_range(0..2)];
                random_row(&platform, kind, &mut random)
            });
            let change = ViewChange {
                rows: rows.collect(),
                ..ViewChange::default()
            };
            assert!(block_on(writer.commit(&change)).is_ok());
            if random.random_bool(0.7) {
                let view = block_on(reader.poll()).unwrap().unwrap();
                let from_scratch = block_on(ViewReader::new(client(&platform)).poll());
                assert_eq!(Ok(Some(Arc::clone(&view))), from_scratch, "seed {seed}");
                held.push(view);
            }
            if random.random_bool(0.5) {
                held.clear();
            }
        }
    }
}

fn random_row(platform: &MemoryPlatform, kind: &str, random: &mut SmallRng) -> RowChange {
    let key = format!("{kind}/{}", random.random_range(0..4));
    let number = random.random_range(100..1_000);
    let value = match (kind, random.random_bool(0.3)) {
        (_, true) => None,
        ("profile", _) => Some(profile(number)),
        _ => Some(stop(number)),
    };
    RowChange {
        expected_version: platform.row(&key).version,
        key,
        value,
    }
}

#[test]
fn an_older_head_does_not_change_the_view() {
    let platform = MemoryPlatform::new(SEED);
    let interleaved = InterleavedPlatform::new(&platform);
    let mut reader = ViewReader::new(client(&interleaved));
    interleaved.commit_next_number();
    let replica = MemoryPlatform::new(SEED);
    replica.put_row("head", Some("{}"));
    interleaved.commit_next_number();
    assert_eq!(block_on(reader.poll()).unwrap().unwrap().version, 2);
    *interleaved.lagging_replica.lock() = Some(replica);
    assert_eq!(block_on(reader.poll()), Ok(None));
    assert_eq!(reader.handle().current().version, 2);
}

#[test]
fn a_malformed_row_keeps_its_previous_value() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    let writer = ViewWriter::new(client.clone());
    let mut reader = ViewReader::new(client);
    block_on(async {
        let accepted = writer.commit(&change("profile/p", 0, &profile(100))).await;
        assert_eq!(accepted, Ok(ChangeOutcome::Accepted(1)));
        assert_eq!(reader.poll().await.unwrap().unwrap().version, 1);
        assert_eq!(reader.poll().await, Ok(None));
        let accepted = writer.commit(&change("profile/p", 1, "{}")).await;
        assert_eq!(accepted, Ok(ChangeOutcome::Accepted(2)));
        let view = reader.poll().await.unwrap().unwrap();
        assert_eq!(view.version, 2);
        assert_eq!(view.profiles["p"].patience_ms, 100);
    });
}

#[test]
fn deleted_rows_are_removed_from_the_view() {
    let platform = MemoryPlatform::new(SEED);
    let client = client(&platform);
    let writer = ViewWriter::new(client.clone());
    let mut reader = ViewReader::new(client);
    block_on(async {
        assert!(
            writer
                .commit(&change("profile/p", 0, &profile(100)))
                .await
                .is_ok()
        );
        assert!(reader.poll().await.is_ok());
        let deleted = writer
            .write_profile("p", 1, None, ViewChange::default())
            .await;
        assert_eq!(deleted, Ok(ChangeOutcome::Accepted(2)));
        let view = reader.poll().await.unwrap().unwrap();
        assert_eq!(view.profiles.len(), 0);
        assert_eq!(view.row_versions.len(), 0);
    });
}

#[test]
fn of_two_writers_one_gets_a_conflict_with_the_current_version() {
    let platform = MemoryPlatform::new(SEED);
    let (first, second) = (client(&platform), client(&platform));
    let (first, second) = (ViewWriter::new(first), ViewWriter::new(second));
    block_on(async {
        for (version, patience_ms) in [(0, 100), (1, 200), (2, 300)] {
            let document = Some(profile(patience_ms));
            let accepted = first
                .write_profile("p", version, document, ViewChange::default())
                .await;
            assert_eq!(accepted, Ok(ChangeOutcome::Accepted(version + 1)));
        }
        let conflict = ChangeOutcome::Conflict {
            key: "profile/p".into(),
            current_version: 3,
        };
        let stale = second
            .write_profile("p", 2, Some(profile(400)), ViewChange::default())
            .await;
        assert_eq!(stale, Ok(conflict.clone()));
        let raced = second.commit(&change("profile/p", 2, &profile(400))).await;
        assert_eq!(raced, Ok(conflict));
        // A change of another row does not conflict, although it writes the same head row.
        let other = second.commit(&change("profile/q", 0, &profile(500))).await;
        assert_eq!(other, Ok(ChangeOutcome::Accepted(4)));
        let history = first.profile_history(&"p".to_owned()).await.unwrap();
        let versions: Vec<_> = history.iter().map(|entry| entry.version).collect();
        assert_eq!(versions, [1, 2]);
        assert_eq!(history[0].document, profile(100));
    });
}

#[test]
fn a_change_conditional_on_the_whole_view_conflicts_on_the_head() {
    let platform = MemoryPlatform::new(SEED);
    let writer = ViewWriter::new(client(&platform));
    let service = r#"{"kind":"plain","profile":"p"}"#;
    block_on(async {
        assert!(
            writer
                .commit(&change("profile/p", 0, &profile(100)))
                .await
                .is_ok()
        );
        // The decision to delete was made at version 1, at which no service used the profile.
        let delete = ViewChange {
            whole_view: Some(1),
            ..ViewChange::default()
        };
        assert!(
            writer
                .commit(&change("service/s", 0, service))
                .await
                .is_ok()
        );
        let outcome = writer.write_profile("p", 1, None, delete).await;
        let conflict = ChangeOutcome::Conflict {
            key: "head".into(),
            current_version: 2,
        };
        assert_eq!(outcome, Ok(conflict));
        assert!(platform.row("profile/p").value.is_some());
    });
}

#[test]
fn a_change_whose_reply_is_lost_is_accepted_once() {
    let platform = MemoryPlatform::new(SEED);
    let writer = ViewWriter::new(client(&platform));
    platform.change_faults(|faults| faults.lose_commit_replies = 1);
    let accepted = block_on(writer.commit(&change("profile/p", 0, &profile(100))));
    assert_eq!(accepted, Ok(ChangeOutcome::Accepted(1)));
    assert_eq!(platform.row("head").version, 1);
}
