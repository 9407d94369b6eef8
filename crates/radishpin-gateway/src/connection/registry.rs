//! Bounds the connections that a process accepts, by descriptors and by memory.

use super::closed_log::{ClosedLog, ClosedReason};
use event_listener::Event;
use parking_lot::Mutex;
use prometheus::IntCounterVec;
use radishpin_adapter::HostLimits;
use radishpin_protocol::prelude::*;
use std::sync::{
    Arc,
    atomic::{AtomicBool, Ordering},
};

/// Charge for each connection: its task, its buffer for a short head, and its socket.
const CONNECTION_BYTES: usize = 4 * 1024;
/// Charge for a connection while it serves a request, for the buffers of the HTTP library.
const SERVING_BYTES: usize = 24 * 1024;
/// Charge for a header field: the parsed field, and its copies for the endpoint.
const FIELD_BYTES: usize = 256;
/// Up to this number, fields are covered by [`SERVING_BYTES`].
const FIELDS_COVERED: usize = 100;
const BYTES_PER_MB: usize = 1_000_000;
/// The part of the memory that connections may take, as a divisor.
const MEMORY_DIVISOR: usize = 4;
/// The part of [`ConnectionBounds::bytes`] that requests with many fields may take, as a divisor. The rest is left to
/// ordinary requests.
const LARGE_HEADS_DIVISOR: usize = 2;
/// Descriptors that the platform reserves for files.
const DESCRIPTORS_RESERVED: usize = 200;
/// Most closed connections whose descriptors may still be open while more are accepted.
const CLOSING_MAX: usize = 4;

/// A listener whose connections are bounded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ListenerKind {
    /// Callers of a gateway.
    Callers,
    /// Gateways, at a sidecar.
    Gateways,
    /// Readiness probes of the platform.
    Probes,
    /// Reads of the metrics.
    Metrics,
}

impl ListenerKind {
    fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Gateways => "gateways",
            Self::Probes => "probes",
            Self::Metrics => "metrics",
        }
    }

    /// Sixteenths of the bounds of the process that the listener may take. Two sixteenths of the descriptors remain for
    /// connections to endpoints, sidecars and the store.
    fn sixteenths(self) -> usize {
        match self {
            Self::Callers | Self::Gateways => 12,
            Self::Probes | Self::Metrics => 1,
        }
    }
}

/// Most connections, and most bytes that are charged for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConnectionBounds {
    connections: usize,
    bytes: usize,
}

impl ConnectionBounds {
    fn new(limits: &HostLimits, listener: ListenerKind) -> Self {
        let share = |whole: usize| (whole / 16 * listener.sixteenths()).max(1);
        let connections = limits.file_descriptors.map_or(usize::MAX, |descriptors| {
            share(descriptors.saturating_sub(DESCRIPTORS_RESERVED))
        });
        let bytes = limits.memory_mb.map_or(usize::MAX, |memory_mb| {
            share(memory_mb.saturating_mul(BYTES_PER_MB) / MEMORY_DIVISOR)
        });
        Self { connections, bytes }
    }
}

/// The open connections of a listener.
#[derive(Debug)]
pub(crate) struct ConnectionRegistry {
    bounds: ConnectionBounds,
    log: ClosedLog,
    state: Mutex<State>,
    descriptor_closed: Event,
}

#[derive(Debug, Default)]
struct State {
    open: usize,
    bytes: usize,
    large_head_bytes: usize,
    /// Connections that are closed in favor of others, and whose tasks have not ended yet.
    closing: usize,
    entries: BTreeMap<u64, Entry>,
    /// Ids of the connections that wait for their peers, by the order in which they began to.
    waiting: BTreeMap<u64, u64>,
    last_id: u64,
}

#[derive(Debug)]
struct Entry {
    bytes: usize,
    large_head_bytes: usize,
    waiting_since: Option<u64>,
    eviction: Arc<Eviction>,
}

#[derive(Debug, Default)]
struct Eviction {
    requested: AtomicBool,
    event: Event,
}

impl State {
    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }

    fn remove(&mut self, id: u64) -> Option<Entry> {
        let entry = self.entries.remove(&id)?;
        if let Some(since) = entry.waiting_since {
            self.waiting.remove(&since);
        }
        self.open -= 1;
        self.bytes -= entry.bytes;
        self.large_head_bytes -= entry.large_head_bytes;
        Some(entry)
    }

    /// Closes the connections that have waited longest until the bounds hold, or none waits.
    fn enforce(&mut self, bounds: ConnectionBounds, log: &ClosedLog) {
        while self.open > bounds.connections || self.bytes > bounds.bytes {
            let reason = match self.open > bounds.connections {
                true => ClosedReason::Descriptors,
                false => ClosedReason::Memory,
            };
            let Some((_, id)) = self.waiting.pop_first() else {
                return;
            };
            let Some(entry) = self.remove(id) else {
                continue;
            };
            self.closing += 1;
            entry.eviction.requested.store(true, Ordering::Release);
            entry.eviction.event.notify(usize::MAX);
            log.record(reason);
        }
    }
}

impl ConnectionRegistry {
    pub(crate) fn new(
        limits: &HostLimits,
        listener: ListenerKind,
        closed: IntCounterVec,
    ) -> Arc<Self> {
        Arc::new(Self {
            bounds: ConnectionBounds::new(limits, listener),
            log: ClosedLog::new(listener.name(), closed),
            state: Mutex::default(),
            descriptor_closed: Event::new(),
        })
    }

    /// Registers a connection, which waits for its peer; others may be closed in favor of it. `None` if there are too
    /// many, all of which serve requests.
    pub(super) fn open(self: &Arc<Self>) -> Option<Seat> {
        let mut state = self.state.lock();
        let id = state.next_id();
        let eviction = Arc::<Eviction>::default();
        state.open += 1;
        state.bytes += CONNECTION_BYTES;
        let entry = Entry {
            bytes: CONNECTION_BYTES,
            large_head_bytes: 0,
            waiting_since: None,
            eviction: Arc::clone(&eviction),
        };
        state.entries.insert(id, entry);
        state.enforce(self.bounds, &self.log);
        if state.open > self.bounds.connections {
            state.remove(id);
            self.log.record(ClosedReason::Declined);
            return None;
        }
        drop(state);
        let seat = Seat {
            registry: Arc::clone(self),
            id,
            eviction,
        };
        seat.wait();
        Some(seat)
    }

    /// Waits until the connections that are closed in favor of others have given up their descriptors.
    pub(super) async fn descriptors_closed(&self) {
        loop {
            let closed = self.descriptor_closed.listen();
            if self.state.lock().closing <= CLOSING_MAX {
                return;
            }
            closed.await;
        }
    }
}

/// A registered connection, until it is dropped.
#[derive(Debug)]
pub(super) struct Seat {
    registry: Arc<ConnectionRegistry>,
    id: u64,
    eviction: Arc<Eviction>,
}

impl Seat {
    /// Marks that the connection waits for its peer, so that it may be closed in favor of another one.
    pub(super) fn wait(&self) {
        let mut state = self.registry.state.lock();
        let since = state.next_id();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return;
        };
        if entry.waiting_since.is_none() {
            entry.waiting_since = Some(since);
            state.waiting.insert(since, self.id);
            state.enforce(self.registry.bounds, &self.registry.log);
        }
    }

    /// Marks that the connection no longer waits for its peer.
    pub(super) fn resume(&self) {
        let mut state = self.registry.state.lock();
        let entry = state.entries.get_mut(&self.id);
        if let Some(since) = entry.and_then(|entry| entry.waiting_since.take()) {
            state.waiting.remove(&since);
        }
    }

    /// Charges the connection for this many bytes beside its own; others, or itself if it waits, may be closed.
    pub(super) fn charge(&self, bytes: usize) {
        let mut state = self.registry.state.lock();
        let Some(entry) = state.entries.get_mut(&self.id) else {
            return;
        };
        let bytes = CONNECTION_BYTES + bytes;
        let before = std::mem::replace(&mut entry.bytes, bytes);
        let large_before = std::mem::take(&mut entry.large_head_bytes);
        state.bytes = state.bytes - before + bytes;
        state.large_head_bytes -= large_before;
        state.enforce(self.registry.bounds, &self.registry.log);
    }

    /// Charges the connection for serving a request with this many header fields; `false` if requests with many fields
    /// take too much memory already.
    pub(super) fn charge_request(&self, fields: usize) -> bool {
        if fields <= FIELDS_COVERED {
            self.charge(SERVING_BYTES);
            return true;
        }
        let bytes = fields * FIELD_BYTES;
        self.charge(SERVING_BYTES + bytes);
        let mut state = self.registry.state.lock();
        let taken = state.large_head_bytes;
        // One is served in any case.
        if taken > 0 && taken + bytes > self.registry.bounds.bytes / LARGE_HEADS_DIVISOR {
            drop(state);
            self.charge(0);
            self.registry.log.record(ClosedReason::HeaderFields);
            return false;
        }
        if let Some(entry) = state.entries.get_mut(&self.id) {
            entry.large_head_bytes = bytes;
            state.large_head_bytes += bytes;
        }
        true
    }

    /// Completes when the connection must be closed in favor of another one.
    pub(super) async fn evicted(&self) {
        loop {
            let listener = self.eviction.event.listen();
            if self.eviction.requested.load(Ordering::Acquire) {
                return;
            }
            listener.await;
        }
    }

    /// Records that the connection was closed as its peer read nothing of a response for too long.
    pub(super) fn record_stalled(&self) {
        self.registry.log.record(ClosedReason::ResponseStalled);
    }
}

impl Drop for Seat {
    fn drop(&mut self) {
        let mut state = self.registry.state.lock();
        if state.remove(self.id).is_none() {
            state.closing -= 1;
            drop(state);
            self.registry.descriptor_closed.notify(usize::MAX);
        }
    }
}
