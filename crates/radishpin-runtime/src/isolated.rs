//! Nested executor whose tasks can be paused and killed together, as a process can.
//!
//! It lets one program run the roles of several processes.

use crate::Runtime;
use smol::{Executor, Task};
use std::sync::Arc;

/// Owner of an isolated executor. Dropping it acts like killing a process: all its tasks are
/// dropped, which closes their sockets.
#[derive(Debug)]
pub struct IsolatedRuntime {
    parent: Runtime,
    executor: Arc<Executor<'static>>,
    drivers: Vec<Task<()>>,
    parallelism: usize,
}

impl IsolatedRuntime {
    /// Creates an executor whose tasks run on the threads of `parent`, at most `parallelism` of
    /// them (and at least one) at once.
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

    /// Handle that spawns tasks on this executor, without keeping it alive.
    pub fn handle(&self) -> Runtime {
        Runtime::for_isolated(&self.executor)
    }

    /// Suspends all tasks, like a stopped process; their sockets stay open.
    pub fn pause(&mut self) {
        self.drivers.clear();
    }

    /// Resumes the tasks; idempotent.
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
