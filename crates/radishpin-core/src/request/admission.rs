//! Whether a request can be served in time, by estimate.

use crate::request::{Candidate, ReplicaReadiness};
use radishpin_protocol::prelude::*;

/// Shortest time after which a refused caller is told to come back.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Longest time after which a refused caller is told to come back.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(120);

/// The mean wait has half as much again added: calls vary in length, and a queue under overload
/// always stands at the limit, where without a margin every other admission would come too late.
const WAIT_MARGIN_DIVISOR: u32 = 2;

/// The request cannot be served in time; it was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// When the caller may come back.
    pub retry_after: Duration,
}

/// Time until an attempt would start at the candidate: the load, then the calls before it.
pub fn estimate_wait(candidate: &Candidate) -> Duration {
    let load = match candidate.replica {
        ReplicaReadiness::Loaded => Duration::ZERO,
        ReplicaReadiness::Loading { remaining } => remaining,
        ReplicaReadiness::Granted { .. } => candidate.load_time,
    };
    let queue = queue_wait(
        candidate.outstanding,
        candidate.concurrency,
        candidate.service_time,
    );
    load.saturating_add(queue)
}

/// Admits a request whose estimate (wait and service) fits into the time that remains.
///
/// # Errors
/// [`AdmissionRefusal`], to be answered at once; `random` spreads the callers that come back.
pub fn admit(estimate: Duration, remaining: Duration, random: u64) -> Result<(), AdmissionRefusal> {
    if estimate <= remaining {
        return Ok(());
    }
    let retry_after = retry_after(estimate.saturating_sub(remaining), random);
    Err(AdmissionRefusal { retry_after })
}

/// When a caller that was refused may come back, where the excess of work takes `excess` to go.
pub fn retry_after(excess: Duration, random: u64) -> Duration {
    let base = excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let spread_ms = u64::try_from(base.as_millis()).unwrap_or(u64::MAX).max(1);
    base + Duration::from_millis(random % spread_ms)
}

/// Time within which one more call very likely finds a place among `concurrency`, behind
/// `outstanding` calls that run or wait before it.
pub fn queue_wait(outstanding: u32, concurrency: u32, service_time: Duration) -> Duration {
    let places = concurrency.max(1);
    if outstanding < places {
        return Duration::ZERO;
    }
    let ends_needed = outstanding - places + 1;
    let mean = service_time.saturating_mul(ends_needed) / places;
    mean.saturating_add(mean / WAIT_MARGIN_DIVISOR)
}
