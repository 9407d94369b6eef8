//! Sends one request and follows its answer to the end.

use super::{
    answer::{self, StreamText},
    events::{Event, Events},
    outcome::{Measured, Outcome},
    plan::{Ask, Planned},
    settings::LoadSettings,
};
use http_types::{Method, Request, Response, Url, mime};
use radishpin_http::{Client, ClientError, read_body};
use radishpin_protocol::engine::{COMPLETIONS_PATH, CompletionRequest};
use radishpin_runtime::timeout;
use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

/// Header by which a caller shortens its patience.
const DEADLINE_HEADER: &str = "x-deadline-ms";
/// Header by which a caller names a call that may run once only.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Largest answer that is read, in bytes.
const ANSWER_BYTES_MAX: usize = 16 * 1024 * 1024;

/// Times and outcome of an answer on its way.
#[derive(Debug)]
struct Watch {
    due: Instant,
    first: Option<Duration>,
    last: Option<Instant>,
    gaps: Vec<Duration>,
}

impl Watch {
    fn event(&mut self) {
        let now = Instant::now();
        match self.last.replace(now) {
            None => self.first = Some(now.duration_since(self.due)),
            Some(last) => self.gaps.push(now.duration_since(last)),
        }
    }
}

/// Sends a request that was due at `due`, and waits for the end of its answer.
pub(super) async fn call(
    client: &Client,
    address: SocketAddr,
    settings: &LoadSettings,
    planned: &Planned,
    due: Instant,
) -> Measured {
    let mut watch = Watch {
        due,
        first: None,
        last: None,
        gaps: Vec::new(),
    };
    let exchange = exchange(client, address, settings, planned, &mut watch);
    let outcome = timeout(settings.wait, exchange).await;
    let outcome = outcome.unwrap_or_else(|| {
        log_drop(planned, due, "no answer in time");
        Outcome::Dropped
    });
    Measured {
        outcome,
        first: watch.first,
        end: due.elapsed(),
        gaps: watch.gaps,
    }
}

async fn exchange(
    client: &Client,
    address: SocketAddr,
    settings: &LoadSettings,
    planned: &Planned,
    watch: &mut Watch,
) -> Outcome {
    let Some(request) = request(address, settings, planned) else {
        return Outcome::NotConnected;
    };
    let mut response = match client.send(address, request).await {
        Ok(response) => response,
        Err(ClientError::Connect(_)) => return Outcome::NotConnected,
        Err(ClientError::Broken(cause)) => {
            log_drop(planned, watch.due, &cause.to_string());
            return Outcome::Dropped;
        }
    };
    let is_stream = response
        .content_type()
        .is_some_and(|kind| kind.essence() == "text/event-stream");
    match &planned.ask {
        Ask::Completion { model, .. } if is_stream => {
            let expected = answer::expected(model, &planned.marker, settings.max_tokens);
            follow(response, &expected, watch).await
        }
        Ask::Completion { model, .. } => {
            let expected = answer::expected(model, &planned.marker, settings.max_tokens);
            whole(&mut response, watch, |body| {
                answer::completion(body, &expected)
            })
            .await
        }
        Ask::Service { .. } => {
            let check = |body: &str| answer::service(body, &planned.marker);
            whole(&mut response, watch, check).await
        }
    }
}

fn log_drop(planned: &Planned, due: Instant, cause: &str) {
    log::debug!(
        event = "call_dropped", marker = planned.marker.as_str(), ask:? = planned.ask,
        waited_ms = due.elapsed().as_millis() as u64, cause = cause;
        "a call got no answer"
    );
}

/// Reads a whole answer; a body that breaks off has been cut short.
async fn whole(
    response: &mut Response,
    watch: &mut Watch,
    check: impl FnOnce(&str) -> Outcome,
) -> Outcome {
    let status = u16::from(response.status());
    let Ok(body) = read_body(response, ANSWER_BYTES_MAX).await else {
        return Outcome::Cut;
    };
    let body = String::from_utf8_lossy(&body);
    watch.event();
    match status {
        200 => check(&body),
        _ => answer::refused(status, &body),
    }
}

async fn follow(mut response: Response, expected: &str, watch: &mut Watch) -> Outcome {
    let mut events = Events::new(response.take_body());
    let mut text = StreamText::default();
    loop {
        match events.next().await {
            Ok(Event::Data(data)) => {
                watch.event();
                if !text.take(&data) {
                    return Outcome::Wrong;
                }
            }
            Ok(Event::Done) => {
                drain(&mut events).await;
                return text.outcome(true, expected);
            }
            Ok(Event::End) | Err(_) => return text.outcome(false, expected),
        }
    }
}

/// Reads to the end of the body, so that the connection can be used again.
async fn drain(events: &mut Events) {
    while let Ok(Event::Data(_) | Event::Done) = events.next().await {}
}

fn request(address: SocketAddr, settings: &LoadSettings, planned: &Planned) -> Option<Request> {
    let path = match &planned.ask {
        Ask::Completion { .. } => COMPLETIONS_PATH.to_owned(),
        Ask::Service { name } => format!("/services/{name}/orders"),
    };
    let url = Url::parse(&format!("http://{address}{path}")).ok()?;
    let mut request = Request::new(Method::Post, url);
    match &planned.ask {
        Ask::Completion { model, stream } => {
            let body = completion_body(model, *stream, settings, &planned.marker);
            request.set_body(body);
            request.set_content_type(mime::JSON);
        }
        Ask::Service { .. } => {
            request.set_body(planned.marker.as_str());
            request.insert_header(IDEMPOTENCY_KEY_HEADER, planned.marker.as_str());
        }
    }
    if let Some(deadline) = settings.deadline {
        request.insert_header(DEADLINE_HEADER, deadline.as_millis().to_string());
    }
    Some(request)
}

fn completion_body(model: &str, stream: bool, settings: &LoadSettings, prompt: &str) -> String {
    let body = CompletionRequest {
        model: model.to_owned(),
        prompt: Some(prompt.into()),
        messages: None,
        max_tokens: Some(settings.max_tokens),
        stream,
    };
    // Only strings, numbers and booleans: serialization cannot fail.
    serde_json::to_string(&body).unwrap_or_default()
}
