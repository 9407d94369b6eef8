//! How many lines of one event are written.

use std::{collections::BTreeMap, mem, time::Duration};

/// Lines of one event that are written in a second; further ones are left out and counted.
pub const LINES_PER_EVENT_S: u32 = 500;
/// Events that are told apart; the lines of others share one limit.
const EVENTS_MAX: usize = 64;
/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct Counted {
    written: u32,
    left_out: u64,
}

/// Counts the lines of each event in windows of a second.
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    window_start: Duration,
    events: BTreeMap<String, Counted>,
}

impl LineLimit {
    /// Whether a line of this event is written at `now`.
    pub fn admit(&mut self, event: &str, now: Duration) -> bool {
        let known = self.events.contains_key(event);
        let name = if known || self.events.len() < EVENTS_MAX {
            event
        } else {
            ""
        };
        let counted = self.events.entry(name.to_owned()).or_default();
        if now.saturating_sub(self.window_start) < WINDOW && counted.written >= LINES_PER_EVENT_S {
            counted.left_out += 1;
            return false;
        }
        counted.written += 1;
        true
    }

    /// Ends the window at `now` where it is over; returns the events whose lines were left out in
    /// it, with their number.
    pub fn end_window(&mut self, now: Duration) -> Vec<(String, u64)> {
        if now.saturating_sub(self.window_start) < WINDOW {
            return Vec::new();
        }
        self.window_start = now;
        let counted = mem::take(&mut self.events).into_iter();
        let left_out = counted.filter(|(_, counted)| counted.left_out > 0);
        left_out
            .map(|(event, counted)| (event, counted.left_out))
            .collect()
    }
}
