//! Registry of a server's open connections: their number, deadlines and wakers.
//!
//! One task of the server checks all deadlines in coarse ticks, so that a request needs no
//! timer.

use super::Shutdown;
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

/// Number of shards of the connection table, each with its own lock.
const SHARDS: usize = 16;
/// Deadline value that means no deadline.
const NEVER_MS: u64 = u64::MAX;

/// State that a connection's task shares with the reactor and the server.
#[derive(Debug)]
pub(crate) struct ConnectionState {
    // Waker of the connection's task; set at its first poll.
    task_waker: Mutex<Option<Waker>>,
    // The socket became readable or writable since the last `take_io_ready`.
    io_ready: AtomicBool,
    // In milliseconds since the registry was created.
    deadline_ms: AtomicU64,
    // The connection waits for a request.
    idle: AtomicBool,
    // The connection must close if it is still idle.
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

    /// Stores the waker of the connection's task.
    pub(crate) fn set_task_waker(&self, waker: &Waker) {
        let mut task_waker = self.task_waker.lock();
        match task_waker.as_mut() {
            Some(current) => current.clone_from(waker),
            None => *task_waker = Some(waker.clone()),
        }
    }

    /// Whether the socket became ready since the last call; clears the flag.
    pub(crate) fn take_io_ready(&self) -> bool {
        self.io_ready.swap(false, Ordering::AcqRel)
    }

    /// Marks the connection as idle or busy; a busy one is no longer evicted.
    pub(crate) fn set_idle(&self, idle: bool) {
        self.idle.store(idle, Ordering::Release);
        if !idle {
            self.evicted.store(false, Ordering::Release);
        }
    }

    /// Whether the connection was selected to close in favour of a new one.
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
    shutdown: Shutdown,
    aborted: AtomicBool,
    closed: (async_channel::Sender<()>, async_channel::Receiver<()>),
}

impl Registry {
    /// Creates an empty registry; [`Self::tick`] is to be called about every `tick`.
    pub(crate) fn new(tick: Duration, shutdown: Shutdown) -> Self {
        Self {
            shards: std::array::from_fn(|_| Mutex::new(BTreeMap::new())),
            next_id: AtomicU64::new(0),
            open: AtomicUsize::new(0),
            started: Instant::now(),
            tick_ms: u64::try_from(tick.as_millis()).unwrap_or(0),
            now_ms: AtomicU64::new(0),
            shutting_down: AtomicBool::new(false),
            shutdown,
            aborted: AtomicBool::new(false),
            closed: async_channel::bounded(1),
        }
    }

    /// Adds a connection; dropping the [`Registration`] removes it.
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

    /// Number of open connections.
    pub(crate) fn open_count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Waits until a connection closes, or returns at once if one closed since the last call.
    pub(crate) async fn wait_for_close(&self) {
        // The sender lives in `self`, so the channel is never closed.
        let _ = self.closed.1.recv().await;
    }

    /// Whether the graceful shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.shutting_down.load(Ordering::Acquire)
    }

    /// Starts the graceful shutdown and wakes every connection.
    pub(crate) fn begin_shutdown(&self) {
        self.shutting_down.store(true, Ordering::Release);
        self.wake(|_| true);
    }

    /// Whether all connections are aborted.
    pub(crate) fn is_aborted(&self) -> bool {
        self.aborted.load(Ordering::Acquire)
    }

    /// Aborts all connections, with their handlers and responses.
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

    /// Asks the connection that has been idle the longest to close.
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

    /// Clones the matching states, so that they are used without holding a shard's lock.
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

/// Membership of one connection in the registry, which ends on drop.
#[derive(Debug)]
pub(crate) struct Registration {
    registry: Arc<Registry>,
    id: u64,
    state: Arc<ConnectionState>,
}

impl Registration {
    /// State that the connection shares with the registry.
    pub(crate) fn state(&self) -> &Arc<ConnectionState> {
        &self.state
    }

    /// Whether the server's graceful shutdown has begun.
    pub(crate) fn is_shutting_down(&self) -> bool {
        self.registry.is_shutting_down()
    }

    /// Whether a response is to be the last one: the shutdown was requested, although the server's task may
    /// not have noticed it yet.
    pub(crate) fn is_shutdown_requested(&self) -> bool {
        self.registry.is_shutting_down() || self.registry.shutdown.has_begun()
    }

    /// Sets the deadline to `limit` from now; it may pass up to two ticks late.
    pub(crate) fn set_deadline(&self, limit: Duration) {
        let limit_ms = u64::try_from(limit.as_millis()).unwrap_or(NEVER_MS);
        let now_ms = self.registry.now_ms.load(Ordering::Acquire);
        // The coarse clock may be a tick behind, and no deadline may pass early.
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

    /// Whether the deadline had passed at the last tick.
    pub(crate) fn is_expired(&self) -> bool {
        let now_ms = self.registry.now_ms.load(Ordering::Acquire);
        self.state.deadline_ms.load(Ordering::Acquire) <= now_ms
    }
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.registry.shard(self.id).lock().remove(&self.id);
        self.registry.open.fetch_sub(1, Ordering::AcqRel);
        // A full channel already holds a notification for the waiter.
        let _ = self.registry.closed.0.try_send(());
    }
}
