//! Software versions that began streams, so that callers can resume their streams at any gateway.

use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Time for which the origin of a stream is kept; longer than callers wait for an answer.
pub const ORIGIN_LIFETIME: Duration = Duration::from_secs(60);
/// Largest number of origins that are kept; beyond it the oldest are dropped.
pub const ORIGINS_MAX: usize = 16_384;

/// Software version of the endpoint that a caller's attempt at a stream was sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Id of the caller's attempt.
    pub attempt: RequestId,
    /// Number of the send within the attempt, from 1; a later one replaces the origin.
    pub send: AttemptNumber,
    /// Version of that endpoint; `None` if it was not known.
    pub software_version: Option<SoftwareVersion>,
}

/// Origins of recent streams by the attempt that began them.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    by_attempt: BTreeMap<RequestId, Entry>,
    /// Attempts in the order of their last record, some of them replaced since.
    by_age: VecDeque<(Duration, RequestId)>,
}

#[derive(Clone, Debug)]
struct Entry {
    origin: StreamOrigin,
    recorded_at: Duration,
}

impl StreamOrigins {
    /// Records an origin; one of an earlier send of the same attempt is ignored.
    pub fn record(&mut self, origin: StreamOrigin, now: Duration) {
        self.drop_old(now);
        let known = self.by_attempt.get(&origin.attempt);
        if known.is_some_and(|known| known.origin.send > origin.send) {
            return;
        }
        self.by_age.push_back((now, origin.attempt.clone()));
        let entry = Entry {
            origin,
            recorded_at: now,
        };
        self.by_attempt.insert(entry.origin.attempt.clone(), entry);
    }

    /// The origin of the stream that an attempt began; `None` if it is not known, or no longer.
    pub fn find(&self, attempt: &str, now: Duration) -> Option<&StreamOrigin> {
        let entry = self.by_attempt.get(attempt)?;
        (now.saturating_sub(entry.recorded_at) < ORIGIN_LIFETIME).then_some(&entry.origin)
    }

    /// Number of origins that are kept.
    pub fn len(&self) -> usize {
        self.by_attempt.len()
    }

    /// Whether no origin is kept.
    pub fn is_empty(&self) -> bool {
        self.by_attempt.is_empty()
    }

    fn drop_old(&mut self, now: Duration) {
        while let Some((recorded_at, _)) = self.by_age.front() {
            let expired = now.saturating_sub(*recorded_at) >= ORIGIN_LIFETIME;
            if !expired && self.by_age.len() < ORIGINS_MAX {
                return;
            }
            if let Some((recorded_at, attempt)) = self.by_age.pop_front() {
                self.drop_recorded(&attempt, recorded_at);
            }
        }
    }

    /// Drops an origin unless it was recorded again since.
    fn drop_recorded(&mut self, attempt: &str, recorded_at: Duration) {
        let entry = self.by_attempt.get(attempt);
        if entry.is_some_and(|entry| entry.recorded_at == recorded_at) {
            self.by_attempt.remove(attempt);
        }
    }
}
