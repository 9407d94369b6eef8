//! Which endpoints may hold a cached prefix of a prompt: a hint, never relied on.

use radishpin_protocol::prelude::*;
use std::collections::VecDeque;

/// Hash of a prompt prefix, as engines announce it.
pub type PrefixHash = u64;

/// What an engine says about its prefix cache; numbered from 1 for each life of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix is cached.
    Stored(PrefixHash),
    /// The prefix is no longer cached.
    Removed(PrefixHash),
    /// Nothing is cached any more.
    Cleared,
}

/// A bounded memory of cache events.
///
/// Events come late and with gaps. A late one is ignored; a gap makes everything known about the
/// endpoint doubtful, so it is forgotten; a hint older than `keep` is not used.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    capacity: usize,
    keep: Duration,
    holders: BTreeMap<PrefixHash, BTreeMap<EndpointId, Duration>>,
    // Oldest first; entries that were renewed or removed since are passed over.
    age_queue: VecDeque<(Duration, PrefixHash, EndpointId)>,
    last_sequence: BTreeMap<EndpointId, u64>,
}

impl PrefixHints {
    /// Remembers at most `capacity` hints, each for at most `keep`.
    pub fn new(capacity: usize, keep: Duration) -> Self {
        Self {
            capacity,
            keep,
            holders: BTreeMap::new(),
            age_queue: VecDeque::new(),
            last_sequence: BTreeMap::new(),
        }
    }

    /// Takes an event of an endpoint; `false` where it came too late to be used.
    pub fn record(
        &mut self,
        endpoint: &str,
        sequence: u64,
        event: CacheEvent,
        now: Duration,
    ) -> bool {
        let last = self.last_sequence.get(endpoint).copied().unwrap_or(0);
        if sequence <= last {
            return false;
        }
        if sequence > last + 1 {
            self.forget_hints(endpoint);
        }
        self.last_sequence.insert(endpoint.to_owned(), sequence);
        match event {
            CacheEvent::Stored(prefix) => self.store(endpoint, prefix, now),
            CacheEvent::Removed(prefix) => self.remove(endpoint, prefix),
            CacheEvent::Cleared => self.forget_hints(endpoint),
        }
        true
    }

    /// The endpoints that may hold the first of `prefixes` (longest first) that any holds.
    pub fn holders(&self, prefixes: &[PrefixHash], now: Duration) -> BTreeSet<&EndpointId> {
        let fresh = |at: &Duration| at.saturating_add(self.keep) > now;
        for prefix in prefixes {
            let Some(holders) = self.holders.get(prefix) else {
                continue;
            };
            let found: BTreeSet<&EndpointId> = holders
                .iter()
                .filter(|(_, at)| fresh(at))
                .map(|(endpoint, _)| endpoint)
                .collect();
            if !found.is_empty() {
                return found;
            }
        }
        BTreeSet::new()
    }

    /// Forgets an endpoint that is gone or whose engine restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.last_sequence.remove(endpoint);
        self.forget_hints(endpoint);
    }

    /// Hints remembered.
    pub fn len(&self) -> usize {
        self.holders.values().map(BTreeMap::len).sum()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn store(&mut self, endpoint: &str, prefix: PrefixHash, now: Duration) {
        let holders = self.holders.entry(prefix).or_default();
        holders.insert(endpoint.to_owned(), now);
        let entry = (now, prefix, endpoint.to_owned());
        self.age_queue.push_back(entry);
        self.trim();
    }

    /// Every hint has an entry in the queue, so a bound on the queue bounds the hints.
    fn trim(&mut self) {
        while self.age_queue.len() > self.capacity {
            let Some((at, prefix, endpoint)) = self.age_queue.pop_front() else {
                return;
            };
            let current = self.holders.get(&prefix).and_then(|h| h.get(&endpoint));
            if current == Some(&at) {
                self.remove(&endpoint, prefix);
            }
        }
    }

    fn remove(&mut self, endpoint: &str, prefix: PrefixHash) {
        let Some(holders) = self.holders.get_mut(&prefix) else {
            return;
        };
        holders.remove(endpoint);
        if holders.is_empty() {
            self.holders.remove(&prefix);
        }
    }

    fn forget_hints(&mut self, endpoint: &str) {
        self.holders.retain(|_, holders| {
            holders.remove(endpoint);
            !holders.is_empty()
        });
    }
}
