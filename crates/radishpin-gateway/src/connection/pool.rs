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

/// Most refusals of a connection that is reused.
const REFUSALS_MAX: usize = 32;

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
    /// Ids of the requests that the endpoint refused on it.
    refused: BTreeSet<RequestId>,
    _open_count: OpenCount,
}

impl PooledConnection {
    /// Records that the endpoint refused a request on this connection.
    pub(crate) fn record_refusal(&mut self, request: &str) {
        self.refused.insert(request.to_owned());
    }

    /// Whether a refusal that the endpoint writes once more can be told from the response to a request. One
    /// without id cannot be told from any other.
    fn may_carry(&self, request: &str) -> bool {
        !request.is_empty() && !self.refused.contains(request)
    }
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

    /// Returns a connection for a request: an idle one, unless an earlier response on it could be taken for the response
    /// to this request, or a new one; `Ok(None)` if `limit` connections are already open.
    pub(crate) async fn take(
        &self,
        endpoint: &str,
        address: SocketAddr,
        limit: u32,
        request: &str,
    ) -> Result<Option<PooledConnection>, ExchangeError> {
        let open_count = {
            let mut endpoints = self.endpoints.lock();
            let connections = endpoints.entry(endpoint.to_owned()).or_default();
            let now = self.clock.now();
            connections
                .idle
                .retain(|pooled| pooled.connection.is_usable(now));
            let suitable = |pooled: &PooledConnection| pooled.may_carry(request);
            if let Some(position) = connections.idle.iter().rposition(suitable) {
                return Ok(Some(connections.idle.remove(position)));
            }
            if connections.open.load(Ordering::Relaxed) >= limit {
                // Makes room for a new one.
                connections.idle.pop();
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
            refused: BTreeSet::new(),
            _open_count: open_count,
        }))
    }

    /// Returns a connection to the pool after an exchange. It is closed if it can't be reused for
    /// `keep_alive`, its endpoint is no longer in the pool, or it carried too many refusals.
    pub(crate) fn release(
        &self,
        endpoint: &str,
        mut pooled: PooledConnection,
        keep_alive: Option<Duration>,
    ) {
        let now = self.clock.now();
        pooled.connection.keep(keep_alive, now);
        pooled.reused = true;
        if !pooled.connection.is_usable(now) || pooled.refused.len() > REFUSALS_MAX {
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
