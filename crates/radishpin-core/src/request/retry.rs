//! What a node does after an attempt that brought no whole answer.

use crate::request::TombstoneOutcome;
use radishpin_protocol::prelude::*;

/// Attempts that one request may make.
pub const MAX_ATTEMPTS: AttemptNumber = 5;
/// How long a node waits for the answer to a tombstone, also past the caller's deadline.
pub const TOMBSTONE_TIMEOUT: Duration = Duration::from_millis(30);

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Nothing of it left this process (no connection).
    NotSent,
    /// The agent refused it.
    Refused {
        /// The agent's code.
        code: ResultCode,
        /// Whether the agent proved that it did not and will not run.
        not_run: bool,
    },
    /// It was sent and nothing came back, or the deadline passed before the agent said that it
    /// started.
    NoAnswer,
    /// The agent said that it started, then nothing more came.
    BrokenBeforeAnswer,
    /// The answer broke off after a part had been passed on to the caller.
    BrokenInAnswer {
        /// Whether another replica can resume at the offset reached.
        resumable: bool,
    },
    /// The answer belonged to another request.
    Crossed,
    /// A tombstone was sent after one of the above, with this outcome.
    Tombstoned(TombstoneOutcome),
    /// A tombstone was sent, and no answer came to it either.
    TombstoneLost,
}

/// What a node knows of the call when an attempt has failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RetryContext {
    /// Whether the call may be repeated without harm.
    pub idempotent: bool,
    /// Time left to the caller's deadline.
    pub remaining: Duration,
    /// Time that another attempt needs, by estimate; zero where not known.
    pub estimated_duration: Duration,
    /// Attempts made so far, the failed one included.
    pub attempts: AttemptNumber,
    /// Whether another endpoint is left to try.
    pub another_endpoint: bool,
}

/// Why an attempt is made after the first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RetryReason {
    /// The agent could not be reached; nothing was sent.
    NotSent,
    /// The endpoint is leaving.
    Leaving,
    /// The endpoint has no grant any more.
    NotGranted,
    /// The endpoint has no memory for the model.
    NoMemory,
    /// The endpoint's queue, or the service's part of it, is full.
    QueueFull,
    /// The model could not be loaded there.
    LoadFailed,
    /// Any other refusal with proof that it did not run.
    RefusedNotRun,
    /// A tombstone proved that it never runs.
    NeverRuns,
    /// No answer to an idempotent call.
    IdempotentNoAnswer,
    /// A stream is resumed at the offset reached.
    Resume,
    /// The endpoint answered another request; the call is idempotent.
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

    /// The label of its counter.
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

    /// Whether the earlier attempt is proven not to have run.
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

    /// Whether the retry is paid from the budget. Free are those whose earlier attempt cost no
    /// endpoint any work and which no overload brings about, so that a stopped host or zone does
    /// not use up the budget.
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

/// What the node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Make another attempt, with the next attempt number.
    Retry(RetryReason),
    /// Tombstone the attempt at its agent and ask again with the outcome.
    Tombstone,
    /// Answer with this code; the request did not run.
    Refuse(ResultCode),
    /// Answer with this code; the request may have run.
    Unknown(ResultCode),
}

/// Decides what follows a failed attempt. `take_retry` takes a retry out of the budget; it is
/// called only where one would be made.
pub fn decide_retry(
    outcome: AttemptOutcome,
    facts: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    match outcome {
        AttemptOutcome::NotSent => proven(
            RetryReason::NotSent,
            ResultCode::NoEndpoint,
            facts,
            take_retry,
        ),
        AttemptOutcome::Refused {
            code,
            not_run: true,
        } => proven_refusal(code, facts, take_retry),
        AttemptOutcome::Refused {
            code,
            not_run: false,
        } => repeat_or(
            RetryReason::IdempotentNoAnswer,
            unknown_of(code),
            facts,
            take_retry,
        ),
        AttemptOutcome::NoAnswer => no_answer(facts, take_retry),
        AttemptOutcome::Tombstoned(TombstoneOutcome::NeverRuns) => proven(
            RetryReason::NeverRuns,
            ResultCode::NoEndpoint,
            facts,
            take_retry,
        ),
        AttemptOutcome::Tombstoned(_)
        | AttemptOutcome::TombstoneLost
        | AttemptOutcome::BrokenBeforeAnswer => {
            let code = unknown_for(facts);
            repeat_or(RetryReason::IdempotentNoAnswer, code, facts, take_retry)
        }
        AttemptOutcome::BrokenInAnswer { resumable: true } => repeat_or(
            RetryReason::Resume,
            ResultCode::AnswerBroken,
            facts,
            take_retry,
        ),
        AttemptOutcome::BrokenInAnswer { resumable: false } => {
            RetryDecision::Unknown(ResultCode::AnswerBroken)
        }
        AttemptOutcome::Crossed => {
            let code = ResultCode::AnswerCrossed;
            repeat_or(RetryReason::IdempotentCrossed, code, facts, take_retry)
        }
    }
}

/// An idempotent call is repeated at once; any other needs the proof of a tombstone first.
fn no_answer(facts: RetryContext, take_retry: impl FnOnce() -> bool) -> RetryDecision {
    if facts.idempotent {
        retry_or(
            RetryReason::IdempotentNoAnswer,
            RetryDecision::Tombstone,
            facts,
            take_retry,
        )
    } else {
        RetryDecision::Tombstone
    }
}

fn proven_refusal(code: ResultCode, facts: RetryContext, take_retry: impl FnOnce() -> bool) -> RetryDecision {
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
    proven(reason, code, facts, take_retry)
}

/// The earlier attempt is proven not to run: try again, or say so.
fn proven(
    reason: RetryReason,
    code: ResultCode,
    facts: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    if facts.remaining.is_zero() {
        return RetryDecision::Refuse(ResultCode::DeadlinePassed);
    }
    if !has_another(facts) {
        return RetryDecision::Refuse(code);
    }
    if facts.estimated_duration > facts.remaining {
        return RetryDecision::Refuse(ResultCode::DeadlineUnreachable);
    }
    if reason.is_budgeted() && !take_retry() {
        return RetryDecision::Refuse(ResultCode::RetryBudgetSpent);
    }
    RetryDecision::Retry(reason)
}

/// The earlier attempt may have run: only an idempotent call may be repeated.
fn repeat_or(
    reason: RetryReason,
    code: ResultCode,
    facts: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    if facts.idempotent {
        retry_or(reason, RetryDecision::Unknown(code), facts, take_retry)
    } else {
        RetryDecision::Unknown(code)
    }
}

fn retry_or(
    reason: RetryReason,
    otherwise: RetryDecision,
    facts: RetryContext,
    take_retry: impl FnOnce() -> bool,
) -> RetryDecision {
    let in_time = !facts.remaining.is_zero() && facts.estimated_duration <= facts.remaining;
    if in_time && has_another(facts) && take_retry() {
        RetryDecision::Retry(reason)
    } else {
        otherwise
    }
}

fn has_another(facts: RetryContext) -> bool {
    facts.another_endpoint && facts.attempts < MAX_ATTEMPTS
}

fn unknown_for(facts: RetryContext) -> ResultCode {
    if facts.remaining.is_zero() {
        ResultCode::DeadlinePassedStarted
    } else {
        ResultCode::OutcomeUnknown
    }
}

/// A code that claims "not run" is not passed on without its proof.
fn unknown_of(code: ResultCode) -> ResultCode {
    match code.ran() {
        Ran::Unknown => code,
        Ran::No => ResultCode::OutcomeUnknown,
    }
}
