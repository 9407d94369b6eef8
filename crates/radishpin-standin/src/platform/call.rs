//! Verdict on each call to the platform: served, refused, or lost.

use super::faults::{Counts, Faults, Outage, SecondCounts};
use crate::rate::Rate;
use radishpin_platform::PlatformError;
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::time::Duration;

/// Seconds of calls that the counts remember.
const SECONDS_KEPT: usize = 3_600;

/// What a call does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    /// Reads a row, a listing, an object or the hosts.
    Read,
    /// Writes an object.
    Write,
    /// Commits rows.
    Commit,
}

/// What becomes of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It takes effect and is answered.
    Serve,
    /// It has no effect and is answered so.
    Refuse(PlatformError),
    /// It has no effect and no answer.
    Silent,
    /// It has no effect, and the connection breaks.
    LoseRequest,
    /// It takes effect, and the connection breaks.
    LoseReply,
}

/// Faults, limits and counts.
#[derive(Debug)]
pub(super) struct Gate {
    faults: Faults,
    reads: Option<Rate>,
    writes: Option<Rate>,
    counts: Counts,
    random: ChaCha8Rng,
}

impl Gate {
    pub(super) fn new(seed: u64, now: Duration) -> Self {
        let mut gate = Self {
            faults: Faults::default(),
            reads: None,
            writes: None,
            counts: Counts::default(),
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        gate.set_faults(Faults::default(), now);
        gate
    }

    pub(super) fn set_faults(&mut self, faults: Faults, now: Duration) {
        if faults.reads_per_second != self.faults.reads_per_second {
            self.reads = rate(faults.reads_per_second, now);
        }
        if faults.writes_per_second != self.faults.writes_per_second {
            self.writes = rate(faults.writes_per_second, now);
        }
        self.faults = faults;
    }

    pub(super) fn faults(&self) -> Faults {
        self.faults.clone()
    }

    pub(super) fn counts(&self) -> Counts {
        self.counts.clone()
    }

    pub(super) fn latency(&self) -> Duration {
        Duration::from_millis(self.faults.latency_ms)
    }

    pub(super) fn judge(&mut self, kind: CallKind, now: Duration) -> Verdict {
        self.count_arrival(kind, now);
        match self.faults.outage {
            Outage::None => {}
            Outage::Refusing => {
                self.counts.unavailable += 1;
                return Verdict::Refuse(PlatformError::Unavailable("outage".into()));
            }
            Outage::Silent => {
                self.counts.unavailable += 1;
                return Verdict::Silent;
            }
        }
        if !self.within_rate(kind, now) {
            self.counts.rate_limited += 1;
            return Verdict::Refuse(PlatformError::RateLimited);
        }
        self.serve(kind)
    }

    fn serve(&mut self, kind: CallKind) -> Verdict {
        if kind == CallKind::Commit && take_one(&mut self.faults.lose_commit_requests) {
            self.counts.lost += 1;
            return Verdict::LoseRequest;
        }
        match kind {
            CallKind::Read => self.counts.reads += 1,
            CallKind::Write | CallKind::Commit => self.counts.writes += 1,
        }
        if kind == CallKind::Commit && self.loses_reply() {
            self.counts.lost += 1;
            return Verdict::LoseReply;
        }
        Verdict::Serve
    }

    fn loses_reply(&mut self) -> bool {
        if take_one(&mut self.faults.lose_commit_replies) {
            return true;
        }
        let percent = self.faults.lose_reply_percent;
        percent > 0 && self.random.random_range(0..100) < percent
    }

    fn within_rate(&mut self, kind: CallKind, now: Duration) -> bool {
        let rate = match kind {
            CallKind::Read => &mut self.reads,
            CallKind::Write | CallKind::Commit => &mut self.writes,
        };
        rate.as_mut().is_none_or(|rate| rate.take(now))
    }

    fn count_arrival(&mut self, kind: CallKind, now: Duration) {
        let second = now.as_secs();
        let seconds = &mut self.counts.seconds;
        if seconds.last().is_none_or(|last| last.second != second) {
            seconds.push(SecondCounts {
                second,
                ..SecondCounts::default()
            });
        }
        if seconds.len() > SECONDS_KEPT {
            seconds.remove(0);
        }
        if let Some(last) = seconds.last_mut() {
            match kind {
                CallKind::Read => last.reads += 1,
                CallKind::Write | CallKind::Commit => last.writes += 1,
            }
        }
    }
}

fn rate(per_second: Option<u32>, now: Duration) -> Option<Rate> {
    per_second.map(|per_second| Rate::new(f64::from(per_second), now))
}

fn take_one(left: &mut u32) -> bool {
    if *left == 0 {
        return false;
    }
    *left -= 1;
    true
}
