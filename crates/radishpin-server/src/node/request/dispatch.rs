//! Attempts of one request, until one of them starts its response or no retry is possible.

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

/// Header that marks a response replayed from the store.
pub(super) const REPLAYED_HEADER: &str = "idempotent-replayed";

/// A response whose head and first chunk have arrived.
pub(super) struct StartedAnswer {
    /// Status and headers of the endpoint's response, or of the replayed one.
    pub(super) head: Head,
    /// First chunk of the body; `None` if the body is empty.
    pub(super) first_chunk: Option<Vec<u8>>,
    /// Attempt to read the rest of the response from; `None` if nothing is left to read.
    pub(super) attempt: Option<Attempt>,
}

impl StartedAnswer {
    /// Builds the response from that of an earlier call with the same key.
    fn from_replay(replay: Replay) -> Self {
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
            first_chunk: Some(replay.body),
            attempt: None,
        }
    }
}

/// State of a request across its attempts.
pub(super) struct RequestState {
    pub(super) node: Arc<Node>,
    pub(super) call: Call,
    /// Number of attempts sent so far.
    pub(super) attempts: AttemptNumber,
    /// Endpoints to avoid because an attempt at them failed; routing clears it to try them again.
    failed_endpoints: BTreeSet<EndpointId>,
    /// Whether an earlier attempt, since retried, may have run.
    may_have_run: bool,
    /// Row of the call's idempotency key; `None` if the call needs none.
    pub(super) keyed: Option<KeyedSession>,
}

impl RequestState {
    /// State before the first attempt.
    pub(super) fn new(node: Arc<Node>, call: Call) -> Self {
        Self {
            keyed: KeyedSession::for_call(&node, &call),
            node,
            call,
            attempts: 0,
            failed_endpoints: BTreeSet::new(),
            may_have_run: false,
        }
    }

    /// Sends attempts until one starts its response; `offset` is the index of its first chunk.
    ///
    /// # Errors
    /// No endpoint can take the call, the last attempt may not be retried, or the idempotency key
    /// is not free.
    pub(super) async fn start_answer(&mut self, offset: u64) -> Result<StartedAnswer, Refusal> {
        self.node.count_request(&self.call.service);
        loop {
            let link = self.route().await?;
            if let Some(replay) = self.record_attempt(&link).await? {
                return Ok(StartedAnswer::from_replay(replay));
            }
            match self.attempt(&link, offset).await {
                Ok(started) => return Ok(started),
                Err(failed) => self.recover(failed).await?,
            }
        }
    }

    /// Handles a failed attempt; returns `Ok` if the caller of this method is to retry.
    ///
    /// # Errors
    /// The attempt may not be retried: the refusal for the caller of the request.
    pub(super) async fn recover(&mut self, failed: FailedAttempt) -> Result<(), Refusal> {
        self.log_failure(&failed);
        self.failed_endpoints.insert(failed.link.endpoint().clone());
        self.act_on_refusal(&failed);
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
                    return Err(self.account_for_earlier_attempts(self.refusal(code, &failed)));
                }
            }
        }
    }

    /// Checks the idempotency key before routing; returns the stored response if the call has
    /// already finished.
    ///
    /// # Errors
    /// The key is not free, or the store did not answer.
    pub(super) async fn check_key(&mut self) -> Result<Option<StartedAnswer>, Refusal> {
        let Some(keyed) = self.keyed.as_mut() else {
            return Ok(None);
        };
        match keyed.check(&self.call).await? {
            KeyCheck::Proceed => Ok(None),
            KeyCheck::Replay(replay) => Ok(Some(StartedAnswer::from_replay(replay))),
        }
    }

    async fn record_attempt(&mut self, link: &AgentLink) -> Result<Option<Replay>, Refusal> {
        let Some(keyed) = self.keyed.as_mut() else {
            return Ok(None);
        };
        match keyed
            .record_attempt(&self.call, link, self.attempts + 1)
            .await?
        {
            KeyCheck::Proceed => Ok(None),
            KeyCheck::Replay(replay) => Ok(Some(replay)),
        }
    }

    async fn attempt(
        &mut self,
        link: &Arc<AgentLink>,
        offset: u64,
    ) -> Result<StartedAnswer, FailedAttempt> {
        self.attempts += 1;
        let clock = self.node.clock;
        let mut attempt = Attempt::send(&self.call, link, self.attempts, offset, clock).await?;
        let head = match self.next_part(&mut attempt).await? {
            Part::Head(head) => head,
            Part::Chunk(..) | Part::End => return Err(attempt.malformed()),
        };
        match self.next_part(&mut attempt).await? {
            Part::Chunk(index, data) if index == offset => Ok(StartedAnswer {
                head,
                first_chunk: Some(data),
                attempt: Some(attempt),
            }),
            Part::Chunk(..) | Part::Head(_) => Err(attempt.malformed()),
            Part::End => Ok(StartedAnswer {
                head,
                first_chunk: None,
                attempt: None,
            }),
        }
    }

    async fn next_part(&self, attempt: &mut Attempt) -> Result<Part, FailedAttempt> {
        let remaining = self.call.remaining(self.node.clock.now());
        attempt.next(remaining).await
    }

    async fn route(&mut self) -> Result<Arc<AgentLink>, Refusal> {
        let routed = self
            .node
            .route(&self.call, &mut self.failed_endpoints)
            .await;
        routed.map_err(|refusal| self.account_for_earlier_attempts(refusal))
    }

    /// Turns the refusal into `OutcomeUnknown` if it says "not run" but an earlier attempt may have
    /// run: the result code covers all attempts, not only the last.
    fn account_for_earlier_attempts(&self, refusal: Refusal) -> Refusal {
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
        let context = RetryContext {
            idempotent: self.call.idempotent,
            remaining,
            estimated_duration: Duration::ZERO,
            attempts: self.attempts,
            another_endpoint: self
                .node
                .has_alternative_endpoint(&self.call, &self.failed_endpoints),
        };
        decide_retry(outcome, context, || {
            self.node.take_retry(&self.call.service)
        })
    }

    fn refusal(&self, code: ResultCode, failed: &FailedAttempt) -> Refusal {
        let reason = format!("{} (at endpoint {})", failed.detail, failed.link.endpoint());
        let hint = failed.retry_after.max(failed.link.expected_wait());
        Refusal::new(code, reason).with_retry_after(retry_after(hint, self.node.random()))
    }

    /// Reacts to two refusals: lack of memory is recorded so that the grant can be moved, and a
    /// restarted agent gets a heartbeat at once, which returns its new incarnation.
    fn act_on_refusal(&self, failed: &FailedAttempt) {
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
            request_id = self.call.external_id.as_str(),
            attempt = failed.number,
            endpoint = failed.link.endpoint().as_str(),
            outcome:? = failed.outcome;
            "{}", failed.detail
        );
    }
}
