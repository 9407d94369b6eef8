//! What endpoints state in their answers about when they take requests.

use radishpin_protocol::{UnixMs, prelude::*};

/// Longest backoff that an endpoint gets; then one that asked for more is asked again.
pub const REQUESTED_BACKOFF_MAX: Duration = Duration::from_secs(60);
/// Largest number of endpoints that are not listed and whose statements are kept. Half of the engines of the
/// largest deployment may leave within [`STATEMENT_LIFETIME`].
pub const UNLISTED_STATEMENTS_MAX: usize = 4_096;
/// Time for which the statements of an endpoint are kept after it was listed last. The store brings
/// entries back that are seconds old, and an endpoint without an entry ends within minutes.
pub const STATEMENT_LIFETIME: Duration = Duration::from_secs(600);
/// Largest number of processes of one endpoint whose statements that they drain are kept.
const DRAINING_PROCESSES_MAX: usize = 4;

/// Statements of one endpoint, each by the start of the process that made it: another process under the
/// same id is not bound by them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct Availability {
    /// Starts of the processes that said that they drain, the latest statement last.
    draining: Vec<UnixMs>,
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
        if self.is_draining(started_unix_ms) {
            return false;
        }
        if self.draining.len() >= DRAINING_PROCESSES_MAX {
            self.draining.remove(0);
        }
        self.draining.push(started_unix_ms);
        true
    }

    /// Whether the process that started at this time drains.
    pub(super) fn is_draining(&self, started_unix_ms: UnixMs) -> bool {
        self.draining.contains(&started_unix_ms)
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
        // One that has ended says nothing of a process whose clock went back before its start.
        let is_outdated =
            |known: RequestedBackoff| started_unix_ms < known.started_unix_ms && now < known.until;
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
    pub(super) fn backoff_left(&self, started_unix_ms: UnixMs, now: Duration) -> Duration {
        let backoff = self.backoff;
        let backoff = backoff.filter(|backoff| started_unix_ms <= backoff.started_unix_ms);
        backoff.map_or(Duration::ZERO, |backoff| backoff.until.saturating_sub(now))
    }
}

/// Statements of endpoints that are not listed, as their entries may come back.
#[derive(Clone, Debug, Default)]
pub(super) struct UnlistedEndpoints {
    statements: BTreeMap<EndpointId, KeptStatements>,
    /// Time of the last call of [`Self::expire`].
    now: Duration,
}

#[derive(Clone, Debug)]
struct KeptStatements {
    availability: Availability,
    /// When the endpoint was last listed or made a statement.
    kept_at: Duration,
}

impl UnlistedEndpoints {
    /// Keeps the statements of an endpoint that is no longer listed, if it made any.
    pub(super) fn keep(&mut self, endpoint: &str, availability: Availability) {
        if availability != Availability::default() {
            *self.statements_of(endpoint) = availability;
        }
    }

    /// The statements of an endpoint that is not listed, to which one is about to be added.
    pub(super) fn statements_of(&mut self, endpoint: &str) -> &mut Availability {
        if !self.statements.contains_key(endpoint) {
            self.make_room();
        }
        let kept = self.statements.entry(endpoint.to_owned());
        let kept = kept.or_insert_with(|| KeptStatements {
            availability: Availability::default(),
            kept_at: Duration::ZERO,
        });
        kept.kept_at = self.now;
        &mut kept.availability
    }

    /// Removes and returns the statements of an endpoint that is listed again.
    pub(super) fn take(&mut self, endpoint: &str) -> Availability {
        let kept = self.statements.remove(endpoint);
        kept.map_or(Availability::default(), |kept| kept.availability)
    }

    /// Drops statements that are older than [`STATEMENT_LIFETIME`].
    pub(super) fn expire(&mut self, now: Duration) {
        self.now = now;
        self.statements
            .retain(|_, kept| now.saturating_sub(kept.kept_at) < STATEMENT_LIFETIME);
    }

    /// Drops the oldest statements if there are too many.
    fn make_room(&mut self) {
        if self.statements.len() < UNLISTED_STATEMENTS_MAX {
            return;
        }
        let oldest = self.statements.iter().min_by_key(|(_, kept)| kept.kept_at);
        if let Some(oldest) = oldest.map(|(id, _)| id.clone()) {
            self.statements.remove(&oldest);
        }
    }
}
