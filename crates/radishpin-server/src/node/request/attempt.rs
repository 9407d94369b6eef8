//! One attempt: the RPC to an agent and the frames of its reply.

use crate::{
    clock::Clock,
    node::{connection::AgentLink, request::Call},
    rpc::ChannelError,
};
use radishpin_core::request::{AttemptOutcome, Dispatch, TOMBSTONE_TIMEOUT, TombstoneOutcome};
use radishpin_protocol::{
    prelude::*,
    wire::{
        ExecuteReply, ExecuteRequest, Head, Refusal as WireRefusal, TombstoneRequest,
        execute_reply::Frame, tombstone_reply,
    },
};
use radishpin_runtime::timeout;
use std::sync::Arc;
use tonic::{Code, Status, Streaming};

/// Time to wait past the deadline, so that the agent's own refusal can still arrive.
const DEADLINE_GRACE: Duration = Duration::from_millis(20);

/// An attempt in flight; dropping it cancels the work at the endpoint.
pub(super) struct Attempt {
    pub(super) link: Arc<AgentLink>,
    pub(super) number: AttemptNumber,
    pub(super) incarnation: Incarnation,
    started: bool,
    clock: Clock,
    frames: Streaming<ExecuteReply>,
    _outstanding: OutstandingGuard,
}

/// Counts an attempt as outstanding at its agent until dropped.
struct OutstandingGuard(Arc<AgentLink>);

impl Drop for OutstandingGuard {
    fn drop(&mut self) {
        self.0.count_ended();
    }
}

/// Part of a response.
pub(super) enum Part {
    /// Status and headers, sent once and before any chunk.
    Head(Head),
    /// A stream event or a part of the body, with its index in the response.
    Chunk(u64, Vec<u8>),
    /// The response is complete.
    End,
}

/// A failed attempt, with what a retry decision or a tombstone needs.
pub(super) struct FailedAttempt {
    pub(super) outcome: AttemptOutcome,
    pub(super) detail: String,
    pub(super) retry_after: Duration,
    pub(super) link: Arc<AgentLink>,
    pub(super) number: AttemptNumber,
    pub(super) incarnation: Incarnation,
}

impl Attempt {
    /// Sends an attempt and waits until the agent accepts the RPC, at most until the call's
    /// deadline and a grace period.
    pub(super) async fn send(
        call: &Call,
        link: &Arc<AgentLink>,
        number: AttemptNumber,
        resume_offset: u64,
        clock: Clock,
    ) -> Result<Self, FailedAttempt> {
        let now = clock.now();
        let incarnation = link.incarnation();
        let outstanding = OutstandingGuard(Arc::clone(link));
        link.count_sent();
        let request = execute_request(call, link, number, resume_offset, now);
        let limit = call.remaining(now) + DEADLINE_GRACE;
        let failed = |outcome, detail: String| FailedAttempt {
            outcome,
            detail,
            retry_after: Duration::ZERO,
            link: Arc::clone(link),
            number,
            incarnation,
        };
        match timeout(limit, link.client().execute(request)).await {
            Some(Ok(response)) => Ok(Self {
                link: Arc::clone(link),
                number,
                incarnation,
                started: false,
                clock,
                frames: response.into_inner(),
                _outstanding: outstanding,
            }),
            Some(Err(status)) => {
                let outcome = outcome_of_status(&status);
                link.call_failed(clock.now());
                Err(failed(outcome, status.message().to_owned()))
            }
            None => Err(failed(
                AttemptOutcome::NoAnswer,
                "the agent did not answer before the deadline".to_owned(),
            )),
        }
    }

    /// Waits for the next part of the response, for at most `limit` and a grace period.
    pub(super) async fn next(&mut self, limit: Duration) -> Result<Part, FailedAttempt> {
        let limit_with_grace = limit + DEADLINE_GRACE;
        loop {
            let frame = match timeout(limit_with_grace, self.frames.message()).await {
                None => {
                    let detail = "the deadline passed before the answer began";
                    return Err(self.failed(self.no_answer(), detail.to_owned()));
                }
                Some(Err(status)) => {
                    self.link.call_failed(self.clock.now());
                    return Err(self.failed(self.no_answer(), status.message().to_owned()));
                }
                Some(Ok(None)) => {
                    let detail = "the agent ended the stream too early".to_owned();
                    return Err(self.failed(self.no_answer(), detail));
                }
                Some(Ok(Some(frame))) => frame,
            };
            if let Some(load) = frame.load {
                self.link.record_load(load, self.clock.now());
            }
            match frame.frame {
                Some(Frame::Started(_)) => self.started = true,
                Some(Frame::Head(head)) => return Ok(Part::Head(head)),
                Some(Frame::Chunk(chunk)) => return Ok(Part::Chunk(chunk.offset, chunk.data)),
                Some(Frame::End(_)) => return Ok(Part::End),
                Some(Frame::Refusal(refusal)) => return Err(self.refused(&refusal)),
                None => {}
            }
        }
    }

    /// Failure because the agent's frames are out of order.
    pub(super) fn malformed(&self) -> FailedAttempt {
        self.failed(
            self.no_answer(),
            "the agent's frames are out of order".to_owned(),
        )
    }

    fn no_answer(&self) -> AttemptOutcome {
        if self.started {
            AttemptOutcome::BrokenBeforeAnswer
        } else {
            AttemptOutcome::NoAnswer
        }
    }

    fn refused(&self, refusal: &WireRefusal) -> FailedAttempt {
        let code = ResultCode::from_number(refusal.code).unwrap_or(ResultCode::Internal);
        let outcome = match code {
            ResultCode::AnswerCrossed => AttemptOutcome::Crossed,
            _ => AttemptOutcome::Refused {
                code,
                not_run: refusal.not_run,
            },
        };
        let mut failed = self.failed(outcome, refusal.detail.clone());
        failed.retry_after = Duration::from_millis(refusal.retry_after_ms);
        failed
    }

    fn failed(&self, outcome: AttemptOutcome, detail: String) -> FailedAttempt {
        FailedAttempt {
            outcome,
            detail,
            retry_after: Duration::ZERO,
            link: Arc::clone(&self.link),
            number: self.number,
            incarnation: self.incarnation,
        }
    }
}

impl FailedAttempt {
    /// Asks the agent to ensure that the attempt never starts, if it has not started yet.
    pub(super) async fn tombstone(&self, call: &Call) -> AttemptOutcome {
        let id = AttemptId {
            request_id: call.id.clone(),
            number: self.number,
        };
        match tombstone(&self.link, &id, self.incarnation).await {
            Some(outcome) => AttemptOutcome::Tombstoned(outcome),
            None => AttemptOutcome::TombstoneLost,
        }
    }
}

/// Tombstones an attempt that another request recorded; `Unknown` if `link` is `None` or the agent
/// does not answer.
pub(super) async fn tombstone_dispatch(
    link: Option<&Arc<AgentLink>>,
    dispatch: &Dispatch,
) -> TombstoneOutcome {
    let Some(link) = link else {
        return TombstoneOutcome::Unknown;
    };
    let id = AttemptId {
        request_id: dispatch.request_id.clone(),
        number: dispatch.attempt,
    };
    let outcome = tombstone(link, &id, dispatch.incarnation).await;
    outcome.unwrap_or(TombstoneOutcome::Unknown)
}

/// Tombstones an attempt that was sent to `incarnation` of the agent; `None` if the call fails or
/// times out.
async fn tombstone(
    link: &AgentLink,
    id: &AttemptId,
    incarnation: Incarnation,
) -> Option<TombstoneOutcome> {
    let request = TombstoneRequest {
        request_id: id.request_id.clone(),
        attempt: id.number,
    };
    let reply = timeout(TOMBSTONE_TIMEOUT, link.client().tombstone(request)).await?;
    let reply = reply.ok()?.into_inner();
    let outcome = match reply.outcome() {
        tombstone_reply::Outcome::NeverRuns => TombstoneOutcome::NeverRuns,
        tombstone_reply::Outcome::Started => TombstoneOutcome::Started,
        tombstone_reply::Outcome::Finished => TombstoneOutcome::Finished,
        tombstone_reply::Outcome::Unspecified => TombstoneOutcome::Unknown,
    };
    Some(outcome.if_same_incarnation(incarnation, reply.incarnation))
}

fn execute_request(
    call: &Call,
    link: &AgentLink,
    number: AttemptNumber,
    resume_offset: u64,
    now: Duration,
) -> ExecuteRequest {
    let (model, adapter, adapter_size_mb) = match &call.kind {
        super::CallKind::Model { model, adapter, .. } => {
            let (adapter, size_mb) = adapter.clone().unwrap_or_default();
            (model.clone(), adapter, size_mb)
        }
        super::CallKind::Service => Default::default(),
    };
    ExecuteRequest {
        request_id: call.id.clone(),
        attempt: number,
        service: call.service.clone(),
        model,
        adapter,
        adapter_size_mb,
        method: call.method.clone(),
        path: call.path.clone(),
        headers: call.headers.clone(),
        body: call.body.clone(),
        remaining_ms: u64::try_from(call.remaining(now).as_millis()).unwrap_or(u64::MAX),
        priority: call.priority,
        idempotent: call.idempotent,
        stream: call.is_stream(),
        resume_offset,
        view_version: 0,
        incarnation: link.incarnation(),
    }
}

/// Only a failed connection attempt, or a rejection by the agent's own checks, proves that the
/// attempt did not run.
fn outcome_of_status(status: &Status) -> AttemptOutcome {
    let source = std::error::Error::source(status);
    match source.and_then(|source| source.downcast_ref::<ChannelError>()) {
        Some(ChannelError::Connect(_) | ChannelError::Malformed(_)) => AttemptOutcome::NotSent,
        Some(ChannelError::Transport(_)) => AttemptOutcome::NoAnswer,
        None => match status.code() {
            Code::Unauthenticated | Code::PermissionDenied | Code::InvalidArgument => {
                AttemptOutcome::Refused {
                    code: ResultCode::Internal,
                    not_run: true,
                }
            }
            _ => AttemptOutcome::NoAnswer,
        },
    }
}
