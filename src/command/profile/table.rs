//! Tables of profiles.

use crate::output::{span_text, table, table_text};
use radishpin_protocol::{Profile, WorkloadClass};
use radishpin_server::operator::document::{ProfileEntry, ProfileHistory, ProfileList, Source};

const COLUMNS: [&str; 10] = [
    "NAME",
    "VERSION",
    "CLASS",
    "MIN",
    "MAX",
    "IDLE UNLOAD",
    "PATIENCE",
    "PRIORITY",
    "IDEMPOTENT",
    "SERVICES",
];

/// Formats all profiles, with a notice if any comes from the node's view.
pub(super) fn list(list: &ProfileList) -> String {
    let mut rows = table(&COLUMNS);
    for entry in &list.profiles {
        rows.add_row(row(entry));
    }
    let mut text = table_text(&rows);
    if list
        .profiles
        .iter()
        .any(|entry| entry.source == Source::View)
    {
        text.push_str(STALE_NOTICE);
    }
    text
}

/// Formats one profile, with a notice if it comes from the node's view.
pub(super) fn entry(entry: &ProfileEntry) -> String {
    let mut rows = table(&COLUMNS);
    rows.add_row(row(entry));
    let mut text = table_text(&rows);
    if entry.source == Source::View {
        text.push_str(STALE_NOTICE);
    }
    text
}

const STALE_NOTICE: &str = "\nThe platform does not answer: this is what is in force at the node.";

/// Formats earlier versions of a profile, without its name and services.
pub(super) fn history(history: &ProfileHistory) -> String {
    let mut rows = table(&COLUMNS[1..9]);
    for entry in &history.history {
        let mut row = vec![entry.version.to_string()];
        row.extend(cells(&entry.profile));
        rows.add_row(row);
    }
    table_text(&rows)
}

fn row(entry: &ProfileEntry) -> Vec<String> {
    let mut row = vec![entry.name.clone(), entry.version.to_string()];
    row.extend(cells(&entry.profile));
    row.push(entry.services.join(" "));
    row
}

fn cells(profile: &Profile) -> [String; 7] {
    let class = match profile.class {
        WorkloadClass::Interactive => "interactive",
        WorkloadClass::Deferrable => "deferrable",
    };
    [
        class.to_owned(),
        profile.min_loaded.to_string(),
        profile.max_replicas.to_string(),
        span_text(profile.idle_unload_ms),
        span_text(profile.patience_ms),
        profile.priority.to_string(),
        if profile.idempotent { "yes" } else { "no" }.to_owned(),
    ]
}
