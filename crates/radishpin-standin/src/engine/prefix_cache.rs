//! Cache of prompt prefixes, and its events, which come late and with gaps.

use super::settings::EngineSettings;
use radishpin_protocol::engine::{CacheChange, CacheEvent};
use rand::Rng;
use rand_chacha::{ChaCha8Rng, rand_core::SeedableRng};
use std::{
    collections::{BTreeMap, VecDeque},
    time::Duration,
};

/// Events kept until a report takes them; older ones are lost.
const EVENTS_KEPT: usize = 1_024;

/// Name of the model or adapter, and hash of the prefix.
type Prefix = (String, u64);

/// Prefixes by least recent use, and the events not yet reported.
#[derive(Debug)]
pub(super) struct PrefixCache {
    capacity: usize,
    event_lag: Duration,
    event_loss_percent: u8,
    last_use: BTreeMap<Prefix, u64>,
    by_use: BTreeMap<u64, Prefix>,
    next_use: u64,
    next_event: u64,
    events: VecDeque<(Duration, CacheEvent)>,
    random: ChaCha8Rng,
}

impl PrefixCache {
    pub(super) fn new(settings: &EngineSettings, seed: u64) -> Self {
        Self {
            capacity: settings.cache_prefixes,
            event_lag: settings.cache_event_lag,
            event_loss_percent: settings.cache_event_loss_percent,
            last_use: BTreeMap::new(),
            by_use: BTreeMap::new(),
            next_use: 0,
            next_event: 1,
            events: VecDeque::new(),
            random: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Uses a prefix and returns whether it was cached.
    pub(super) fn touch(&mut self, model: &str, prefix_hash: u64, now: Duration) -> bool {
        if self.capacity == 0 {
            return false;
        }
        let prefix = (model.to_owned(), prefix_hash);
        self.next_use += 1;
        let old = self.last_use.insert(prefix.clone(), self.next_use);
        self.by_use.insert(self.next_use, prefix.clone());
        if let Some(old) = old {
            self.by_use.remove(&old);
            return true;
        }
        self.publish(prefix, CacheChange::Stored, now);
        self.evict(now);
        false
    }

    /// Events whose lag is over, each once.
    pub(super) fn take_events(&mut self, now: Duration) -> Vec<CacheEvent> {
        let until = now.saturating_sub(self.event_lag);
        let due = self.events.partition_point(|(at, _)| *at <= until);
        self.events.drain(..due).map(|(_, event)| event).collect()
    }

    /// Empties the cache without an event.
    pub(super) fn clear(&mut self) {
        self.last_use.clear();
        self.by_use.clear();
        self.events.clear();
    }

    fn evict(&mut self, now: Duration) {
        while self.last_use.len() > self.capacity {
            let Some((_, prefix)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&prefix);
            self.publish(prefix, CacheChange::Evicted, now);
        }
    }

    fn publish(&mut self, (model, prefix_hash): Prefix, change: CacheChange, now: Duration) {
        let sequence = self.next_event;
        self.next_event += 1;
        if self.random.random_range(0..100) < self.event_loss_percent {
            return;
        }
        let event = CacheEvent {
            sequence,
            model,
            prefix_hash,
            change,
        };
        self.events.push_back((now, event));
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}
