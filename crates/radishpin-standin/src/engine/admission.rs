//! Places in the batch, given by priority and then by arrival.

use async_channel::{Receiver, Sender};
use parking_lot::Mutex;
use std::{cmp::Reverse, collections::BTreeMap, sync::Arc};

/// Order in which waiting calls are let in.
type Turn = (Reverse<u32>, u64);

/// Places in the batch and the calls that wait for one.
#[derive(Debug)]
pub(super) struct Admission {
    concurrency: u32,
    queue: Mutex<Queue>,
}

#[derive(Debug, Default)]
struct Queue {
    running: u32,
    next_arrival: u64,
    waiting: BTreeMap<Turn, Sender<()>>,
}

impl Admission {
    pub(super) fn new(concurrency: u32) -> Self {
        Self {
            concurrency: concurrency.max(1),
            queue: Mutex::default(),
        }
    }

    /// Calls that run and calls that wait.
    pub(super) fn load(&self) -> (u32, u32) {
        let queue = self.queue.lock();
        let queued = u32::try_from(queue.waiting.len()).unwrap_or(u32::MAX);
        (queue.running, queued)
    }

    /// Waits for a place.
    pub(super) async fn enter(self: &Arc<Self>, priority: u32) -> Place {
        if let Some((turn, granted)) = self.arrive(priority) {
            let mut wait = Wait {
                admission: self,
                turn: Some(turn),
            };
            // The sender lives in the queue until it has sent.
            let _ = granted.recv().await;
            wait.turn = None;
        }
        Place {
            admission: Arc::clone(self),
        }
    }

    /// Takes a free place, or a turn in the queue.
    fn arrive(&self, priority: u32) -> Option<(Turn, Receiver<()>)> {
        let mut queue = self.queue.lock();
        if queue.running < self.concurrency && queue.waiting.is_empty() {
            queue.running += 1;
            return None;
        }
        let turn = (Reverse(priority), queue.next_arrival);
        queue.next_arrival += 1;
        let (sender, receiver) = async_channel::bounded(1);
        queue.waiting.insert(turn, sender);
        Some((turn, receiver))
    }

    /// Hands a place on to the first that waits.
    fn leave(&self) {
        let mut queue = self.queue.lock();
        match queue.waiting.pop_first() {
            // A receiver that is gone gives the place back when its `Wait` is dropped.
            Some((_, sender)) => drop(sender.try_send(())),
            None => queue.running -= 1,
        }
    }

    fn give_up(&self, turn: Turn) {
        let still_waiting = self.queue.lock().waiting.remove(&turn).is_some();
        if !still_waiting {
            self.leave();
        }
    }
}

/// Leaves the queue when a call is dropped while it waits.
struct Wait<'a> {
    admission: &'a Admission,
    turn: Option<Turn>,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        if let Some(turn) = self.turn {
            self.admission.give_up(turn);
        }
    }
}

/// A place in the batch, given back when dropped.
#[derive(Debug)]
pub(super) struct Place {
    admission: Arc<Admission>,
}

impl Drop for Place {
    fn drop(&mut self) {
        self.admission.leave();
    }
}
