//! The stages of a graceful shutdown: drain, close connections, stop listeners.

use event_listener::Event;
use radishpin_protocol::prelude::*;
use std::sync::{
    Arc, OnceLock,
    atomic::{AtomicBool, AtomicUsize, Ordering},
};

/// The stage of the shutdown, and the number of open connections.
#[derive(Debug, Default)]
pub(crate) struct Shutdown {
    /// When the process exits; set when the drain starts.
    exits_at: OnceLock<Duration>,
    drained: Event,
    closing: AtomicBool,
    closed: Event,
    listeners_stopping: AtomicBool,
    listeners_stopped: Event,
    open_listeners: AtomicUsize,
    listener_closed: Event,
    connections: AtomicUsize,
    connection_closed: Event,
}

impl Shutdown {
    /// Whether the drain has started.
    pub(crate) fn is_draining(&self) -> bool {
        self.exits_at.get().is_some()
    }

    /// Starts the drain: requests are still accepted, each connection closes with its next
    /// response, and the process exits at `exits_at`.
    pub(crate) fn drain(&self, exits_at: Duration) {
        self.exits_at.get_or_init(|| exits_at);
        self.drained.notify(usize::MAX);
    }

    /// Waits for [`Self::drain`].
    pub(crate) async fn drain_started(&self) {
        loop {
            let listener = self.drained.listen();
            if self.is_draining() {
                return;
            }
            listener.await;
        }
    }

    /// When the process exits; `None` before the drain starts.
    pub(crate) fn exits_at(&self) -> Option<Duration> {
        self.exits_at.get().copied()
    }

    /// Closes each connection after its current request; connections that are accepted later serve
    /// a single request.
    pub(crate) fn close(&self) {
        self.closing.store(true, Ordering::SeqCst);
        self.closed.notify(usize::MAX);
    }

    /// Whether [`Self::close`] was called.
    pub(crate) fn is_closing(&self) -> bool {
        self.closing.load(Ordering::SeqCst)
    }

    /// Stops the listeners, and closes connections as [`Self::close`] does.
    pub(crate) fn stop_listeners(&self) {
        self.close();
        self.listeners_stopping.store(true, Ordering::SeqCst);
        self.listeners_stopped.notify(usize::MAX);
    }

    /// Waits for [`Self::stop_listeners`].
    pub(crate) async fn listeners_stopped(&self) {
        loop {
            let listener = self.listeners_stopped.listen();
            if self.listeners_stopping.load(Ordering::SeqCst) {
                return;
            }
            listener.await;
        }
    }

    /// Counts a listener as open until the guard is dropped.
    pub(crate) fn count_listener(self: &Arc<Self>) -> ListenerGuard {
        self.open_listeners.fetch_add(1, Ordering::SeqCst);
        ListenerGuard {
            shutdown: Arc::clone(self),
        }
    }

    /// Waits until no listener is open.
    pub(crate) async fn listeners_closed(&self) {
        loop {
            let listener = self.listener_closed.listen();
            if self.open_listeners.load(Ordering::SeqCst) == 0 {
                return;
            }
            listener.await;
        }
    }

    /// Waits for [`Self::close`].
    pub(crate) async fn closed(&self) {
        loop {
            let listener = self.closed.listen();
            if self.is_closing() {
                return;
            }
            listener.await;
        }
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn count_connection(&self) -> ConnectionGuard<'_> {
        self.connections.fetch_add(1, Ordering::SeqCst);
        ConnectionGuard { shutdown: self }
    }

    /// Number of open connections.
    pub(crate) fn connections(&self) -> usize {
        self.connections.load(Ordering::SeqCst)
    }

    /// Waits until no connection is open.
    pub(crate) async fn connections_ended(&self) {
        loop {
            let listener = self.connection_closed.listen();
            if self.connections() == 0 {
                return;
            }
            listener.await;
        }
    }
}

/// Counts an open listener until it is dropped.
#[derive(Debug)]
pub(crate) struct ListenerGuard {
    shutdown: Arc<Shutdown>,
}

impl Drop for ListenerGuard {
    fn drop(&mut self) {
        self.shutdown.open_listeners.fetch_sub(1, Ordering::SeqCst);
        self.shutdown.listener_closed.notify(usize::MAX);
    }
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
pub(crate) struct ConnectionGuard<'a> {
    shutdown: &'a Shutdown,
}

impl Drop for ConnectionGuard<'_> {
    fn drop(&mut self) {
        self.shutdown.connections.fetch_sub(1, Ordering::SeqCst);
        self.shutdown.connection_closed.notify(usize::MAX);
    }
}
