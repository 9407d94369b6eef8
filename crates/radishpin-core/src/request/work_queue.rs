//! The bounded queue of an agent: places per service, priorities with ageing, deadlines.

use radishpin_protocol::prelude::*;

/// Highest priority.
const MAX_PRIORITY: u32 = 9;

/// Bounds of a [`WorkQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Places in all.
    pub capacity: usize,
    /// Places that one service may take.
    pub per_service: usize,
    /// Waiting time that counts as much as one step of priority.
    pub ageing: Duration,
}

/// Why an item is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueRefusal {
    /// All places are taken.
    Full,
    /// The service has taken all the places that it may.
    ServiceLimit,
}

/// An item that leaves the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// To be worked on now.
    Ready(T),
    /// Its deadline passed while it waited; it must be refused.
    Expired(T),
}

/// Order of service: the time of arrival, later by one `ageing` for each step below the highest
/// priority. The order of two items never changes, so an item is overtaken only by items that
/// arrive within `9 * ageing` after it.
type Rank = (Duration, u64);

#[derive(Clone, Debug)]
struct Waiting<T> {
    item: T,
    service: ServiceId,
    deadline: Duration,
}

/// Items that wait for a place at the endpoint.
#[derive(Clone, Debug)]
pub struct WorkQueue<T> {
    limits: QueueLimits,
    waiting: BTreeMap<Rank, Waiting<T>>,
    deadlines: BTreeSet<(Duration, Rank)>,
    taken: BTreeMap<ServiceId, usize>,
    sequence: u64,
}

impl<T> WorkQueue<T> {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            waiting: BTreeMap::new(),
            deadlines: BTreeSet::new(),
            taken: BTreeMap::new(),
            sequence: 0,
        }
    }

    /// Queues an item. `deadline` is the last time at which starting it still helps its caller.
    ///
    /// # Errors
    /// [`QueueRefusal`], at once; the item is dropped, so keep what the refusal needs.
    pub fn push(
        &mut self,
        item: T,
        service: &str,
        priority: u32,
        deadline: Duration,
        now: Duration,
    ) -> Result<(), QueueRefusal> {
        if self.waiting.len() >= self.limits.capacity {
            return Err(QueueRefusal::Full);
        }
        if self.len_of(service) >= self.limits.per_service {
            return Err(QueueRefusal::ServiceLimit);
        }
        let rank = (self.virtual_arrival(priority, now), self.sequence);
        self.sequence += 1;
        *self.taken.entry(service.to_owned()).or_default() += 1;
        self.deadlines.insert((deadline, rank));
        let service = service.to_owned();
        let waiting = Waiting {
            item,
            service,
            deadline,
        };
        self.waiting.insert(rank, waiting);
        Ok(())
    }

    /// Takes the next item: first those whose deadline passed, so that they are refused at once.
    pub fn pop(&mut self, now: Duration) -> Option<Popped<T>> {
        if let Some(item) = self.pop_expired(now) {
            return Some(Popped::Expired(item));
        }
        let (rank, waiting) = self.waiting.pop_first()?;
        self.unlist(rank, &waiting);
        Some(Popped::Ready(waiting.item))
    }

    /// Takes an item whose deadline passed, also while the endpoint has no free place.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let (deadline, rank) = *self.deadlines.first()?;
        if deadline > now {
            return None;
        }
        self.take(rank)
    }

    /// The next deadline, for a timer that calls [`Self::pop_expired`].
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// Takes out the items that `gone` names, for callers that hung up.
    pub fn remove_if(&mut self, mut gone: impl FnMut(&T) -> bool) -> Vec<T> {
        let ranks: Vec<Rank> = self
            .waiting
            .iter()
            .filter(|(_, waiting)| gone(&waiting.item))
            .map(|(rank, _)| *rank)
            .collect();
        ranks.into_iter().filter_map(|r| self.take(r)).collect()
    }

    /// Takes all items, in order of service.
    pub fn drain(&mut self) -> Vec<T> {
        self.deadlines.clear();
        self.taken.clear();
        let waiting = std::mem::take(&mut self.waiting);
        waiting.into_values().map(|waiting| waiting.item).collect()
    }

    /// Items that would be served before one that arrives now.
    pub fn ahead_of(&self, priority: u32, now: Duration) -> usize {
        let rank = (self.virtual_arrival(priority, now), self.sequence);
        self.waiting.range(..rank).count()
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Items of one service that wait.
    pub fn len_of(&self, service: &str) -> usize {
        self.taken.get(service).copied().unwrap_or(0)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    fn virtual_arrival(&self, priority: u32, now: Duration) -> Duration {
        let steps_below = MAX_PRIORITY - priority.min(MAX_PRIORITY);
        now.saturating_add(self.limits.ageing.saturating_mul(steps_below))
    }

    fn take(&mut self, rank: Rank) -> Option<T> {
        let waiting = self.waiting.remove(&rank)?;
        self.unlist(rank, &waiting);
        Some(waiting.item)
    }

    fn unlist(&mut self, rank: Rank, waiting: &Waiting<T>) {
        self.deadlines.remove(&(waiting.deadline, rank));
        if let Some(taken) = self.taken.get_mut(&waiting.service) {
            *taken -= 1;
            if *taken == 0 {
                self.taken.remove(&waiting.service);
            }
        }
    }
}
