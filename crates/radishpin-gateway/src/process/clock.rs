//! The monotonic clock of the process.

use radishpin_core::process::{CRASH_LIFETIME_MAX, LIMIT_LIFETIME};
use radishpin_protocol::UnixMs;
use rustix::time::{ClockId, clock_gettime};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Time that the clock shows when the process starts. Other processes tell the ages of events, which may
/// be before the start.
const START: Duration = CRASH_LIFETIME_MAX.saturating_add(LIMIT_LIFETIME);

/// Measures the time since the process started, from [`START`] on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    started_at: Instant,
}

impl Clock {
    pub(crate) fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Time after any event whose age another process tells.
    pub(crate) fn now(self) -> Duration {
        START + self.started_at.elapsed()
    }
}

/// Unix time of the host in milliseconds, to compare with times that other processes on it state; 0 if
/// the host's clock is before 1970.
pub(crate) fn unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    UnixMs::try_from(millis).unwrap_or(UnixMs::MAX)
}

/// Time since the host started. Unlike [`Clock`] it goes on while the host is suspended, so that what was
/// known before is not taken for recent, and what another host grants for a while expires in time.
pub(crate) fn boot_time() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanoseconds)
}
