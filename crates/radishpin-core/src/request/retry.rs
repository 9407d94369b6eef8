//! Retry policy: what a node does after an attempt that did not yield a complete response.

use crate::request::TombstoneOutcome;
use radishpin_protocol::prelude::*;

/// Largest number of attempts per request, the first included.
pub const MAX_ATTEMPTS: AttemptNumber = 5;
/// Timeout of a tombstone call; it may extend past the caller's deadline.
pub const TOMBSTONE_TIMEOUT: Duration = Duration::from_millis(30);

/// How an attempt ended without a complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing was sent, for example because no connection could be established.
    NotSent,
    /// The agent refused the attempt.
    Refused {
        /// Result code in the refusal.
        code: ResultCode,
        /// Whether the agent guarantees that the attempt did not run and never will.
        not_run: bool,
    },
    /// The attempt was sent, but the connection ended or the deadline passed before the agent
    /// reported its start.
    NoAnswer,
    /// The agent reported the start of the attempt, which then failed before any part of the
    /// response was forwarded to the caller.
    BrokenBeforeAnswer,
    /// The response ended early, after a part of it had been forwarded to the caller.
    BrokenInAnswer {
        /// Whether another replica can resume the stream at the current offset.
        resumable: bool,
    },
    /// The endpoint returned the response to another request.
    Crossed,
    /// The attempt was tombstoned after one of the outcomes above, with this result.
    Tombstoned(TombstoneOutcome),
    /// A tombstone was sent but not answered.
    TombstoneLost,
}

/// State of a call after a failed attempt, as input to [`decide_retry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether the call may run more than once.
    pub idempotent: bool,
    /// Time left to the caller's deadline; zero once it has passed.
    pub remaining: Duration,
    /// Estimated duration of another attempt; zero if unknown.
    pub estimated_duration: Duration,
    /// Number of attempts so far, the failed one included.
    pub attempts: AttemptNumber,
    /// Whether there is another endpoint to try.
    pub another_endpoint: bool,
}

/// Why a further attempt is made; also the label of the retry metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The agent could not be reached; nothing was sent.
    NotSent,
    /// The endpoint is leaving and takes no new work.
    Leaving,
    /// The endpoint has no grant for the model.
    NotGranted,
    /// The endpoint lacks the memory for the model.
    NoMemory,
    /// The endpoint's queue, or the service's share of it, is full.
    QueueFull,
    /// The endpoint could not load the model.
    LoadFailed,
    /// Any other refusal that proves that the attempt did not run.
    RefusedNotRun,
    /// A tombstone ensured that the attempt never runs.
    NeverRuns,
    /// The outcome of the attempt is unknown, but the call is idempotent.
    IdempotentNoAnswer,
    /// A broken stream is resumed at the current offset.
    Resume,
    /// The endpoint returned the response to another request; the call is idempotent.
    IdempotentCrossed,
}

impl RetryReason {
    /// Every reason.
    pub const ALL: &[Self] = &[
        Self::NotSent,
        Self::Leaving,
        Self::NotGranted,
        Self::NoMemory,
        Self::QueueFull,
        Self::LoadFailed,
        Self::RefusedNotRun,
        Self::NeverRuns,
        Self::IdempotentNoAnswer,
        Self::Resume,
        Self::IdempotentCrossed,
    ];

    /// Value of the metric label for this reason.
    pub const fn name(self) -> &'static str {
        match self {
            Self::NotSent => "not_sent",
            Self::Leaving => "leaving",
            Self::NotGranted => "not_granted",
            Self::NoMemory => "no_memory",
            Self::QueueFull => "queue_full",
            Self::LoadFailed => "load_failed",
            Self::RefusedNotRun => "refused_not_run",
            Self::NeverRuns => "never_runs",
            Self::IdempotentNoAnswer => "idempotent_no_answer",
            Self::Resume => "resume",
            Self::IdempotentCrossed => "idempotent_crossed",
        }
    }

    /// Whether the reason implies that the earlier attempt did not run and never will.
    pub const fn proves_not_run(self) -> bool {
        match self {
            Self::NotSent
            | Self::Leaving
            | Self::NotGranted
            | Self::NoMemory
            | Self::QueueFull
            | Self::LoadFailed
            | Self::RefusedNotRun
            | Self::NeverRuns => true,
            Self::IdempotentNoAnswer | Self::Resume | Self::IdempotentCrossed => false,
        }
    }

    /// Whether the retry counts against the retry budget. Exempt are reasons where the earlier
    /// attempt cost no endpoint any work and which overload does not cause, so that the loss of a
    /// host or an availability zone does not exhaust the budget.
    pub const fn is_budgeted(self) -> bool {
        match self {
            Self::NotSent | Self::Leaving | Self::NotGranted | Self::NoMemory | Self::NeverRuns => {
                false
            }
            Self::QueueFull
            | Self::LoadFailed
            | Self::RefusedNotRun
            | Self::IdempotentNoAnswer
            | Self::Resume
            | Self::IdempotentCrossed => true,
        }
    }
}

/// Decision after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt, with the next attempt number.
    Retry(RetryReason),
    /// Tombstone the attempt at its agent, then call [`decide_retry`] again with the outcome.
    Tombstone,
    /// Refuse the request with this code; it did not run.
    Refuse(ResultCode),
    /// Fail the request with this code; it may have run.
    Unknown(ResultCode),
}

/// Decides what to do after a failed attempt. `take_retry` takes a retry from the budget and
/// returns whether one was left; it is called only if everything else permits the retry.
pub fn decide_retry(
    outcome: AttemptOutcome,
    context: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    match outcome {
        AttemptOutcome::NotSent => retry_or_refuse(
            RetryReason::NotSent,
            ResultCode::NoEndpoint,
            context,
            take_retry,
        ),
        AttemptOutcome::Refused {
            code,
            not_run: true,
        } => after_proven_refusal(code, context, take_retry),
        AttemptOutcome::Refused {
            code,
            not_run: false,
        } => retry_if_idempotent(
            RetryReason::IdempotentNoAnswer,
            unproven_refusal_code(code),
            context,
            take_retry,
        ),
        AttemptOutcome::NoAnswer => after_no_answer(context, take_retry),
        AttemptOutcome::Tombstoned(TombstoneOutcome::NeverRuns) => retry_or_refuse(
            RetryReason::NeverRuns,
            ResultCode::NoEndpoint,
            context,
            take_retry,
        ),
        AttemptOutcome::Tombstoned(_)
        | AttemptOutcome::TombstoneLost
        | AttemptOutcome::BrokenBeforeAnswer => {
            let code = unknown_outcome_code(context);
            retry_if_idempotent(RetryReason::IdempotentNoAnswer, code, context, take_retry)
        }
        AttemptOutcome::BrokenInAnswer { resumable: true } => retry_if_idempotent(
            RetryReason::Resume,
            ResultCode::AnswerBroken,
            context,
            take_retry,
        ),
        AttemptOutcome::BrokenInAnswer { resumable: false } => {
            RetryDecision::Unknown(ResultCode::AnswerBroken)
        }
        AttemptOutcome::Crossed => {
            let code = ResultCode::AnswerCrossed;
            retry_if_idempotent(RetryReason::IdempotentCrossed, code, context, take_retry)
        }
    }
}

/// Retries an idempotent call at once. Any other call is retried only after a tombstone has proven
/// that the attempt never runs.
fn after_no_answer(context: RetryContext, take_retry: impl FnOnce() -> bool) -> RetryDecision {
    if context.idempotent {
        retry_or_else(
            RetryReason::IdempotentNoAnswer,
            RetryDecision::Tombstone,
            context,
            take_retry,
        )
    } else {
        RetryDecision::Tombstone
    }
}

fn after_proven_refusal(
    code: ResultCode,
    context: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    let reason = match code {
        ResultCode::EndpointLeaving | ResultCode::Draining => RetryReason::Leaving,
        ResultCode::NotGranted => RetryReason::NotGranted,
        ResultCode::NoMemory => RetryReason::NoMemory,
        ResultCode::QueueFull | ResultCode::ServiceLimit => RetryReason::QueueFull,
        ResultCode::LoadFailed => RetryReason::LoadFailed,
        ResultCode::DeadlineUnreachable | ResultCode::Tombstoned | ResultCode::NotReady => {
            RetryReason::RefusedNotRun
        }
        _ if code.ran() == Ran::Unknown => return RetryDecision::Unknown(code),
        _ => return RetryDecision::Refuse(code),
    };
    retry_or_refuse(reason, code, context, take_retry)
}

/// Decision for an attempt that is proven not to run: retry, or refuse the request as not run.
fn retry_or_refuse(
    reason: RetryReason,
    code: ResultCode,
    context: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    if context.remaining.is_zero() {
        return RetryDecision::Refuse(ResultCode::DeadlinePassed);
    }
    if !may_attempt_again(context) {
        return RetryDecision::Refuse(code);
    }
    if context.estimated_duration > context.remaining {
        return RetryDecision::Refuse(ResultCode::DeadlineUnreachable);
    }
    if reason.is_budgeted() && !take_retry() {
        return RetryDecision::Refuse(ResultCode::RetryBudgetSpent);
    }
    RetryDecision::Retry(reason)
}

/// Decision for an attempt that may have run: only an idempotent call is retried.
fn retry_if_idempotent(
    reason: RetryReason,
    code: ResultCode,
    context: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    if context.idempotent {
        retry_or_else(reason, RetryDecision::Unknown(code), context, take_retry)
    } else {
        RetryDecision::Unknown(code)
    }
}

fn retry_or_else(
    reason: RetryReason,
    otherwise: RetryDecision,
    context: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    let in_time = !context.remaining.is_zero() && context.estimated_duration <= context.remaining;
    if in_time && may_attempt_again(context) && take_retry() {
        RetryDecision::Retry(reason)
    } else {
        otherwise
    }
}

fn may_attempt_again(context: RetryContext) -> bool {
    context.another_endpoint && context.attempts < MAX_ATTEMPTS
}

fn unknown_outcome_code(context: RetryContext) -> ResultCode {
    if context.remaining.is_zero() {
        ResultCode::DeadlinePassedStarted
    } else {
        ResultCode::OutcomeUnknown
    }
}

/// Code for a refusal without proof that the attempt did not run: a code that means "not run" must
/// not reach the caller in that case.
fn unproven_refusal_code(code: ResultCode) -> ResultCode {
    match code.ran() {
        Ran::Unknown => code,
        Ran::No => ResultCode::OutcomeUnknown,
    }
}
