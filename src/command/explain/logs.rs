//! Collects and sorts the log lines of several processes.

use super::line::LogLine;
use std::{
    io::{self, BufRead},
    time::SystemTime,
};

/// Log lines of several processes.
#[derive(Clone, Debug, Default)]
pub(super) struct Logs {
    lines: Vec<LogLine>,
    files: usize,
    unparsed: usize,
}

impl Logs {
    /// Adds the lines of a file or stream; counts lines that cannot be parsed, except blank ones.
    pub(super) fn read(&mut self, name: &str, mut reader: impl BufRead) -> io::Result<()> {
        self.files += 1;
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            match LogLine::parse(&text, name) {
                Some(line) => self.lines.push(line),
                None if text.trim().is_empty() => {}
                None => self.unparsed += 1,
            }
            bytes.clear();
        }
        Ok(())
    }

    /// Sorts the lines by time; lines with equal times keep the order in which they were read.
    pub(super) fn sorted(mut self) -> Self {
        self.lines.sort_by_key(|line| line.time);
        self
    }

    /// All parsed lines, in the order read until [`sorted`](Self::sorted) is called.
    pub(super) fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Lines from `from` to `to`, both inclusive; the lines must be sorted.
    pub(super) fn between(&self, from: SystemTime, to: SystemTime) -> &[LogLine] {
        let start = self.lines.partition_point(|line| line.time < from);
        let end = self.lines.partition_point(|line| line.time <= to);
        &self.lines[start..end]
    }

    /// Describes the number of lines and files, and the time range that they cover.
    pub(super) fn coverage(&self) -> String {
        let counts = format!(
            "{} lines of {} files, {} unreadable",
            self.lines.len(),
            self.files,
            self.unparsed
        );
        match (self.lines.first(), self.lines.last()) {
            (Some(first), Some(last)) => format!(
                "{counts}, from {} to {}",
                humantime::format_rfc3339_millis(first.time),
                humantime::format_rfc3339_millis(last.time)
            ),
            _ => counts,
        }
    }
}
