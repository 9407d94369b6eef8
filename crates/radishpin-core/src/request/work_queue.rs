//! The bounded queue of an agent: weighted fair queueing by service, with deadlines.
//!
//! While several services have items queued, each is served in proportion to the weight of its
//! priority. No service starves, and a service whose callers accept long waits cannot crowd out
//! one whose callers do not. Within a service, items are served in order of arrival. An item that
//! expires or is removed does not count against the share of its service.

mod flow;

use flow::{Flow, QueuedItem, weight};
use radishpin_protocol::prelude::*;

/// Iterations after which the estimate of [`WorkQueue::served_before`] has converged well enough.
const ESTIMATE_ROUNDS: u32 = 6;

/// Limits on the number of items in a [`WorkQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QueueLimits {
    /// Maximum over all services together.
    pub capacity: usize,
    /// Maximum for any one service.
    pub per_service: usize,
}

/// Why [`WorkQueue::push`] rejected an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum QueueRefusal {
    /// The queue holds [`QueueLimits::capacity`] items.
    Full,
    /// The service has [`QueueLimits::per_service`] items queued.
    ServiceLimit,
}

/// An item that [`WorkQueue::pop`] removed from the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Popped<T> {
    /// Its turn has come; start it now.
    Ready(T),
    /// Its deadline passed in the queue; refuse it.
    Expired(T),
}

/// Items that wait for a free slot at the endpoint.
///
/// `service` is the key that items share capacity by. An agent passes the model's ID for calls to
/// a model.
#[derive(Clone, Debug)]
pub struct WorkQueue<T> {
    limits: QueueLimits,
    flows: BTreeMap<ServiceId, Flow<T>>,
    // Keyed by deadline and sequence number.
    deadlines: BTreeMap<(Duration, u64), ServiceId>,
    // Virtual start time of the last item served.
    virtual_now: u64,
    sequence: u64,
}

impl<T> WorkQueue<T> {
    /// An empty queue; the limits cannot be changed later.
    pub fn new(limits: QueueLimits) -> Self {
        Self {
            limits,
            flows: BTreeMap::new(),
            deadlines: BTreeMap::new(),
            virtual_now: 0,
            sequence: 0,
        }
    }

    /// Queues an item that no longer helps its caller if it starts at `deadline` or later.
    ///
    /// # Errors
    /// [`QueueRefusal`] if a limit is reached. The item is dropped, so the caller must keep what it
    /// needs to answer the refusal.
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
        let queued = QueuedItem { item, deadline };
        self.flows
            .entry(service.to_owned())
            .or_insert_with(Flow::new)
            .push(sequence, queued, priority, self.virtual_now, now);
        Ok(())
    }

    /// Removes the next item; expired items come first, so that they are refused without delay.
    pub fn pop(&mut self, now: Duration) -> Option<Popped<T>> {
        if let Some(item) = self.pop_expired(now) {
            return Some(Popped::Expired(item));
        }
        let busy_flows = self.flows.values_mut().filter_map(|f| Some((f.rank()?, f)));
        let ((start, sequence), flow) = busy_flows.min_by_key(|(rank, _)| *rank)?;
        let queued = flow.serve()?;
        self.virtual_now = start;
        self.deadlines.remove(&(queued.deadline, sequence));
        self.flows.retain(|_, flow| !flow.is_idle(start, now));
        Some(Popped::Ready(queued.item))
    }

    /// Removes an expired item; to be called also while the endpoint has no free slot.
    pub fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let entry = self.deadlines.first_entry()?;
        let (deadline, sequence) = *entry.key();
        if deadline > now {
            return None;
        }
        let service = entry.remove();
        let queued = self.flows.get_mut(&service)?.remove(sequence)?;
        Some(queued.item)
    }

    /// The earliest deadline, at which a timer should call [`Self::pop_expired`].
    pub fn next_deadline(&self) -> Option<Duration> {
        self.deadlines.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes the items that `selects` accepts, such as those of callers that disconnected.
    pub fn remove_if(&mut self, mut selects: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        for flow in self.flows.values_mut() {
            for sequence in flow.matching(&mut selects) {
                let Some(queued) = flow.remove(sequence) else {
                    continue;
                };
                self.deadlines.remove(&(queued.deadline, sequence));
                removed.push(queued.item);
            }
        }
        removed
    }

    /// Removes all items and returns them in order of arrival.
    pub fn drain(&mut self) -> Vec<T> {
        self.deadlines.clear();
        let flows = std::mem::take(&mut self.flows);
        let items = flows.into_values().flat_map(Flow::into_items);
        let ordered: BTreeMap<u64, T> = items.collect();
        ordered.into_values().collect()
    }

    /// Estimates how many items are served before an item of `service` that arrives now.
    ///
    /// Counts later arrivals that overtake it. `completion_interval` is the mean time between two
    /// completed calls at the endpoint.
    pub fn served_before(
        &self,
        service: &str,
        priority: u32,
        completion_interval: Duration,
        now: Duration,
    ) -> usize {
        let own = self.len_of(service);
        let own_weight = weight(priority);
        let mut before = own as f64;
        for _ in 0..ESTIMATE_ROUNDS {
            let wait_s = completion_interval.as_secs_f64() * before;
            let others = self.flows.iter().filter(|(id, _)| *id != service);
            let overtaking: f64 = others
                .map(|(_, flow)| flow.served_before(own, own_weight, wait_s, now))
                .sum();
            before = own as f64 + overtaking;
        }
        before.round() as usize
    }

    /// Number of queued items of all services.
    pub fn len(&self) -> usize {
        self.deadlines.len()
    }

    /// Number of queued items of one service.
    pub fn len_of(&self, service: &str) -> usize {
        self.flows.get(service).map_or(0, Flow::len)
    }

    /// Whether no item is queued.
    pub fn is_empty(&self) -> bool {
        self.deadlines.is_empty()
    }
}
