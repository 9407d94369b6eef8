//! Forwarding a request: attempts at endpoints, retries, and the response to the caller.

mod ending;

use super::{
    assignment::{Assignment, Constraints, assign_endpoint},
    attempt::{AttemptResult, send},
    call::Call,
    origin::{record_origin, version_of_stream},
    response::{ResponseBody, buffered_body, remove_connection_headers},
    stream::stream_response,
    stream_version::StreamVersion,
};
use crate::{
    connection::BufferedBody,
    process::{CreditPermit, Gateway, TrialPermit},
};
use http::{HeaderValue, Request, Response, StatusCode, header, response::Parts};
use hyper::body::Incoming;
use radishpin_core::{process::Refusal, version::RequestSemantics};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Time without a response after which an idempotent request is retried at another endpoint.
const IDEMPOTENT_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(300);
/// Time that a response may arrive after the deadline that was sent to the endpoint.
const DEADLINE_SLACK: Duration = Duration::from_millis(60);
/// Most sends of a request that endpoints refuse or that reach no endpoint.
const REFUSED_SENDS_MAX: usize = 3;

/// Serves one request of a caller; the connection closes after it while the gateway drains.
pub(crate) async fn serve_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match Call::read(&gateway, request).await {
        Ok(call) => {
            let forward = Forward::new(gateway.clone(), Arc::new(call));
            if gateway.cannot_finish_before_exit(&forward.call.route) {
                forward.refuse(&Refused::ByGateway(Refusal::stopping(forward.call.random)))
            } else {
                forward.run().await
            }
        }
        Err(response) => {
            let status = response.status().as_str().to_owned();
            let outcome = format!("own_{status}");
            gateway
                .metrics
                .requests
                .with_label_values(&[&outcome])
                .inc();
            *response
        }
    };
    if gateway.shutdown.is_draining() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// A request that is being forwarded, with the count of its sends.
pub(crate) struct Forward {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    tried: BTreeSet<EndpointId>,
    /// Which endpoints may serve or resume its stream.
    pub(crate) stream_version: StreamVersion,
    /// Time at which the caller got the last part of its response; initially the arrival of the
    /// request.
    last_part_at: Duration,
    /// Sends that may have run.
    sends_ran: u32,
    /// Sends that did not run: endpoints refused them, or they reached none.
    sends_refused: usize,
    /// Permit to send the request although endpoints crashed under it, until an endpoint may have run it.
    trial: Option<TrialPermit>,
    /// Credit from its customer's quota, which is taken once.
    credit: Option<CreditPermit>,
    /// Error response of an endpoint, which is returned if no retry brings a better one.
    failed_response: Option<AttemptResult>,
}

/// Outcome of forwarding a request.
pub(crate) enum ForwardOutcome {
    /// An endpoint's response, or the head of its stream.
    Answered(AttemptResult),
    /// The request has not run.
    Refused(Refused),
    /// The request may have run, but there is no response to return.
    Failed { cause: String, timed_out: bool },
}

/// Why a request has not run.
pub(crate) enum Refused {
    ByGateway(Refusal),
    ByEndpoints,
    TimedOut,
}

impl Forward {
    fn new(gateway: Arc<Gateway>, call: Arc<Call>) -> Self {
        let now = gateway.clock.now();
        if let Some((model, _)) = call.target() {
            gateway.fleet.lock().count_request(model, now);
        }
        gateway.retry_budgets.lock().record_request(&call.service);
        Self {
            last_part_at: call.received_at,
            gateway,
            call,
            tried: BTreeSet::new(),
            stream_version: StreamVersion::Unbound,
            sends_ran: 0,
            sends_refused: 0,
            trial: None,
            credit: None,
            failed_response: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        match self.gateway.take_credit(&self.call).await {
            Ok(credit) => self.credit = Some(credit),
            Err(refusal) => return self.refuse(&Refused::ByGateway(refusal)),
        }
        self.stream_version = version_of_stream(&self.gateway, &self.call).await;
        match self.forward(None).await {
            ForwardOutcome::Answered(AttemptResult::Stream(open)) => {
                self.observe_first_byte();
                stream_response(self, *open)
            }
            ForwardOutcome::Answered(AttemptResult::Complete { mut head, body }) => {
                self.observe_first_byte();
                self.finish("answered", head.status, "-");
                remove_connection_headers(&mut head.headers);
                Response::from_parts(head, buffered_body(body))
            }
            ForwardOutcome::Answered(_) => self.fail("no response", StatusCode::BAD_GATEWAY),
            ForwardOutcome::Refused(refused) => self.refuse(&refused),
            ForwardOutcome::Failed { cause, timed_out } => {
                let status = if timed_out {
                    StatusCode::GATEWAY_TIMEOUT
                } else {
                    StatusCode::BAD_GATEWAY
                };
                self.fail(&cause, status)
            }
        }
    }

    /// Sends the request to one endpoint after another until one responds or no retry is allowed.
    pub(crate) async fn forward(&mut self, last_event_id: Option<&str>) -> ForwardOutcome {
        if let StreamVersion::Unknown { known_in } = self.stream_version {
            let refusal = Refusal::version_unknown(known_in, self.call.random);
            return ForwardOutcome::Refused(Refused::ByGateway(refusal));
        }
        loop {
            let call = Arc::clone(&self.call);
            let assignment = match self.assign(&call).await {
                Ok(assignment) => assignment,
                Err(refusal) if self.sends_ran == 0 => {
                    return ForwardOutcome::Refused(Refused::ByGateway(refusal));
                }
                Err(refusal) => {
                    let cause = format!("no other endpoint: {}", refusal.reason.name());
                    return self.failure(cause, false);
                }
            };
            let now = self.gateway.clock.now();
            let remaining = call.remaining(now);
            if remaining.is_zero() {
                return self.deadline_passed();
            }
            let endpoint = assignment.endpoint.clone();
            let send_number = u32::try_from(self.tried.len()).unwrap_or(u32::MAX) + 1;
            record_origin(
                &self.gateway,
                &call,
                send_number,
                assignment.software_version.as_ref(),
            );
            let time_limit = self.attempt_timeout(remaining);
            if let Some(permit) = &mut self.trial {
                permit.set_used(true);
            }
            if let Some(credit) = &mut self.credit {
                credit.begin_send();
            }
            let attempt = send(&self.gateway, &call, assignment, last_event_id, time_limit).await;
            self.tried.insert(endpoint.clone());
            if let Some(credit) = &mut self.credit {
                credit.end_send(attempt.may_have_run());
            }
            if attempt.may_have_run() {
                self.trial = None;
            } else if let Some(permit) = &mut self.trial {
                permit.set_used(false);
            }
            if let Some(done) = self.handle_result(attempt, &endpoint, now) {
                return done;
            }
        }
    }

    /// Assigns the request to an endpoint, unless endpoints crash under it.
    async fn assign(&mut self, call: &Arc<Call>) -> Result<Assignment, Refusal> {
        let gateway = &self.gateway;
        let bound = self.stream_version.bound();
        if self.trial.is_none() {
            self.trial = gateway.admit(call, bound).await?;
        }
        let constraints = Constraints {
            tried: &self.tried,
            software_version: bound,
            next_part_deadline: call.next_part_deadline(self.last_part_at),
            trial: self.trial.as_ref(),
        };
        assign_endpoint(gateway, call, constraints).await
    }

    fn attempt_timeout(&self, remaining: Duration) -> Duration {
        let may_retry = self.call.route.semantics == RequestSemantics::Idempotent
            && self.sends_ran + 1 < self.call.route.max_attempts
            && remaining > IDEMPOTENT_ATTEMPT_TIMEOUT * 3 / 2;
        if may_retry {
            IDEMPOTENT_ATTEMPT_TIMEOUT
        } else {
            remaining + DEADLINE_SLACK
        }
    }

    /// Returns the outcome of the request after an attempt; `None` if it is to be sent again.
    fn handle_result(
        &mut self,
        attempt: AttemptResult,
        endpoint: &str,
        sent_at: Duration,
    ) -> Option<ForwardOutcome> {
        let took = self.gateway.clock.now().saturating_sub(sent_at);
        match attempt {
            AttemptResult::Stream(open) => {
                Some(ForwardOutcome::Answered(AttemptResult::Stream(open)))
            }
            AttemptResult::Complete { head, body } => {
                self.handle_response(head, body, endpoint, took)
            }
            AttemptResult::NotRun { status } => {
                self.log_attempt(endpoint, "not_run", status.as_str(), took);
                self.handle_refusal(true)
            }
            AttemptResult::Denied(refusal) => {
                let reason = refusal.reason.name();
                self.log_attempt(endpoint, "denied", reason, took);
                if self.sends_ran > 0 {
                    return Some(self.failure(reason.to_owned(), false));
                }
                Some(ForwardOutcome::Refused(Refused::ByGateway(refusal)))
            }
            AttemptResult::NotSent { cause } => {
                self.log_attempt(endpoint, "not_sent", &cause, took);
                self.handle_refusal(false)
            }
            AttemptResult::Unknown { cause } => {
                self.log_attempt(endpoint, "broken", &cause, took);
                self.handle_unknown("broken", cause, false)
            }
            AttemptResult::TimedOut => {
                let cause = "no response in time".to_owned();
                self.log_attempt(endpoint, "silent", &cause, took);
                self.handle_unknown("silent", cause, true)
            }
        }
    }

    /// Retries an idempotent request after a server error, as another endpoint may succeed.
    fn handle_response(
        &mut self,
        head: Parts,
        body: BufferedBody,
        endpoint: &str,
        took: Duration,
    ) -> Option<ForwardOutcome> {
        self.sends_ran += 1;
        let failed = head.status.is_server_error();
        let retryable = failed && self.call.route.semantics == RequestSemantics::Idempotent;
        let status = head.status;
        let response = AttemptResult::Complete { head, body };
        if !retryable || !self.take_retry("endpoint_failed") {
            return Some(ForwardOutcome::Answered(response));
        }
        self.log_attempt(endpoint, "endpoint_failed", status.as_str(), took);
        self.failed_response = Some(response);
        None
    }

    fn handle_unknown(
        &mut self,
        reason: &str,
        cause: String,
        timed_out: bool,
    ) -> Option<ForwardOutcome> {
        self.sends_ran += 1;
        let retryable = self.call.route.semantics.is_retryable();
        if retryable && self.take_retry(reason) {
            return None;
        }
        Some(self.failure(cause, timed_out))
    }

    /// Returns the outcome of a request that may have run and is not retried. An endpoint's error
    /// response takes precedence over an error of the gateway.
    fn failure(&mut self, cause: String, timed_out: bool) -> ForwardOutcome {
        match self.failed_response.take() {
            Some(response) => ForwardOutcome::Answered(response),
            None => ForwardOutcome::Failed { cause, timed_out },
        }
    }

    /// Counts a stream that broke after its last part was relayed at `last_part_at`, `None` if there
    /// was none. Returns whether another endpoint may resume it; this takes a retry from the budget.
    pub(crate) fn may_resume(&mut self, last_part_at: Option<Duration>) -> bool {
        self.last_part_at = last_part_at.unwrap_or(self.last_part_at);
        self.sends_ran += 1;
        self.take_retry("stream_broke_off")
    }

    /// Takes a retry from the service's budget for a request that may have run; returns false if
    /// the deadline, the attempt limit, the budget or the exit of the process forbids it.
    fn take_retry(&self, reason: &str) -> bool {
        let now = self.gateway.clock.now();
        let exiting = self
            .gateway
            .answer_deadline()
            .is_some_and(|until| until <= now);
        let in_time = !self.call.remaining(now).is_zero() && !exiting;
        let retry = in_time
            && self.sends_ran < self.call.route.max_attempts
            && self
                .gateway
                .retry_budgets
                .lock()
                .try_take(&self.call.service);
        if retry {
            self.count_retry(reason);
        }
        retry
    }

    /// Retries or ends a request after a send that did not run. `arrived` says whether an endpoint
    /// received it.
    fn handle_refusal(&mut self, arrived: bool) -> Option<ForwardOutcome> {
        self.sends_refused += 1;
        let now = self.gateway.clock.now();
        if self.call.remaining(now).is_zero() {
            return Some(self.deadline_passed());
        }
        // A retry after a refusal by an endpoint takes from the retry budget; a retry after a send
        // that reached no endpoint does not.
        let retry = self.sends_refused < REFUSED_SENDS_MAX
            && (!arrived
                || self
                    .gateway
                    .retry_budgets
                    .lock()
                    .try_take(&self.call.service));
        if retry {
            self.count_retry(if arrived { "refused" } else { "not_sent" });
            return None;
        }
        if self.sends_ran == 0 {
            let software_version = self.stream_version.bound();
            let backoff = self.gateway.backoff_refusal(&self.call, software_version);
            let refused = backoff.map_or(Refused::ByEndpoints, Refused::ByGateway);
            return Some(ForwardOutcome::Refused(refused));
        }
        Some(self.failure("refused after a failure".to_owned(), false))
    }

    fn deadline_passed(&mut self) -> ForwardOutcome {
        if self.sends_ran == 0 {
            return ForwardOutcome::Refused(Refused::TimedOut);
        }
        self.failure("deadline passed".to_owned(), true)
    }

    fn count_retry(&self, reason: &str) {
        let retries = &self.gateway.metrics.retries;
        retries.with_label_values(&[reason]).inc();
    }
}
