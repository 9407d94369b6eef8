//! Coarse timers for the many timeouts that hardly ever expire.
//!
//! A precise timer costs a system call to set, as the reactor must be told. These cost an entry
//! in a map: one thread looks at all of them every [`TICK`], and rests while there are none.

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

/// Time between two looks; a timer fires at most one tick after its time.
pub const TICK: Duration = Duration::from_millis(4);
/// Shards of the timers, each under its own lock.
const SHARDS: usize = 16;

/// Number of a tick since the start, and of a timer within the process.
type TimerKey = (u64, u64);

struct TimerQueue {
    started: Instant,
    shards: [Mutex<BTreeMap<TimerKey, Waker>>; SHARDS],
    pending: AtomicUsize,
    last_id: AtomicU64,
    thread: OnceLock<Thread>,
}

static TIMER_QUEUE: OnceLock<TimerQueue> = OnceLock::new();

/// The process's timers; the thread starts with the first.
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
        // Without timers no deadline would hold, so the process must not go on.
        Err(cause) => panic!("cannot start the thread of the timers: {cause}"),
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

    /// Wakes what is due up to the tick `now`.
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
        // The remainder is below the number of shards.
        &self.shards[(key.1 % SHARDS as u64) as usize]
    }

    fn next_id(&self) -> u64 {
        self.last_id.fetch_add(1, Ordering::Relaxed)
    }
}

/// The map is whole even where a thread panicked with the lock.
fn lock<T>(shard: &Mutex<T>) -> MutexGuard<'_, T> {
    shard.lock().unwrap_or_else(PoisonError::into_inner)
}

fn to_ticks(elapsed: Duration) -> u64 {
    u64::try_from(elapsed.as_micros() / TICK.as_micros()).unwrap_or(u64::MAX - 1)
}

/// A coarse timer; it costs nothing until it is first polled.
#[derive(Debug)]
pub(crate) struct CoarseTimer {
    deadline: Instant,
    /// Its entry, and whom the entry wakes.
    registered: Option<(TimerKey, Waker)>,
}

impl CoarseTimer {
    /// A timer that fires within a tick after `limit` has passed.
    pub(crate) fn after(limit: Duration) -> Self {
        let now = Instant::now();
        // A limit beyond what the clock can count never fires.
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
