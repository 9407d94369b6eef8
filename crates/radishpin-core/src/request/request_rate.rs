//! Limits on requests a second that endpoints state in their answers.

use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of requests a second, in thousandths.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestRate {
    per_1000_s: u32,
}

impl RequestRate {
    /// Largest rate, in requests a second; larger ones are cut down to it.
    pub const MAX_PER_S: u32 = 1_000_000;

    /// Creates a rate from requests a second; `None` unless it is a finite number that is not negative.
    pub fn from_per_s(per_s: f64) -> Option<Self> {
        if !per_s.is_finite() || per_s.is_sign_negative() && per_s != 0.0 {
            return None;
        }
        let per_1000_s = (per_s.min(f64::from(Self::MAX_PER_S)) * 1_000.0).round() as u32;
        Some(Self { per_1000_s })
    }

    /// Time between two requests at this rate; `longest` at the most, so that even a rate of 0 lets a
    /// request pass now and then.
    pub fn interval(self, longest: Duration) -> Duration {
        const NANOS_PER_1000_S: u64 = 1_000_000_000_000;
        let interval = NANOS_PER_1000_S.checked_div(self.per_1000_s.into());
        interval.map_or(longest, |nanos| Duration::from_nanos(nanos).min(longest))
    }

    /// This rate divided between `count` processes.
    pub fn divided(self, count: u32) -> Self {
        Self {
            per_1000_s: self.per_1000_s / count.max(1),
        }
    }
}

impl fmt::Display for RequestRate {
    /// Writes requests a second, with three decimals.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{:03}",
            self.per_1000_s / 1_000,
            self.per_1000_s % 1_000
        )
    }
}

/// What an answer states about the limit of its endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitStatement {
    /// The endpoint takes this many requests a second, from all gateways together.
    Limited(RequestRate),
    /// It states no limit.
    Unlimited,
    /// It states something that cannot be read.
    Unreadable,
}
