//! The bounded queue of an agent: fair shares by priority, places per service, deadlines.
//!
//! Fair queueing: while several services wait, each is served in proportion to the weight of its
//! priority, so none starves, and patient callers cannot crowd out impatient ones. Within a
//! service the order is that of arrival. An item that is given up uses nothing of the share.

mod flow;

use flow::{Flow, Waiting, weight};
use radishpin_protocol::prelude::*;

/// Rounds after which the estimate of [`WorkQueue::served_before`] is near enough.
const ESTIMATE_ROUNDS: u32 = 6;

/// Bounds of a [`WorkQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Places in all.
    pub capacity: usize,
    /// Places that one service may take.
    pub per_service: usize,
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

/// Items that wait for a place at the endpoint.
#[derive(Clone, Debug)]
pub struct WorkQueue<T> {
    limits: QueueLimits,
    flows: BTreeMap<ServiceId, Flow<T>>,
    // By deadline and order of arrival.
    deadlines: BTreeMap<(Duration, u64), ServiceId>,
    // Virtual start time of the item served last.
    virtual_now: u64,
    sequence: u64,
}

impl<T> WorkQueue<T> {
    /// An empty queue.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            flows: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            virtual_now: 0,
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
        if self.len() >= self.limits.capacity {
            return Err(QueueRefusal::Full);
        }
        if self.len_of(service) >= self.limits.per_service {
            return Err(QueueRefusal::ServiceLimit);
        }
        let sequence = self.sequence;
        self.sequence += 1;
        self.deadlines
            .insert((deadline, sequence), service.to_owned());
        let waiting = Waiting { item, deadline };
        self.flows
            .entry(service.to_owned())
            .or_insert_with(Flow::new)
            .push(sequence, waiting, priority, self.virtual_now, now);
        Ok(())
    }

    /// Takes the next item: first those whose deadline passed, so that they are refused at once.
    pub fn pop(&mut self, now: Duration) -> Option<Popped<T>> {
        if let Some(item) = self.pop_expired(now) {
            return Some(Popped::Expired(item));
        }
        let ranked = self.flows.values_mut().filter_map(|f| Some((f.rank()?, f)));
        let ((start, sequence), flow) = ranked.min_by_key(|(rank, _)| *rank)?;
        let waiting = flow.serve()?;
        self.virtual_now = start;
        self.deadlines.remove(&(waiting.deadline, sequence));
        self.flows.retain(|_, flow| !flow.is_idle(start, now));
        Some(Popped::Ready(waiting.item))
    }

    /// Takes an item whose deadline passed, also while the endpoint has no free place.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let entry = self.deadlines.first_entry()?;
        let (deadline, sequence) = *entry.key();
        if deadline > now {
            return None;
        }
        let service = entry.remove();
        let waiting = self.flows.get_mut(&service)?.remove(sequence)?;
        Some(waiting.item)
    }

    /// The next deadline, for a timer that calls [`Self::pop_expired`].
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first_key_value().map(|((at, _), _)| *at)
    }

    /// Takes out the items that `gone` names, for callers that hung up.
    pub fn remove_if(&mut self, mut gone: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            for sequence in flow.matching(&mut gone) {
                let Some(waiting) = flow.remove(sequence) else {
                    continue;
                };
                self.deadlines.remove(&(waiting.deadline, sequence));
                removed.push(waiting.item);
            }
        }
        removed
    }

    /// Takes all items, in order of arrival.
    pub fn drain(&mut self) -> Vec<T> {
        self.deadlines.clear();
        let flows = std::mem::take(&mut self.flows);
        let items = flows.into_values().flat_map(Flow::into_items);
        let ordered: BTreeMap<u64, T> = items.collect();
        ordered.into_values().collect()
    }

    /// Items that will have been served before one of `service` that arrives now, those that
    /// overtake it included, where the endpoint ends one call each `pace`.
    pub fn served_before(
        &self,
        service: &str,
        priority: u32,
        pace: Duration,
        now: Duration,
    ) -> usize {
        let own = self.len_of(service);
        let own_weight = weight(priority);
        let mut before = own as f64;
        for _ in 0..ESTIMATE_ROUNDS {
            let wait_s = pace.as_secs_f64() * before;
            let others = self.flows.iter().filter(|(id, _)| *id != service);
            let overtaking: f64 = others
                .map(|(_, flow)| flow.served_before(own, own_weight, wait_s, now))
                .sum();
            before = own as f64 + overtaking;
        }
        before.round() as usize
    }

    /// Items that wait.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Items of one service that wait.
    pub fn len_of(&self, service: &str) -> usize {
        self.flows.get(service).map_or(0, Flow::len)
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }
}
