//! One line of a log.

use std::{collections::BTreeMap, time::SystemTime};

/// A line of a log: its time, and its pairs of key and value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct LogLine {
    /// Time that the process wrote.
    pub(super) time: SystemTime,
    /// What a collector wrote before the line, or else the name of the file.
    pub(super) source: String,
    fields: BTreeMap<String, String>,
}

impl LogLine {
    /// Reads a line; `None` where it is none of ours.
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

    /// Value of a field.
    pub(super) fn field(&self, key: &str) -> Option<&str> {
        self.fields.get(key).map(String::as_str)
    }

    /// Value of a field, or a dash.
    pub(super) fn field_or_dash(&self, key: &str) -> &str {
        self.field(key).unwrap_or("-")
    }

    /// Name of the event; empty where the line has none.
    pub(super) fn event(&self) -> &str {
        self.field("event").unwrap_or_default()
    }

    /// Whether the line is about this request.
    pub(super) fn is_about(&self, id: &str) -> bool {
        let ids = ["request", "request_id"].map(|key| self.field(key));
        ids.contains(&Some(id))
    }

    /// The line's own pairs, without what every line has.
    pub(super) fn specific_fields(&self) -> String {
        /// Fields of every line.
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

/// Reads `key=value` pairs; values may stand in quotes.
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

/// Reads up to the closing quote; returns the text and what follows.
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
