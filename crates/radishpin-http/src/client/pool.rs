//! Connections that rest between requests, in shards by address.

use super::ClientLimits;
use crate::socket::Socket;
use parking_lot::Mutex;
use std::{
    collections::BTreeMap,
    net::{IpAddr, SocketAddr},
    time::Instant,
};

/// Shards of the pool.
const SHARDS: usize = 16;

/// A resting connection.
#[derive(Debug)]
struct IdleConnection {
    socket: Socket,
    since: Instant,
}

/// One shard: the resting connections of its addresses, the latest last.
#[derive(Debug)]
struct Shard {
    idle: BTreeMap<SocketAddr, Vec<IdleConnection>>,
    last_sweep: Instant,
}

/// The pool of a client.
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

    /// Takes the connection that was used last and is still open; closes those that are not.
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

    /// Keeps a connection for the next request.
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

    /// Closes what has rested too long, also for addresses that nobody calls any more.
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
