//! Counts and latencies of a phase, in shards that callers record into.

use super::{
    outcome::{Measured, Outcome, Refused},
    plan::Planned,
};
use hdrhistogram::{CreationError, Histogram};
use parking_lot::Mutex;
use radishpin_protocol::{Ran, RequestId};
use std::{collections::BTreeMap, time::Duration};

/// Locks over which records are spread.
const SHARDS: usize = 16;
/// Shortest and longest time that is told apart.
const RANGE_US: (u64, u64) = (1, 3_600_000_000);
/// Significant digits of times.
const DIGITS: u8 = 3;

/// Times in microseconds.
#[derive(Clone, Debug)]
pub(super) struct Times {
    histogram: Histogram<u64>,
}

impl Times {
    fn new() -> Result<Self, CreationError> {
        let histogram = Histogram::new_with_bounds(RANGE_US.0, RANGE_US.1, DIGITS)?;
        Ok(Self { histogram })
    }

    fn record(&mut self, time: Duration) {
        let time_us = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.histogram.saturating_record(time_us.max(RANGE_US.0));
    }

    /// How many were recorded.
    pub(super) fn count(&self) -> u64 {
        self.histogram.len()
    }

    /// The time that this share of the records does not exceed.
    pub(super) fn quantile_us(&self, quantile: f64) -> u64 {
        self.histogram.value_at_quantile(quantile)
    }

    /// The longest time.
    pub(super) fn max_us(&self) -> u64 {
        self.histogram.max()
    }
}

/// What the answers to the calls with one key say, all together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum KeyClaim {
    /// The call ran, and was answered whole.
    Whole,
    /// The call did not run.
    NotRun,
    /// Nothing certain.
    Open,
}

/// What the answers say about running, to be checked against the journals.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Claims {
    /// Requests that were answered "not run", with the name of the code.
    pub(super) not_run: BTreeMap<RequestId, String>,
    /// What was said of each key.
    pub(super) keys: BTreeMap<String, KeyClaim>,
}

impl Claims {
    fn take(&mut self, planned: &Planned, outcome: &Outcome) {
        let said = match outcome {
            Outcome::Whole => KeyClaim::Whole,
            Outcome::Refused(refused) if refused.ran == Some(Ran::No) => {
                self.not_run
                    .insert(refused.request_id.clone(), refused.name.clone());
                KeyClaim::NotRun
            }
            Outcome::NotConnected => KeyClaim::NotRun,
            _ => KeyClaim::Open,
        };
        if !planned.is_keyed() {
            return;
        }
        // "Not run" speaks of one call; an earlier one with the same key may have run.
        let known = self.keys.entry(planned.marker.clone()).or_insert(said);
        if said != KeyClaim::NotRun {
            *known = said;
        }
    }
}

/// Counts and times.
#[derive(Clone, Debug)]
pub(super) struct Record {
    pub(super) sent: u64,
    pub(super) not_sent: u64,
    pub(super) whole: u64,
    pub(super) refused: BTreeMap<String, u64>,
    pub(super) unknown: u64,
    pub(super) unsaid: u64,
    pub(super) cut: u64,
    pub(super) dropped: u64,
    pub(super) not_connected: u64,
    pub(super) wrong: u64,
    pub(super) first: Times,
    pub(super) end: Times,
    pub(super) refusal: Times,
    pub(super) between: Times,
    pub(super) claims: Claims,
}

impl Record {
    fn new() -> Result<Self, CreationError> {
        Ok(Self {
            sent: 0,
            not_sent: 0,
            whole: 0,
            refused: BTreeMap::new(),
            unknown: 0,
            unsaid: 0,
            cut: 0,
            dropped: 0,
            not_connected: 0,
            wrong: 0,
            first: Times::new()?,
            end: Times::new()?,
            refusal: Times::new()?,
            between: Times::new()?,
            claims: Claims::default(),
        })
    }

    fn take(&mut self, planned: &Planned, measured: &Measured) {
        self.sent += 1;
        self.claims.take(planned, &measured.outcome);
        match &measured.outcome {
            Outcome::Whole => self.answered(measured),
            Outcome::Refused(refused) => {
                self.refusal.record(measured.end);
                self.refused(refused);
            }
            Outcome::Broken(refused) => self.refused(refused),
            Outcome::Cut => self.cut += 1,
            Outcome::Dropped => self.dropped += 1,
            Outcome::NotConnected => self.not_connected += 1,
            Outcome::Wrong => self.wrong += 1,
        }
    }

    fn answered(&mut self, measured: &Measured) {
        self.whole += 1;
        self.end.record(measured.end);
        if let Some(first) = measured.first {
            self.first.record(first);
        }
        for gap in &measured.gaps {
            self.between.record(*gap);
        }
    }

    fn refused(&mut self, refused: &Refused) {
        *self.refused.entry(refused.name.clone()).or_default() += 1;
        match refused.ran {
            Some(Ran::No) => {}
            Some(Ran::Unknown) => self.unknown += 1,
            None => self.unsaid += 1,
        }
    }

    fn merge(&mut self, other: &Self) {
        self.sent += other.sent;
        self.not_sent += other.not_sent;
        self.whole += other.whole;
        self.unknown += other.unknown;
        self.unsaid += other.unsaid;
        self.cut += other.cut;
        self.dropped += other.dropped;
        self.not_connected += other.not_connected;
        self.wrong += other.wrong;
        for (name, count) in &other.refused {
            *self.refused.entry(name.clone()).or_default() += count;
        }
        self.first.histogram += &other.first.histogram;
        self.end.histogram += &other.end.histogram;
        self.refusal.histogram += &other.refusal.histogram;
        self.between.histogram += &other.between.histogram;
        let claims = other.claims.clone();
        self.claims.not_run.extend(claims.not_run);
        self.claims.keys.extend(claims.keys);
    }
}

/// Records of all callers of a phase.
#[derive(Debug)]
pub(super) struct Recorder {
    shards: Vec<Mutex<Record>>,
}

impl Recorder {
    /// A recorder of nothing.
    ///
    /// # Errors
    /// The histograms' range is not valid.
    pub(super) fn new() -> Result<Self, CreationError> {
        let shards = (0..SHARDS).map(|_| Record::new().map(Mutex::new));
        Ok(Self {
            shards: shards.collect::<Result<_, _>>()?,
        })
    }

    /// Records what became of a request; `number` spreads the callers over the shards.
    pub(super) fn take(&self, number: u64, planned: &Planned, measured: &Measured) {
        self.shard(number).lock().take(planned, measured);
    }

    /// Records a request that was due but not sent, as too many were on their way.
    pub(super) fn not_sent(&self) {
        self.shard(0).lock().not_sent += 1;
    }

    /// All records together.
    ///
    /// # Errors
    /// The histograms' range is not valid.
    pub(super) fn finish(&self) -> Result<Record, CreationError> {
        let mut all = Record::new()?;
        for shard in &self.shards {
            all.merge(&shard.lock());
        }
        Ok(all)
    }

    fn shard(&self, number: u64) -> &Mutex<Record> {
        let index = usize::try_from(number % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }
}
