//! Parses log lines.

use std::{collections::BTreeMap, time::SystemTime};

/// A log line as its time, source and fields.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Time from the line, by the clock of the process that wrote it.
    pub(super) time: SystemTime,
    /// Last word that a log collector put before the line, or the name of the file if none.
    pub(super) source: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Parses a line; returns `None` if it is not in the log format of radishpin.
    pub(super) fn parse(text: &str, file: &str) -> Option<Self> {
        let start = text.find("time=")?;
        let fields = parse_pairs(&text[start..])?;
        let time = humantime::parse_rfc3339(fields.get("time")?).ok()?;
        let prefix = text[..start].split_whitespace().last();
        Some(Self {
            time,
            source: prefix.unwrap_or(file).to_owned(),
            fields,
        })
    }

    /// Returns the value of a field, or `None` if the line does not have it.
    pub(super) fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// Returns the value of a field, or `-` if the line does not have it.
    pub(super) fn field_or_dash(&self, key: &str) -> &str {
        self.field(key).unwrap_or("-")
    }

    /// Returns the name of the event, or an empty string if the line has none.
    pub(super) fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    /// Returns whether the line has `id` as its `request` or `request_id`.
    pub(super) fn is_about(&self, id: &str) -> bool {
        let ids = ["request", "request_id"].map(|key| self.field(key));
        ids.contains(&Some(id))
    }

    /// Formats the fields other than those that every line has.
    pub(super) fn specific_fields(&self) -> String {
        /// Fields that every line has.
        const COMMON: [&str; 5] = ["time", "level", "target", "msg", "event"];
        let specific = self
            .fields
            .iter()
            .filter(|(key, _)| !COMMON.contains(&key.as_str()));
        let pairs: Vec<String> = specific
            .map(|(key, value)| format!("{key} {value}"))
            .collect();
        pairs.join(", ")
    }
}

/// Parses `key=value` pairs; values may be quoted.
fn parse_pairs(text: &str) -> Option<BTreeMap<String, String>> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim_end();
    while !rest.is_empty() {
        let (key, after) = rest.split_once('=')?;
        let (value, after) = match after.strip_prefix('"') {
            Some(quoted) => parse_quoted(quoted)?,
            None => {
                let end = after.find(' ').unwrap_or(after.len());
                (after[..end].to_owned(), &after[end..])
            }
        };
        fields.insert(key.to_owned(), value);
        rest = after.trim_start();
    }
    Some(fields)
}

/// Parses up to the closing quote; returns the unescaped value and the remaining text.
fn parse_quoted(text: &str) -> Option<(String, &str)> {
    let mut value = String::new();
    let mut characters = text.char_indices();
    while let Some((at, character)) = characters.next() {
        match character {
            '"' => return Some((value, &text[at + 1..])),
            '\\' => match characters.next()?.1 {
                'n' => value.push('\n'),
                'r' => value.push('\r'),
                't' => value.push('\t'),
                other => value.push(other),
            },
            other => value.push(other),
        }
    }
    None
}
