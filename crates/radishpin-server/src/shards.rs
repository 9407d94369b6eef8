//! State in shards, each under its own lock.

use parking_lot::Mutex;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Shards of one piece of state; a key always meets the same shard.
#[derive(Debug)]
pub struct Shards<T> {
    shards: Vec<Mutex<T>>,
}

impl<T> Shards<T> {
    /// `count` shards, at least one, each made by `make`.
    pub fn new(count: usize, make: impl Fn() -> T) -> Self {
        let shards = (0..count.max(1)).map(|_| Mutex::new(make())).collect();
        Self { shards }
    }

    /// Runs `work` on the shard of `key` under its lock.
    pub fn with<K: Hash + ?Sized, R>(&self, key: &K, work: impl FnOnce(&mut T) -> R) -> R {
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        // The remainder is below the number of shards, which fits a usize.
        let index = (hasher.finish() % self.shards.len() as u64) as usize;
        work(&mut self.shards[index].lock())
    }

    /// Runs `work` on every shard in turn.
    pub fn for_each(&self, mut work: impl FnMut(&mut T)) {
        for shard in &self.shards {
            work(&mut shard.lock());
        }
    }
}
