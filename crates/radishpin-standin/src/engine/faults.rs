//! Switches for an engine's faults.

use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// Faults of an engine; the default has none.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Whether calls are refused before they run.
    pub refuse: bool,
    /// Whether calls, orders and streams stand still.
    pub frozen: bool,
    /// Calls to come that run and then never answer; streams stop halfway without end.
    pub lose_replies: u32,
    /// Calls to come that run and whose connection breaks in the answer; streams halfway.
    pub break_replies: u32,
    /// Calls to come that are answered with another request's id and text.
    pub cross_answers: u32,
    /// Streams to come that are answered as a whole, in a long body that is no event stream.
    pub unstreamed_answers: u32,
    /// Loads to come that fail.
    pub fail_loads: u32,
    /// Orders to come that take effect and then never answer.
    pub lose_order_replies: u32,
}

/// The faults of one engine.
#[derive(Debug, Default)]
pub(super) struct FaultSwitch {
    faults: Mutex<EngineFaults>,
}

impl FaultSwitch {
    pub(super) fn set(&self, faults: EngineFaults) {
        *self.faults.lock() = faults;
    }

    pub(super) fn change(&self, change: impl FnOnce(&mut EngineFaults)) {
        change(&mut self.faults.lock());
    }

    pub(super) fn get(&self) -> EngineFaults {
        self.faults.lock().clone()
    }

    pub(super) fn frozen(&self) -> bool {
        self.faults.lock().frozen
    }

    pub(super) fn refuses(&self) -> bool {
        self.faults.lock().refuse
    }

    /// Takes one of a counted fault, if any is left.
    pub(super) fn take(&self, counter: impl FnOnce(&mut EngineFaults) -> &mut u32) -> bool {
        let mut faults = self.faults.lock();
        let left = counter(&mut faults);
        let any = *left > 0;
        *left = left.saturating_sub(1);
        any
    }

    /// What goes wrong with the answer of the next call.
    pub(super) fn take_answer_fault(&self) -> AnswerFault {
        if self.take(|faults| &mut faults.lose_replies) {
            AnswerFault::Lost
        } else if self.take(|faults| &mut faults.break_replies) {
            AnswerFault::Broken
        } else if self.take(|faults| &mut faults.cross_answers) {
            AnswerFault::Crossed
        } else {
            AnswerFault::None
        }
    }
}

/// What goes wrong with the answer of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum AnswerFault {
    /// Nothing.
    None,
    /// It never comes.
    Lost,
    /// The connection breaks in it.
    Broken,
    /// It is another request's.
    Crossed,
}
