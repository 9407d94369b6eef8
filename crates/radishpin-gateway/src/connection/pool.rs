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

/// Longest time for which a connection is set aside until its endpoint has read the last request.
const SET_ASIDE_TIMEOUT: Duration = Duration::from_secs(5);
/// Most connections that are set aside; each may hold a body of the largest size in memory.
const SET_ASIDE_MAX: usize = 8;

/// Connections that carry no exchange, by endpoint rather than by address, as another endpoint may get the address.
#[derive(Debug)]
pub(crate) struct Pool {
    runtime: Runtime,
    clock: Clock,
    connections: Mutex<Connections>,
}

#[derive(Debug, Default)]
struct Connections {
    endpoints: BTreeMap<EndpointId, EndpointConnections>,
    /// Connections whose endpoints responded before they had read the request, oldest first. The next
    /// request on one would wait in this process, for as long as the endpoint does not read on.
    set_aside: Vec<SetAside>,
}

/// Idle connections to one endpoint, and the number of open ones: idle, set aside, in use and being opened.
#[derive(Debug, Default)]
struct EndpointConnections {
    idle: Vec<PooledConnection>,
    open: Arc<AtomicU32>,
}

#[derive(Debug)]
struct SetAside {
    endpoint: EndpointId,
    pooled: PooledConnection,
    keep_alive: Option<Duration>,
    until: Duration,
}

impl Connections {
    /// Closes connections that have expired, and makes those reusable whose last request has been
    /// written by now. The endpoint keeps such a connection for the keep-alive time from then on.
    fn refresh(&mut self, now: Duration) {
        for mut aside in std::mem::take(&mut self.set_aside) {
            let connection = &mut aside.pooled.connection;
            if connection.is_closed() || now >= aside.until {
                continue;
            }
            if !connection.is_written() {
                connection.keep(aside.keep_alive, now);
                self.set_aside.push(aside);
            } else if let Some(connections) = self.endpoints.get_mut(&aside.endpoint) {
                connections.idle.push(aside.pooled);
            }
        }
        for connections in self.endpoints.values_mut() {
            connections
                .idle
                .retain(|pooled| pooled.connection.is_usable(now));
        }
    }

    /// Closes the connection to an endpoint that has been set aside for the longest time.
    fn close_oldest_set_aside(&mut self, endpoint: &str) {
        let mut set_aside = self.set_aside.iter();
        if let Some(position) = set_aside.position(|aside| aside.endpoint == endpoint) {
            self.set_aside.remove(position);
        }
    }
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
            connections: Mutex::default(),
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
            let mut all = self.connections.lock();
            all.refresh(self.clock.now());
            let connections = all.endpoints.entry(endpoint.to_owned()).or_default();
            let suitable = |pooled: &PooledConnection| pooled.may_carry(request);
            if let Some(position) = connections.idle.iter().rposition(suitable) {
                return Ok(Some(connections.idle.remove(position)));
            }
            let open = Arc::clone(&connections.open);
            if open.load(Ordering::Relaxed) >= limit {
                // Makes room for a new one.
                connections.idle.pop();
            }
            if open.load(Ordering::Relaxed) >= limit {
                all.close_oldest_set_aside(endpoint);
            }
            if open.load(Ordering::Relaxed) >= limit {
                return Ok(None);
            }
            open.fetch_add(1, Ordering::Relaxed);
            OpenCount(open)
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
    /// `keep_alive`, its endpoint is no longer in the pool, or it carried too many refusals. It is set
    /// aside while the request has not been written to its end.
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
        let mut all = self.connections.lock();
        let Some(connections) = all.endpoints.get_mut(endpoint) else {
            return;
        };
        if pooled.connection.is_written() {
            connections.idle.push(pooled);
            return;
        }
        if all.set_aside.len() >= SET_ASIDE_MAX {
            all.set_aside.remove(0);
        }
        all.set_aside.push(SetAside {
            endpoint: endpoint.to_owned(),
            pooled,
            keep_alive,
            until: now + SET_ASIDE_TIMEOUT,
        });
    }

    /// Closes connections that have expired.
    pub(crate) fn close_expired(&self) {
        let now = self.clock.now();
        self.connections.lock().refresh(now);
    }

    /// Closes connections that have expired, and all that carry no exchange to endpoints that are no
    /// longer listed.
    pub(crate) fn prune(&self, is_listed: impl Fn(&str) -> bool) {
        let mut all = self.connections.lock();
        all.endpoints.retain(|endpoint, _| is_listed(endpoint));
        all.set_aside.retain(|aside| is_listed(&aside.endpoint));
        all.refresh(self.clock.now());
    }
}
