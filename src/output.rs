//! What commands print: tables for people, JSON for scripts.

use crate::CommandError;
use comfy_table::{Table, presets};
use radishpin_protocol::UnixMs;
use serde::Serialize;
use std::{
    io::{self, Write},
    time::{Duration, UNIX_EPOCH},
};

/// Prints a document: as one line of JSON, or as the text for people.
pub(crate) fn print_document<T: Serialize>(
    json: bool,
    document: &T,
    text: impl FnOnce() -> String,
) -> Result<(), CommandError> {
    let text = if json {
        serde_json::to_string(document).map_err(io::Error::other)?
    } else {
        text()
    };
    writeln!(io::stdout().lock(), "{text}")?;
    Ok(())
}

/// An empty table.
pub(crate) fn table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns);
    table
}

/// Lines of a table without trailing spaces.
pub(crate) fn table_text(table: &Table) -> String {
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// A time as RFC 3339 in UTC.
pub(crate) fn time_text(unix_ms: UnixMs) -> String {
    match UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms)) {
        // The formatter takes years up to 9999.
        Some(time) if unix_ms < 253_402_300_800_000 => {
            humantime::format_rfc3339_millis(time).to_string()
        }
        _ => format!("{unix_ms} ms"),
    }
}

/// A span of time.
pub(crate) fn span_text(span_ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(span_ms)).to_string()
}
