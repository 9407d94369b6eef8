//! The table: rows with versions, one version a commit.

use radishpin_platform::{Commit, CommitOutcome, Condition, ListedRow, Listing, Row};
use radishpin_protocol::Version;
use std::collections::{BTreeMap, BTreeSet};

/// Rows by key, deleted ones too, and their keys by version.
#[derive(Clone, Debug, Default)]
pub(super) struct Table {
    version: Version,
    rows: BTreeMap<String, Row>,
    keys_by_version: BTreeSet<(Version, String)>,
}

impl Table {
    pub(super) fn get(&self, key: &str) -> Row {
        self.rows.get(key).cloned().unwrap_or_default()
    }

    pub(super) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(super) fn put(&mut self, key: &str, value: Option<String>) -> Version {
        self.version += 1;
        self.write(key, value);
        self.version
    }

    pub(super) fn commit(&mut self, commit: &Commit) -> CommitOutcome {
        for condition in &commit.conditions {
            let version = self.rows.get(&condition.key).map_or(0, |row| row.version);
            if version != condition.version {
                return CommitOutcome::Conflict(Condition {
                    key: condition.key.clone(),
                    version,
                });
            }
        }
        self.version += 1;
        for write in &commit.writes {
            self.write(&write.key, write.value.clone());
        }
        CommitOutcome::Committed(self.version)
    }

    pub(super) fn list(&self, prefix: &str, since: Version) -> Listing {
        let mut rows = if since == 0 {
            self.list_all(prefix)
        } else {
            self.list_since(prefix, since)
        };
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        Listing {
            version: self.version,
            rows,
        }
    }

    fn list_all(&self, prefix: &str) -> Vec<ListedRow> {
        self.rows
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(key, row)| listed(key, row))
            .collect()
    }

    fn list_since(&self, prefix: &str, since: Version) -> Vec<ListedRow> {
        self.keys_by_version
            .range((since + 1, String::new())..)
            .filter(|(_, key)| key.starts_with(prefix))
            .filter_map(|(_, key)| Some(listed(key, self.rows.get(key)?)))
            .collect()
    }

    fn write(&mut self, key: &str, value: Option<String>) {
        let row = Row {
            version: self.version,
            value,
        };
        if let Some(old) = self.rows.insert(key.to_owned(), row) {
            self.keys_by_version.remove(&(old.version, key.to_owned()));
        }
        self.keys_by_version.insert((self.version, key.to_owned()));
    }
}

fn listed(key: &str, row: &Row) -> ListedRow {
    ListedRow {
        key: key.to_owned(),
        row: row.clone(),
    }
}
