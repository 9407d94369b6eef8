//! Virtual time for the experiments: events in order, and seeded draws.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

/// Events that are still to come, in order of time.
pub struct EventQueue<E> {
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), E>,
}

impl<E> EventQueue<E> {
    /// No events, at time zero.
    pub fn new() -> Self {
        Self {
            now: Duration::ZERO,
            sequence: 0,
            queue: BTreeMap::new(),
        }
    }

    /// The present.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Adds an event that happens `delay` from now.
    pub fn schedule(&mut self, delay: Duration, event: E) {
        self.queue.insert((self.now + delay, self.sequence), event);
        self.sequence += 1;
    }

    /// Moves on to the next event, if it happens before `end`.
    pub fn next_before(&mut self, end: Duration) -> Option<E> {
        let ((at, _), event) = self.queue.pop_first()?;
        self.now = at;
        (at < end).then_some(event)
    }
}

/// Draws from an exponential distribution.
pub fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// The value below which `percent` of the sorted values lie.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted.get(index).copied().unwrap_or_default()
}
