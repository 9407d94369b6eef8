//! Checks an answer against what the stand-ins answer to the request.

use super::outcome::{Outcome, Refused};
use radishpin_protocol::Ran;
use radishpin_standin::{ServiceReply, token};
use serde::Deserialize;

/// A completion, or one event of it.
#[derive(Debug, Deserialize)]
struct Completion {
    #[serde(default)]
    choices: Vec<Choice>,
    #[serde(default)]
    error: Option<ErrorFields>,
}

#[derive(Debug, Deserialize)]
struct Choice {
    #[serde(default)]
    text: String,
}

/// The error of a node or of an engine.
#[derive(Debug, Deserialize)]
struct ErrorFields {
    #[serde(default)]
    name: String,
    #[serde(default, rename = "type")]
    kind: String,
    #[serde(default)]
    ran: Option<Ran>,
    #[serde(default)]
    request_id: String,
}

#[derive(Debug, Deserialize)]
struct Refusal {
    error: ErrorFields,
}

impl From<ErrorFields> for Refused {
    fn from(error: ErrorFields) -> Self {
        let name = match error.name.is_empty() {
            true => error.kind,
            false => error.name,
        };
        Self {
            name,
            ran: error.ran,
            request_id: error.request_id,
        }
    }
}

/// The text that a model answers to a prompt.
pub(super) fn expected(model: &str, prompt: &str, tokens: u32) -> String {
    (0..tokens)
        .map(|index| token(model, prompt, index))
        .collect()
}

/// What an answer other than 200 says.
pub(super) fn refused(status: u16, body: &str) -> Outcome {
    let refused = match serde_json::from_str::<Refusal>(body) {
        Ok(refusal) => refusal.error.into(),
        Err(_) => Refused {
            name: format!("status {status}"),
            ran: None,
            request_id: String::new(),
        },
    };
    Outcome::Refused(refused)
}

/// What a whole completion says.
pub(super) fn completion(body: &str, expected: &str) -> Outcome {
    let Ok(completion) = serde_json::from_str::<Completion>(body) else {
        return Outcome::Cut;
    };
    match completion.error {
        Some(error) => Outcome::Broken(error.into()),
        None => compare(&text(completion.choices), expected),
    }
}

/// What the answer of a plain service says, whose body repeats the request's.
pub(super) fn service(body: &str, marker: &str) -> Outcome {
    match serde_json::from_str::<ServiceReply>(body) {
        Ok(reply) if reply.body == marker => Outcome::Whole,
        Ok(_) => Outcome::Wrong,
        Err(_) => Outcome::Cut,
    }
}

/// A stream of a completion, as far as it has come.
#[derive(Debug, Default)]
pub(super) struct StreamText {
    text: String,
    error: Option<Refused>,
}

impl StreamText {
    /// Takes an event's data; false where it is no event of a completion.
    pub(super) fn take(&mut self, data: &str) -> bool {
        let Ok(event) = serde_json::from_str::<Completion>(data) else {
            return false;
        };
        match event.error {
            Some(error) => self.error = Some(error.into()),
            None => self.text.push_str(&text(event.choices)),
        }
        true
    }

    /// What the stream says at its end; `done` tells whether the end mark came.
    pub(super) fn outcome(self, done: bool, expected: &str) -> Outcome {
        match self.error {
            _ if !expected.starts_with(&self.text) => Outcome::Wrong,
            Some(error) => Outcome::Broken(error),
            None if done => compare(&self.text, expected),
            None => Outcome::Cut,
        }
    }
}

fn text(choices: Vec<Choice>) -> String {
    choices.into_iter().map(|choice| choice.text).collect()
}

fn compare(text: &str, expected: &str) -> Outcome {
    match expected.strip_prefix(text) {
        Some("") => Outcome::Whole,
        Some(_) => Outcome::Cut,
        None => Outcome::Wrong,
    }
}
