//! Whether and when the endpoint leaves, according to notices from nodes.

use radishpin_protocol::prelude::*;
use std::sync::atomic::{AtomicU64, Ordering};

/// Time for which a leaving notice is valid. Nodes repeat it with every heartbeat. A heartbeat
/// without the notice does not cancel it, because that node may not know about the stop yet.
const NOTICE_TTL: Duration = Duration::from_secs(3);
/// Time before a planned stop at which running streams are moved to other endpoints.
const STREAM_MOVE_LEAD: Duration = Duration::from_secs(2);
/// Sentinel for no planned stop.
const NEVER: u64 = u64::MAX;

/// The latest leaving notice; times are readings of the agent's clock.
#[derive(Debug)]
pub(in crate::agent) struct LeavingState {
    leaving_until_ms: AtomicU64,
    streams_move_at_ms: AtomicU64,
}

impl Default for LeavingState {
    fn default() -> Self {
        Self {
            leaving_until_ms: AtomicU64::new(0),
            streams_move_at_ms: AtomicU64::new(NEVER),
        }
    }
}

impl LeavingState {
    /// Records the notice of a heartbeat. Returns `true` if the endpoint starts to leave with it.
    pub(in crate::agent) fn record_notice(
        &self,
        leaving: bool,
        stop_in: Option<Duration>,
        now: Duration,
    ) -> bool {
        if !leaving {
            return false;
        }
        let was_leaving = self.is_leaving(now);
        self.leaving_until_ms
            .store(as_ms(now + NOTICE_TTL), Ordering::Release);
        let move_at_ms = stop_in.map_or(NEVER, |stop_in| {
            as_ms((now + stop_in).saturating_sub(STREAM_MOVE_LEAD))
        });
        self.streams_move_at_ms.store(move_at_ms, Ordering::Release);
        !was_leaving
    }

    /// Whether a valid notice exists, so that new attempts must be refused.
    pub(in crate::agent) fn is_leaving(&self, now: Duration) -> bool {
        as_ms(now) < self.leaving_until_ms.load(Ordering::Acquire)
    }

    /// Whether running streams must be ended so that they resume at another endpoint.
    pub(in crate::agent) fn must_move_streams(&self, now: Duration) -> bool {
        self.is_leaving(now) && as_ms(now) >= self.streams_move_at_ms.load(Ordering::Acquire)
    }
}

fn as_ms(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(NEVER)
}
