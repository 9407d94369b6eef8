//! Processor time of a process, as the kernel counts it.

use crate::CommandError;
use std::{fs, time::Duration};

/// The kernel counts processor time in these.
const CLOCK_TICKS_PER_SECOND: u64 = 100;
/// Place of the user time behind the process's name; the system time follows.
const USER_TIME_FIELD: usize = 11;

/// Processor time of a process at one time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Processor {
    process: u64,
    ticks: u64,
}

impl Processor {
    /// Reads the time that the process has used since its start.
    ///
    /// # Errors
    /// There is no such process.
    pub(super) fn read(process: u64) -> Result<Self, CommandError> {
        let path = format!("/proc/{process}/stat");
        let text = fs::read_to_string(&path).map_err(|cause| CommandError::File {
            path: path.clone(),
            cause,
        })?;
        // The name is in parentheses and may hold anything.
        let fields = text.rsplit(") ").next().unwrap_or_default();
        let times = fields.split_whitespace().skip(USER_TIME_FIELD).take(2);
        let ticks = times.filter_map(|time| time.parse::<u64>().ok()).sum();
        Ok(Self { process, ticks })
    }

    /// Time that the process has used since this was read.
    ///
    /// # Errors
    /// The process has ended.
    pub(super) fn elapsed(self) -> Result<Duration, CommandError> {
        let now = Self::read(self.process)?;
        let ticks = now.ticks.saturating_sub(self.ticks);
        Ok(Duration::from_millis(
            ticks * 1_000 / CLOCK_TICKS_PER_SECOND,
        ))
    }
}
