//! Sends requests in a closed or an open loop.

use super::{call::call, phase::Phase, plan::Planned, recorder::Recorder};
use hdrhistogram::CreationError;
use radishpin_runtime::Runtime;
use std::{
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
    },
    time::Instant,
};

/// What the callers of a phase share.
#[derive(Debug)]
pub(super) struct Drive {
    pub(super) phase: Phase,
    pub(super) recorder: Recorder,
    // Requests on their way in an open loop.
    running: AtomicUsize,
    // Requests that may still be sent.
    turns: AtomicU64,
}

impl Drive {
    /// Nothing of the phase is sent yet.
    ///
    /// # Errors
    /// The histograms' range is not valid.
    pub(super) fn new(phase: Phase) -> Result<Self, CreationError> {
        Ok(Self {
            turns: AtomicU64::new(phase.settings.requests.unwrap_or(u64::MAX)),
            running: AtomicUsize::new(0),
            recorder: Recorder::new()?,
            phase,
        })
    }

    /// Whether one more request may be sent.
    fn take_turn(&self) -> bool {
        self.turns
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, |left| {
                left.checked_sub(1)
            })
            .is_ok()
    }

    /// Each caller sends its next request after its last answer.
    pub(super) async fn closed(self: &Arc<Self>, runtime: &Runtime) {
        let end = Instant::now() + self.phase.settings.duration;
        let callers: Vec<_> = (0..self.phase.settings.concurrency as u64)
            .map(|number| runtime.spawn(Arc::clone(self).caller(number, end)))
            .collect();
        for caller in callers {
            caller.await;
        }
    }

    async fn caller(self: Arc<Self>, number: u64, end: Instant) {
        let mut planner = self.phase.planner(number);
        while Instant::now() < end && self.take_turn() {
            self.send(number, &planner.next(), Instant::now()).await;
        }
    }

    /// Requests arrive at random, whatever the answers take.
    pub(super) async fn open(self: &Arc<Self>, runtime: &Runtime, rate_per_second: u64) {
        let mut planner = self.phase.planner(0);
        let mut due = Instant::now();
        let end = due + self.phase.settings.duration;
        let mut callers = Vec::new();
        let mut number = 0;
        loop {
            due += planner.gap(rate_per_second);
            if due >= end || !self.take_turn() {
                break;
            }
            let planned = planner.next();
            smol::Timer::at(due).await;
            if self.running.load(Ordering::Acquire) >= self.phase.settings.concurrency {
                self.recorder.not_sent();
                continue;
            }
            number += 1;
            self.running.fetch_add(1, Ordering::AcqRel);
            let caller = Arc::clone(self).arrival(number, planned, due);
            callers.push(runtime.spawn(caller));
        }
        for caller in callers {
            caller.await;
        }
    }

    async fn arrival(self: Arc<Self>, number: u64, planned: Planned, due: Instant) {
        self.send(number, &planned, due).await;
        self.running.fetch_sub(1, Ordering::AcqRel);
    }

    /// Sends a request; a keyed one without a known outcome is sent again with its key.
    async fn send(&self, number: u64, planned: &Planned, due: Instant) {
        let phase = &self.phase;
        let retries = match planned.is_keyed() {
            true => phase.settings.key_retries,
            false => 0,
        };
        let Some(address) = phase.address(number) else {
            return;
        };
        let mut due = due;
        for _ in 0..=retries {
            let measured = call(&phase.client, address, &phase.settings, planned, due).await;
            self.recorder.take(number, planned, &measured);
            if !measured.outcome.is_open() {
                return;
            }
            due = Instant::now();
        }
    }
}
