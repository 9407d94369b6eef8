//! Refusals of requests that have not run, with the time after which their callers may retry.

use super::FIRST_TOKEN_LATENCY;
use radishpin_protocol::prelude::*;

/// Retry-After base when the gateway is stopping: by then callers should reach another one.
const STOPPING_RETRY: Duration = Duration::from_millis(300);
/// Retry-After base when no endpoint can take the request: by then one may be back.
pub(super) const ABSENT_RETRY: Duration = Duration::from_millis(1_000);

/// Retry-After base when the memory budget is used up: by then a large body has been served or has given way.
const MEMORY_RETRY: Duration = Duration::from_millis(1_500);

/// Why a request is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RefusalReason {
    /// The service has no endpoint that can be reached.
    NoEndpoint,
    /// The cheapest endpoint that could serve it is full.
    Busy,
    /// No load would finish before the caller leaves.
    LoadTooLate,
    /// No endpoint can load the model or adapter, or the wait for an adapter was too long.
    NoLoader,
    /// The service does not offer the model.
    UnknownModel,
    /// No endpoint runs the software version that began the stream.
    VersionGone,
    /// The software version that began the stream is not known.
    VersionUnknown,
    /// The endpoints that could serve it state limits, and their next slots come too late.
    Limited,
    /// The endpoints that could serve it asked for backoffs.
    EndpointBackoff,
    /// Engines crashed under a part of its prompt.
    CrashingPrompt,
    /// Endpoints crashed under the request.
    CrashingRequest,
    /// The customer is over its quota.
    OverQuota,
    /// No endpoint has a free slot, and the customer is over its share of them.
    OverShare,
    /// The gateway has no memory for its body.
    NoMemory,
    /// The gateway is stopping and cannot serve it in time.
    Stopping,
    /// It needs a customer's key and carries none.
    KeyMissing,
    /// It needs a customer's key and carries several, an empty one, or something else.
    KeyMalformed,
    /// No customer holds its key.
    KeyUnknown,
    /// No customer holds its key as far as is known, but the store does not answer.
    KeyUnconfirmed,
    /// Another customer holds its key since it was admitted.
    KeyMoved,
    /// The configuration has not been confirmed for so long that its keys may have been revoked.
    ConfigurationOutdated,
}

impl RefusalReason {
    /// Name for log fields and metric labels.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoEndpoint => "no_endpoint",
            Self::Busy => "busy",
            Self::LoadTooLate => "load_too_late",
            Self::NoLoader => "no_loader",
            Self::UnknownModel => "unknown_model",
            Self::VersionGone => "version_gone",
            Self::VersionUnknown => "version_unknown",
            Self::Limited => "limited",
            Self::EndpointBackoff => "endpoint_backoff",
            Self::CrashingPrompt => "crashing_prompt",
            Self::CrashingRequest => "crashing_request",
            Self::OverQuota => "over_quota",
            Self::OverShare => "over_share",
            Self::NoMemory => "no_memory",
            Self::Stopping => "stopping",
            Self::KeyMissing => "key_missing",
            Self::KeyMalformed => "key_malformed",
            Self::KeyUnknown => "key_unknown",
            Self::KeyUnconfirmed => "key_unconfirmed",
            Self::KeyMoved => "key_moved",
            Self::ConfigurationOutdated => "configuration_outdated",
        }
    }

    /// Whether the request carries no valid key, so that a retry is in vain.
    pub fn is_unauthorized(self) -> bool {
        matches!(
            self,
            Self::KeyMissing | Self::KeyMalformed | Self::KeyUnknown
        )
    }
}

/// Refusal of a request that has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request is refused.
    pub reason: RefusalReason,
    /// Time after which the caller may retry, with jitter.
    pub retry_after: Duration,
    /// Endpoint that meanwhile loads what the request needs, if any.
    pub loads_at: Option<EndpointId>,
}

impl Refusal {
    pub(super) fn new(reason: RefusalReason, base: Duration, random: u64) -> Self {
        /// Divisor of the base that gives the largest jitter.
        const JITTER_DIVISOR: u64 = 2;
        let base_ms = u64::try_from(base.as_millis()).unwrap_or(u64::MAX);
        let jitter_ms = random % (base_ms / JITTER_DIVISOR).max(1);
        Self {
            reason,
            retry_after: base + Duration::from_millis(jitter_ms),
            loads_at: None,
        }
    }

    /// Creates the refusal of a gateway that is stopping.
    pub fn stopping(random: u64) -> Self {
        Self::new(RefusalReason::Stopping, STOPPING_RETRY, random)
    }

    /// Creates the refusal of a request for whose body there is no memory.
    pub fn no_memory(random: u64) -> Self {
        Self::new(RefusalReason::NoMemory, MEMORY_RETRY, random)
    }

    /// Creates the refusal of a request by the check of its key.
    pub fn access(reason: RefusalReason, random: u64) -> Self {
        Self::new(reason, ABSENT_RETRY, random)
    }

    /// Creates the refusal of a stream that began at an unknown software version, which may be
    /// known in `known_in`.
    pub fn version_unknown(known_in: Option<Duration>, random: u64) -> Self {
        let base = known_in.unwrap_or(ABSENT_RETRY);
        Self::new(RefusalReason::VersionUnknown, base, random)
    }

    /// Creates the refusal of a request with a prompt part that crashes engines, which may be tried
    /// again in `trial_in`.
    pub fn crashing_prompt(trial_in: Duration, random: u64) -> Self {
        let base = trial_in.max(ABSENT_RETRY);
        Self::new(RefusalReason::CrashingPrompt, base, random)
    }

    /// Creates the refusal of a request that crashes endpoints, which may be tried again in `trial_in`.
    pub fn crashing_request(trial_in: Duration, random: u64) -> Self {
        /// Longest time that its caller is told; the next software version may run it well sooner.
        const RETRY_MAX: Duration = Duration::from_secs(3_600);
        let base = trial_in.clamp(ABSENT_RETRY, RETRY_MAX);
        Self::new(RefusalReason::CrashingRequest, base, random)
    }

    /// Creates the refusal of a request whose customer has credit again in `credit_in`.
    pub fn over_quota(credit_in: Duration, random: u64) -> Self {
        Self::new(RefusalReason::OverQuota, credit_in, random)
    }

    /// Creates the refusal of a request whose endpoints asked for backoffs, the first of which ends in
    /// `free_in`.
    pub fn endpoint_backoff(free_in: Duration, random: u64) -> Self {
        Self::new(RefusalReason::EndpointBackoff, free_in, random)
    }

    /// Creates a refusal whose caller should retry once the load at `endpoint` is done.
    ///
    /// The jitter is short because the loaded model can serve all waiting callers.
    pub(super) fn until_loaded(endpoint: EndpointId, estimate: Duration, random: u64) -> Self {
        /// Largest jitter in milliseconds.
        const MAX_JITTER_MS: u64 = 250;
        Self {
            reason: RefusalReason::LoadTooLate,
            retry_after: estimate
                + FIRST_TOKEN_LATENCY
                + Duration::from_millis(random % MAX_JITTER_MS),
            loads_at: Some(endpoint),
        }
    }
}
