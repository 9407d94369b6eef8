//! Circuit breaker, rate limiters, retry budget and random generator of a client, each behind its
//! own lock.

use super::{AttemptFailure, CallKind, ClientSettings};
use crate::{
    AdaptiveRateLimiter, Breaker, Cause, Permit, PlatformError, PlatformMetrics, RetryBudget,
};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    sync::atomic::{AtomicU64, Ordering},
    time::{Duration, Instant},
};

/// Limits that a call must pass before it is sent.
pub(super) struct CallLimits {
    start: Instant,
    breaker: Mutex<Breaker>,
    read_limiter: Mutex<AdaptiveRateLimiter>,
    write_limiter: Mutex<AdaptiveRateLimiter>,
    budget: Mutex<RetryBudget>,
    random: Mutex<SmallRng>,
    operation_id_prefix: u64,
    next_operation: AtomicU64,
}

impl CallLimits {
    pub(super) fn new(settings: &ClientSettings, seed: u64) -> Self {
        Self {
            start: Instant::now(),
            breaker: Mutex::new(Breaker::new(settings.breaker)),
            read_limiter: Mutex::default(),
            write_limiter: Mutex::default(),
            budget: Mutex::new(RetryBudget::new(settings.budget, Duration::ZERO)),
            random: Mutex::new(SmallRng::seed_from_u64(seed)),
            operation_id_prefix: seed,
            next_operation: AtomicU64::new(1),
        }
    }

    /// Time since the client was created.
    pub(super) fn now(&self) -> Duration {
        self.start.elapsed()
    }

    pub(super) fn random(&self) -> f64 {
        self.random.lock().random()
    }

    pub(super) fn deposit(&self) {
        self.budget.lock().deposit(self.now());
    }

    pub(super) fn take_retry(&self) -> bool {
        self.budget.lock().try_withdraw(self.now())
    }

    /// Returns an operation id that is unique if no other process uses the same seed.
    pub(super) fn new_operation(&self) -> String {
        let number = self.next_operation.fetch_add(1, Ordering::Relaxed);
        format!("{:016x}-{number}", self.operation_id_prefix)
    }

    /// Admits an attempt and returns how long it must wait before it is sent.
    pub(super) fn admit(
        &self,
        kind: CallKind,
        max_wait: Duration,
        metrics: &PlatformMetrics,
    ) -> Result<Duration, AttemptFailure> {
        let now = self.now();
        self.permit(now, metrics)?;
        let wait = self.rate_limiter(kind).lock().reserve(now, max_wait);
        wait.ok_or_else(|| refusal(Cause::Paced, max_wait))
    }

    fn permit(&self, now: Duration, metrics: &PlatformMetrics) -> Result<(), AttemptFailure> {
        let mut breaker = self.breaker.lock();
        let before = breaker.state();
        let permit = breaker.permit(now);
        metrics.record_breaker_state(before, breaker.state());
        match permit {
            Permit::Allowed => Ok(()),
            Permit::Refused(retry_after) => Err(refusal(Cause::BreakerOpen, retry_after)),
        }
    }

    /// Updates the rate limiter and the breaker with the result of an attempt; `cause` is `None`
    /// if it succeeded.
    pub(super) fn record_result(
        &self,
        kind: CallKind,
        cause: Option<&Cause>,
        metrics: &PlatformMetrics,
    ) {
        let now = self.now();
        let random = self.random();
        let limited = matches!(cause, Some(Cause::Platform(PlatformError::RateLimited)));
        let answered = cause.is_none() || limited;
        let mut limiter = self.rate_limiter(kind).lock();
        if limited {
            limiter.record_rate_limited(now, random);
        } else if answered {
            limiter.record_success();
        }
        drop(limiter);
        let mut breaker = self.breaker.lock();
        let before = breaker.state();
        if answered {
            breaker.record_success();
        } else {
            breaker.record_failure(now, random);
        }
        metrics.record_breaker_state(before, breaker.state());
    }

    fn rate_limiter(&self, kind: CallKind) -> &Mutex<AdaptiveRateLimiter> {
        if kind.is_write() {
            &self.write_limiter
        } else {
            &self.read_limiter
        }
    }
}

fn refusal(cause: Cause, retry_after: Duration) -> AttemptFailure {
    AttemptFailure {
        cause,
        may_have_taken_effect: false,
        retry_after,
    }
}
