//! Versions that never go back within a process, and the version that a process starts with.

use radishpin_protocol::prelude::*;

/// A versioned value that only a newer version can replace.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Monotone<T> {
    version: Version,
    value: T,
}

impl<T> Monotone<T> {
    /// Creates the value with its first version; only versions above `version` can replace it.
    pub const fn new(version: Version, value: T) -> Self {
        Self { version, value }
    }

    /// Replaces the value if `version` is newer than the current one; otherwise returns `false`.
    pub fn replace_if_newer(&mut self, version: Version, value: T) -> bool {
        if version <= self.version {
            return false;
        }
        *self = Self { version, value };
        true
    }

    /// Version of the current value.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Value with the newest version so far.
    pub const fn value(&self) -> &T {
        &self.value
    }
}

/// Where a starting node gets its first view from; `P` identifies a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision<P> {
    /// Use the platform's view and become ready.
    FromPlatform,
    /// Use this peer's view and become ready.
    FromPeer(P),
    /// Stay unready and try again later.
    Wait,
}

/// Decides which view a starting node uses.
///
/// If the platform can be read, its view is the newest. Otherwise every peer in `peers`, which are
/// those not known to be down, must have answered (`None` if it has not), so that no newer version
/// at a peer is missed. `min_version` is the newest version that any agent is known to use: an
/// older view is not used.
pub fn decide_start<P: Clone + Ord>(
    platform_readable: bool,
    peers: &BTreeMap<P, Option<Version>>,
    min_version: Version,
) -> StartDecision<P> {
    if platform_readable {
        return StartDecision::FromPlatform;
    }
    if peers.values().any(Option::is_none) {
        return StartDecision::Wait;
    }
    let newest = peers.iter().max_by_key(|(_, version)| **version);
    match newest {
        Some((peer, Some(version))) if *version >= min_version && *version > 0 => {
            StartDecision::FromPeer(peer.clone())
        }
        _ => StartDecision::Wait,
    }
}
