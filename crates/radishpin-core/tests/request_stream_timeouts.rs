//! How long a stream may pause.

use insta::assert_snapshot;
use radishpin_core::request::StreamTimeouts;
use std::{fmt::Write as _, time::Duration};

/// Load pattern: an engine stops in the middle of a stream without a word, and so does the one
/// that goes on. The caller hears the end within its patience of the last event.
#[test]
fn a_silent_endpoint_leaves_time_for_another_one_within_the_callers_patience() {
    let last_event_at = Duration::from_secs(3);
    let mut table = String::new();
    for patience_ms in [200, 1_000, 1_500, 10_000, 60_000] {
        let limits = StreamTimeouts::new(Duration::from_millis(patience_ms));
        let noticed_at = last_event_at + limits.inactivity_timeout();
        let due = limits.next_event_deadline(last_event_at);
        let left = due.saturating_sub(noticed_at);
        writeln!(
            table,
            "patience {patience_ms} ms: silent after {} ms, {} ms left to go on",
            limits.inactivity_timeout().as_millis(),
            left.as_millis()
        )
        .expect("text can be written");
        assert!(noticed_at + left <= last_event_at + Duration::from_millis(patience_ms));
    }
    assert_snapshot!(table, @r"
    patience 200 ms: silent after 200 ms, 0 ms left to go on
    patience 1000 ms: silent after 1000 ms, 0 ms left to go on
    patience 1500 ms: silent after 1000 ms, 500 ms left to go on
    patience 10000 ms: silent after 5000 ms, 5000 ms left to go on
    patience 60000 ms: silent after 30000 ms, 30000 ms left to go on
    ");
}
