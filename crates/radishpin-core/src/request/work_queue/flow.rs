//! The queued items of one service in a [`super::WorkQueue`], as a flow of fair queueing.

use radishpin_protocol::prelude::*;

/// Highest priority, with ten times the weight of priority 0.
const MAX_PRIORITY: u32 = 9;
/// Virtual time that one item takes at weight 1; divisible by every weight from 1 to 10.
const ITEM_COST: u64 = 2_520;
/// Time constant of the exponential decay of the arrival count.
const RATE_WINDOW: Duration = Duration::from_secs(5);

#[derive(Clone, Debug)]
pub(super) struct QueuedItem<T> {
    pub(super) item: T,
    pub(super) deadline: Duration,
}

#[derive(Clone, Debug)]
pub(super) struct Flow<T> {
    items: BTreeMap<u64, QueuedItem<T>>,
    weight: u64,
    // Virtual start time of the next item.
    virtual_start: u64,
    // Exponentially decayed number of arrivals, as of `arrivals_at`.
    arrivals: f64,
    arrivals_at: Duration,
}

impl<T> Flow<T> {
    pub(super) fn new() -> Self {
        Self {
            items: BTreeMap::new(),
            weight: 1,
            virtual_start: 0,
            arrivals: 0.0,
            arrivals_at: Duration::ZERO,
        }
    }

    pub(super) fn push(
        &mut self,
        sequence: u64,
        queued: QueuedItem<T>,
        priority: u32,
        virtual_now: u64,
        now: Duration,
    ) {
        if self.items.is_empty() {
            self.virtual_start = self.virtual_start.max(virtual_now);
        }
        self.weight = weight(priority);
        self.arrivals = self.recent_arrivals(now) + 1.0;
        self.arrivals_at = now;
        self.items.insert(sequence, queued);
    }

    /// Removes the oldest item and charges it to the share of the flow.
    pub(super) fn serve(&mut self) -> Option<QueuedItem<T>> {
        let (_, queued) = self.items.pop_first()?;
        self.virtual_start += ITEM_COST / self.weight;
        Some(queued)
    }

    /// Removes an item without charging it to the share of the flow.
    pub(super) fn remove(&mut self, sequence: u64) -> Option<QueuedItem<T>> {
        self.items.remove(&sequence)
    }

    /// Sequence numbers of the items that `wanted` matches, oldest first.
    pub(super) fn matching(&self, mut wanted: impl FnMut(&T) -> bool) -> Vec<u64> {
        let found = self.items.iter().filter(|(_, queued)| wanted(&queued.item));
        found.map(|(sequence, _)| *sequence).collect()
    }

    pub(super) fn into_items(self) -> impl Iterator<Item = (u64, T)> {
        let items = self.items.into_iter();
        items.map(|(sequence, queued)| (sequence, queued.item))
    }

    /// Virtual start time and sequence number of the oldest item; the lowest pair is served next.
    ///
    /// `None` if no item is queued.
    pub(super) fn rank(&self) -> Option<(u64, u64)> {
        let (sequence, _) = self.items.first_key_value()?;
        Some((self.virtual_start, *sequence))
    }

    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    /// Estimates how many items of this flow are served before an item of another flow.
    ///
    /// That item has `own` items of its flow ahead of it, its flow has `own_weight`, and it waits
    /// for `wait_s`. The result is at most the share of this flow, and at most the items that are
    /// queued here or arrive during the wait.
    pub(super) fn served_before(
        &self,
        own: usize,
        own_weight: u64,
        wait_s: f64,
        now: Duration,
    ) -> f64 {
        let share = (own as f64 + 1.0) * self.weight as f64 / own_weight as f64;
        let rate = self.recent_arrivals(now) / RATE_WINDOW.as_secs_f64();
        let available = self.items.len() as f64 + rate * wait_s;
        share.min(available)
    }

    /// Whether the flow can be dropped: empty, not ahead of its share, and few recent arrivals.
    pub(super) fn is_idle(&self, virtual_now: u64, now: Duration) -> bool {
        let within_share = self.virtual_start <= virtual_now;
        self.items.is_empty() && within_share && self.recent_arrivals(now) < 0.1
    }

    /// The decayed number of arrivals at `now`.
    fn recent_arrivals(&self, now: Duration) -> f64 {
        let elapsed = now.saturating_sub(self.arrivals_at);
        let decay = (-elapsed.as_secs_f64() / RATE_WINDOW.as_secs_f64()).exp();
        self.arrivals * decay
    }
}

/// Weight of a flow: priority 0 has weight 1; priorities above the highest count as the highest.
pub(super) fn weight(priority: u32) -> u64 {
    u64::from(priority.min(MAX_PRIORITY)) + 1
}
