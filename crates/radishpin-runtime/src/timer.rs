//! Coarse timers for timeouts that rarely expire.
//!
//! Setting a precise timer costs a system call that notifies the reactor. A coarse timer costs
//! only a map entry: one thread checks all timers every [`TICK`], and parks while there are none.

use std::{
    collections::BTreeMap,
    future::Future,
    pin::Pin,
    sync::{
        Mutex, MutexGuard, OnceLock, PoisonError,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    task::{Context, Poll, Waker},
    thread::{self, Thread},
    time::{Duration, Instant},
};

/// Interval between two checks of the timers.
pub const TICK: Duration = Duration::from_millis(4);
/// Number of shards of the timers, each with its own lock.
const SHARDS: usize = 16;

/// Tick at which a timer is due, counted since the queue was created, and the timer's id.
type TimerKey = (u64, u64);

struct TimerQueue {
    started: Instant,
    shards: [Mutex<BTreeMap<TimerKey, Waker>>; SHARDS],
    pending: AtomicUsize,
    last_id: AtomicU64,
    thread: OnceLock<Thread>,
}

static TIMER_QUEUE: OnceLock<TimerQueue> = OnceLock::new();

/// Timers of the process; the first call starts their thread.
fn timer_queue() -> &'static TimerQueue {
    let timer_queue = TIMER_QUEUE.get_or_init(TimerQueue::new);
    timer_queue.thread.get_or_init(|| start_thread(timer_queue));
    timer_queue
}

fn start_thread(timer_queue: &'static TimerQueue) -> Thread {
    let spawned = thread::Builder::new()
        .name("timers".to_owned())
        .spawn(move || timer_queue.run());
    match spawned {
        Ok(handle) => handle.thread().clone(),
        // Without this thread no timeout would ever expire, so the process must not continue.
        Err(cause) => panic!("cannot start the timer thread: {cause}"),
    }
}

impl TimerQueue {
    fn new() -> Self {
        Self {
            started: Instant::now(),
            shards: std::array::from_fn(|_| Mutex::default()),
            pending: AtomicUsize::new(0),
            last_id: AtomicU64::new(0),
            thread: OnceLock::new(),
        }
    }

    fn run(&self) {
        loop {
            if self.pending.load(Ordering::Acquire) == 0 {
                thread::park();
            }
            thread::sleep(TICK);
            self.fire(to_ticks(self.started.elapsed()));
        }
    }

    /// Wakes the timers that are due up to and including the tick `now`.
    fn fire(&self, now: u64) {
        for shard in &self.shards {
            let due = {
                let mut timers = lock(shard);
                let not_due = timers.split_off(&(now + 1, 0));
                std::mem::replace(&mut *timers, not_due)
            };
            self.pending.fetch_sub(due.len(), Ordering::AcqRel);
            for waker in due.into_values() {
                waker.wake();
            }
        }
    }

    fn insert(&self, key: TimerKey, waker: Waker) {
        lock(self.shard(key)).insert(key, waker);
        if self.pending.fetch_add(1, Ordering::AcqRel) == 0
            && let Some(thread) = self.thread.get()
        {
            thread.unpark();
        }
    }

    fn remove(&self, key: TimerKey) {
        if lock(self.shard(key)).remove(&key).is_some() {
            self.pending.fetch_sub(1, Ordering::AcqRel);
        }
    }

    fn shard(&self, key: TimerKey) -> &Mutex<BTreeMap<TimerKey, Waker>> {
        // The remainder is less than `SHARDS`, so the cast is lossless.
        &self.shards[(key.1 % SHARDS as u64) as usize]
    }

    fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// Locks a shard, ignoring poisoning: a panic cannot leave the map inconsistent.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_ticks(elapsed: Duration) -> u64 {
    u64::try_from(elapsed.as_micros() / TICK.as_micros()).unwrap_or(u64::MAX - 1)
}

/// Future that completes after a time limit; it is queued at its first poll.
#[derive(Debug)]
pub(crate) struct CoarseTimer {
    deadline: Instant,
    /// Key of the timer's queue entry, and the waker stored there.
    registered: Option<(TimerKey, Waker)>,
}

impl CoarseTimer {
    /// Creates a timer that fires when `limit` has passed since this call, or up to two ticks
    /// later.
    pub(crate) fn after(limit: Duration) -> Self {
        let now = Instant::now();
        // A limit that exceeds the clock's range becomes 2^32 s, which never passes in practice.
        let deadline = now.checked_add(limit);
        Self {
            deadline: deadline.unwrap_or(now + Duration::from_secs(u64::from(u32::MAX))),
            registered: None,
        }
    }
}

impl Future for CoarseTimer {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        if Instant::now() >= self.deadline {
            return Poll::Ready(());
        }
        if let Some((_, waker)) = &self.registered
            && waker.will_wake(context.waker())
        {
            return Poll::Pending;
        }
        let timer_queue = timer_queue();
        if let Some((old_key, _)) = self.registered.take() {
            timer_queue.remove(old_key);
        }
        let due = to_ticks(self.deadline.saturating_duration_since(timer_queue.started)) + 1;
        let key = (due, timer_queue.next_id());
        let waker = context.waker().clone();
        timer_queue.insert(key, waker.clone());
        self.registered = Some((key, waker));
        Poll::Pending
    }
}

impl Drop for CoarseTimer {
    fn drop(&mut self) {
        if let Some((key, _)) = self.registered.take() {
            timer_queue().remove(key);
        }
    }
}
