//! Concurrency slots of the endpoint and the bounded queue of attempts that wait for one.

use crate::{agent::request::AttemptRefusal, clock::Clock};
use parking_lot::Mutex;
use radishpin_core::request::{Popped, QueueLimits, QueueRefusal, WorkQueue};
use radishpin_protocol::{prelude::*, wire::ExecuteRequest};
use radishpin_runtime::timeout;
use std::sync::Arc;

/// Maximum share of the queue, as a fraction, that one model or one plain service may take.
const SERVICE_SHARE_MAX: (usize, usize) = (3, 4);

/// Passes a free slot to a queued attempt.
type SlotSender = async_channel::Sender<Slot>;

#[derive(Debug)]
struct State {
    running: u32,
    queue: WorkQueue<SlotSender>,
}

/// The slots and the queue of one endpoint; clones share them.
#[derive(Clone, Debug)]
pub(in crate::agent) struct Slots {
    clock: Clock,
    concurrency: u32,
    queue_capacity: usize,
    state: Arc<Mutex<State>>,
}

/// Permission to run one call at the endpoint; passed to the next queued attempt on drop.
#[derive(Debug)]
pub(in crate::agent) struct Slot {
    slots: Slots,
    held: bool,
}

impl Slots {
    /// Creates `concurrency` free slots and an empty queue for up to `queue_capacity` attempts.
    pub(in crate::agent) fn new(clock: Clock, concurrency: u32, queue_capacity: usize) -> Self {
        let limits = QueueLimits {
            capacity: queue_capacity,
            per_service: (queue_capacity * SERVICE_SHARE_MAX.0 / SERVICE_SHARE_MAX.1).max(1),
        };
        let queue = WorkQueue::new(limits);
        let state = Arc::new(Mutex::new(State { running: 0, queue }));
        Self {
            clock,
            concurrency,
            queue_capacity,
            state,
        }
    }

    /// Number of slots in use.
    pub(in crate::agent) fn running(&self) -> u32 {
        self.state.lock().running
    }

    /// Number of queued attempts.
    pub(in crate::agent) fn queued(&self) -> u32 {
        u32::try_from(self.state.lock().queue.len()).unwrap_or(u32::MAX)
    }

    /// Waits for a slot until `deadline` at most.
    ///
    /// # Errors
    /// The queue is full or was cleared, or the deadline passed. The attempt has not run.
    pub(in crate::agent) async fn acquire(
        &self,
        request: &ExecuteRequest,
        deadline: Duration,
    ) -> Result<Slot, AttemptRefusal> {
        let now = self.clock.now();
        let turn = match self.acquire_or_enqueue(request, deadline, now)? {
            Acquisition::Slot(slot) => return Ok(slot),
            Acquisition::Queued(turn) => turn,
        };
        match timeout(deadline.saturating_sub(now), turn.recv()).await {
            Some(Ok(slot)) => Ok(slot),
            Some(Err(_)) => Err(AttemptRefusal::not_run(
                ResultCode::EndpointLeaving,
                "the endpoint is leaving and its queue was cleared",
            )),
            None => Err(AttemptRefusal::not_run(
                ResultCode::DeadlinePassed,
                "the deadline passed in the endpoint's queue",
            )),
        }
    }

    /// Refuses all queued attempts, so that their nodes can retry at other endpoints.
    pub(in crate::agent) fn clear_queue(&self) {
        let waiting = self.state.lock().queue.drain();
        drop(waiting);
    }

    /// Whether no slot is in use and the queue is empty.
    pub(in crate::agent) fn is_idle(&self) -> bool {
        let state = self.state.lock();
        state.running == 0 && state.queue.is_empty()
    }

    fn acquire_or_enqueue(
        &self,
        request: &ExecuteRequest,
        deadline: Duration,
        now: Duration,
    ) -> Result<Acquisition, AttemptRefusal> {
        let mut state = self.state.lock();
        if state.running < self.concurrency {
            state.running += 1;
            return Ok(Acquisition::Slot(self.slot()));
        }
        if state.queue.len() >= self.queue_capacity {
            state.queue.remove_if(SlotSender::is_closed);
        }
        let (turn, turn_receiver) = async_channel::bounded(1);
        state
            .queue
            .push(turn, queue_key(request), request.priority, deadline, now)
            .map_err(refusal_of)?;
        Ok(Acquisition::Queued(turn_receiver))
    }

    fn slot(&self) -> Slot {
        Slot {
            slots: self.clone(),
            held: true,
        }
    }

    /// Passes a freed slot to the next queued attempt that is still waiting.
    fn release(&self) {
        loop {
            let turn = {
                let mut state = self.state.lock();
                match state.queue.pop(self.clock.now()) {
                    Some(Popped::Ready(turn)) => turn,
                    Some(Popped::Expired(_)) => continue,
                    None => {
                        state.running -= 1;
                        return;
                    }
                }
            };
            match turn.try_send(self.slot()) {
                Ok(()) => return,
                // The attempt was cancelled; the loop offers the slot to the next one.
                Err(undelivered) => undelivered.into_inner().held = false,
            }
        }
    }
}

enum Acquisition {
    Slot(Slot),
    Queued(async_channel::Receiver<Slot>),
}

impl Drop for Slot {
    fn drop(&mut self) {
        if self.held {
            self.slots.release();
        }
    }
}

/// Key by which calls share the queue: the model, or the service if the call has no model.
fn queue_key(request: &ExecuteRequest) -> &str {
    if request.model.is_empty() {
        &request.service
    } else {
        &request.model
    }
}

fn refusal_of(refusal: QueueRefusal) -> AttemptRefusal {
    match refusal {
        QueueRefusal::Full => {
            AttemptRefusal::not_run(ResultCode::QueueFull, "the endpoint's queue is full")
        }
        QueueRefusal::ServiceLimit => AttemptRefusal::not_run(
            ResultCode::ServiceLimit,
            "the service has all the places that it may take",
        ),
    }
}
