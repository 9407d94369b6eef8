//! Cache events come late and with gaps; hints stay bounded and are dropped when doubtful.

use radishpin_core::request::{CacheEvent, PrefixHints};
use radishpin_protocol::prelude::*;

const KEEP: Duration = Duration::from_secs(60);
const NOW: Duration = Duration::ZERO;

fn names(hints: &PrefixHints, prefixes: &[u64], now: Duration) -> String {
    let holders = hints.holders(prefixes, now);
    let names: Vec<&str> = holders.into_iter().map(String::as_str).collect();
    names.join(" ")
}

#[test]
fn longest_known_prefix_wins_and_old_hints_do_not_count() {
    let mut hints = PrefixHints::new(100, KEEP);
    hints.record("a", 1, CacheEvent::Stored(10), NOW);
    hints.record("b", 1, CacheEvent::Stored(10), NOW);
    hints.record("b", 2, CacheEvent::Stored(20), NOW);
    assert_eq!(names(&hints, &[30, 20, 10], NOW), "b");
    assert_eq!(names(&hints, &[10], NOW), "a b");
    assert_eq!(names(&hints, &[10], KEEP), "");
}

#[test]
fn late_events_are_ignored_and_gaps_forget() {
    let mut hints = PrefixHints::new(100, KEEP);
    hints.record("a", 1, CacheEvent::Stored(10), NOW);
    hints.record("a", 2, CacheEvent::Removed(10), NOW);
    assert!(!hints.record("a", 1, CacheEvent::Stored(10), NOW), "late");
    assert_eq!(names(&hints, &[10], NOW), "");
    hints.record("a", 3, CacheEvent::Stored(30), NOW);
    // Event 4 is missing: it may have removed prefix 30.
    assert!(hints.record("a", 5, CacheEvent::Stored(50), NOW));
    assert_eq!(names(&hints, &[30], NOW), "");
    assert_eq!(names(&hints, &[50], NOW), "a");
    hints.record("a", 6, CacheEvent::Cleared, NOW);
    assert!(hints.is_empty());
}

#[test]
fn memory_is_bounded_by_the_oldest() {
    let mut hints = PrefixHints::new(10, KEEP);
    for sequence in 1..=1_000 {
        hints.record("a", sequence, CacheEvent::Stored(sequence), NOW);
        assert!(hints.len() <= 10);
    }
    assert_eq!(names(&hints, &[990], NOW), "");
    assert_eq!(names(&hints, &[1_000], NOW), "a");
    hints.forget("a");
    assert!(
        hints.record("a", 1, CacheEvent::Stored(1), NOW),
        "a new life of the engine"
    );
}
