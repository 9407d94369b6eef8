//! What endpoints state in their answers about when they take requests.

use radishpin_protocol::{UnixMs, prelude::*};
use std::collections::VecDeque;

/// Longest backoff that an endpoint gets; then one that asked for more is asked again.
pub const REQUESTED_BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Largest number of endpoints that are no longer listed and whose statements are kept.
const UNLISTED_MAX: usize = 256;

/// Statements of one endpoint, each by the start of the process that made it: a process that starts
/// later under the same id is not bound by them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) struct Availability {
    /// Start of the process that said that it drains.
    draining_since_start: Option<UnixMs>,
    backoff: Option<RequestedBackoff>,
}

/// A backoff that an endpoint asked for when it turned a request away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct RequestedBackoff {
    /// Start of the process that asked for it.
    started_unix_ms: UnixMs,
    until: Duration,
}

impl Availability {
    /// Records that a process which started at this time says that it drains; returns whether that is
    /// news.
    pub(super) fn record_draining(&mut self, started_unix_ms: UnixMs) -> bool {
        let is_news = !self.is_draining(started_unix_ms);
        if is_news {
            self.draining_since_start = Some(started_unix_ms);
        }
        is_news
    }

    /// Whether the process that started at this time drains.
    pub(super) fn is_draining(self, started_unix_ms: UnixMs) -> bool {
        let draining = self.draining_since_start;
        draining.is_some_and(|draining| started_unix_ms <= draining)
    }

    /// Records that a process which started at this time wants no requests for `backoff`, at most
    /// [`REQUESTED_BACKOFF_MAX`]. An earlier backoff that ends later stays in force, and so does one that a
    /// later process asked for.
    pub(super) fn record_backoff(
        &mut self,
        started_unix_ms: UnixMs,
        backoff: Duration,
        now: Duration,
    ) {
        let is_outdated = |known: RequestedBackoff| started_unix_ms < known.started_unix_ms;
        if self.backoff.is_some_and(is_outdated) {
            return;
        }
        let left = self.backoff_left(started_unix_ms, now);
        let backoff = backoff.min(REQUESTED_BACKOFF_MAX).max(left);
        self.backoff = Some(RequestedBackoff {
            started_unix_ms,
            until: now + backoff,
        });
    }

    /// Time until the process that started at this time wants requests again; zero if it does.
    pub(super) fn backoff_left(self, started_unix_ms: UnixMs, now: Duration) -> Duration {
        let backoff = self.backoff;
        let backoff = backoff.filter(|backoff| started_unix_ms <= backoff.started_unix_ms);
        backoff.map_or(Duration::ZERO, |backoff| backoff.until.saturating_sub(now))
    }
}

/// Statements of endpoints that are no longer listed, as their entries may only have lapsed.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedEndpoints {
    statements: VecDeque<(EndpointId, Availability)>,
}

impl UnlistedEndpoints {
    /// Keeps the statements of an endpoint that is no longer listed, if it made any.
    pub(super) fn keep(&mut self, endpoint: &str, availability: Availability) {
        if availability == Availability::default() {
            return;
        }
        if self.statements.len() >= UNLISTED_MAX {
            self.statements.pop_front();
        }
        let statement = (endpoint.to_owned(), availability);
        self.statements.push_back(statement);
    }

    /// Removes and returns the statements of an endpoint that is listed again.
    pub(super) fn take(&mut self, endpoint: &str) -> Availability {
        let position = self.statements.iter().position(|(id, _)| id == endpoint);
        let statement = position.and_then(|position| self.statements.remove(position));
        statement.map_or(Availability::default(), |(_, availability)| availability)
    }
}
