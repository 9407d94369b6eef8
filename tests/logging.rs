//! Log lines: key=value pairs that can be told apart.

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

/// A writer that takes nothing until it is released, like a full pipe.
struct Stuck(
    std::sync::mpsc::Receiver<()>,
    std::sync::mpsc::Sender<Vec<u8>>,
);

impl Write for Stuck {
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
fn a_full_output_holds_up_nobody_and_what_is_left_out_is_counted() {
    let (release, stuck) = std::sync::mpsc::channel();
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(Stuck(stuck, written), 4);
    // One line may be with the thread, four wait; none of these calls blocks.
    for n in 0..20 {
        logs.write_all(format!("line {n}\n").as_bytes()).unwrap();
    }
    drop(release);
    drop(logs);
    let text: Vec<u8> = lines.into_iter().flatten().collect();
    let text = String::from_utf8(text).unwrap();
    assert!(text.starts_with("line 0\n"), "{text}");
    let kept = text.lines().filter(|line| line.starts_with("line")).count();
    assert!((4..=5).contains(&kept), "{text}");
    let left_out = format!("event=lines_left_out count={}", 20 - kept);
    assert!(text.contains(&left_out), "{text}");
}

/// Load pattern: one event floods the logs. Others keep their lines, and the flood is counted.
#[test]
fn an_event_that_floods_costs_no_other_event_its_lines() {
    let at = Duration::from_millis;
    let mut limit = LineLimit::default();
    let flood = 3 * LINES_PER_EVENT_S;
    let written = (0..flood).filter(|_| limit.admit("request_sent", at(10)));
    assert_eq!(written.count(), LINES_PER_EVENT_S as usize);
    assert!(limit.admit("endpoint_changed", at(20)));
    assert!(limit.end_window(at(900)).is_empty());
    let left_out = limit.end_window(at(1_000));
    assert_eq!(
        left_out,
        [("request_sent".to_owned(), u64::from(2 * LINES_PER_EVENT_S))]
    );
    assert!(limit.admit("request_sent", at(1_010)));
    assert!(limit.end_window(at(2_100)).is_empty());
}

/// Any number of different events takes bounded memory.
#[test]
fn events_beyond_those_told_apart_share_a_limit() {
    let mut limit = LineLimit::default();
    let written = (0..10_000).filter(|n| limit.admit(&format!("event-{n}"), Duration::ZERO));
    assert!(written.count() < 2 * LINES_PER_EVENT_S as usize);
}

/// A writer that takes its time with each line.
struct Slow(std::sync::mpsc::Sender<Vec<u8>>);

impl Write for Slow {
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
fn the_last_lines_are_written_before_the_process_ends() {
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(Slow(written), 16);
    for n in 0..8 {
        logs.write_all(format!("line {n}\n").as_bytes()).unwrap();
    }
    logs.pending().wait();
    assert_eq!(lines.try_iter().count(), 8);
}

#[test]
fn a_stuck_output_does_not_hold_up_the_end_of_the_process() {
    let (_release, stuck) = std::sync::mpsc::channel();
    let (written, lines) = std::sync::mpsc::channel();
    let mut logs = NonBlockingWriter::start(Stuck(stuck, written), 16);
    logs.write_all(b"line\n").unwrap();
    logs.pending().wait();
    assert_eq!(lines.try_iter().count(), 0);
}
