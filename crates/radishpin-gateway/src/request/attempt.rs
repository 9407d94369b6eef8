//! One send of a request to one endpoint.

use super::{
    assignment::Assignment,
    call::{Call, header_text},
};
use crate::{
    connection::{ExchangeError, PooledConnection, keep_alive},
    process::Gateway,
};
use bytes::Bytes;
use futures_lite::future;
use http::{StatusCode, response::Parts};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use radishpin_adapter::{LoadHeader, header as wire};
use radishpin_core::process::RequestOutcome;
use radishpin_protocol::prelude::*;
use radishpin_runtime::{Runtime, timeout};

/// Bytes of an answer that is collected whole, at most.
const WHOLE_BYTES_MAX: usize = 64 * 1024 * 1024;

/// How an attempt went.
#[derive(Debug)]
pub(crate) enum AttemptResult {
    /// A whole answer of the endpoint.
    Complete { head: Parts, body: Bytes },
    /// The head of a stream.
    Stream(Box<OpenStream>),
    /// The endpoint did not run the request.
    NotRun { status: StatusCode },
    /// No byte of it reached an endpoint.
    NotSent { cause: String },
    /// It may have run, or still run.
    Unknown { cause: String },
    /// The time for it is over; it may have run, or still run.
    TimedOut,
}

/// A stream whose head has come.
#[derive(Debug)]
pub(crate) struct OpenStream {
    pub(crate) head: Parts,
    pub(crate) body: Incoming,
    pub(crate) assignment: Assignment,
    pub(crate) pooled: PooledConnection,
    pub(crate) keep_alive: Option<Duration>,
}

/// Sends a request to the endpoint of its place, for at most `patience`.
pub(crate) async fn send(
    gateway: &Gateway,
    call: &Call,
    assignment: Assignment,
    last_event_id: Option<&str>,
    patience: Duration,
) -> AttemptResult {
    let exchange = exchange(gateway, call, assignment, last_event_id);
    let exchange = future::or(exchange, last_answers(gateway));
    match timeout(patience, exchange).await {
        Some(attempt) => attempt,
        None => AttemptResult::TimedOut,
    }
}

/// Gives a request up shortly before the process exits: its caller is told that it has no answer.
async fn last_answers(gateway: &Gateway) -> AttemptResult {
    gateway.shutdown.draining().await;
    let until = gateway.answers_until().unwrap_or_default();
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
    // A kept connection may have ended unnoticed; what was not written is sent on another one.
    loop {
        let taken = gateway
            .pool
            .take(&assignment.endpoint, assignment.address, limit)
            .await;
        let mut pooled = match taken {
            Ok(Some(pooled)) => pooled,
            Ok(None) => {
                assignment.end(RequestOutcome::Refused);
                return AttemptResult::NotSent {
                    cause: "no connection left".to_owned(),
                };
            }
            Err(cause) => {
                assignment.end(RequestOutcome::Unreachable);
                return AttemptResult::NotSent {
                    cause: cause.to_string(),
                };
            }
        };
        let request =
            call.endpoint_request(&assignment.endpoint, last_event_id, gateway.clock.now());
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
                return receive(gateway, call, assignment, pooled, head, body).await;
            }
            Err(ExchangeError::NotSent) if pooled.reused => {}
            Err(ExchangeError::NotSent) => {
                assignment.end(RequestOutcome::Unreachable);
                return AttemptResult::NotSent {
                    cause: "connection ended at once".to_owned(),
                };
            }
            Err(cause) => {
                assignment.end(RequestOutcome::Failed);
                return AttemptResult::Unknown {
                    cause: cause.to_string(),
                };
            }
        }
    }
}

async fn receive(
    gateway: &Gateway,
    call: &Call,
    assignment: Assignment,
    pooled: PooledConnection,
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
    let answers_this = header_text(&head.headers, wire::ATTEMPT_ID) == Some(call.id.as_str());
    if !answers_this && !call.id.is_empty() {
        // A late second answer to an earlier request; the one to this request can't be told from it.
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: "answer to another request".to_owned(),
        };
    }
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    let not_run = head.headers.contains_key(wire::NOT_RUN);
    if promises_not_run(head.status) && !not_run {
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: format!("status {} without word that it did not run", head.status),
        };
    }
    if head.status.is_success() && !head.headers.contains_key(wire::SIGNATURE) {
        assignment.end(RequestOutcome::Failed);
        return AttemptResult::Unknown {
            cause: "answer without a signature".to_owned(),
        };
    }
    let keep_alive = keep_alive(&head.headers);
    if head.status.is_success() && call.route.repetition.is_stream() {
        return AttemptResult::Stream(Box::new(OpenStream {
            head,
            body,
            assignment,
            pooled,
            keep_alive,
        }));
    }
    let body = match Limited::new(body, WHOLE_BYTES_MAX).collect().await {
        Ok(body) => body.to_bytes(),
        // What has been refused has been refused, whatever became of the text.
        Err(_) if not_run || misdirected => Bytes::new(),
        Err(cause) => {
            assignment.end(RequestOutcome::Failed);
            return AttemptResult::Unknown {
                cause: cause.to_string(),
            };
        }
    };
    gateway
        .pool
        .release(&assignment.endpoint, pooled, keep_alive);
    let outcome = match head.status {
        StatusCode::MISDIRECTED_REQUEST => RequestOutcome::Misdirected,
        _ if not_run => RequestOutcome::Refused,
        status if status.is_server_error() => RequestOutcome::Failed,
        _ => assignment.served(),
    };
    assignment.end(outcome);
    if not_run || misdirected {
        return AttemptResult::NotRun {
            status: head.status,
        };
    }
    AttemptResult::Complete { head, body }
}

/// Statuses that tell callers that a request has not run; without the endpoint's own word they must
/// not be passed on.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
