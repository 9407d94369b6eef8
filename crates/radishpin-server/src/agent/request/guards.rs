//! Guards that release an attempt's entries in the ledgers, also if it is cancelled.

use crate::agent::Agent;
use radishpin_core::process::Target;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// A counted use of a loaded target, which is not unloaded until the guard is dropped.
pub(super) struct UseGuard {
    agent: Arc<Agent>,
    target: Target,
}

impl UseGuard {
    /// Counts a use; `None` if the target is not loaded or the grant does not allow its use.
    pub(super) fn begin(agent: &Arc<Agent>, target: &Target) -> Option<Self> {
        let mut ledger = agent.ledger.lock();
        let begun = ledger.as_mut()?.begin_use(target);
        drop(ledger);
        begun.then(|| Self {
            agent: Arc::clone(agent),
            target: target.clone(),
        })
    }
}

impl Drop for UseGuard {
    fn drop(&mut self) {
        if let Some(ledger) = self.agent.ledger.lock().as_mut() {
            ledger.end_use(&self.target, self.agent.clock.now());
        }
        self.agent.ledger_changed.notify(usize::MAX);
    }
}

/// An admitted attempt; on drop, the attempt ledger marks it as finished, or as cancelled if it has
/// not started.
pub(super) struct AttemptGuard {
    agent: Arc<Agent>,
    id: AttemptId,
}

impl AttemptGuard {
    /// The ledger must have admitted the attempt.
    pub(super) fn new(agent: &Arc<Agent>, id: AttemptId) -> Self {
        Self {
            agent: Arc::clone(agent),
            id,
        }
    }

    /// Marks the attempt as handed to the endpoint; `false` if it must not run.
    pub(super) fn start(&self) -> bool {
        let now = self.agent.clock.now();
        self.agent
            .attempts
            .with(&self.id.request_id, |ledger| ledger.start(&self.id, now))
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let now = self.agent.clock.now();
        self.agent.attempts.with(&self.id.request_id, |ledger| {
            if !ledger.cancel_unstarted(&self.id, now) {
                ledger.finish(&self.id, now);
            }
        });
    }
}
