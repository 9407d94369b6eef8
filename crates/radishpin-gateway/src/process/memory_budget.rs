//! The memory of the process that bodies and buffers may use together.

use super::{Clock, Metrics};
use bytes::Bytes;
use event_listener::{Event, EventListener};
use parking_lot::Mutex;
use prometheus::{IntCounterVec, IntGauge};
pub(crate) use radishpin_core::process::BudgetExceeded;
use radishpin_core::process::{MemoryLimits, MemoryShares, MemoryUse, ShareId};
use radishpin_protocol::prelude::*;
use radishpin_runtime::timeout;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Time between two log lines of one kind; what happens in between is counted.
const LOG_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a response that waits for memory looks again: meanwhile a body may have stalled.
const ROOM_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// What the budget did to a request; counted and logged.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum BudgetEvent {
    /// A request was rejected before its body was read, or while it was.
    Rejected,
    /// A body that had stalled gave way to another one.
    GaveWay,
    /// A body was slower than the minimum rate, or made no progress for too long.
    Stalled,
}

impl BudgetEvent {
    fn name(self) -> &'static str {
        match self {
            Self::Rejected => "rejected",
            Self::GaveWay => "gave_way",
            Self::Stalled => "stalled",
        }
    }
}

/// A memory budget, one per process.
#[derive(Clone, Debug)]
pub(crate) struct MemoryBudget {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    state: Mutex<State>,
    events: IntCounterVec,
    used_bytes: IntGauge,
    /// Notified when memory is returned.
    returned: Event,
}

#[derive(Debug)]
struct State {
    shares: MemoryShares,
    /// Those that are told when they give way.
    holders: BTreeMap<ShareId, Arc<Holder>>,
    log: BTreeMap<BudgetEvent, LogCount>,
}

/// Time of the last log line of one kind, and the events since.
#[derive(Debug, Default)]
struct LogCount {
    logged_at: Option<Duration>,
    count: u64,
}

/// Tells a task that its share gave way.
#[derive(Debug, Default)]
struct Holder {
    /// Rest of a response, which is dropped when its share gives way, as its task waits for a caller that does
    /// not read.
    unread: Mutex<Option<Bytes>>,
    is_closed: AtomicBool,
    closed: Event,
}

impl Holder {
    fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
        self.unread.lock().take();
        self.closed.notify(usize::MAX);
    }
}

impl MemoryBudget {
    /// Creates the budget of a process on a host with this memory; without it nothing is rejected.
    pub(crate) fn new(memory_mb: Option<usize>, clock: Clock, metrics: &Metrics) -> Self {
        let state = State {
            shares: MemoryShares::new(MemoryLimits::of_host(memory_mb)),
            holders: BTreeMap::new(),
            log: BTreeMap::new(),
        };
        Self {
            shared: Arc::new(Shared {
                clock,
                state: Mutex::new(state),
                events: metrics.memory_budget.clone(),
                used_bytes: metrics.memory_budget_bytes.clone(),
                returned: Event::new(),
            }),
        }
    }

    /// Reserves memory for the body of a request, or a buffer of its connection.
    ///
    /// # Errors
    /// The budget does not have as many bytes left.
    pub(crate) fn reserve(&self, bytes: usize) -> Result<MemoryReservation, BudgetExceeded> {
        self.open(MemoryUse::Request, bytes)
    }

    /// Reserves memory for the body of a response; waits until the budget has room for it.
    pub(crate) async fn reserve_for_response(&self, bytes: usize) -> MemoryReservation {
        loop {
            let returned = self.shared.returned.listen();
            if let Ok(reservation) = self.open(MemoryUse::Response, bytes) {
                return reservation;
            }
            timeout(ROOM_POLL_INTERVAL, returned).await;
        }
    }

    fn open(&self, used_for: MemoryUse, bytes: usize) -> Result<MemoryReservation, BudgetExceeded> {
        let now = self.shared.clock.now();
        let mut state = self.shared.state.lock();
        let (id, closed) = state.shares.open(used_for, bytes, now)?;
        let holder = Arc::<Holder>::default();
        state.holders.insert(id, Arc::clone(&holder));
        self.close(&mut state, &closed);
        Ok(MemoryReservation {
            budget: self.clone(),
            holder,
            id,
            bytes,
        })
    }

    /// Ends the bodies whose shares gave way.
    fn close(&self, state: &mut State, closed: &[ShareId]) {
        for id in closed {
            if let Some(holder) = state.holders.remove(id) {
                holder.close();
            }
            self.count(state, BudgetEvent::GaveWay);
        }
        self.update_gauge(state);
    }

    fn update_gauge(&self, state: &State) {
        let used = i64::try_from(state.shares.used()).unwrap_or(i64::MAX);
        self.shared.used_bytes.set(used);
    }

    /// Counts a request that was rejected for the budget.
    pub(crate) fn count_rejected(&self) {
        self.count(&mut self.shared.state.lock(), BudgetEvent::Rejected);
    }

    /// Counts a body that was too slow.
    pub(crate) fn count_stalled(&self) {
        self.count(&mut self.shared.state.lock(), BudgetEvent::Stalled);
    }

    fn count(&self, state: &mut State, event: BudgetEvent) {
        let outcome = event.name();
        self.shared.events.with_label_values(&[outcome]).inc();
        let now = self.shared.clock.now();
        let used_bytes = state.shares.used();
        let log = state.log.entry(event).or_default();
        log.count += 1;
        let is_due = |at: Duration| now.saturating_sub(at) >= LOG_INTERVAL;
        if log.logged_at.is_none_or(is_due) {
            log::warn!(
                event = "memory_budget", outcome = outcome, count = log.count, used_bytes = used_bytes;
                "requests ended for the memory of their bodies"
            );
            log.logged_at = Some(now);
            log.count = 0;
        }
    }
}

/// Bytes of a memory budget, which are returned when it is dropped.
#[derive(Debug)]
pub(crate) struct MemoryReservation {
    budget: MemoryBudget,
    holder: Arc<Holder>,
    id: ShareId,
    bytes: usize,
}

impl MemoryReservation {
    /// Reserves more bytes.
    ///
    /// # Errors
    /// The budget does not have as many bytes left, or the reservation gave way.
    pub(crate) fn grow(&mut self, bytes: usize) -> Result<(), BudgetExceeded> {
        let shared = &self.budget.shared;
        let now = shared.clock.now();
        let mut state = shared.state.lock();
        let closed = state.shares.grow(self.id, bytes, now)?;
        self.budget.close(&mut state, &closed);
        self.bytes += bytes;
        Ok(())
    }

    /// Reserves more bytes; waits until the budget has room for them.
    pub(crate) async fn grow_when_possible(&mut self, bytes: usize) {
        loop {
            let returned = self.budget.shared.returned.listen();
            if self.grow(bytes).is_ok() {
                return;
            }
            timeout(ROOM_POLL_INTERVAL, returned).await;
        }
    }

    /// Returns some of the bytes.
    pub(crate) fn shrink(&mut self, bytes: usize) {
        let bytes = bytes.min(self.bytes);
        let mut state = self.budget.shared.state.lock();
        state.shares.shrink(self.id, bytes);
        self.budget.update_gauge(&state);
        self.bytes -= bytes;
        self.budget.shared.returned.notify(usize::MAX);
    }

    /// Records that the body has made progress. If it stalls from now on, it gives way to others.
    pub(crate) fn record_progress(&self) {
        let now = self.budget.shared.clock.now();
        let mut state = self.budget.shared.state.lock();
        state.shares.record_progress(self.id, now);
    }

    /// Keeps the reservation until it is dropped.
    ///
    /// # Errors
    /// It gave way before.
    pub(crate) fn keep(&self) -> Result<(), BudgetExceeded> {
        let mut state = self.budget.shared.state.lock();
        state.shares.keep(self.id);
        match self.is_closed() {
            true => Err(BudgetExceeded),
            false => Ok(()),
        }
    }

    fn is_closed(&self) -> bool {
        self.holder.is_closed.load(Ordering::Acquire)
    }

    /// Holds the rest of a response until its caller has read it, or it gives way.
    pub(crate) fn hold(&self, bytes: Bytes) {
        *self.holder.unread.lock() = Some(bytes);
        self.record_progress();
    }

    /// Takes the next piece of the response that is held.
    ///
    /// # Errors
    /// It gave way.
    pub(crate) fn take_piece(&self, bytes_max: usize) -> Result<Bytes, BudgetExceeded> {
        let piece = {
            let mut unread = self.holder.unread.lock();
            let rest = unread.as_mut().ok_or(BudgetExceeded)?;
            rest.split_to(rest.len().min(bytes_max))
        };
        self.record_progress();
        Ok(piece)
    }

    /// Waits until the reservation gives way.
    pub(crate) async fn closed(&self) {
        let listener: EventListener = self.holder.closed.listen();
        if !self.is_closed() {
            listener.await;
        }
    }
}

impl Drop for MemoryReservation {
    fn drop(&mut self) {
        let mut state = self.budget.shared.state.lock();
        state.shares.close(self.id);
        state.holders.remove(&self.id);
        self.budget.update_gauge(&state);
        self.budget.shared.returned.notify(usize::MAX);
    }
}
