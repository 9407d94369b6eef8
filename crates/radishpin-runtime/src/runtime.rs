//! `smol` executor that runs on a fixed number of threads.

use smol::{Executor, Task, channel};
use std::{
    future::Future,
    io,
    sync::{Arc, Weak},
    thread,
    time::Duration,
};

/// Handle to an executor; clones share it.
///
/// The threads end when the last clone of the handle that [`Runtime::start`] returned is dropped.
#[derive(Clone, Debug)]
pub struct Runtime {
    handle: Handle,
}

#[derive(Clone, Debug)]
enum Handle {
    /// Handle to the process's executor.
    Process {
        executor: Arc<Executor<'static>>,
        // The threads end when the last sender is dropped.
        _handles_open: channel::Sender<()>,
    },
    /// Handle to an executor that ends with its owner, so its tasks must not keep it alive.
    Isolated(Weak<Executor<'static>>),
}

impl Runtime {
    /// Starts an executor with `threads` worker threads, at least one.
    ///
    /// # Errors
    /// The operating system cannot create a thread.
    pub fn start(threads: usize) -> io::Result<Self> {
        let executor = Arc::new(Executor::new());
        let (handles_open, handles_closed) = channel::bounded::<()>(1);
        for index in 0..threads.max(1) {
            let executor = Arc::clone(&executor);
            let handles_closed = handles_closed.clone();
            let run = move || {
                // An error means that the last handle was dropped, which ends the thread.
                let _ = smol::block_on(executor.run(handles_closed.recv()));
            };
            thread::Builder::new()
                .name(format!("worker-{index}"))
                .spawn(run)?;
        }
        let handle = Handle::Process {
            executor,
            _handles_open: handles_open,
        };
        Ok(Self { handle })
    }

    /// Creates a handle that does not keep `executor` alive.
    pub(crate) fn for_isolated(executor: &Arc<Executor<'static>>) -> Self {
        Self {
            handle: Handle::Isolated(Arc::downgrade(executor)),
        }
    }

    /// Spawns a task; dropping the task cancels it. If an isolated executor has ended, the
    /// future is dropped and awaiting the task panics.
    pub fn spawn<T: Send + 'static>(
        &self,
        future: impl Future<Output = T> + Send + 'static,
    ) -> Task<T> {
        match &self.handle {
            Handle::Process { executor, .. } => executor.spawn(future),
            Handle::Isolated(executor) => match executor.upgrade() {
                Some(executor) => executor.spawn(future),
                None => Executor::new().spawn(std::future::pending()),
            },
        }
    }

    /// Spawns a task that runs to completion without being awaited.
    pub fn spawn_detached(&self, future: impl Future<Output = ()> + Send + 'static) {
        self.spawn(future).detach();
    }

    /// Waits for `duration` with a precise timer of the reactor, unlike [`crate::timeout`].
    pub async fn sleep(duration: Duration) {
        smol::Timer::after(duration).await;
    }
}
