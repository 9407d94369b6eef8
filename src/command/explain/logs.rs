//! The lines of several processes, in the order of their times.

use super::line::LogLine;
use std::{
    io::{self, BufRead},
    time::SystemTime,
};

/// Lines of several processes.
#[derive(Clone, Debug, Default)]
pub(super) struct Logs {
    lines: Vec<LogLine>,
    files: usize,
    unparsed: usize,
}

impl Logs {
    /// Reads a file or stream; lines that cannot be read are counted.
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

    /// The lines in the order of their times; those of one time keep the order of their files.
    pub(super) fn sorted(mut self) -> Self {
        self.lines.sort_by_key(|line| line.time);
        self
    }

    /// All lines.
    pub(super) fn lines(&self) -> &[LogLine] {
        &self.lines
    }

    /// Lines between two times.
    pub(super) fn between(&self, from: SystemTime, to: SystemTime) -> &[LogLine] {
        let start = self.lines.partition_point(|line| line.time < from);
        let end = self.lines.partition_point(|line| line.time <= to);
        &self.lines[start..end]
    }

    /// What the files cover, in words.
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
