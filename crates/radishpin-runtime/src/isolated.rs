//! An executor within an executor: a part of a program that can be paused and killed as a
//! process can, for several processes' roles in one program.

use crate::Runtime;
use smol::{Executor, Task};
use std::sync::Arc;

/// Owner of an isolated executor. Dropping it kills: every task of it is dropped, which closes
/// its sockets.
#[derive(Debug)]
pub struct IsolatedRuntime {
    parent: Runtime,
    executor: Arc<Executor<'static>>,
    drivers: Vec<Task<()>>,
    parallelism: usize,
}

impl IsolatedRuntime {
    /// An executor whose tasks run on `parent`, at most `parallel` of them at once.
    pub fn new(parent: &Runtime, parallelism: usize) -> Self {
        let mut isolated = Self {
            parent: parent.clone(),
            executor: Arc::new(Executor::new()),
            drivers: Vec::new(),
            parallelism: parallelism.max(1),
        };
        isolated.resume();
        isolated
    }

    /// A handle for the part's own tasks.
    pub fn handle(&self) -> Runtime {
        Runtime::for_isolated(&self.executor)
    }

    /// Stops all tasks where they are, as a frozen process does; sockets stay open.
    pub fn pause(&mut self) {
        self.drivers.clear();
    }

    /// Lets the tasks go on; idempotent.
    pub fn resume(&mut self) {
        if !self.drivers.is_empty() {
            return;
        }
        for _ in 0..self.parallelism {
            let executor = Arc::clone(&self.executor);
            let driver = async move { executor.run(std::future::pending::<()>()).await };
            self.drivers.push(self.parent.spawn(driver));
        }
    }
}
