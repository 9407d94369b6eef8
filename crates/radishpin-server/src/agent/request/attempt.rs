//! Runs one attempt: admits it once, queues it, starts it at most once, then relays the response or
//! refuses it.

use super::{AttemptRefusal, Frames, guards::AttemptGuard, relay, target_loading};
use crate::agent::Agent;
use radishpin_core::request::AttemptAdmission;
use radishpin_protocol::{
    prelude::*,
    wire::{End, ExecuteRequest, Started, execute_reply::Frame},
};
use std::sync::Arc;

impl Agent {
    /// Runs an attempt and sends its frames; the last one is an end or a refusal.
    pub(in crate::agent) async fn run_attempt(
        self: Arc<Self>,
        request: ExecuteRequest,
        frames: Frames,
    ) {
        match self.try_attempt(&request, &frames).await {
            Ok(()) => frames.send(Frame::End(End {}), Some(self.load())).await,
            Err(refusal) => {
                self.metrics.refused(refusal.code);
                log::debug!(
                    event = "attempt_refused",
                    request_id = request.request_id.as_str(),
                    attempt = request.attempt,
                    code = refusal.code.number();
                    "{}", refusal.detail
                );
                frames.send(refusal.into_frame(), Some(self.load())).await;
            }
        }
    }

    async fn try_attempt(
        self: &Arc<Self>,
        request: &ExecuteRequest,
        frames: &Frames,
    ) -> Result<(), AttemptRefusal> {
        let deadline = self.clock.now() + Duration::from_millis(request.remaining_ms);
        let guard = self.admit(request)?;
        let _use_guard = target_loading::ensure_loaded(self, request, deadline).await?;
        let slot = self.slots.acquire(request, deadline).await?;
        self.check_not_leaving()?;
        self.check_deadline(deadline)?;
        if !guard.start() {
            let detail = "the attempt was tombstoned while it waited";
            return Err(AttemptRefusal::not_run(ResultCode::Tombstoned, detail));
        }
        frames
            .send(Frame::Started(Started {}), Some(self.load()))
            .await;
        let started_at = self.clock.now();
        relay::relay(self, request, frames, deadline).await?;
        self.average_durations
            .record_service(self.clock.now().saturating_sub(started_at));
        drop(slot);
        Ok(())
    }

    fn admit(self: &Arc<Self>, request: &ExecuteRequest) -> Result<AttemptGuard, AttemptRefusal> {
        self.check_not_leaving()?;
        self.check_incarnation(request)?;
        let id = AttemptId {
            request_id: request.request_id.clone(),
            number: request.attempt,
        };
        let now = self.clock.now();
        let admission = self
            .attempts
            .with(&id.request_id, |ledger| ledger.admit(&id, now));
        match admission {
            AttemptAdmission::Admitted => Ok(AttemptGuard::new(self, id)),
            AttemptAdmission::Duplicate(_) => {
                let detail = "the same attempt arrived before";
                Err(AttemptRefusal::unknown(
                    ResultCode::DuplicateAttempt,
                    detail,
                ))
            }
            AttemptAdmission::Tombstoned
            | AttemptAdmission::Superseded
            | AttemptAdmission::Stale => {
                let detail = "the attempt may not start any more";
                Err(AttemptRefusal::not_run(ResultCode::Tombstoned, detail))
            }
            AttemptAdmission::Full => {
                let detail = "the agent remembers as many attempts as it can";
                Err(AttemptRefusal::not_run(ResultCode::QueueFull, detail))
            }
        }
    }

    /// Refuses an attempt that was sent to another incarnation of the agent. A tombstone proves
    /// that an attempt never runs only if no other incarnation may run the attempt.
    fn check_incarnation(&self, request: &ExecuteRequest) -> Result<(), AttemptRefusal> {
        let incarnation = self.incarnation();
        if incarnation == 0 || request.incarnation != incarnation {
            let detail = format!(
                "meant for incarnation {}, not {incarnation}",
                request.incarnation
            );
            return Err(AttemptRefusal::not_run(ResultCode::NotReady, detail));
        }
        Ok(())
    }

    /// Refuses an attempt whose deadline has passed: once started, its outcome would be unknown.
    fn check_deadline(&self, deadline: Duration) -> Result<(), AttemptRefusal> {
        if self.clock.now() >= deadline {
            let detail = "the deadline passed before the attempt could start";
            return Err(AttemptRefusal::not_run(ResultCode::DeadlinePassed, detail));
        }
        Ok(())
    }

    fn check_not_leaving(&self) -> Result<(), AttemptRefusal> {
        if self.leaving() {
            let detail = "the endpoint is leaving";
            return Err(AttemptRefusal::not_run(ResultCode::EndpointLeaving, detail));
        }
        Ok(())
    }
}
