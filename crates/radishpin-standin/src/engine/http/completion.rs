//! JSON of completion requests and their answers.

use super::super::{Call, CallRequest, stream::TokenStream};
use crate::reply;
use http_types::{Body, Request, Response, StatusCode};
use radishpin_protocol::engine::{
    CompletionRequest, EngineErrorKind, PRIORITY_HEADER, REQUEST_ID_HEADER, RESUME_OFFSET_HEADER,
};
use serde_json::{Value, json};

/// Priority of a request without the header.
const DEFAULT_PRIORITY: u32 = 5;

/// White space before an answer that is to come in several reads.
const PADDING_BYTES: usize = 256 * 1024;

/// Which of the two usual forms an answer has.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Shape {
    /// `/v1/completions`.
    Text,
    /// `/v1/chat/completions`.
    Chat,
}

/// A completion as asked for.
pub(super) struct Asked {
    pub(super) call: CallRequest,
    pub(super) stream: bool,
}

/// Reads a completion request.
pub(super) fn read(request: &Request, body: &[u8]) -> Result<Asked, EngineErrorKind> {
    let document: CompletionRequest =
        serde_json::from_slice(body).map_err(|_| EngineErrorKind::BadRequest)?;
    let attempt = request.header(REQUEST_ID_HEADER).map_or_else(
        || "unnamed/1".to_owned(),
        |values| values.last().to_string(),
    );
    let call = CallRequest {
        attempt,
        prompt: document.prompt_text(),
        tokens: document.max_output_tokens(),
        offset: number(request, RESUME_OFFSET_HEADER, 0)?,
        priority: number(request, PRIORITY_HEADER, DEFAULT_PRIORITY)?,
        model: document.model,
    };
    Ok(Asked {
        call,
        stream: document.stream,
    })
}

/// A whole answer.
pub(super) fn whole(shape: Shape, call: &Call, tokens: &[String]) -> Response {
    let text = tokens.concat();
    let prompt_tokens = call.request.prompt.split_whitespace().count();
    let body = json!({
        "id": call.answer_attempt(),
        "object": shape.object(false),
        "model": call.request.model,
        "choices": [shape.choice(&text)],
        "usage": {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens.len(),
            "total_tokens": prompt_tokens + tokens.len(),
        },
    });
    let mut response = reply::json(200, &body);
    response.insert_header(REQUEST_ID_HEADER, call.answer_attempt());
    response
}

/// Pads an answer with white space, so that it comes in several reads.
pub(super) async fn lengthen(response: &mut Response) {
    let content_type = response.header("content-type").cloned();
    let body = response.take_body().into_string().await;
    let padding = " ".repeat(PADDING_BYTES);
    response.set_body(padding + &body.unwrap_or_default());
    if let Some(content_type) = content_type {
        response.insert_header("content-type", &content_type);
    }
}

/// An answer as server-sent events.
pub(super) fn streamed(shape: Shape, call: Call) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.insert_header(REQUEST_ID_HEADER, call.answer_attempt());
    let model = call.request.model.clone();
    let payload = move |attempt: &str, token: &str| {
        let event = json!({
            "id": attempt,
            "object": shape.object(true),
            "model": model,
            "choices": [shape.delta(token)],
        });
        event.to_string()
    };
    let stream = TokenStream::new(call, Box::new(payload));
    response.set_body(Body::from_reader(stream, None));
    response.insert_header("content-type", "text/event-stream");
    response
}

impl Shape {
    fn object(self, streamed: bool) -> &'static str {
        match (self, streamed) {
            (Self::Text, _) => "text_completion",
            (Self::Chat, false) => "chat.completion",
            (Self::Chat, true) => "chat.completion.chunk",
        }
    }

    fn choice(self, text: &str) -> Value {
        match self {
            Self::Text => json!({"index": 0, "text": text, "finish_reason": "length"}),
            Self::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": "length",
            }),
        }
    }

    fn delta(self, token: &str) -> Value {
        match self {
            Self::Text => json!({"index": 0, "text": token}),
            Self::Chat => json!({"index": 0, "delta": {"content": token}}),
        }
    }
}

fn number(request: &Request, header: &str, default: u32) -> Result<u32, EngineErrorKind> {
    let Some(values) = request.header(header) else {
        return Ok(default);
    };
    let text = values.last().as_str();
    text.parse().map_err(|_| EngineErrorKind::BadRequest)
}
