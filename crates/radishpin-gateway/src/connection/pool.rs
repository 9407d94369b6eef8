//! Pool of connections to endpoints.

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

/// Idle connections, by endpoint rather than by address, as another endpoint may get the address.
#[derive(Debug)]
pub(crate) struct Pool {
    runtime: Runtime,
    clock: Clock,
    endpoints: Mutex<BTreeMap<EndpointId, EndpointConnections>>,
}

/// Idle connections to one endpoint, and the number of open ones: idle, in use and being opened.
#[derive(Debug, Default)]
struct EndpointConnections {
    idle: Vec<PooledConnection>,
    open: Arc<AtomicU32>,
}

/// A connection to an endpoint, which counts towards the endpoint's limit until it is dropped.
#[derive(Debug)]
pub(crate) struct PooledConnection {
    pub(crate) connection: Connection,
    /// Whether it has carried an exchange, so that the endpoint may have closed it since.
    pub(crate) reused: bool,
    _open_count: OpenCount,
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

    /// Returns an idle connection or opens one; `Ok(None)` if `limit` connections are already open.
    pub(crate) async fn take(
        &self,
        endpoint: &str,
        address: SocketAddr,
        limit: u32,
    ) -> Result<Option<PooledConnection>, ExchangeError> {
        let open_count = {
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
            _open_count: open_count,
        }))
    }

    /// Returns a connection to the pool after an exchange. It is closed if it can't be reused for
    /// `keep_alive` or its endpoint is no longer in the pool.
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

    /// Closes idle connections that have expired, and all idle ones to endpoints that are no longer
    /// listed.
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
