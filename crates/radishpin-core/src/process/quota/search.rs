//! Which parts a request has asked for credit, and which ones it asks next.

use super::{PartLimit, QuotaBounds, account::Part, credit::CreditQuery};
use radishpin_protocol::prelude::*;
use std::net::SocketAddr;

/// Time after which a request may be sent again that costs more than its customer may ever use at once: the
/// quota may have been raised.
const NEVER_RETRY_AFTER: Duration = Duration::from_secs(60);

/// What a request has asked so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct CreditSearch {
    /// Parts that were asked for all that the request needs, as bits.
    asked: u8,
    /// Parts that were asked for what they hold, after no part alone held enough.
    gathered: u8,
    /// Parts whose answer is under way.
    awaited: u8,
    /// Parts whose answer was given up.
    given_up: u8,
}

impl CreditSearch {
    /// Records that the answer of a part has come, or that its holder did not answer.
    pub fn record_answer(&mut self, part: u8) {
        self.awaited &= !bit(part);
    }

    /// Gives up the answers that are under way, as they take too long.
    pub fn give_up_answers(&mut self) {
        self.given_up |= self.awaited;
        self.awaited = 0;
    }

    pub(super) fn awaits_answers(&self) -> bool {
        self.awaited != 0
    }

    pub(super) fn has_given_up(&self) -> bool {
        self.given_up != 0
    }

    pub(super) fn record_ask(&mut self, step: &NextAsk) {
        match step.gathers {
            true => self.gathered |= bit(step.part),
            false => self.asked |= bit(step.part),
        }
        self.awaited |= bit(step.part);
    }
}

fn bit(part: u8) -> u8 {
    1_u8.checked_shl(u32::from(part)).unwrap_or(0)
}

/// A part that can be asked, as its holder answers.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReachedPart {
    pub(super) part: u8,
    pub(super) holder: SocketAddr,
    pub(super) state: Part,
}

/// The ask that a request makes next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct NextAsk {
    pub(super) part: u8,
    pub(super) holder: SocketAddr,
    /// Credit below which the part denies.
    pub(super) least: u64,
    /// Whether it is asked for what it holds, which may be less than the request needs.
    pub(super) gathers: bool,
}

/// Result of looking at all parts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Look {
    Ask(NextAsk),
    /// All parts that can be reached have denied, or have too little together.
    Denied {
        /// Earliest time at which one of them expects to have credit; `None` if none told one.
        credit_at: Option<Duration>,
        /// Whether any part answered.
        reached: bool,
    },
}

/// Looks for the part to ask next among those that can be reached, in the order in which they are given.
pub(super) fn look(
    query: &CreditQuery<'_>,
    bounds: &QuotaBounds,
    search: &CreditSearch,
    reached: &[ReachedPart],
    missing: u64,
    now: Duration,
) -> Look {
    let limit = bounds.part_limit(query.limit);
    let parts = u64::from(bounds.parts(query.limit));
    if query.cost > parts.saturating_mul(limit.burst) {
        let most = bounds.most_of_part(query.limit);
        return look_for_shares(most, search, reached, missing, now);
    }
    let least = missing.min(limit.burst);
    let next =
        |one: &&ReachedPart| search.asked & bit(one.part) == 0 && !one.state.denies(least, now);
    if let Some(one) = reached.iter().find(next) {
        return Look::Ask(one.ask(least, false));
    }
    match gather(limit, search, reached, missing, now) {
        Some(next) => Look::Ask(next),
        None => denied(search, reached, now),
    }
}

/// Asks each part for an equal share of a request that costs more than all parts hold when they are full.
/// It ends at the first denial, as what the other parts granted would expire unspent.
fn look_for_shares(
    most: u64,
    search: &CreditSearch,
    reached: &[ReachedPart],
    missing: u64,
    now: Duration,
) -> Look {
    let unasked = |one: &&ReachedPart| search.asked & bit(one.part) == 0;
    let count = reached.iter().filter(unasked).count() as u64;
    let Some(next) = reached.iter().find(unasked) else {
        return denied(search, reached, now);
    };
    let share = missing.div_ceil(count.max(1));
    let denying = reached.iter().filter(|one| one.state.denies(share, now));
    let credit_at = denying.map(|one| one.state.credit_at).max();
    let never = (share > most).then_some(now + NEVER_RETRY_AFTER);
    if let Some(credit_at) = never.or(credit_at) {
        return Look::Denied {
            credit_at: Some(credit_at),
            reached: true,
        };
    }
    Look::Ask(next.ask(share, false))
}

/// Asks for what parts hold that have each denied the whole, the fullest one first, if they hold enough
/// together.
fn gather(
    limit: PartLimit,
    search: &CreditSearch,
    reached: &[ReachedPart],
    missing: u64,
    now: Duration,
) -> Option<NextAsk> {
    let waits = search.gathered | search.awaited | search.given_up;
    let held = reached.iter().filter(|one| waits & bit(one.part) == 0);
    let held: Vec<(u64, &ReachedPart)> =
        held.map(|one| (one.state.level(limit, now), one)).collect();
    let sum = held
        .iter()
        .fold(0_u64, |sum, (level, _)| sum.saturating_add(*level));
    if sum < missing {
        return None;
    }
    let (level, fullest) = held.into_iter().max_by_key(|(level, _)| *level)?;
    // Another gateway may have taken credit meanwhile. Less than half is not worth a message.
    let least = missing.min(level / 2).max(1);
    Some(fullest.ask(least, true))
}

fn denied(search: &CreditSearch, reached: &[ReachedPart], now: Duration) -> Look {
    let without_answer = search.awaited | search.given_up;
    let answered = reached
        .iter()
        .filter(|one| without_answer & bit(one.part) == 0);
    let times = answered.map(|one| one.state.credit_at.max(now));
    let credit_at = times.min();
    Look::Denied {
        credit_at,
        reached: credit_at.is_some(),
    }
}

impl ReachedPart {
    fn ask(&self, least: u64, gathers: bool) -> NextAsk {
        NextAsk {
            part: self.part,
            holder: self.holder,
            least,
            gathers,
        }
    }
}
