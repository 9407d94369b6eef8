//! Pool of idle connections, sharded by address.

use super::ClientLimits;
use crate::socket::Socket;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Instant,
};

/// Number of shards of the pool, each with its own lock.
const SHARDS: usize = 16;

/// Connection that waits for its next request.
#[derive(Debug)]
struct IdleConnection {
    socket: Socket,
    since: Instant,
}

/// Idle connections of a shard's addresses, the most recently used last.
#[derive(Debug)]
struct Shard {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    last_sweep: Instant,
}

/// Idle connections that all clones of a client share.
#[derive(Debug)]
pub(super) struct Pool {
    pub(super) limits: ClientLimits,
    shards: [Mutex<Shard>; SHARDS],
}

impl Pool {
    pub(super) fn new(limits: ClientLimits) -> Self {
        let shard = || Shard {
            idle: BTreeMap::new(),
            last_sweep: Instant::now(),
        };
        Self {
            limits,
            shards: std::array::from_fn(|_| Mutex::new(shard())),
        }
    }

    /// Takes the most recently used connection that is still usable, and closes the stale ones
    /// before it.
    pub(super) fn take(&self, address: SocketAddr) -> Option<Socket> {
        loop {
            let idle = self.pop(address)?;
            let within_timeout = idle.since.elapsed() < self.limits.idle_timeout;
            if within_timeout && !idle.socket.is_stale() {
                return Some(idle.socket);
            }
        }
    }

    fn pop(&self, address: SocketAddr) -> Option<IdleConnection> {
        self.shard(address).lock().idle.get_mut(&address)?.pop()
    }

    /// Returns a connection to the pool, or closes it if the address has its maximum.
    pub(super) fn put(&self, address: SocketAddr, mut socket: Socket) {
        socket.shrink();
        let now = Instant::now();
        let mut shard = self.shard(address).lock();
        if now.duration_since(shard.last_sweep) > self.limits.idle_timeout {
            self.sweep(&mut shard, now);
        }
        let connections = shard.idle.entry(address).or_default();
        if connections.len() < self.limits.idle_connections {
            connections.push(IdleConnection { socket, since: now });
        }
    }

    /// Closes expired connections of all addresses, including those that are no longer used.
    fn sweep(&self, shard: &mut Shard, now: Instant) {
        shard.last_sweep = now;
        for connections in shard.idle.values_mut() {
            connections.retain(|idle| now.duration_since(idle.since) < self.limits.idle_timeout);
        }
        shard.idle.retain(|_, connections| !connections.is_empty());
    }

    fn shard(&self, address: SocketAddr) -> &Mutex<Shard> {
        &self.shards[shard_of(address)]
    }
}

fn shard_of(address: SocketAddr) -> usize {
    let last = match address.ip() {
        IpAddr::V4(ip) => ip.octets()[3],
        IpAddr::V6(ip) => ip.octets()[15],
    };
    (usize::from(last) + usize::from(address.port())) % SHARDS
}
