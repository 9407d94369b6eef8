//! What an agent remembers of attempts, so that each starts at most once.
//!
//! Memory is bounded and nothing is forgotten too early:
//! - an attempt that waits or runs is never forgotten;
//! - an attempt that ended or was tombstoned is kept for `keep` after that;
//! - an attempt that was sent before `now - keep` is refused as [`AttemptAdmission::Stale`] where the
//!   sender tells the agent's time that it last heard, so nothing can arrive after its tombstone
//!   is forgotten;
//! - a full ledger admits nothing new, and a tombstone that finds no room is answered
//!   [`TombstoneOutcome::Unknown`]; the reserve for tombstones is a quarter of the capacity.

use radishpin_protocol::prelude::*;
use std::collections::VecDeque;

/// Part of the capacity that only tombstones may use beyond it.
const TOMBSTONE_RESERVE_DIVISOR: usize = 4;

/// How far an attempt came.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptState {
    /// Admitted, not started.
    Queued,
    /// Handed to the endpoint.
    Started,
    /// Ended, well or not.
    Finished,
}

/// Whether an attempt that arrives may be queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum AttemptAdmission {
    /// New: it may be queued.
    Admitted,
    /// It arrived before and came this far.
    Duplicate(AttemptState),
    /// It was tombstoned: it never runs.
    Tombstoned,
    /// A later attempt of the same request was seen here: it never runs.
    Superseded,
    /// It was sent too long ago to know whether it was tombstoned: it never runs.
    Stale,
    /// The ledger has no room: it is not queued.
    Full,
}

/// What a tombstone found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum TombstoneOutcome {
    /// The attempt had not started and never will.
    NeverRuns,
    /// The attempt has been handed to the endpoint.
    Started,
    /// The attempt has ended.
    Finished,
    /// Nothing is proven.
    Unknown,
}

impl TombstoneOutcome {
    /// What the outcome proves where the attempt was sent to one life of the agent and the
    /// tombstone answered by another: a successor cannot know what its predecessor started.
    pub fn if_same_incarnation(self, sent_to: Incarnation, answered_by: Incarnation) -> Self {
        if sent_to == answered_by {
            self
        } else {
            Self::Unknown
        }
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Entry {
    Queued,
    Started,
    Finished { forget_at: Duration },
    Tombstoned { forget_at: Duration },
}

impl Entry {
    fn forget_at(self) -> Option<Duration> {
        match self {
            Self::Queued | Self::Started => None,
            Self::Finished { forget_at } | Self::Tombstoned { forget_at } => Some(forget_at),
        }
    }
}

/// Attempts of one shard; the owner shards by request id.
///
/// The request id must be unique among all nodes (made by the node, not taken from a caller), and
/// a node never sends the same attempt number twice.
#[derive(Clone, Debug)]
pub struct AttemptLedger {
    capacity: usize,
    keep: Duration,
    requests: BTreeMap<RequestId, BTreeMap<AttemptNumber, Entry>>,
    // In order of time, as `keep` is the same for all.
    forget_queue: VecDeque<(Duration, AttemptId)>,
    len: usize,
}

impl AttemptLedger {
    /// A ledger for at most `capacity` attempts, which remembers each for `keep` after its end.
    pub fn new(capacity: usize, keep: Duration) -> Self {
        Self {
            capacity,
            keep,
            requests: BTreeMap::new(),
            forget_queue: VecDeque::new(),
            len: 0,
        }
    }

    /// Admits an attempt that arrives, at most once.
    pub fn admit(&mut self, id: &AttemptId, now: Duration) -> AttemptAdmission {
        if let Some(known) = self.known(id) {
            return known;
        }
        self.expire(now);
        if self.len >= self.capacity {
            return AttemptAdmission::Full;
        }
        self.tombstone_older(id, now);
        self.insert(id, Entry::Queued);
        AttemptAdmission::Admitted
    }

    /// As [`Self::admit`], for a sender that last heard from this agent at `heard_at`, in the
    /// agent's own time: an attempt delayed for longer than tombstones are kept is refused.
    pub fn admit_if_recent(&mut self, id: &AttemptId, heard_at: Duration, now: Duration) -> AttemptAdmission {
        if heard_at.saturating_add(self.keep) <= now {
            return AttemptAdmission::Stale;
        }
        self.admit(id, now)
    }

    /// Marks an admitted attempt as handed to the endpoint; `false`: it must not run.
    pub fn start(&mut self, id: &AttemptId, _now: Duration) -> bool {
        match self.entry_mut(id) {
            Some(entry @ Entry::Queued) => {
                *entry = Entry::Started;
                true
            }
            _ => false,
        }
    }

    /// Marks a started attempt as ended.
    pub fn finish(&mut self, id: &AttemptId, now: Duration) {
        if self.entry(id) == Some(Entry::Started) {
            let forget_at = now.saturating_add(self.keep);
            self.replace(id, Entry::Finished { forget_at });
        }
    }

    /// Gives up an attempt that has not started, so that "not run" may be said of it; `false`: it
    /// has started. A tombstone stays, so that a late copy does not run either.
    pub fn cancel_unstarted(&mut self, id: &AttemptId, now: Duration) -> bool {
        self.tombstone(id, now) == TombstoneOutcome::NeverRuns
    }

    /// Makes sure that an attempt that has not started never starts.
    pub fn tombstone(&mut self, id: &AttemptId, now: Duration) -> TombstoneOutcome {
        let forget_at = now.saturating_add(self.keep);
        match self.entry(id) {
            Some(Entry::Started) => TombstoneOutcome::Started,
            Some(Entry::Finished { .. }) => TombstoneOutcome::Finished,
            Some(Entry::Queued | Entry::Tombstoned { .. }) => {
                self.replace(id, Entry::Tombstoned { forget_at });
                TombstoneOutcome::NeverRuns
            }
            None => self.tombstone_unseen(id, now),
        }
    }

    /// Forgets what ended or was tombstoned at least `keep` ago.
    pub fn expire(&mut self, now: Duration) {
        while self.forget_queue.front().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.forget_queue.pop_front() else {
                return;
            };
            let due = self.entry(&id).and_then(Entry::forget_at);
            if due.is_some_and(|at| at <= now) {
                self.remove(&id);
            }
        }
    }

    /// Attempts remembered.
    pub fn len(&self) -> usize {
        self.len
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    fn known(&self, id: &AttemptId) -> Option<AttemptAdmission> {
        let attempts = self.requests.get(&id.request_id)?;
        if let Some(entry) = attempts.get(&id.number) {
            return Some(match entry {
                Entry::Queued => AttemptAdmission::Duplicate(AttemptState::Queued),
                Entry::Started => AttemptAdmission::Duplicate(AttemptState::Started),
                Entry::Finished { .. } => AttemptAdmission::Duplicate(AttemptState::Finished),
                Entry::Tombstoned { .. } => AttemptAdmission::Tombstoned,
            });
        }
        let (latest, _) = attempts.last_key_value()?;
        (*latest > id.number).then_some(AttemptAdmission::Superseded)
    }

    /// A later attempt fences the earlier ones that have not started.
    fn tombstone_older(&mut self, id: &AttemptId, now: Duration) {
        let Some(attempts) = self.requests.get(&id.request_id) else {
            return;
        };
        let waiting: Vec<AttemptNumber> = attempts
            .range(..id.number)
            .filter(|(_, entry)| **entry == Entry::Queued)
            .map(|(number, _)| *number)
            .collect();
        for number in waiting {
            let request_id = id.request_id.clone();
            self.tombstone(&AttemptId { request_id, number }, now);
        }
    }

    fn tombstone_unseen(&mut self, id: &AttemptId, now: Duration) -> TombstoneOutcome {
        self.expire(now);
        let limit = self.capacity + self.capacity / TOMBSTONE_RESERVE_DIVISOR;
        if self.len >= limit {
            return TombstoneOutcome::Unknown;
        }
        self.tombstone_older(id, now);
        let forget_at = now.saturating_add(self.keep);
        self.insert(id, Entry::Tombstoned { forget_at });
        self.forget_queue.push_back((forget_at, id.clone()));
        TombstoneOutcome::NeverRuns
    }

    fn entry(&self, id: &AttemptId) -> Option<Entry> {
        self.requests.get(&id.request_id)?.get(&id.number).copied()
    }

    fn entry_mut(&mut self, id: &AttemptId) -> Option<&mut Entry> {
        self.requests.get_mut(&id.request_id)?.get_mut(&id.number)
    }

    fn insert(&mut self, id: &AttemptId, entry: Entry) {
        let attempts = self.requests.entry(id.request_id.clone()).or_default();
        if attempts.insert(id.number, entry).is_none() {
            self.len += 1;
        }
    }

    fn replace(&mut self, id: &AttemptId, new: Entry) {
        let Some(entry) = self.entry_mut(id) else {
            return;
        };
        let listed = entry.forget_at().is_some();
        *entry = new;
        if let (false, Some(at)) = (listed, new.forget_at()) {
            self.forget_queue.push_back((at, id.clone()));
        }
    }

    fn remove(&mut self, id: &AttemptId) {
        let Some(attempts) = self.requests.get_mut(&id.request_id) else {
            return;
        };
        if attempts.remove(&id.number).is_some() {
            self.len -= 1;
        }
        if attempts.is_empty() {
            self.requests.remove(&id.request_id);
        }
    }
}
