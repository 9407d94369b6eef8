//! The open connections of a server: their count, deadlines and wake-ups.
//!
//! One task of the server looks at all deadlines in coarse ticks, so that a request costs no
//! timer of its own.

use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    task::{Wake, Waker},
    time::{Duration, Instant},
};

/// Shards of the table of connections.
const SHARDS: usize = 16;
/// A deadline that never passes.
const NEVER_MS: u64 = u64::MAX;

/// What others may tell a connection's task.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    // The connection's task; set at its first poll.
    task_waker: Mutex<Option<Waker>>,
    // The socket became readable or writable since the last look.
    io_ready: AtomicBool,
    // In milliseconds since the server's start.
    deadline_ms: AtomicU64,
    // The connection rests between requests.
    idle: AtomicBool,
    // The connection should close if it still rests.
    evicted: AtomicBool,
}

impl ConnectionState {
    fn new() -> Self {
        Self {
            task_waker: Mutex::new(None),
            io_ready: AtomicBool::new(false),
            deadline_ms: AtomicU64::new(NEVER_MS),
            idle: AtomicBool::new(true),
            evicted: AtomicBool::new(false),
        }
    }

    /// Remembers the task to wake.
    pub(crate) fn set_task_waker(&self, waker: &Waker) {
        let mut task_waker = self.task_waker.lock();
        match task_waker.as_mut() {
            Some(current) => current.clone_from(waker),
            None => *task_waker = Some(waker.clone()),
        }
    }

    /// Whether the socket became ready since the last call.
    pub(crate) fn take_io_ready(&self) -> bool {
        self.io_ready.swap(false, Ordering::AcqRel)
    }

    /// Marks the connection as resting or busy.
    pub(crate) fn set_idle(&self, idle: bool) {
        self.idle.store(idle, Ordering::Release);
        if !idle {
            self.evicted.store(false, Ordering::Release);
        }
    }

    /// Whether the connection gives way to a new one.
    pub(crate) fn is_evicted(&self) -> bool {
        self.evicted.load(Ordering::Acquire)
    }

    fn wake_task(&self) {
        let task_waker = self.task_waker.lock().clone();
        if let Some(waker) = task_waker {
            waker.wake();
        }
    }
}

impl Wake for ConnectionState {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.io_ready.store(true, Ordering::Release);
        self.wake_task();
    }
}

/// The open connections of one server.
#[derive(Debug)]
pub(crate) struct Registry {
    shards: [Mutex<BTreeMap<u64, Arc<ConnectionState>>>; SHARDS],
    next_id: AtomicU64,
    open: AtomicUsize,
    started: Instant,
    tick_ms: u64,
    now_ms: AtomicU64,
    shutting_down: AtomicBool,
    aborted: AtomicBool,
    closed: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Registry {
    /// A registry without connections, whose clock advances about every `tick`.
    pub(crate) fn new(tick: Duration) -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(BTreeMap::new())),
            next_id: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            started: Instant::now(),
            tick_ms: u64::try_from(tick.as_millis()).unwrap_or(0),
            now_ms: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            aborted: AtomicBool::new(false),
            closed: async_channel::bounded(1),
        }
    }

    /// Enters a new connection; dropping the entry removes it.
    pub(crate) fn register(self: &Arc<Self>) -> Registration {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let state = Arc::new(ConnectionState::new());
        self.shard(id).lock().insert(id, Arc::clone(&state));
        self.open.fetch_add(1, Ordering::AcqRel);
        Registration {
            registry: Arc::clone(self),
            id,
            state,
        }
    }

    /// Connections open now.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until a connection has closed since the last call.
    pub(crate) async fn wait_for_close(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.closed.1.recv().await;
    }

    /// Whether the server is stopping.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Acquire)
    }

    /// Starts the stop and wakes every connection.
    pub(crate) fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Release);
        self.wake(|_| true);
    }

    /// Whether every connection ends at once.
    pub(crate) fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Acquire)
    }

    /// Ends every connection at once, with what runs on it.
    pub(crate) fn abort(&self) {
        self.aborted.store(true, Ordering::Release);
        self.wake(|_| true);
    }

    /// Advances the coarse clock and wakes the connections whose deadline has passed.
    pub(crate) fn tick(&self) {
        let now_ms = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(NEVER_MS - 1);
        self.now_ms.store(now_ms, Ordering::Release);
        self.wake(|state| state.deadline_ms.load(Ordering::Acquire) <= now_ms);
    }

    /// Asks the connection that has rested longest to close.
    pub(crate) fn evict_one(&self) {
        let idle_connections = self.select(|state| state.idle.load(Ordering::Acquire));
        let longest_idle = idle_connections
            .iter()
            .min_by_key(|state| state.deadline_ms.load(Ordering::Acquire));
        if let Some(state) = longest_idle {
            state.evicted.store(true, Ordering::Release);
            state.wake_task();
        }
    }

    fn wake(&self, predicate: impl Fn(&ConnectionState) -> bool) {
        for state in self.select(predicate) {
            state.wake_task();
        }
    }

    /// The chosen signals, to be used without a shard's lock held.
    fn select(&self, predicate: impl Fn(&ConnectionState) -> bool) -> Vec<Arc<ConnectionState>> {
        let mut selected = Vec::new();
        for shard in &self.shards {
            let states = shard.lock();
            selected.extend(states.values().filter(|state| predicate(state)).cloned());
        }
        selected
    }

    fn shard(&self, id: u64) -> &Mutex<BTreeMap<u64, Arc<ConnectionState>>> {
        let index = usize::try_from(id % SHARDS as u64).unwrap_or(0);
        &self.shards[index]
    }
}

/// A connection's place in the registry.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<Registry>,
    id: u64,
    state: Arc<ConnectionState>,
}

impl Registration {
    /// The connection's signal.
    pub(crate) fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    /// Whether the server is stopping.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.registry.is_shutting_down()
    }

    /// Sets the deadline to `limit` from now.
    pub(crate) fn set_deadline(&self, limit: Duration) {
        let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(NEVER_MS);
        let now_ms = self.registry.now_ms.load(Ordering::Acquire);
        // The coarse clock may be a tick behind; no deadline passes early.
        let deadline_ms = now_ms
            .saturating_add(limit_ms)
            .saturating_add(self.registry.tick_ms);
        self.state.deadline_ms.store(deadline_ms, Ordering::Release);
    }

    /// Removes the deadline.
    pub(crate) fn clear_deadline(&self) {
        self.state.deadline_ms.store(NEVER_MS, Ordering::Release);
    }

    /// Whether a deadline is set.
    pub(crate) fn has_deadline(&self) -> bool {
        self.state.deadline_ms.load(Ordering::Acquire) != NEVER_MS
    }

    /// Whether the deadline has passed at the last tick.
    pub(crate) fn is_expired(&self) -> bool {
        let now_ms = self.registry.now_ms.load(Ordering::Acquire);
        self.state.deadline_ms.load(Ordering::Acquire) <= now_ms
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.shard(self.id).lock().remove(&self.id);
        self.registry.open.fetch_sub(1, Ordering::AcqRel);
        // A full channel means that the waiter will look anyway.
        let _ = self.registry.closed.0.try_send(());
    }
}
