//! Deadline-based admission: refuses requests that are not expected to meet their deadline.

use crate::request::{Candidate, ReplicaReadiness};
use radishpin_protocol::prelude::*;

/// Lower bound of the retry-after hint, before jitter.
const RETRY_AFTER_MIN: Duration = Duration::from_secs(1);
/// Upper bound of the retry-after hint, before jitter; jitter can nearly double the hint.
const RETRY_AFTER_MAX: Duration = Duration::from_secs(120);

/// Divides the mean wait to get the margin that is added to it. Call durations vary, and the queue
/// of an overloaded endpoint stays at the admission limit, so without a margin every second
/// admitted request would miss its deadline.
const WAIT_MARGIN_DIVISOR: u32 = 2;

/// Refusal of a request that would miss its deadline; the request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmissionRefusal {
    /// Time after which the caller may retry, from now.
    pub retry_after: Duration,
}

/// Estimated time until an attempt would start at the candidate: the remaining load time of the
/// model plus the wait behind earlier calls.
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

/// Admits a request if `estimate`, its wait plus service time, fits into the time left to its
/// deadline.
///
/// # Errors
/// [`AdmissionRefusal`] otherwise, with a retry-after hint that is jittered by `random`.
pub fn admit(estimate: Duration, remaining: Duration, random: u64) -> Result<(), AdmissionRefusal> {
    if estimate <= remaining {
        return Ok(());
    }
    let retry_after = retry_after(estimate.saturating_sub(remaining), random);
    Err(AdmissionRefusal { retry_after })
}

/// Retry-after hint for a refused caller, jittered by `random`. `excess` is the estimated time
/// until enough earlier work has completed.
pub fn retry_after(excess: Duration, random: u64) -> Duration {
    let base = excess.clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX);
    let jitter_ms = u64::try_from(base.as_millis()).unwrap_or(u64::MAX).max(1);
    base + Duration::from_millis(random % jitter_ms)
}

/// Estimated wait of a new call behind `outstanding` running and queued calls at an endpoint that
/// runs `concurrency` calls at once, with a safety margin. Zero while a slot is free.
pub fn queue_wait(outstanding: u32, concurrency: u32, service_time: Duration) -> Duration {
    let slots = concurrency.max(1);
    if outstanding < slots {
        return Duration::ZERO;
    }
    let completions_needed = outstanding - slots + 1;
    let mean_wait = service_time.saturating_mul(completions_needed) / slots;
    mean_wait.saturating_add(mean_wait / WAIT_MARGIN_DIVISOR)
}
