//! Hints about which endpoints may have a prompt prefix cached. Hints may be outdated,
//! so correctness must not depend on them.

use radishpin_protocol::prelude::*;
use std::collections::VecDeque;

/// Hash of a prompt prefix, as reported in the cache events of engines.
pub type PrefixHash = u64;

/// Change of an engine's prefix cache. Events are numbered from 1 since the start of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CacheEvent {
    /// The prefix was added to the cache.
    Stored(PrefixHash),
    /// The prefix was removed from the cache.
    Removed(PrefixHash),
    /// The whole cache was cleared.
    Cleared,
}

/// Bounded index from prompt prefixes to the endpoints that may have them cached.
///
/// Cache events arrive late and some are lost. A late event is ignored. A gap in the numbering
/// drops all hints of the endpoint, because the lost event may have invalidated any of them. Hints
/// older than the retention time are not used.
#[derive(Clone, Debug)]
pub struct PrefixHints {
    capacity: usize,
    retention: Duration,
    holders: BTreeMap<PrefixHash, BTreeMap<EndpointId, Duration>>,
    // Oldest first; entries whose hint was renewed or removed since are skipped on eviction.
    age_queue: VecDeque<(Duration, PrefixHash, EndpointId)>,
    last_sequence: BTreeMap<EndpointId, u64>,
}

impl PrefixHints {
    /// Creates an index of at most `capacity` hints, each used for at most `retention`.
    pub fn new(capacity: usize, retention: Duration) -> Self {
        Self {
            capacity,
            retention,
            holders: BTreeMap::new(),
            age_queue: VecDeque::new(),
            last_sequence: BTreeMap::new(),
        }
    }

    /// Applies a cache event of an endpoint. Returns `false` if the event is ignored because one
    /// with the same or a higher `sequence` was applied before.
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
            self.drop_hints(endpoint);
        }
        self.last_sequence.insert(endpoint.to_owned(), sequence);
        match event {
            CacheEvent::Stored(prefix) => self.store(endpoint, prefix, now),
            CacheEvent::Removed(prefix) => self.remove(endpoint, prefix),
            CacheEvent::Cleared => self.drop_hints(endpoint),
        }
        true
    }

    /// Endpoints that may have a prefix cached, for the first of `prefixes` (ordered longest first)
    /// with an unexpired hint.
    pub fn holders(&self, prefixes: &[PrefixHash], now: Duration) -> BTreeSet<&EndpointId> {
        let fresh = |at: &Duration| at.saturating_add(self.retention) > now;
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

    /// Drops the hints and the last event number of an endpoint, for when it is gone or its engine
    /// has restarted.
    pub fn forget(&mut self, endpoint: &str) {
        self.last_sequence.remove(endpoint);
        self.drop_hints(endpoint);
    }

    /// Number of hints, including those past the retention time.
    pub fn len(&self) -> usize {
        self.holders.values().map(BTreeMap::len).sum()
    }

    /// Whether there are no hints, not even old ones.
    pub fn is_empty(&self) -> bool {
        self.holders.is_empty()
    }

    fn store(&mut self, endpoint: &str, prefix: PrefixHash, now: Duration) {
        let holders = self.holders.entry(prefix).or_default();
        holders.insert(endpoint.to_owned(), now);
        let entry = (now, prefix, endpoint.to_owned());
        self.age_queue.push_back(entry);
        self.evict_oldest();
    }

    /// Evicts the oldest hints. Every hint has an entry in `age_queue`, so the bound on the queue
    /// bounds the hints.
    fn evict_oldest(&mut self) {
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

    fn drop_hints(&mut self, endpoint: &str) {
        self.holders.retain(|_, holders| {
            holders.remove(endpoint);
            !holders.is_empty()
        });
    }
}
