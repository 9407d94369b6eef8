//! Logs to standard error: one line a record, `key=value` pairs.

use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use std::{
    io::{self, Write},
    time::SystemTime,
};

/// Starts the logs at `level`; a second call changes nothing.
pub fn start_logging(level: &str) {
    let level: LevelFilter = level.parse().unwrap_or(LevelFilter::Info);
    let _ = env_logger::Builder::new()
        .filter_level(level)
        .format(|out, record| format_record(out, SystemTime::now(), record))
        .try_init();
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
