//! Tables of the report for people.

use super::{
    journal::Truth,
    report::{Added, PhaseReport, Quantiles, Report},
};
use crate::output::{table, table_text};
use std::{collections::BTreeMap, net::SocketAddr};

/// All tables of the report.
pub(super) fn report(report: &Report) -> String {
    let mut parts = vec![format!("run {}", report.run_id)];
    if let Some(direct) = &report.direct {
        parts.push(phase("Direct", direct));
    }
    parts.push(phase("Target", &report.target));
    if let Some(added) = &report.added {
        parts.push(added_text(added));
    }
    if let Some(faults) = report.faults.as_ref().filter(|faults| !faults.is_empty()) {
        parts.push(faults_text(faults));
    }
    parts.push(match &report.truth {
        Some(truth) => truth_text(truth),
        None => "What ran was not checked: no --journal.".to_owned(),
    });
    parts.join("\n\n")
}

fn phase(title: &str, phase: &PhaseReport) -> String {
    let head = format!(
        "{title} {}: {} whole answers a second over {} ms",
        addresses(&phase.addresses),
        phase.answered_per_second,
        phase.took_ms
    );
    let mut parts = vec![head, counts(phase), latencies(phase)];
    if let Some(time_us) = phase.processor_us_per_request {
        parts.push(format!("processor time a request: {time_us} us"));
    }
    parts.join("\n")
}

fn addresses(addresses: &[SocketAddr]) -> String {
    let texts: Vec<String> = addresses.iter().map(ToString::to_string).collect();
    texts.join(",")
}

fn faults_text(faults: &BTreeMap<&'static str, u64>) -> String {
    let mut rows = table(&["FAULTS", "COUNT"]);
    for (name, count) in faults {
        rows.add_row([(*name).to_owned(), count.to_string()]);
    }
    table_text(&rows)
}

fn counts(phase: &PhaseReport) -> String {
    let mut rows = table(&["REQUESTS", "COUNT"]);
    let mut row = |name: &str, count: u64| {
        rows.add_row([name.to_owned(), count.to_string()]);
    };
    row("sent", phase.sent);
    row("due but not sent", phase.not_sent);
    row("answered whole", phase.whole);
    for (name, count) in &phase.refused {
        row(&format!("refused: {name}"), *count);
    }
    row("unknown, and said so", phase.unknown);
    row("refused without saying whether it ran", phase.unsaid);
    row("cut short", phase.cut_short);
    row("dropped", phase.dropped);
    row("not connected", phase.not_connected);
    row("answered to the wrong caller", phase.wrong_caller);
    table_text(&rows)
}

fn latencies(phase: &PhaseReport) -> String {
    let mut rows = table(&["LATENCY MS", "COUNT", "P50", "P95", "P99", "MAX"]);
    let kinds = [
        ("first token", phase.first_token),
        ("whole answer", phase.whole_answer),
        ("between tokens", phase.between_tokens),
        ("refusal", phase.refusal),
    ];
    for (name, quantiles) in kinds {
        rows.add_row(quantile_cells(name, quantiles));
    }
    table_text(&rows)
}

fn quantile_cells(name: &str, quantiles: Quantiles) -> [String; 6] {
    [
        name.to_owned(),
        quantiles.count.to_string(),
        ms(quantiles.p50_us),
        ms(quantiles.p95_us),
        ms(quantiles.p99_us),
        ms(quantiles.max_us),
    ]
}

fn added_text(added: &Added) -> String {
    let mut rows = table(&["ADDED MS", "P50", "P99"]);
    rows.add_row([
        "first token".to_owned(),
        signed_ms(added.first_token_p50_us),
        signed_ms(added.first_token_p99_us),
    ]);
    rows.add_row([
        "whole answer".to_owned(),
        signed_ms(added.whole_answer_p50_us),
        signed_ms(added.whole_answer_p99_us),
    ]);
    let ratio = format!("throughput over direct: {:.2}", added.throughput_ratio);
    let mut parts = vec![table_text(&rows), ratio];
    if let Some(time_us) = added.processor_us_per_request {
        parts.push(format!("processor time added to a request: {time_us} us"));
    }
    if let Some(count) = added.requests_per_core_second {
        parts.push(format!("requests a second per core of it: {count}"));
    }
    parts.join("\n")
}

fn truth_text(truth: &Truth) -> String {
    let mut rows = table(&["JOURNALS", "COUNT"]);
    let counts = [
        ("runs", truth.runs),
        ("runs not kept, not checked", truth.runs_not_kept),
        ("run twice", truth.run_twice),
        ("said not run but run", truth.not_run_but_run),
        ("answered but not run", truth.answered_but_not_run),
        ("memory overcommitted", truth.overcommits),
    ];
    for (name, count) in counts {
        rows.add_row([name.to_owned(), count.to_string()]);
    }
    let mut lines = vec![table_text(&rows)];
    lines.extend(truth.examples.iter().cloned());
    lines.join("\n")
}

fn ms(time_us: u64) -> String {
    format!("{:.3}", time_us as f64 / 1_000.0)
}

fn signed_ms(time_us: i64) -> String {
    format!("{:+.3}", time_us as f64 / 1_000.0)
}
