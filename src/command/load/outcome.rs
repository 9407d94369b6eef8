//! What became of one request.

use radishpin_protocol::Ran;
use std::time::Duration;

/// What became of one request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The whole answer to this request.
    Whole,
    /// Refused with a code.
    Refused(Refused),
    /// The answer ended early, and said so with a code.
    Broken(Refused),
    /// The answer ended early without a word.
    Cut,
    /// No answer, although the request was sent.
    Dropped,
    /// No connection; nothing was sent.
    NotConnected,
    /// An answer to something else.
    Wrong,
}

/// A refusal's own words.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Refused {
    /// Name of the code, or the status where there is none.
    pub(super) name: String,
    /// Whether it says that the request may have run.
    pub(super) ran: Option<Ran>,
    /// Id under which the journals know the request.
    pub(super) request_id: String,
}

impl Outcome {
    /// Whether the request may or may not have run, as far as the caller knows.
    pub(super) fn is_open(&self) -> bool {
        match self {
            Self::Broken(_) | Self::Cut | Self::Dropped => true,
            Self::Refused(refused) => refused.ran != Some(Ran::No),
            Self::Whole | Self::NotConnected | Self::Wrong => false,
        }
    }
}

/// What became of one request, with its times since it was due.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Measured {
    /// What became of it.
    pub(super) outcome: Outcome,
    /// Time to the first byte of the answer's content.
    pub(super) first: Option<Duration>,
    /// Time to the end of the answer.
    pub(super) end: Duration,
    /// Times between the events of a stream.
    pub(super) gaps: Vec<Duration>,
}
