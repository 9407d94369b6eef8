//! Logs: one line a record, `key=value` pairs.

mod limit;

pub use limit::{LINES_PER_EVENT_S, LineLimit};

use env_logger::fmt::Formatter;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use parking_lot::Mutex;
use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Where log lines go.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// To standard error, by the thread that logs.
    Stderr,
    /// To standard output, by a thread of their own, so that a full pipe holds up nothing.
    Stdout,
}

/// Lines that wait to be written to standard output, at most; further ones are left out.
const QUEUED_LINES_MAX: usize = 4_096;

/// Longest time at the end of the process in which the last lines are written.
const LAST_LINES_TIMEOUT: Duration = Duration::from_millis(100);
/// Time between two looks whether they are.
const LAST_LINES_GAP: Duration = Duration::from_millis(1);

/// Lines that wait to be written.
#[derive(Clone, Debug, Default)]
pub struct PendingLines(Arc<AtomicU64>);

impl PendingLines {
    /// Waits until they are written, for at most 100 ms: an output that is stuck holds up no exit.
    pub fn wait(&self) {
        let started = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && started.elapsed() < LAST_LINES_TIMEOUT {
            thread::sleep(LAST_LINES_GAP);
        }
    }
}

/// Starts the logs at `level`; a second call changes nothing. Returns the lines that are to be
/// waited for at the end of the process.
pub fn start_logging(level: &str, output: LogOutput) -> PendingLines {
    let mut pending = PendingLines::default();
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).format(limited_format());
    if output == LogOutput::Stdout {
        let lines = NonBlockingWriter::start(io::stdout(), QUEUED_LINES_MAX);
        pending = lines.pending();
        builder.target(env_logger::Target::Pipe(Box::new(lines)));
    }
    let _ = builder.try_init();
    pending
}

/// Writes records within the limit of each event, and tells once a second what was left out.
fn limited_format() -> impl Fn(&mut Formatter, &Record<'_>) -> io::Result<()> + Send + Sync {
    let started = Instant::now();
    let limit = Mutex::new(LineLimit::default());
    move |out, record| {
        let now = started.elapsed();
        let event = record.key_values().get(Key::from_str("event"));
        let event = event.map_or_else(String::new, |event| event.to_string());
        let (left_out, admitted) = {
            let mut limit = limit.lock();
            (limit.end_window(now), limit.admit(&event, now))
        };
        for (event, count) in left_out {
            let line = left_out_line(SystemTime::now(), count);
            writeln!(out, "{line} of={}", quoted(&event))?;
        }
        if admitted {
            format_record(out, SystemTime::now(), record)?;
        }
        Ok(())
    }
}

/// The line that tells how many lines were left out.
fn left_out_line(time: SystemTime, count: u64) -> String {
    let time = humantime::format_rfc3339_millis(time);
    format!("time={time} level=warn event=lines_left_out count={count}")
}

/// A writer that never blocks: a thread writes what it is given, and what finds the queue full is
/// left out and counted.
pub struct NonBlockingWriter {
    sender: SyncSender<Vec<u8>>,
    left_out: Arc<AtomicU64>,
    pending: PendingLines,
}

impl NonBlockingWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static, lines_max: usize) -> Self {
        let (sender, lines) = mpsc::sync_channel::<Vec<u8>>(lines_max);
        let left_out = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&left_out);
        let pending = PendingLines::default();
        let written = pending.clone();
        thread::spawn(move || {
            while let Ok(line) = lines.recv() {
                // Without standard output there is nowhere to say so.
                let _ = output.write_all(&line);
                let missing = counted.swap(0, Ordering::Relaxed);
                if missing > 0 {
                    let line = left_out_line(SystemTime::now(), missing);
                    let _ = writeln!(output, "{line}");
                }
                let _ = output.flush();
                written.0.fetch_sub(1, Ordering::Release);
            }
        });
        Self {
            sender,
            left_out,
            pending,
        }
    }

    /// The lines that wait to be written.
    pub fn pending(&self) -> PendingLines {
        self.pending.clone()
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        self.pending.0.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.pending.0.fetch_sub(1, Ordering::Release);
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes one record: time, level, target and message, then the record's own pairs.
///
/// # Errors
/// `out` fails.
pub fn format_record(
    out: &mut impl Write,
    time: SystemTime,
    record: &Record<'_>,
) -> io::Result<()> {
    let level = record.level().as_str().to_ascii_lowercase();
    write!(
        out,
        "time={} level={level} target={} msg={}",
        humantime::format_rfc3339_millis(time),
        record.target(),
        quoted(&record.args().to_string()),
    )?;
    let mut pairs = Pairs { out };
    record
        .key_values()
        .visit(&mut pairs)
        .map_err(io::Error::other)?;
    writeln!(out)
}

struct Pairs<'a, W> {
    out: &'a mut W,
}

impl<'kvs, W: Write> VisitSource<'kvs> for Pairs<'_, W> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        write!(self.out, " {key}={}", quoted(&value.to_string()))?;
        Ok(())
    }
}

/// The text as it is, or in quotes where a reader could not tell its end.
fn quoted(text: &str) -> String {
    let plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !text.is_empty() && text.chars().all(plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}
