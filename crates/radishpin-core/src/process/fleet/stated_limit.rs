//! The limit that one endpoint states for all gateways together, as this gateway knows it.

use crate::request::{LimitStatement, RequestRate};
use radishpin_protocol::prelude::*;

/// An endpoint's limit, and when the next request may be sent under it.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StatedLimit {
    rate: Option<RequestRate>,
    /// When this gateway last learned of another limit.
    changed_at: Duration,
    /// Time before which no slot is to be had.
    next_slot_at: Duration,
}

impl StatedLimit {
    /// Applies what the answer to a request that was sent at `sent_at` states; returns whether the
    /// limit is another one now.
    ///
    /// An answer that states none lifts the limit only if its request was sent after the limit became
    /// known, as answers of earlier requests may still arrive.
    pub(super) fn record(
        &mut self,
        statement: LimitStatement,
        sent_at: Duration,
        now: Duration,
    ) -> bool {
        match statement {
            LimitStatement::Limited(rate) => self.set(Some(rate), now),
            LimitStatement::Unlimited if sent_at > self.changed_at => self.set(None, now),
            LimitStatement::Unlimited | LimitStatement::Unreadable => false,
        }
    }

    /// Applies what another gateway learned at `learned_at`; returns whether the limit is another one
    /// now.
    pub(super) fn learn(
        &mut self,
        rate: Option<RequestRate>,
        learned_at: Duration,
        now: Duration,
    ) -> bool {
        learned_at > self.changed_at && self.set(rate, now)
    }

    fn set(&mut self, rate: Option<RequestRate>, now: Duration) -> bool {
        if self.rate == rate {
            return false;
        }
        *self = Self {
            rate,
            changed_at: now,
            next_slot_at: Duration::ZERO,
        };
        true
    }

    /// Requests a second that the endpoint takes from all gateways together; `None` if it states no
    /// limit.
    pub(super) fn rate(&self) -> Option<RequestRate> {
        self.rate
    }

    /// When this gateway last learned of another limit.
    pub(super) fn changed_at(&self) -> Duration {
        self.changed_at
    }

    /// Time until a slot may be asked for; zero if now, or if there is no limit.
    pub(super) fn slot_wait(&self, now: Duration) -> Duration {
        match self.rate {
            Some(_) => self.next_slot_at.saturating_sub(now),
            None => Duration::ZERO,
        }
    }

    /// Records that no slot comes before this time.
    pub(super) fn await_slot(&mut self, next_slot_at: Duration) {
        self.next_slot_at = next_slot_at;
    }
}
