//! Sharded state with one lock per shard, which reduces lock contention.

use parking_lot::Mutex;
use std::hash::{DefaultHasher, Hash, Hasher};

/// State split into shards by the hash of a key; a key always maps to the same shard.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Vec<Mutex<T>>,
}

impl<T> Shards<T> {
    /// Creates `count` shards, or one if `count` is 0, each with a value from `make`.
    pub fn new(count: usize, make: impl Fn() -> T) -> Self {
        let shards = (0..count.max(1)).map(|_| Mutex::new(make())).collect();
        Self { shards }
    }

    /// Runs `work` on the shard of `key` while holding its lock.
    pub fn with<K: Hash + ?Sized, R>(&self, key: &K, work: impl FnOnce(&mut T) -> R) -> R {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        // The remainder is below the number of shards, so it fits into a usize.
        let index = (hasher.finish() % self.shards.len() as u64) as usize;
        work(&mut self.shards[index].lock())
    }

    /// Runs `work` on every shard in turn, holding one lock at a time.
    pub fn for_each(&self, mut work: impl FnMut(&mut T)) {
        for shard in &self.shards {
            work(&mut shard.lock());
        }
    }
}
