//! The items of one service in a [`super::WorkQueue`].

use radishpin_protocol::prelude::*;

/// Highest priority; it has ten times the weight of priority 0.
const MAX_PRIORITY: u32 = 9;
/// Virtual time that one item takes at weight 1; divisible by every weight.
const ITEM_COST: u64 = 2_520;
/// Time over which the rate of arrivals is smoothed.
const RATE_WINDOW: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub(super) struct Waiting<T> {
    pub(super) item: T,
    pub(super) deadline: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct Flow<T> {
    items: BTreeMap<u64, Waiting<T>>,
    weight: u64,
    // Virtual time at which the next item may start.
    start: u64,
    // Arrivals, fading over RATE_WINDOW, as of `arrivals_at`.
    arrivals: f64,
    arrivals_at: Duration,
}

impl<T> Flow<T> {
    pub(super) fn new() -> Self {
        Self {
            items: BTreeMap::new(),
            weight: 1,
            start: 0,
            arrivals: 0.0,
            arrivals_at: Duration::ZERO,
        }
    }

    pub(super) fn push(
        &mut self,
        sequence: u64,
        waiting: Waiting<T>,
        priority: u32,
        virtual_now: u64,
        now: Duration,
    ) {
        if self.items.is_empty() {
            self.start = self.start.max(virtual_now);
        }
        self.weight = weight(priority);
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrivals_at = now;
        self.items.insert(sequence, waiting);
    }

    /// Serves the oldest item, at the cost of its share.
    pub(super) fn serve(&mut self) -> Option<Waiting<T>> {
        let (_, waiting) = self.items.pop_first()?;
        self.start += ITEM_COST / self.weight;
        Some(waiting)
    }

    /// Takes an item out unserved, which costs nothing.
    pub(super) fn remove(&mut self, sequence: u64) -> Option<Waiting<T>> {
        self.items.remove(&sequence)
    }

    pub(super) fn matching(&self, mut wanted: impl FnMut(&T) -> bool) -> Vec<u64> {
        let found = self
            .items
            .iter()
            .filter(|(_, waiting)| wanted(&waiting.item));
        found.map(|(sequence, _)| *sequence).collect()
    }

    pub(super) fn into_items(self) -> impl Iterator<Item = (u64, T)> {
        let items = self.items.into_iter();
        items.map(|(sequence, waiting)| (sequence, waiting.item))
    }

    /// Order in which flows are served; `None` where nothing waits.
    pub(super) fn rank(&self) -> Option<(u64, u64)> {
        let (sequence, _) = self.items.first_key_value()?;
        Some((self.start, *sequence))
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Items of this flow that are served before the item behind `own` others of a flow of
    /// `own_weight`, if that takes `wait_s`: its share at most, and no more than there are.
    pub(super) fn served_before(
        &self,
        own: usize,
        own_weight: u64,
        wait_s: f64,
        now: Duration,
    ) -> f64 {
        let share = (own as f64 + 1.0) * self.weight as f64 / own_weight as f64;
        let rate = self.recent_arrivals(now) / RATE_WINDOW.as_secs_f64();
        let present = self.items.len() as f64 + rate * wait_s;
        share.min(present)
    }

    /// Whether nothing of it is worth remembering.
    pub(super) fn is_idle(&self, virtual_now: u64, now: Duration) -> bool {
        let used_its_share_only = self.start <= virtual_now;
        self.items.is_empty() && used_its_share_only && self.recent_arrivals(now) < 0.1
    }

    fn recent_arrivals(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.arrivals_at);
        let fading = (-since.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.arrivals * fading
    }
}

pub(super) fn weight(priority: u32) -> u64 {
    u64::from(priority.min(MAX_PRIORITY)) + 1
}
