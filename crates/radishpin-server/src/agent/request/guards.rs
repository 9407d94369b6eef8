//! Guards that undo what an attempt has taken, also where it is cancelled.

use crate::agent::Agent;
use radishpin_core::process::Target;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// A use of loaded targets; keeps them from being unloaded.
pub(super) struct UseGuard {
    agent: Arc<Agent>,
    target: Target,
}

impl UseGuard {
    /// Counts a use; `None` where the target may not be used (any more).
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

/// An attempt that was admitted: whatever ends it, the ledger of attempts hears of it.
pub(super) struct AttemptGuard {
    agent: Arc<Agent>,
    id: AttemptId,
}

impl AttemptGuard {
    /// Takes over an attempt that the ledger has admitted.
    pub(super) fn new(agent: &Arc<Agent>, id: AttemptId) -> Self {
        Self {
            agent: Arc::clone(agent),
            id,
        }
    }

    /// Marks it as handed to the endpoint; `false` where it must not run.
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
