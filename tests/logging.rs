//! Log lines: unambiguous `key=value` pairs, rate limits and the non-blocking writer.

use log::{Level, Record};
use radishpin_cli::{LINES_PER_EVENT_S, LineLimit, NonBlockingWriter, format_record};
use std::{
    io::Write,
    time::{Duration, UNIX_EPOCH},
};

#[test]
fn a_record_is_one_line_of_pairs() {
    let pairs = [("request_id", "r-1"), ("reason", "queue \"full\"\nnow")];
    let mut line = Vec::new();
    let time = UNIX_EPOCH + Duration::from_millis(1_500);
    format_record(
        &mut line,
        time,
        &Record::builder()
            .level(Level::Warn)
            .target("radishpin_server::node")
            .args(format_args!("request refused"))
            .key_values(&pairs)
            .build(),
    )
    .unwrap();
    insta::assert_snapshot!(
        String::from_utf8(line).unwrap(),
        @r#"time=1970-01-01T00:00:01.500Z level=warn target=radishpin_server::node msg="request refused" request_id=r-1 reason="queue \"full\"\nnow""#
    );
}

/// A writer that blocks until it is released, like a full pipe.
struct BlockedWriter(
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<Vec<u8>>,
);

impl Write for BlockedWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        let _ = self.0.recv();
        let _ = self.1.send(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_blocked_output_does_not_block_logging_and_dropped_lines_are_counted() {
    let (release, released) = std::sync::mpsc::channel();
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(BlockedWriter(released, written), 4);
    // The thread may hold one line and the queue four; none of these calls blocks.
    for n in 0..20 {
        logs.write_all(format!("line {n}\n").as_bytes()).unwrap();
    }
    drop(release);
    drop(logs);
    let text: Vec<u8> = lines.into_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    let written_count = text.lines().filter(|line| line.starts_with("line")).count();
    assert!((4..=5).contains(&written_count), "{text}");
    let dropped = format!("event=lines_left_out count={}", 20 - written_count);
    assert!(text.contains(&dropped), "{text}");
}

/// One event exceeds its rate limit. Other events are still logged, and the dropped lines are
/// counted.
#[test]
fn a_frequent_event_does_not_use_up_the_limit_of_other_events() {
    let at_ms = Duration::from_millis;
    let mut limit = LineLimit::default();
    let sent = 3 * LINES_PER_EVENT_S;
    let written = (0..sent).filter(|_| limit.admit("request_sent", at_ms(10)));
    assert_eq!(written.count(), LINES_PER_EVENT_S as usize);
    assert!(limit.admit("endpoint_changed", at_ms(20)));
    assert!(limit.end_window(at_ms(900)).is_empty());
    let dropped = limit.end_window(at_ms(1_000));
    assert_eq!(
        dropped,
        [("request_sent".to_owned(), u64::from(2 * LINES_PER_EVENT_S))]
    );
    assert!(limit.admit("request_sent", at_ms(1_010)));
    assert!(limit.end_window(at_ms(2_100)).is_empty());
}

/// Guards against memory growth with the number of different events.
#[test]
fn events_beyond_the_maximum_share_a_limit() {
    let mut limit = LineLimit::default();
    let written = (0..10_000).filter(|n| limit.admit(&format!("event-{n}"), Duration::ZERO));
    assert!(written.count() < 2 * LINES_PER_EVENT_S as usize);
}

/// A writer that takes 2 ms for each line.
struct SlowWriter(std::sync::mpsc::Sender<Vec<u8>>);

impl Write for SlowWriter {
    fn write(&mut self, line: &[u8]) -> std::io::Result<usize> {
        std::thread::sleep(Duration::from_millis(2));
        let _ = self.0.send(line.to_vec());
        Ok(line.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

#[test]
fn wait_returns_after_pending_lines_are_written() {
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(SlowWriter(written), 16);
    for n in 0..8 {
        logs.write_all(format!("line {n}\n").as_bytes()).unwrap();
    }
    logs.pending().wait();
    assert_eq!(lines.try_iter().count(), 8);
}

#[test]
fn wait_returns_although_the_output_is_blocked() {
    let (_release, released) = std::sync::mpsc::channel();
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(BlockedWriter(released, written), 16);
    logs.write_all(b"line\n").unwrap();
    logs.pending().wait();
    assert_eq!(lines.try_iter().count(), 0);
}
