//! What is reported, also as JSON.

use super::{
    journal::Truth,
    recorder::{Record, Times},
};
use serde::Serialize;
use std::{collections::BTreeMap, net::SocketAddr, time::Duration};

/// Microseconds in a second.
const MICROSECONDS_PER_SECOND: u64 = 1_000_000;

/// Quantiles of times in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize)]
pub(super) struct Quantiles {
    pub(super) count: u64,
    pub(super) p50_us: u64,
    pub(super) p95_us: u64,
    pub(super) p99_us: u64,
    pub(super) max_us: u64,
}

impl From<&Times> for Quantiles {
    fn from(times: &Times) -> Self {
        Self {
            count: times.count(),
            p50_us: times.quantile_us(0.5),
            p95_us: times.quantile_us(0.95),
            p99_us: times.quantile_us(0.99),
            max_us: times.max_us(),
        }
    }
}

/// What came of a phase.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct PhaseReport {
    pub(super) addresses: Vec<SocketAddr>,
    /// From the first request to the last answer.
    pub(super) took_ms: u64,
    pub(super) sent: u64,
    pub(super) answered_per_second: u64,
    /// Processor time of the measured process for each request sent.
    pub(super) processor_us_per_request: Option<u64>,
    /// Due in an open loop, but not sent as too many were on their way.
    pub(super) not_sent: u64,
    pub(super) whole: u64,
    /// By name of the code.
    pub(super) refused: BTreeMap<String, u64>,
    /// Refused or broken off with the word that it may have run.
    pub(super) unknown: u64,
    /// Refused without a word on whether it ran, as by an endpoint itself.
    pub(super) unsaid: u64,
    pub(super) cut_short: u64,
    pub(super) dropped: u64,
    pub(super) not_connected: u64,
    pub(super) wrong_caller: u64,
    pub(super) first_token: Quantiles,
    pub(super) whole_answer: Quantiles,
    pub(super) between_tokens: Quantiles,
    pub(super) refusal: Quantiles,
}

impl PhaseReport {
    /// The report of a record.
    pub(super) fn new(
        addresses: Vec<SocketAddr>,
        took: Duration,
        processor: Option<Duration>,
        record: &Record,
    ) -> Self {
        Self {
            addresses,
            processor_us_per_request: processor.map(|time| share_us(time, record.sent)),
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
            sent: record.sent,
            answered_per_second: per_second(record.whole, took),
            not_sent: record.not_sent,
            whole: record.whole,
            refused: record.refused.clone(),
            unknown: record.unknown,
            unsaid: record.unsaid,
            cut_short: record.cut,
            dropped: record.dropped,
            not_connected: record.not_connected,
            wrong_caller: record.wrong,
            first_token: Quantiles::from(&record.first),
            whole_answer: Quantiles::from(&record.end),
            between_tokens: Quantiles::from(&record.between),
            refusal: Quantiles::from(&record.refusal),
        }
    }
}

/// Time for each of `count`.
fn share_us(time: Duration, count: u64) -> u64 {
    let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    time_us / count.max(1)
}

/// Count over a time.
fn per_second(count: u64, took: Duration) -> u64 {
    let seconds = took.as_secs_f64().max(1e-9);
    (count as f64 / seconds) as u64
}

/// What the target adds to a direct call, in the same run.
#[derive(Clone, Copy, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct Added {
    pub(super) first_token_p50_us: i64,
    pub(super) first_token_p99_us: i64,
    pub(super) whole_answer_p50_us: i64,
    pub(super) whole_answer_p99_us: i64,
    /// Whole answers a second at the target, over those at the direct address.
    pub(super) throughput_ratio: f64,
    /// Processor time for each request at the target, less that of a direct one.
    pub(super) processor_us_per_request: Option<i64>,
    /// Requests for each second of that added processor time.
    pub(super) requests_per_core_second: Option<u64>,
}

impl Added {
    /// The difference of two phases.
    pub(super) fn between(direct: &PhaseReport, target: &PhaseReport) -> Self {
        let direct_per_second = direct.answered_per_second.max(1) as f64;
        let processor = target
            .processor_us_per_request
            .zip(direct.processor_us_per_request)
            .map(|(target_us, direct_us)| less(target_us, direct_us));
        Self {
            first_token_p50_us: less(target.first_token.p50_us, direct.first_token.p50_us),
            first_token_p99_us: less(target.first_token.p99_us, direct.first_token.p99_us),
            whole_answer_p50_us: less(target.whole_answer.p50_us, direct.whole_answer.p50_us),
            whole_answer_p99_us: less(target.whole_answer.p99_us, direct.whole_answer.p99_us),
            throughput_ratio: target.answered_per_second as f64 / direct_per_second,
            processor_us_per_request: processor,
            requests_per_core_second: processor
                .and_then(|added_us| u64::try_from(added_us).ok())
                .and_then(|added_us| MICROSECONDS_PER_SECOND.checked_div(added_us)),
        }
    }
}

fn less(target_us: u64, direct_us: u64) -> i64 {
    let signed = |time_us: u64| i64::try_from(time_us).unwrap_or(i64::MAX);
    signed(target_us) - signed(direct_us)
}

/// What came of a run.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize)]
pub(super) struct Report {
    pub(super) run_id: String,
    pub(super) target: PhaseReport,
    pub(super) direct: Option<PhaseReport>,
    pub(super) added: Option<Added>,
    /// How often each fault was brought about.
    pub(super) faults: Option<BTreeMap<&'static str, u64>>,
    pub(super) truth: Option<Truth>,
}

impl Report {
    /// The promises that the run found broken.
    pub(super) fn broken_promises(&self) -> Vec<String> {
        let truth = self.truth.clone().unwrap_or_default();
        let counts = [
            ("cut short", self.target.cut_short),
            ("dropped", self.target.dropped),
            ("answered to the wrong caller", self.target.wrong_caller),
            ("run twice", truth.run_twice),
            ("said not run but run", truth.not_run_but_run),
            ("answered but not run", truth.answered_but_not_run),
            ("memory overcommitted", truth.overcommits),
        ];
        let broken = counts.into_iter().filter(|(_, count)| *count > 0);
        broken
            .map(|(name, count)| format!("{count} {name}"))
            .collect()
    }
}
