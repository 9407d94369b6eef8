//! Logging: one line per record, as `key=value` pairs.

mod limit;

pub use limit::{LINES_PER_EVENT_S, LineLimit};

use env_logger::fmt::Formatter;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use parking_lot::Mutex;
use std::{
    cell::Cell,
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, SyncSender},
    },
    thread,
    time::{Duration, Instant, SystemTime},
};

/// Destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error, written by the thread that logs.
    Stderr,
    /// Standard output, written by a separate thread, so that a full pipe blocks no caller.
    Stdout,
}

/// Most lines queued for standard output; further lines are dropped and counted.
const MAX_QUEUED_LINES: usize = 4_096;

/// Longest time that the process waits at exit for queued lines to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(100);
/// Interval at which the exit checks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Event that a process logs last. Tasks that still run after it log nothing more.
const LAST_EVENT: &str = "stopped";

thread_local! {
    /// Whether the line that this thread formatted last is the last one of the process.
    static IS_LAST_LINE: Cell<bool> = const { Cell::new(false) };
}

/// Number of lines that are queued but not yet written.
#[derive(Clone, Debug, Default)]
pub struct PendingLines(Arc<AtomicU64>);

impl PendingLines {
    /// Waits until all lines are written, for at most 100 ms, so that a blocked output cannot
    /// prevent the process from exiting.
    pub fn wait(&self) {
        let started = Instant::now();
        while self.0.load(Ordering::Acquire) > 0 && started.elapsed() < FLUSH_TIMEOUT {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Installs the logger at `level`; a second call has no effect.
///
/// Returns the pending lines, to wait for before the process exits.
pub fn start_logging(level: &str, output: LogOutput) -> PendingLines {
    let mut pending = PendingLines::default();
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level).format(rate_limited_format());
    if output == LogOutput::Stdout {
        let lines = NonBlockingWriter::start(io::stdout(), MAX_QUEUED_LINES);
        pending = lines.pending();
        builder.target(env_logger::Target::Pipe(Box::new(lines)));
    }
    let _ = builder.try_init();
    pending
}

/// Formats records within the rate limit of their event, and logs the dropped lines once a second.
fn rate_limited_format() -> impl Fn(&mut Formatter, &Record<'_>) -> io::Result<()> + Send + Sync {
    let started = Instant::now();
    let limit = Mutex::new(LineLimit::default());
    move |out, record| {
        let now = started.elapsed();
        let event = record.key_values().get(Key::from_str("event"));
        let event = event.map_or_else(String::new, |event| event.to_string());
        let (dropped, admitted) = {
            let mut limit = limit.lock();
            (limit.end_window(now), limit.admit(&event, now))
        };
        for (event, count) in dropped {
            let line = dropped_lines_record(SystemTime::now(), count);
            writeln!(out, "{line} of={}", quote_if_needed(&event))?;
        }
        IS_LAST_LINE.set(event == LAST_EVENT);
        if admitted {
            format_record(out, SystemTime::now(), record)?;
        }
        Ok(())
    }
}

/// Formats the record that reports how many lines were dropped.
fn dropped_lines_record(time: SystemTime, count: u64) -> String {
    let time = humantime::format_rfc3339_millis(time);
    format!("time={time} level=warn event=lines_left_out count={count}")
}

/// A writer that never blocks: a separate thread writes the queued lines. Lines that find the queue
/// full are dropped and counted.
pub struct NonBlockingWriter {
    sender: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    pending: PendingLines,
    /// Whether the last line of the process is queued.
    closed: bool,
}

impl NonBlockingWriter {
    /// Starts the thread that writes to `output`.
    pub fn start(mut output: impl Write + Send + 'static, max_lines: usize) -> Self {
        let (sender, lines) = mpsc::sync_channel::<Vec<u8>>(max_lines);
        let dropped = Arc::new(AtomicU64::new(0));
        let writer_dropped = Arc::clone(&dropped);
        let pending = PendingLines::default();
        let writer_pending = pending.clone();
        thread::spawn(move || {
            while let Ok(line) = lines.recv() {
                // A failed write cannot be reported, since this is the log output.
                let _ = output.write_all(&line);
                let dropped_count = writer_dropped.swap(0, Ordering::Relaxed);
                if dropped_count > 0 {
                    let line = dropped_lines_record(SystemTime::now(), dropped_count);
                    let _ = writeln!(output, "{line}");
                }
                let _ = output.flush();
                writer_pending.0.fetch_sub(1, Ordering::Release);
            }
        });
        Self {
            sender,
            dropped,
            pending,
            closed: false,
        }
    }

    /// Lines that are queued but not yet written.
    pub fn pending(&self) -> PendingLines {
        self.pending.clone()
    }
}

impl Write for NonBlockingWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        if self.closed {
            return Ok(line.len());
        }
        self.closed = IS_LAST_LINE.take();
        self.pending.0.fetch_add(1, Ordering::Relaxed);
        if self.sender.try_send(line.to_vec()).is_err() {
            self.pending.0.fetch_sub(1, Ordering::Release);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Writes one record: time, level, target and message, then the record's key-value pairs.
///
/// # Errors
/// Writing to `out` fails.
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
        quote_if_needed(&record.args().to_string()),
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
        write!(self.out, " {key}={}", quote_if_needed(&value.to_string()))?;
        Ok(())
    }
}

/// Quotes the text if it is empty or has characters that make its end ambiguous.
fn quote_if_needed(text: &str) -> String {
    let is_plain = |c: char| c.is_ascii_graphic() && c != '"' && c != '=' && c != '\\';
    if !text.is_empty() && text.chars().all(is_plain) {
        return text.to_owned();
    }
    format!("{text:?}")
}
