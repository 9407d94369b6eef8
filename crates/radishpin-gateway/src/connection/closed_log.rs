//! Counts and logs connections that a process closes to protect itself.

use parking_lot::Mutex;
use prometheus::IntCounterVec;
use radishpin_protocol::prelude::*;
use std::time::Instant;

/// Shortest time between two log lines, as a crowd has many connections closed.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Why a connection was closed or declined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ClosedReason {
    /// It waited for its peer, and another connection needed a descriptor.
    Descriptors,
    /// It waited for its peer, and another connection needed memory.
    Memory,
    /// It was new, and all others were serving requests.
    Declined,
    /// Its request had many header fields, as had too many others.
    HeaderFields,
    /// Its peer read nothing of a response for too long.
    ResponseStalled,
}

impl ClosedReason {
    fn name(self) -> &'static str {
        match self {
            Self::Descriptors => "descriptors",
            Self::Memory => "memory",
            Self::Declined => "declined",
            Self::HeaderFields => "header_fields",
            Self::ResponseStalled => "response_stalled",
        }
    }
}

/// Counter of closed connections, with the time of the last log line.
#[derive(Debug)]
pub(super) struct ClosedLog {
    listener: &'static str,
    closed: IntCounterVec,
    last: Mutex<LastLine>,
}

#[derive(Debug, Default)]
struct LastLine {
    at: Option<Instant>,
    /// Connections that were closed since.
    unlogged: u64,
}

impl ClosedLog {
    pub(super) fn new(listener: &'static str, closed: IntCounterVec) -> Self {
        Self {
            listener,
            closed,
            last: Mutex::default(),
        }
    }

    pub(super) fn record(&self, reason: ClosedReason) {
        let labels = [self.listener, reason.name()];
        self.closed.with_label_values(&labels).inc();
        let mut last = self.last.lock();
        last.unlogged += 1;
        if last.at.is_some_and(|at| at.elapsed() < LOG_INTERVAL) {
            return;
        }
        let count = std::mem::take(&mut last.unlogged);
        last.at = Some(Instant::now());
        log::warn!(
            event = "connections_closed", listener = self.listener, reason = reason.name(), count = count;
            "connections were closed to stay within the limits of the host"
        );
    }
}
