//! One attempt to run a request at one endpoint.

use super::{
    assignment::Assignment,
    call::{Call, header_text},
};
use crate::{
    connection::{BodyError, BufferedBody, ExchangeError, PooledConnection, keep_alive},
    process::Gateway,
};
use futures_lite::future;
use http::{StatusCode, header, response::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use radishpin_adapter::{LoadHeader, header as wire};
use radishpin_core::process::{Refusal, RequestOutcome};
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};

/// Largest body of a refusal that is read to keep its connection, in bytes.
const REFUSAL_BYTES_MAX: usize = 64 * 1024;
/// Longest time to read it.
const REFUSAL_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// Result of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// The endpoint's response with its complete body, which may be an error of the endpoint.
    Complete { head: Parts, body: BufferedBody },
    /// A stream of which only the head has been received.
    Stream(Box<OpenStream>),
    /// The endpoint did not run the request.
    NotRun { status: StatusCode },
    /// The request must not be sent any more, and this attempt did not send it.
    Denied(Refusal),
    /// No byte of the request reached an endpoint.
    NotSent { cause: String },
    /// The attempt failed after the request was sent; the request may have run or still be running.
    Unknown { cause: String },
    /// No response arrived in time; the request may have run or still be running.
    TimedOut,
}

impl AttemptResult {
    /// Whether an endpoint may have begun to run the request.
    pub(crate) fn may_have_run(&self) -> bool {
        match self {
            Self::Complete { .. } | Self::Stream(_) | Self::Unknown { .. } | Self::TimedOut => true,
            Self::NotRun { .. } | Self::Denied(_) | Self::NotSent { .. } => false,
        }
    }
}

/// A successful response to a streaming request, whose body has not been read yet.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) assignment: Assignment,
    pub(crate) pooled: PooledConnection,
    pub(crate) keep_alive: Option<Duration>,
}

/// Sends a request to its assigned endpoint and waits at most `time_limit` for the response, or for
/// the head of a stream. `last_event_id` resumes a stream.
pub(crate) async fn send(
    gateway: &Gateway,
    call: &Call,
    assignment: Assignment,
    last_event_id: Option<&str>,
    time_limit: Duration,
) -> AttemptResult {
    let exchange = exchange(gateway, call, assignment, last_event_id);
    let exchange = future::or(exchange, give_up_before_exit(gateway));
    match timeout(time_limit, exchange).await {
        Some(attempt) => attempt,
        None => AttemptResult::TimedOut,
    }
}

/// Times an attempt out shortly before the process exits, so that its caller still gets an error
/// response.
async fn give_up_before_exit(gateway: &Gateway) -> AttemptResult {
    gateway.shutdown.drain_started().await;
    let until = gateway.answer_deadline().unwrap_or_default();
    Runtime::sleep(until.saturating_sub(gateway.clock.now())).await;
    AttemptResult::TimedOut
}

async fn exchange(
    gateway: &Gateway,
    call: &Call,
    assignment: Assignment,
    last_event_id: Option<&str>,
) -> AttemptResult {
    let limit = gateway.fleet.lock().connection_share(&call.service);
    // The endpoint may have closed an idle connection unnoticed. A request of which nothing was
    // written is sent again on another connection.
    loop {
        let acquired = gateway
            .pool
            .take(&assignment.endpoint, assignment.address, limit, &call.id)
            .await;
        let mut pooled = match acquired {
            Ok(Some(pooled)) => pooled,
            Ok(None) => {
                assignment.end(RequestOutcome::Refused);
                return AttemptResult::NotSent {
                    cause: "connection limit of the endpoint reached".to_owned(),
                };
            }
            Err(cause) => {
                if cause.is_connection_refused() {
                    gateway.endpoint_refuses_connections(&assignment.endpoint);
                }
                assignment.end(RequestOutcome::Unreachable);
                return AttemptResult::NotSent {
                    cause: cause.to_string(),
                };
            }
        };
        // Nothing may have to wait between the checks and the send. `send` reports a connection that broke.
        let _ = pooled.connection.wait_until_ready().await;
        let now = gateway.clock.now();
        if let Err(cause) = check_before_send(gateway, &assignment, now) {
            assignment.end(RequestOutcome::Refused);
            return AttemptResult::NotSent {
                cause: cause.to_owned(),
            };
        }
        let sender = match gateway.check_customer(call) {
            Ok(sender) => sender,
            Err(refusal) => {
                assignment.end(RequestOutcome::Canceled);
                return AttemptResult::Denied(refusal);
            }
        };
        let request = call.endpoint_request(&assignment, &sender, last_event_id, now);
        let request = match request {
            Ok(request) => request,
            Err(cause) => {
                assignment.end(RequestOutcome::Canceled);
                return AttemptResult::NotSent {
                    cause: cause.to_string(),
                };
            }
        };
        match pooled.connection.send(request).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                return receive_response(gateway, call, assignment, pooled, head, body).await;
            }
            Err(ExchangeError::NotSent) if pooled.reused => {}
            Err(ExchangeError::NotSent) => {
                assignment.end(RequestOutcome::Unreachable);
                return AttemptResult::NotSent {
                    cause: "new connection closed before the request was sent".to_owned(),
                };
            }
            Err(cause) => {
                assignment.end(RequestOutcome::Broken);
                return AttemptResult::Unknown {
                    cause: cause.to_string(),
                };
            }
        }
    }
}

/// Checks directly before a request is sent what may have changed since it was assigned to its endpoint.
///
/// # Errors
/// Why the request must not be sent to this endpoint.
fn check_before_send(
    gateway: &Gateway,
    assignment: &Assignment,
    now: Duration,
) -> Result<(), &'static str> {
    if !gateway.fleet.lock().may_send(&assignment.endpoint, now) {
        return Err("the endpoint drains or asks for a backoff");
    }
    Ok(())
}

async fn receive_response(
    gateway: &Gateway,
    call: &Call,
    mut assignment: Assignment,
    mut pooled: PooledConnection,
    head: Parts,
    body: Incoming,
) -> AttemptResult {
    if let Some(load) = header_text(&head.headers, wire::LOAD).and_then(LoadHeader::parse) {
        let in_use = load.running.saturating_add(load.waiting);
        gateway
            .fleet
            .lock()
            .record_load(&assignment.endpoint, in_use);
    }
    record_limit(gateway, &assignment, &head);
    record_availability(gateway, call, &assignment, &head);
    let id_matches = header_text(&head.headers, wire::ATTEMPT_ID) == Some(call.id.as_str());
    if !id_matches && !call.id.is_empty() {
        // The connection carries a late response to an earlier request, so the response to this
        // request can't be identified any more.
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: "response to another request".to_owned(),
        };
    }
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = head.headers.contains_key(wire::NOT_RUN);
    if implies_not_run(head.status) && !not_run {
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: format!(
                "status {} without the header that the request did not run",
                head.status
            ),
        };
    }
    if head.status.is_success() && !head.headers.contains_key(wire::SIGNATURE) {
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: "response without a signature".to_owned(),
        };
    }
    let keep_alive = keep_alive(&head.headers);
    if head.status.is_success() && call.route.semantics.is_stream() {
        return AttemptResult::Stream(Box::new(OpenStream {
            head,
            body,
            assignment,
            pooled,
            keep_alive,
        }));
    }
    if not_run || misdirected {
        // The head alone proves that the request did not run.
        let body = Limited::new(body, REFUSAL_BYTES_MAX).collect();
        if timeout(REFUSAL_BODY_TIMEOUT, body)
            .await
            .is_some_and(|body| body.is_ok())
        {
            pooled.record_refusal(&call.id);
            let pool = &gateway.pool;
            pool.release(&assignment.endpoint, pooled, keep_alive);
        }
        assignment.end(match misdirected {
            true => RequestOutcome::Misdirected,
            false => RequestOutcome::Refused,
        });
        return AttemptResult::NotRun {
            status: head.status,
        };
    }
    let body = match gateway.body_budget.read(&gateway.memory_budget, body).await {
        Ok(body) => body,
        Err(cause) => {
            assignment.end(match cause {
                BodyError::Broken(_) => RequestOutcome::Broken,
                BodyError::TooLarge | BodyError::NoRoom => RequestOutcome::Failed,
            });
            return AttemptResult::Unknown {
                cause: cause.to_string(),
            };
        }
    };
    gateway
        .pool
        .release(&assignment.endpoint, pooled, keep_alive);
    assignment.answered();
    let outcome = match head.status.is_server_error() {
        true => RequestOutcome::Failed,
        false => assignment.served(),
    };
    if !head.status.is_success() {
        assignment.end_exposure();
    }
    assignment.end(outcome);
    AttemptResult::Complete { head, body }
}

/// Records the limit that an endpoint states in its response.
fn record_limit(gateway: &Gateway, assignment: &Assignment, head: &Parts) {
    let text = head.headers.get(wire::LIMIT);
    // A value that is not text cannot be read, which is not the same as no value.
    let text = text.map(|value| value.to_str().unwrap_or_default());
    let statement = wire::parse_limit(text);
    gateway.record_limit(&assignment.endpoint, statement, assignment.started_at);
}

/// Records what an endpoint states in its response about when it takes requests.
fn record_availability(gateway: &Gateway, call: &Call, assignment: &Assignment, head: &Parts) {
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        // Another endpoint may have the address and speak of itself.
        return;
    }
    let draining = header_text(&head.headers, wire::DRAINING).is_some_and(wire::parse_draining);
    if draining {
        gateway.record_draining(&call.id, assignment);
    }
    if head.status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let backoff = header_text(&head.headers, header::RETRY_AFTER.as_str());
    if let Some(backoff) = backoff.and_then(wire::parse_retry_after) {
        gateway.record_backoff(&call.id, assignment, backoff);
    }
}

/// Whether callers take this status to mean that the request did not run. It must not be relayed
/// unless the endpoint confirms that with the not-executed header.
fn implies_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
