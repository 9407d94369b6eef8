//! A value that readers see some time after it was set.

use std::{collections::VecDeque, time::Duration};

/// Past values kept; older ones are forgotten even where the lag is longer.
const VALUES_KEPT: usize = 4_096;

/// Past values with the time of each, oldest first.
#[derive(Clone, Debug)]
pub(crate) struct Lagged<T> {
    values: VecDeque<(Duration, T)>,
}

impl<T: Clone> Lagged<T> {
    /// Starts with a value that has always stood.
    pub(crate) fn new(value: T) -> Self {
        Self {
            values: VecDeque::from([(Duration::ZERO, value)]),
        }
    }

    /// Sets the value at `now`.
    pub(crate) fn set(&mut self, now: Duration, value: T) {
        self.values.push_back((now, value));
        if self.values.len() > VALUES_KEPT {
            self.values.pop_front();
        }
    }

    /// Time of the latest value.
    pub(crate) fn latest_at(&self) -> Duration {
        self.values.back().map_or(Duration::ZERO, |(at, _)| *at)
    }

    /// The value that stood `lag` before `now`; older values are forgotten.
    pub(crate) fn read(&mut self, now: Duration, lag: Duration) -> Option<T> {
        let until = now.saturating_sub(lag);
        while self.values.get(1).is_some_and(|(at, _)| *at <= until) {
            self.values.pop_front();
        }
        self.values.front().map(|(_, value)| value.clone())
    }
}
