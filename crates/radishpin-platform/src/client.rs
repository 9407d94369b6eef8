//! Platform client with timeouts, retries, a circuit breaker and rate limiters.

mod commit;
mod limits;
mod sweep;

pub use commit::Settled;
pub use sweep::OperationSweep;

use crate::{
    Backoff, BreakerSettings, BudgetSettings, CallError, Cause, HostEntry, Listing, OperationId,
    Platform, PlatformError, PlatformMetrics, Row,
};
use limits::CallLimits;
use radishpin_protocol::Version;
use std::{future::Future, sync::Arc, time::Duration};

/// Timeouts, retry limits and breaker thresholds of a [`PlatformClient`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClientSettings {
    /// Timeout of one attempt.
    pub attempt_timeout: Duration,
    /// Time since the start of a call after which no further attempt starts.
    pub call_timeout: Duration,
    /// Maximum number of attempts of one call, including the first.
    pub max_attempts: u32,
    /// Maximum number of retries of a call that exceeded the platform's rate limit; `max_attempts`
    /// applies as well.
    pub max_rate_limit_retries: u32,
    /// Delays between the attempts of one call.
    pub backoff: Backoff,
    /// Retry budget shared by all calls of the client.
    pub budget: BudgetSettings,
    /// Circuit breaker shared by all calls of the client.
    pub breaker: BreakerSettings,
}

impl Default for ClientSettings {
    fn default() -> Self {
        Self {
            attempt_timeout: Duration::from_secs(1),
            call_timeout: Duration::from_secs(5),
            max_attempts: 4,
            max_rate_limit_retries: 1,
            backoff: Backoff {
                base: Duration::from_millis(50),
                cap: Duration::from_secs(1),
            },
            budget: BudgetSettings::default(),
            breaker: BreakerSettings::default(),
        }
    }
}

/// Client of the platform; clones share the retry budget, the breaker and the rate limiters.
#[derive(Clone)]
pub struct PlatformClient {
    shared: Arc<Shared>,
}

struct Shared {
    platform: Arc<dyn Platform>,
    settings: ClientSettings,
    metrics: PlatformMetrics,
    limits: CallLimits,
}

/// Operation of the platform that a call uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallKind {
    Get,
    List,
    Commit,
    PutObject,
    GetObject,
    Hosts,
}

/// Failure of one attempt.
#[derive(Clone, Debug, PartialEq, Eq)]
struct AttemptFailure {
    cause: Cause,
    /// Whether the call may have taken effect, or may do so later.
    may_have_taken_effect: bool,
    /// Time to wait before another attempt can succeed; zero if unknown.
    retry_after: Duration,
}

/// Progress of one call over its attempts.
struct Attempts {
    kind: CallKind,
    started: Duration,
    retries: u32,
}

impl PlatformClient {
    /// Creates a client of `platform`.
    ///
    /// `seed` seeds the jitter and is the prefix of the operation ids, so every process must use a
    /// different one.
    pub fn new(
        platform: Arc<dyn Platform>,
        settings: ClientSettings,
        metrics: PlatformMetrics,
        seed: u64,
    ) -> Self {
        let limits = CallLimits::new(&settings, seed);
        let shared = Shared {
            platform,
            settings,
            metrics,
            limits,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Reads a row; an absent row is returned with version 0 and no value.
    ///
    /// # Errors
    /// [`CallError::Refused`] if no attempt succeeded.
    pub async fn get(&self, key: &str) -> Result<Row, CallError> {
        let platform = &self.shared.platform;
        self.call_with_retries(CallKind::Get, || platform.get(key))
            .await
    }

    /// Lists the rows under `prefix` that were written after version `since`, including deleted
    /// ones.
    ///
    /// # Errors
    /// [`CallError::Refused`] if no attempt succeeded.
    pub async fn list(&self, prefix: &str, since: Version) -> Result<Listing, CallError> {
        let platform = &self.shared.platform;
        self.call_with_retries(CallKind::List, || platform.list(prefix, since))
            .await
    }

    /// Reads an object; `None` if there is none with this key.
    ///
    /// # Errors
    /// [`CallError::Refused`] if no attempt succeeded.
    pub async fn get_object(&self, key: &str) -> Result<Option<Vec<u8>>, CallError> {
        let platform = &self.shared.platform;
        self.call_with_retries(CallKind::GetObject, || platform.get_object(key))
            .await
    }

    /// Stores an object. An attempt with an unknown outcome is retried, because writing the same
    /// value again is idempotent.
    ///
    /// # Errors
    /// [`CallError::Refused`] if it was not stored, [`CallError::Unknown`] if it may have been; the
    /// operation id of the latter is empty and cannot be settled.
    pub async fn put_object(&self, key: &str, value: &[u8]) -> Result<(), CallError> {
        let platform = &self.shared.platform;
        self.call_with_retries(CallKind::PutObject, || platform.put_object(key, value))
            .await
    }

    /// Reads the platform's host list, which may lag behind the actual hosts.
    ///
    /// # Errors
    /// [`CallError::Refused`] if no attempt succeeded.
    pub async fn hosts(&self) -> Result<Vec<HostEntry>, CallError> {
        let platform = &self.shared.platform;
        self.call_with_retries(CallKind::Hosts, || platform.hosts())
            .await
    }

    /// Returns a random number between 0 and 1, for jitter in the loops that use the client.
    pub fn random(&self) -> f64 {
        self.shared.limits.random()
    }

    /// Metrics that the client updates, as passed to [`Self::new`].
    pub fn metrics(&self) -> &PlatformMetrics {
        &self.shared.metrics
    }

    /// Sends an idempotent call until it succeeds or no further retry is allowed.
    async fn call_with_retries<T, F>(
        &self,
        kind: CallKind,
        call: impl Fn() -> F,
    ) -> Result<T, CallError>
    where
        F: Future<Output = Result<T, PlatformError>>,
    {
        let mut attempts = self.start_attempts(kind);
        let mut may_have_taken_effect = false;
        loop {
            let failure = match self.attempt(&attempts, call()).await {
                Ok(value) => return Ok(value),
                Err(failure) => failure,
            };
            may_have_taken_effect |= failure.may_have_taken_effect && kind.is_write();
            if self.wait_for_retry(&mut attempts, &failure).await {
                continue;
            }
            return Err(if may_have_taken_effect {
                failure.into_unknown(OperationId::new())
            } else {
                failure.into_refused()
            });
        }
    }

    fn start_attempts(&self, kind: CallKind) -> Attempts {
        let started = self.shared.limits.now();
        self.shared.limits.deposit();
        Attempts {
            kind,
            started,
            retries: 0,
        }
    }

    /// Sends one attempt, subject to the breaker, the rate limiter and the attempt timeout.
    async fn attempt<T>(
        &self,
        attempts: &Attempts,
        call: impl Future<Output = Result<T, PlatformError>>,
    ) -> Result<T, AttemptFailure> {
        let shared = &self.shared;
        let max_wait = self.time_left(attempts);
        let wait = shared
            .limits
            .admit(attempts.kind, max_wait, &shared.metrics)?;
        if !wait.is_zero() {
            smol::Timer::after(wait).await;
        }
        let answer = radishpin_runtime::timeout(shared.settings.attempt_timeout, call).await;
        let result = match answer {
            Some(Ok(value)) => Ok(value),
            Some(Err(error)) => Err(AttemptFailure::from(error)),
            None => Err(AttemptFailure::timeout()),
        };
        let cause = result.as_ref().err().map(|failure| &failure.cause);
        shared
            .limits
            .record_result(attempts.kind, cause, &shared.metrics);
        shared
            .metrics
            .record_call(attempts.kind.name(), cause.map_or("ok", Cause::name));
        result
    }

    /// Waits for the backoff delay before the next attempt; returns false if no retry is allowed.
    async fn wait_for_retry(&self, attempts: &mut Attempts, failure: &AttemptFailure) -> bool {
        let shared = &self.shared;
        if attempts.retries >= self.max_retries_after(&failure.cause) {
            return false;
        }
        let delay = shared
            .settings
            .backoff
            .delay(attempts.retries, shared.limits.random());
        if delay >= self.time_left(attempts) {
            return false;
        }
        if !shared.limits.take_retry() {
            shared.metrics.record_refused_retry();
            return false;
        }
        shared
            .metrics
            .record_retry(attempts.kind.name(), &failure.cause);
        attempts.retries += 1;
        smol::Timer::after(delay).await;
        true
    }

    /// Maximum number of retries of a call whose last attempt failed for this cause.
    fn max_retries_after(&self, cause: &Cause) -> u32 {
        let settings = &self.shared.settings;
        let retries = settings.max_attempts.saturating_sub(1);
        match cause {
            Cause::BreakerOpen | Cause::Paced | Cause::Abandoned => 0,
            Cause::Platform(PlatformError::RateLimited) => {
                retries.min(settings.max_rate_limit_retries)
            }
            Cause::Platform(_) | Cause::Timeout => retries,
        }
    }

    fn time_left(&self, attempts: &Attempts) -> Duration {
        let spent = self.shared.limits.now().saturating_sub(attempts.started);
        self.shared.settings.call_timeout.saturating_sub(spent)
    }
}

impl std::fmt::Debug for PlatformClient {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlatformClient")
            .field("settings", &self.shared.settings)
            .finish_non_exhaustive()
    }
}

impl CallKind {
    const fn name(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Commit => "commit",
            Self::PutObject => "put_object",
            Self::GetObject => "get_object",
            Self::Hosts => "hosts",
        }
    }

    /// Whether the platform's rate limit for writes applies, rather than that for reads.
    const fn is_write(self) -> bool {
        matches!(self, Self::Commit | Self::PutObject)
    }
}

impl AttemptFailure {
    fn timeout() -> Self {
        Self {
            cause: Cause::Timeout,
            may_have_taken_effect: true,
            retry_after: Duration::ZERO,
        }
    }

    fn into_refused(self) -> CallError {
        CallError::Refused {
            cause: self.cause,
            retry_after: self.retry_after,
        }
    }

    fn into_unknown(self, operation: OperationId) -> CallError {
        CallError::Unknown {
            operation,
            cause: self.cause,
        }
    }
}

impl From<PlatformError> for AttemptFailure {
    fn from(error: PlatformError) -> Self {
        Self {
            may_have_taken_effect: matches!(error, PlatformError::Unknown(_)),
            cause: Cause::Platform(error),
            retry_after: Duration::ZERO,
        }
    }
}
