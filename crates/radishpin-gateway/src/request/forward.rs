//! The way of a request through a gateway.

use super::{
    assignment::assign_endpoint,
    attempt::{AttemptResult, send},
    call::Call,
    response::{
        ResponseBody, full_body, gateway_response, refusal_response, remove_connection_headers,
    },
    stream::stream_response,
};
use crate::process::Gateway;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header, response::Parts};
use hyper::body::Incoming;
use radishpin_core::{process::Refusal, version::Repetition};
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Time after which an idempotent request without an answer is tried elsewhere.
const SILENCE_MAX: Duration = Duration::from_millis(300);
/// Time that an answer may take beyond the deadline that its endpoint was told.
const DEADLINE_SLACK: Duration = Duration::from_millis(60);
/// When a caller may come back whose request was refused by endpoints.
const REFUSED_RETRY: Duration = Duration::from_millis(400);
/// Sends that did not reach an endpoint, or that endpoints refused, at most.
const REFUSED_SENDS_MAX: usize = 3;

/// Serves one request.
pub(crate) async fn serve_request(
    gateway: Arc<Gateway>,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let mut response = match Call::read(&gateway, request).await {
        Ok(call) => {
            let forward = Forward::new(gateway.clone(), Arc::new(call));
            if gateway.comes_too_late(&forward.call.route) {
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

/// A request and what became of its sends so far.
pub(crate) struct Forward {
    pub(crate) gateway: Arc<Gateway>,
    pub(crate) call: Arc<Call>,
    tried: BTreeSet<EndpointId>,
    /// When the caller got the last part of its answer; at first, when its request came.
    last_part_at: Duration,
    /// Sends that may have run.
    ran: u32,
    /// Sends that have not run.
    refused: usize,
    /// A failure that an endpoint answered, in case no other endpoint does better.
    failure: Option<AttemptResult>,
}

/// What the endpoints made of a request.
pub(crate) enum ForwardOutcome {
    /// An endpoint's answer, or the head of its stream.
    Answered(AttemptResult),
    /// It has not run.
    Refused(Refused),
    /// It may have run.
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
        gateway.budgets.lock().record_request(&call.service);
        Self {
            last_part_at: call.received_at,
            gateway,
            call,
            tried: BTreeSet::new(),
            ran: 0,
            refused: 0,
            failure: None,
        }
    }

    async fn run(mut self) -> Response<ResponseBody> {
        match self.forward(None).await {
            ForwardOutcome::Answered(AttemptResult::Stream(open)) => {
                self.observe_first_byte();
                stream_response(self, *open)
            }
            ForwardOutcome::Answered(AttemptResult::Complete { mut head, body }) => {
                self.observe_first_byte();
                self.finish("answered", head.status, "-");
                remove_connection_headers(&mut head.headers);
                Response::from_parts(head, full_body(body))
            }
            ForwardOutcome::Answered(_) => self.fail("no answer", StatusCode::BAD_GATEWAY),
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

    /// Sends the request until an endpoint answers, or it can't be sent again.
    pub(crate) async fn forward(&mut self, last_event_id: Option<&str>) -> ForwardOutcome {
        loop {
            let call = Arc::clone(&self.call);
            let next_part_deadline = call.next_part_deadline(self.last_part_at);
            let assignment = match assign_endpoint(
                &self.gateway,
                &call,
                &self.tried,
                next_part_deadline,
            )
            .await
            {
                Ok(assignment) => assignment,
                Err(refusal) if self.ran == 0 => {
                    return ForwardOutcome::Refused(Refused::ByGateway(refusal));
                }
                Err(refusal) => {
                    let cause = format!("no other endpoint: {}", refusal.reason.name());
                    return self.failed(cause, false);
                }
            };
            let now = self.gateway.clock.now();
            let remaining = call.remaining(now);
            if remaining.is_zero() {
                return self.out_of_time();
            }
            let endpoint = assignment.endpoint.clone();
            let patience = self.patience(remaining);
            let attempt = send(&self.gateway, &call, assignment, last_event_id, patience).await;
            self.tried.insert(endpoint.clone());
            if let Some(done) = self.settle(attempt, &endpoint, now) {
                return done;
            }
        }
    }

    fn patience(&self, remaining: Duration) -> Duration {
        let may_try_again = self.call.route.repetition == Repetition::Idempotent
            && self.ran + 1 < self.call.route.max_attempts
            && remaining > SILENCE_MAX * 3 / 2;
        if may_try_again {
            SILENCE_MAX
        } else {
            remaining + DEADLINE_SLACK
        }
    }

    /// What an attempt means for the request; `None` where it is sent again.
    fn settle(
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
                self.settle_answer(head, body, endpoint, took)
            }
            AttemptResult::NotRun { status } => {
                self.log_attempt(endpoint, "not_run", status.as_str(), took);
                self.settle_refusal(true)
            }
            AttemptResult::NotSent { cause } => {
                self.log_attempt(endpoint, "not_sent", &cause, took);
                self.settle_refusal(false)
            }
            AttemptResult::Unknown { cause } => {
                self.log_attempt(endpoint, "broken", &cause, took);
                self.settle_unknown("broken", cause, false)
            }
            AttemptResult::TimedOut => {
                let cause = "no answer in time".to_owned();
                self.log_attempt(endpoint, "silent", &cause, took);
                self.settle_unknown("silent", cause, true)
            }
        }
    }

    /// An endpoint's failure may be another endpoint's success, where a request may run twice.
    fn settle_answer(
        &mut self,
        head: Parts,
        body: Bytes,
        endpoint: &str,
        took: Duration,
    ) -> Option<ForwardOutcome> {
        self.ran += 1;
        let failed = head.status.is_server_error();
        let repeatable = failed && self.call.route.repetition == Repetition::Idempotent;
        let status = head.status;
        let answer = AttemptResult::Complete { head, body };
        if !repeatable || !self.may_run_again("endpoint_failed") {
            return Some(ForwardOutcome::Answered(answer));
        }
        self.log_attempt(endpoint, "endpoint_failed", status.as_str(), took);
        self.failure = Some(answer);
        None
    }

    fn settle_unknown(
        &mut self,
        reason: &str,
        cause: String,
        timed_out: bool,
    ) -> Option<ForwardOutcome> {
        self.ran += 1;
        let repeatable = self.call.route.repetition.may_repeat();
        if repeatable && self.may_run_again(reason) {
            return None;
        }
        Some(self.failed(cause, timed_out))
    }

    /// The end of a request that has run without success: an endpoint's own failure goes first.
    fn failed(&mut self, cause: String, timed_out: bool) -> ForwardOutcome {
        match self.failure.take() {
            Some(answer) => ForwardOutcome::Answered(answer),
            None => ForwardOutcome::Failed { cause, timed_out },
        }
    }

    /// Counts a stream that broke off after a part at `last_part_at`; returns whether another
    /// endpoint may go on with it.
    pub(crate) fn may_resume(&mut self, last_part_at: Option<Duration>) -> bool {
        self.last_part_at = last_part_at.unwrap_or(self.last_part_at);
        self.ran += 1;
        self.may_run_again("stream_broke_off")
    }

    /// Whether a request that may have run is sent again.
    fn may_run_again(&self, reason: &str) -> bool {
        let now = self.gateway.clock.now();
        let exits = self
            .gateway
            .answers_until()
            .is_some_and(|until| until <= now);
        let left = !self.call.remaining(now).is_zero() && !exits;
        let again = left
            && self.ran < self.call.route.max_attempts
            && self.gateway.budgets.lock().try_take(&self.call.service);
        if again {
            self.count_retry(reason);
        }
        again
    }

    /// A send that did not run; `arrived` tells whether an endpoint saw it.
    fn settle_refusal(&mut self, arrived: bool) -> Option<ForwardOutcome> {
        self.refused += 1;
        let now = self.gateway.clock.now();
        if self.call.remaining(now).is_zero() {
            return Some(self.out_of_time());
        }
        // A send that an endpoint saw counts against the retry budget, one that none saw doesn't.
        let again = self.refused < REFUSED_SENDS_MAX
            && (!arrived || self.gateway.budgets.lock().try_take(&self.call.service));
        if again {
            self.count_retry(if arrived { "refused" } else { "not_sent" });
            return None;
        }
        if self.ran == 0 {
            return Some(ForwardOutcome::Refused(Refused::ByEndpoints));
        }
        Some(self.failed("refused after a failure".to_owned(), false))
    }

    fn out_of_time(&mut self) -> ForwardOutcome {
        if self.ran == 0 {
            return ForwardOutcome::Refused(Refused::TimedOut);
        }
        self.failed("out of time".to_owned(), true)
    }

    fn count_retry(&self, reason: &str) {
        let retries = &self.gateway.metrics.retries;
        retries.with_label_values(&[reason]).inc();
    }

    fn refuse(&self, refused: &Refused) -> Response<ResponseBody> {
        let (reason, retry_after) = match refused {
            Refused::ByGateway(refusal) => (refusal.reason.name(), refusal.retry_after),
            Refused::ByEndpoints => ("refused_by_endpoints", REFUSED_RETRY),
            Refused::TimedOut => ("out_of_time", REFUSED_RETRY),
        };
        self.gateway
            .metrics
            .refusals
            .with_label_values(&[reason])
            .inc();
        self.finish("refused", StatusCode::SERVICE_UNAVAILABLE, reason);
        refusal_response(reason, retry_after)
    }

    fn fail(&self, cause: &str, status: StatusCode) -> Response<ResponseBody> {
        self.finish("failed", status, cause);
        gateway_response(
            status,
            "the endpoint gave no answer; the request may have run",
        )
    }

    fn observe_first_byte(&self) {
        let took = self
            .gateway
            .clock
            .now()
            .saturating_sub(self.call.received_at);
        self.gateway
            .metrics
            .first_byte_s
            .observe(took.as_secs_f64());
    }

    fn log_attempt(&self, endpoint: &str, outcome: &str, cause: &str, took: Duration) {
        log::info!(
            event = "attempt_failed", request = self.call.id, endpoint = endpoint, outcome = outcome,
            cause = cause, took_ms = took.as_millis() as u64, sends_refused = self.refused, sends_ran = self.ran;
            "attempt brought no answer"
        );
    }

    /// Records the end of the request.
    pub(crate) fn finish(&self, outcome: &str, status: StatusCode, reason: &str) {
        let took = self
            .gateway
            .clock
            .now()
            .saturating_sub(self.call.received_at);
        self.gateway.metrics.answer_s.observe(took.as_secs_f64());
        self.gateway
            .metrics
            .requests
            .with_label_values(&[outcome])
            .inc();
        let model = self.call.target.as_ref().map_or("-", |(model, _)| model);
        log::info!(
            event = "request_ended", request = self.call.id, route = self.call.route.name, model = model,
            outcome = outcome, status = status.as_u16(), reason = reason, took_ms = took.as_millis() as u64,
            sends_ran = self.ran, sends_refused = self.refused, configuration = self.call.catalog_version;
            "request ended"
        );
    }
}
