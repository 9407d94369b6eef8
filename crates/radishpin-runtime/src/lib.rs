//! Threads and tasks of a process: one `smol` executor driven by a fixed number of threads.

use smol::{Executor, Task, channel};
use std::{future::Future, io, sync::Arc, thread, time::Duration};

/// Handle to the executor of the process; clones share it.
///
/// The threads end when the last clone of the handle that [`Runtime::start`] returned is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    executor: Arc<Executor<'static>>,
    // Dropping the last sender ends the threads.
    _alive: channel::Sender<()>,
}

impl Runtime {
    /// Starts `threads` worker threads, at least one.
    ///
    /// # Errors
    /// The operating system refuses a thread.
    pub fn start(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (alive, ended) = channel::bounded::<()>(1);
        for index in 0..threads.max(1) {
            let executor = Arc::clone(&executor);
            let ended = ended.clone();
            let run = move || {
                // An error here means that the last handle is gone.
                let _ = smol::block_on(executor.run(ended.recv()));
            };
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(run)?;
        }
        Ok(Self {
            executor,
            _alive: alive,
        })
    }

    /// Starts a task; dropping the task cancels it.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        self.executor.spawn(future)
    }

    /// Starts a task that runs to its end by itself.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.executor.spawn(future).detach();
    }

    /// Waits for `duration`.
    pub async fn sleep(duration: Duration) {
        smol::Timer::after(duration).await;
    }
}

/// Runs `future` for at most `limit`; `None` when the time is over.
pub async fn timeout<T>(limit: Duration, future: impl Future<Output = T>) -> Option<T> {
    let work = async { Some(future.await) };
    let expiry = async {
        smol::Timer::after(limit).await;
        None
    };
    futures_lite::future::or(work, expiry).await
}
