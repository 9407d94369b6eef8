//! Switches for the platform's faults, and the counts of its calls.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether the platform answers at all.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Outage {
    /// It answers.
    #[default]
    None,
    /// It refuses every call at once.
    Refusing,
    /// It answers no call; calls have no effect.
    Silent,
}

/// Faults of the platform; the default has none.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether it answers at all.
    pub outage: Outage,
    /// Time added to every call, in real time.
    pub latency_ms: u64,
    /// Limit on commits and object writes a second.
    pub writes_per_second: Option<u32>,
    /// Limit on reads a second.
    pub reads_per_second: Option<u32>,
    /// Commits to come whose reply is lost after the effect.
    pub lose_commit_replies: u32,
    /// Commits to come that are lost before the effect, with an unknown outcome.
    pub lose_commit_requests: u32,
    /// Share of commits whose reply is lost, in percent, drawn from the seed.
    pub lose_reply_percent: u8,
    /// Time after which the host list shows a change.
    pub hosts_lag_ms: u64,
}

impl Faults {
    /// Time after which the host list shows a change.
    pub fn hosts_lag(&self) -> Duration {
        Duration::from_millis(self.hosts_lag_ms)
    }
}

/// Calls that reached the platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Counts {
    /// Reads served.
    pub reads: u64,
    /// Commits and object writes served.
    pub writes: u64,
    /// Calls refused by a rate limit.
    pub rate_limited: u64,
    /// Calls refused or left unanswered in an outage.
    pub unavailable: u64,
    /// Replies and requests lost.
    pub lost: u64,
    /// Calls in each second since the start, the most recent last.
    pub seconds: Vec<SecondCounts>,
}

/// Calls that arrived in one second, served or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SecondCounts {
    /// Number of the second since the start.
    pub second: u64,
    /// Reads.
    pub reads: u64,
    /// Commits and object writes.
    pub writes: u64,
}
