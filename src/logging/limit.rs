//! Rate limit of log lines per event.

use std::{collections::BTreeMap, mem, time::Duration};

/// Lines of one event that are written per second; further ones are dropped and counted.
pub const LINES_PER_EVENT_S: u32 = 500;
/// Most events with a limit of their own; all others share one, which bounds the memory.
const MAX_EVENTS: usize = 64;
/// Length of the window in which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug, Default)]
struct LineCounts {
    written: u32,
    dropped: u64,
}

/// Limits the lines of each event in windows of one second.
#[derive(Clone, Debug, Default)]
pub struct LineLimit {
    window_start: Duration,
    events: BTreeMap<String, LineCounts>,
}

impl LineLimit {
    /// Counts a line of the event at `now`; returns whether to write it.
    pub fn admit(&mut self, event: &str, now: Duration) -> bool {
        let has_own_limit = self.events.contains_key(event);
        let name = if has_own_limit || self.events.len() < MAX_EVENTS {
            event
        } else {
            ""
        };
        let counts = self.events.entry(name.to_owned()).or_default();
        if now.saturating_sub(self.window_start) < WINDOW && counts.written >= LINES_PER_EVENT_S {
            counts.dropped += 1;
            return false;
        }
        counts.written += 1;
        true
    }

    /// Starts a new window at `now` if the current one has elapsed; returns the events with dropped
    /// lines in it, and how many.
    pub fn end_window(&mut self, now: Duration) -> Vec<(String, u64)> {
        if now.saturating_sub(self.window_start) < WINDOW {
            return Vec::new();
        }
        self.window_start = now;
        let counts = mem::take(&mut self.events).into_iter();
        let dropped = counts.filter(|(_, counts)| counts.dropped > 0);
        dropped
            .map(|(event, counts)| (event, counts.dropped))
            .collect()
    }
}
