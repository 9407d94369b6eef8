//! The attempts of one request, until one of them begins its answer or no other makes sense.

use super::{
    Call, Refusal,
    attempt::{Attempt, FailedAttempt, Part},
    keyed::{KeyCheck, KeyedSession, Replay},
};
use crate::node::{Node, connection::AgentLink};
use radishpin_core::request::{
    AttemptOutcome, RetryContext, RetryDecision, decide_retry, retry_after,
};
use radishpin_protocol::{
    prelude::*,
    wire::{Head, Header},
};
use std::sync::Arc;

/// Header on an answer that was stored for an earlier call.
pub(super) const REPLAYED_HEADER: &str = "idempotent-replayed";

/// An attempt whose answer has begun.
pub(super) struct Begun {
    /// Status and headers.
    pub(super) head: Head,
    /// First piece of the answer; `None` where it is empty.
    pub(super) first: Option<Vec<u8>>,
    /// The attempt, for the rest of the answer; `None` where there is no more.
    pub(super) attempt: Option<Attempt>,
}

impl Begun {
    /// The stored answer of an earlier call with the same key.
    fn replayed(replay: Replay) -> Self {
        let header = |name: &str, value: String| Header {
            name: name.to_owned(),
            value: value.into_bytes(),
        };
        Self {
            head: Head {
                status: u32::from(replay.status),
                headers: vec![
                    header("content-type", replay.content_type),
                    header(REPLAYED_HEADER, "true".to_owned()),
                ],
            },
            first: Some(replay.body),
            attempt: None,
        }
    }
}

/// How far a request has come.
pub(super) struct Progress {
    pub(super) node: Arc<Node>,
    pub(super) call: Call,
    /// Attempts made.
    pub(super) attempts: AttemptNumber,
    /// Endpoints whose attempt failed.
    failed_at: BTreeSet<EndpointId>,
    /// Whether an attempt that may have run was followed by another.
    may_have_run: bool,
    /// The row of the call's key, where it has one.
    pub(super) keyed: Option<KeyedSession>,
}

impl Progress {
    /// A request of which nothing has been tried.
    pub(super) fn new(node: Arc<Node>, call: Call) -> Self {
        Self {
            keyed: KeyedSession::of(&node, &call),
            node,
            call,
            attempts: 0,
            failed_at: BTreeSet::new(),
            may_have_run: false,
        }
    }

    /// Makes attempts until one begins its answer at `offset`.
    ///
    /// # Errors
    /// No further attempt makes sense.
    pub(super) async fn begin(&mut self, offset: u64) -> Result<Begun, Refusal> {
        self.node.count_request(&self.call.service);
        loop {
            let link = self.route().await?;
            if let Some(replay) = self.announce(&link).await? {
                return Ok(Begun::replayed(replay));
            }
            match self.attempt(&link, offset).await {
                Ok(begun) => return Ok(begun),
                Err(failed) => self.recover(failed).await?,
            }
        }
    }

    /// Decides what follows a failed attempt; returns where another is to be made.
    ///
    /// # Errors
    /// The refusal for the caller.
    pub(super) async fn recover(&mut self, failed: FailedAttempt) -> Result<(), Refusal> {
        self.log_failure(&failed);
        self.failed_at.insert(failed.link.endpoint().clone());
        self.learn_from(&failed);
        let mut outcome = failed.outcome;
        loop {
            match self.decide(outcome) {
                RetryDecision::Retry(reason) => {
                    self.node.metrics.count_retry(reason);
                    self.may_have_run |= !reason.proves_not_run();
                    return Ok(());
                }
                RetryDecision::Tombstone => {
                    outcome = failed.tombstone(&self.call).await;
                }
                RetryDecision::Refuse(code) | RetryDecision::Unknown(code) => {
                    return Err(self.truthful(self.refusal(code, &failed)));
                }
            }
        }
    }

    /// Checks the key of the call, where it has one, before anything else is decided.
    ///
    /// # Errors
    /// The key is not free.
    pub(super) async fn check_key(&mut self) -> Result<Option<Begun>, Refusal> {
        let Some(keyed) = self.keyed.as_mut() else {
            return Ok(None);
        };
        match keyed.check(&self.call).await? {
            KeyCheck::Proceed => Ok(None),
            KeyCheck::Replay(replay) => Ok(Some(Begun::replayed(replay))),
        }
    }

    async fn announce(&mut self, link: &AgentLink) -> Result<Option<Replay>, Refusal> {
        let Some(keyed) = self.keyed.as_mut() else {
            return Ok(None);
        };
        match keyed.announce(&self.call, link, self.attempts + 1).await? {
            KeyCheck::Proceed => Ok(None),
            KeyCheck::Replay(replay) => Ok(Some(replay)),
        }
    }

    async fn attempt(
        &mut self,
        link: &Arc<AgentLink>,
        offset: u64,
    ) -> Result<Begun, FailedAttempt> {
        self.attempts += 1;
        let clock = self.node.clock;
        let mut attempt = Attempt::send(&self.call, link, self.attempts, offset, clock).await?;
        let head = match self.next_part(&mut attempt).await? {
            Part::Head(head) => head,
            Part::Chunk(..) | Part::End => return Err(attempt.malformed()),
        };
        match self.next_part(&mut attempt).await? {
            Part::Chunk(index, data) if index == offset => Ok(Begun {
                head,
                first: Some(data),
                attempt: Some(attempt),
            }),
            Part::Chunk(..) | Part::Head(_) => Err(attempt.malformed()),
            Part::End => Ok(Begun {
                head,
                first: None,
                attempt: None,
            }),
        }
    }

    async fn next_part(&self, attempt: &mut Attempt) -> Result<Part, FailedAttempt> {
        let remaining = self.call.remaining(self.node.clock.now());
        attempt.next(remaining).await
    }

    async fn route(&mut self) -> Result<Arc<AgentLink>, Refusal> {
        let routed = self.node.route(&self.call, &mut self.failed_at).await;
        routed.map_err(|refusal| self.truthful(refusal))
    }

    /// A refusal that says "not run" does so of every attempt, not only of the last.
    fn truthful(&self, refusal: Refusal) -> Refusal {
        if !self.may_have_run || refusal.code.ran() == Ran::Unknown {
            return refusal;
        }
        Refusal {
            code: ResultCode::OutcomeUnknown,
            reason: format!("an earlier attempt may have run; then: {}", refusal.reason),
            ..refusal
        }
    }

    fn decide(&self, outcome: AttemptOutcome) -> RetryDecision {
        let remaining = self.call.remaining(self.node.clock.now());
        let facts = RetryContext {
            idempotent: self.call.idempotent,
            remaining,
            estimated_duration: Duration::ZERO,
            attempts: self.attempts,
            another_endpoint: self
                .node
                .has_alternative_endpoint(&self.call, &self.failed_at),
        };
        decide_retry(outcome, facts, || self.node.take_retry(&self.call.service))
    }

    fn refusal(&self, code: ResultCode, failed: &FailedAttempt) -> Refusal {
        let reason = format!("{} (at endpoint {})", failed.detail, failed.link.endpoint());
        let hint = failed.retry_after.max(failed.link.expected_wait());
        Refusal::new(code, reason).after(retry_after(hint, self.node.random()))
    }

    /// A holder without room speaks for moving its grant; an agent that has restarted is asked
    /// for its incarnation at once.
    fn learn_from(&self, failed: &FailedAttempt) {
        let AttemptOutcome::Refused { code, .. } = failed.outcome else {
            return;
        };
        match (code, self.call.model()) {
            (ResultCode::NoMemory, Some(model)) => {
                self.node
                    .record_memory_refusal(model, failed.link.endpoint());
            }
            (ResultCode::NotReady, _) => {
                self.node.heartbeats_requested.notify(usize::MAX);
            }
            _ => {}
        }
    }

    fn log_failure(&self, failed: &FailedAttempt) {
        log::info!(
            event = "attempt_failed",
            request_id = self.call.shown_id.as_str(),
            attempt = failed.number,
            endpoint = failed.link.endpoint().as_str(),
            outcome:? = failed.outcome;
            "{}", failed.detail
        );
    }
}
