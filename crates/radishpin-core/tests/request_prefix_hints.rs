//! Cache events may be late or lost; hints are bounded and dropped when they may be wrong.

use radishpin_core::request::{CacheEvent, PrefixHints};
use radishpin_protocol::prelude::*;

const RETENTION: Duration = Duration::from_secs(60);
const NOW: Duration = Duration::ZERO;

fn holder_names(hints: &PrefixHints, prefixes: &[u64], now: Duration) -> String {
    let holders = hints.holders(prefixes, now);
    let names: Vec<&str> = holders.into_iter().map(String::as_str).collect();
    names.join(" ")
}

#[test]
fn longest_cached_prefix_wins_and_expired_hints_are_ignored() {
    let mut hints = PrefixHints::new(100, RETENTION);
    hints.record("a", 1, CacheEvent::Stored(10), NOW);
    hints.record("b", 1, CacheEvent::Stored(10), NOW);
    hints.record("b", 2, CacheEvent::Stored(20), NOW);
    assert_eq!(holder_names(&hints, &[30, 20, 10], NOW), "b");
    assert_eq!(holder_names(&hints, &[10], NOW), "a b");
    assert_eq!(holder_names(&hints, &[10], RETENTION), "");
}

#[test]
fn late_events_are_ignored_and_gaps_drop_hints() {
    let mut hints = PrefixHints::new(100, RETENTION);
    hints.record("a", 1, CacheEvent::Stored(10), NOW);
    hints.record("a", 2, CacheEvent::Removed(10), NOW);
    assert!(!hints.record("a", 1, CacheEvent::Stored(10), NOW), "late");
    assert_eq!(holder_names(&hints, &[10], NOW), "");
    hints.record("a", 3, CacheEvent::Stored(30), NOW);
    // Event 4 is missing and may have removed prefix 30.
    assert!(hints.record("a", 5, CacheEvent::Stored(50), NOW));
    assert_eq!(holder_names(&hints, &[30], NOW), "");
    assert_eq!(holder_names(&hints, &[50], NOW), "a");
    hints.record("a", 6, CacheEvent::Cleared, NOW);
    assert!(hints.is_empty());
}

#[test]
fn oldest_hints_are_evicted_at_capacity() {
    let mut hints = PrefixHints::new(10, RETENTION);
    for sequence in 1..=1_000 {
        hints.record("a", sequence, CacheEvent::Stored(sequence), NOW);
        assert!(hints.len() <= 10);
    }
    assert_eq!(holder_names(&hints, &[990], NOW), "");
    assert_eq!(holder_names(&hints, &[1_000], NOW), "a");
    hints.forget("a");
    assert!(
        hints.record("a", 1, CacheEvent::Stored(1), NOW),
        "numbering restarts with the engine"
    );
}
