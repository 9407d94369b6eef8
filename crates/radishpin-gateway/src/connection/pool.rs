//! EndpointConnections connections to endpoints.

use super::{Connection, ExchangeError};
use crate::process::Clock;
use parking_lot::Mutex;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

/// EndpointConnections connections, by endpoint: an address may pass to another endpoint.
#[derive(Debug)]
pub(crate) struct Pool {
    runtime: Runtime,
    clock: Clock,
    endpoints: Mutex<BTreeMap<EndpointId, EndpointConnections>>,
}

#[derive(Debug, Default)]
struct EndpointConnections {
    idle: Vec<PooledConnection>,
    open: Arc<AtomicU32>,
}

/// A connection to an endpoint, counted while it is open.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    /// Whether it carried an exchange before.
    pub(crate) reused: bool,
    _count: OpenCount,
}

#[derive(Debug)]
struct OpenCount(Arc<AtomicU32>);

impl Drop for OpenCount {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Pool {
    pub(crate) fn new(runtime: Runtime, clock: Clock) -> Self {
        Self {
            runtime,
            clock,
            endpoints: Mutex::default(),
        }
    }

    /// A kept connection, or a new one; `Ok(None)` where `limit` connections are open.
    pub(crate) async fn take(
        &self,
        endpoint: &str,
        address: SocketAddr,
        limit: u32,
    ) -> Result<Option<PooledConnection>, ExchangeError> {
        let count = {
            let mut endpoints = self.endpoints.lock();
            let connections = endpoints.entry(endpoint.to_owned()).or_default();
            let now = self.clock.now();
            while let Some(pooled) = connections.idle.pop() {
                if pooled.connection.is_usable(now) {
                    return Ok(Some(pooled));
                }
            }
            if connections.open.load(Ordering::Relaxed) >= limit {
                return Ok(None);
            }
            connections.open.fetch_add(1, Ordering::Relaxed);
            OpenCount(Arc::clone(&connections.open))
        };
        let connection = Connection::open(&self.runtime, address).await?;
        Ok(Some(PooledConnection {
            connection,
            reused: false,
            _count: count,
        }))
    }

    /// Keeps a connection for the next request.
    pub(crate) fn release(
        &self,
        endpoint: &str,
        mut pooled: PooledConnection,
        keep_alive: Option<Duration>,
    ) {
        let now = self.clock.now();
        pooled.connection.keep(keep_alive, now);
        pooled.reused = true;
        if !pooled.connection.is_usable(now) {
            return;
        }
        let mut endpoints = self.endpoints.lock();
        if let Some(connections) = endpoints.get_mut(endpoint) {
            connections.idle.push(pooled);
        }
    }

    /// Closes connections that were idle too long, and all to endpoints that are gone.
    pub(crate) fn prune(&self, is_listed: impl Fn(&str) -> bool) {
        let now = self.clock.now();
        let mut endpoints = self.endpoints.lock();
        endpoints.retain(|endpoint, _| is_listed(endpoint));
        for connections in endpoints.values_mut() {
            connections
                .idle
                .retain(|pooled| pooled.connection.is_usable(now));
        }
    }
}
