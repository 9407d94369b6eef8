//! Ends of requests: refusals and errors of the gateway itself, metrics and log lines.

use super::{Forward, Refused};
use crate::request::response::{ResponseBody, access_response, gateway_response, refusal_response};
use http::{Response, StatusCode};
use radishpin_core::process::RefusalReason;
use radishpin_protocol::prelude::*;

/// Retry-After of a request that was refused by endpoints or ran out of time before it ran.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(400);

impl Forward {
    pub(super) fn refuse(&self, refused: &Refused) -> Response<ResponseBody> {
        let unauthorized = match refused {
            Refused::ByGateway(refusal) if refusal.reason.is_unauthorized() => Some(refusal),
            _ => None,
        };
        let is_over_quota = match refused {
            Refused::ByGateway(refusal) => refusal.reason == RefusalReason::OverQuota,
            Refused::ByEndpoints | Refused::TimedOut => false,
        };
        let (reason, retry_after) = match refused {
            Refused::ByGateway(refusal) => (refusal.reason.name(), refusal.retry_after),
            Refused::ByEndpoints => ("refused_by_endpoints", REFUSED_RETRY_AFTER),
            Refused::TimedOut => ("out_of_time", REFUSED_RETRY_AFTER),
        };
        self.gateway
            .metrics
            .refusals
            .with_label_values(&[reason])
            .inc();
        let mut response = match unauthorized {
            Some(refusal) => access_response(refusal, true),
            None => refusal_response(reason, retry_after),
        };
        if is_over_quota {
            *response.status_mut() = StatusCode::TOO_MANY_REQUESTS;
        }
        self.finish("refused", response.status(), reason);
        response
    }

    pub(super) fn fail(&self, cause: &str, status: StatusCode) -> Response<ResponseBody> {
        self.finish("failed", status, cause);
        gateway_response(
            status,
            "the endpoint gave no answer; the request may have run",
        )
    }

    pub(super) fn observe_first_byte(&self) {
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

    pub(super) fn log_attempt(&self, endpoint: &str, outcome: &str, cause: &str, took: Duration) {
        log::info!(
            event = "attempt_failed", request = self.call.id, endpoint = endpoint, outcome = outcome,
            cause = cause, took_ms = took.as_millis() as u64, sends_refused = self.sends_refused, sends_ran = self.sends_ran;
            "attempt failed"
        );
    }

    /// Records the end of the request in the metrics and the log.
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
            sends_ran = self.sends_ran, sends_refused = self.sends_refused, configuration = self.call.catalog_version;
            "request ended"
        );
    }
}
