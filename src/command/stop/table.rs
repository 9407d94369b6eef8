//! Table of planned stops.

use crate::output::{table, table_text, time_text};
use radishpin_protocol::StopTarget;
use radishpin_server::operator::document::{StopEntry, StopPhase};

/// Formats planned stops as a table, followed by their warnings.
pub(in crate::command) fn stops(stops: &[StopEntry]) -> String {
    let mut rows = table(&["ID", "TARGET", "FROM", "TO", "PHASE", "VERSION"]);
    for entry in stops {
        rows.add_row([
            entry.stop.id.clone(),
            target(&entry.stop.target),
            time_text(entry.stop.from_unix_ms),
            time_text(entry.stop.to_unix_ms),
            phase(entry.phase).to_owned(),
            entry.version.to_string(),
        ]);
    }
    let mut text = table_text(&rows);
    for entry in stops {
        for warning in &entry.warnings {
            text.push_str(&format!("\n{}: warning: {warning}", entry.stop.id));
        }
    }
    text
}

fn target(target: &StopTarget) -> String {
    match target {
        StopTarget::Host(host) => format!("host {host}"),
        StopTarget::AvailabilityZone(zone) => format!("availability zone {zone}"),
    }
}

fn phase(phase: StopPhase) -> &'static str {
    match phase {
        StopPhase::Planned => "planned",
        StopPhase::Open => "open",
        StopPhase::Over => "over",
    }
}
