//! Output of commands: tables for people, JSON for scripts.

use crate::CommandError;
use comfy_table::{Table, presets};
use radishpin_protocol::UnixMs;
use serde::Serialize;
use std::{
    io::{self, Write},
    time::{Duration, UNIX_EPOCH},
};

/// Prints a document to standard output, as one line of JSON or as the output of `text`.
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

/// Creates an empty table without borders.
pub(crate) fn table(columns: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING);
    table.set_header(columns);
    table
}

/// Renders a table without trailing spaces.
pub(crate) fn table_text(table: &Table) -> String {
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}

/// Formats a time as RFC 3339 in UTC, or as plain milliseconds after the year 9999.
pub(crate) fn time_text(unix_ms: UnixMs) -> String {
    match UNIX_EPOCH.checked_add(Duration::from_millis(unix_ms)) {
        // `format_rfc3339_millis` supports years up to 9999.
        Some(time) if unix_ms < 253_402_300_800_000 => {
            humantime::format_rfc3339_millis(time).to_string()
        }
        _ => format!("{unix_ms} ms"),
    }
}

/// Formats a duration in units, such as `2m 30s`.
pub(crate) fn span_text(span_ms: u64) -> String {
    humantime::format_duration(Duration::from_millis(span_ms)).to_string()
}
