//! Event queue with a simulated clock, and random draws, for the simulations.

use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::{collections::BTreeMap, time::Duration};

/// Pending events in order of time; events at the same time keep the order of insertion.
pub struct EventQueue<E> {
    now: Duration,
    sequence: u64,
    queue: BTreeMap<(Duration, u64), E>,
}

impl<E> EventQueue<E> {
    /// An empty queue with the clock at zero.
    pub fn new() -> Self {
        Self {
            now: Duration::ZERO,
            sequence: 0,
            queue: BTreeMap::new(),
        }
    }

    /// Simulated time of the last event taken.
    pub fn now(&self) -> Duration {
        self.now
    }

    /// Schedules an event `delay` from now.
    pub fn schedule(&mut self, delay: Duration, event: E) {
        self.queue.insert((self.now + delay, self.sequence), event);
        self.sequence += 1;
    }

    /// Advances the clock to the next event; `None` if that is not before `end`.
    pub fn next_before(&mut self, end: Duration) -> Option<E> {
        let ((at, _), event) = self.queue.pop_first()?;
        self.now = at;
        (at < end).then_some(event)
    }
}

/// A random duration from the exponential distribution with this mean.
pub fn exponential(rng: &mut ChaCha8Rng, mean: Duration) -> Duration {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    mean.mul_f64(-uniform.ln())
}

/// The given percentile of values sorted in ascending order; zero if there are none.
pub fn percentile(sorted: &[Duration], percent: usize) -> Duration {
    let index = sorted.len().saturating_sub(1) * percent / 100;
    sorted.get(index).copied().unwrap_or_default()
}
