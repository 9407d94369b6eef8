//! Timeouts of a stream between two events.

use insta::assert_snapshot;
use radishpin_core::request::StreamTimeouts;
use std::{fmt::Write as _, time::Duration};

/// An engine stops sending in the middle of a stream, and so does the one that resumes it. The
/// stream still ends within the caller's patience, counted from the last event.
#[test]
fn the_inactivity_timeout_leaves_time_to_resume_within_the_callers_patience() {
    let last_event_at = Duration::from_secs(3);
    let mut table = String::new();
    for patience_ms in [200, 1_000, 1_500, 10_000, 60_000] {
        let timeouts = StreamTimeouts::new(Duration::from_millis(patience_ms));
        let timed_out_at = last_event_at + timeouts.inactivity_timeout();
        let deadline = timeouts.next_event_deadline(last_event_at);
        let left = deadline.saturating_sub(timed_out_at);
        writeln!(
            table,
            "patience {patience_ms} ms: timeout after {} ms, {} ms left to resume",
            timeouts.inactivity_timeout().as_millis(),
            left.as_millis()
        )
        .expect("text can be written");
        assert!(timed_out_at + left <= last_event_at + Duration::from_millis(patience_ms));
    }
    assert_snapshot!(table, @r"
    patience 200 ms: timeout after 200 ms, 0 ms left to resume
    patience 1000 ms: timeout after 1000 ms, 0 ms left to resume
    patience 1500 ms: timeout after 1000 ms, 500 ms left to resume
    patience 10000 ms: timeout after 5000 ms, 5000 ms left to resume
    patience 60000 ms: timeout after 30000 ms, 30000 ms left to resume
    ");
}
