//! Versions that only grow at a process, and the version that a process starts with.

use radishpin_protocol::prelude::*;

/// A value of which only newer versions are taken.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Monotone<T> {
    version: Version,
    value: T,
}

impl<T> Monotone<T> {
    /// A value in force; versions below `version` are never taken.
    pub const fn new(version: Version, value: T) -> Self {
        Self { version, value }
    }

    /// Takes a newer value; `false` where it is not newer, and ignored.
    pub fn replace_if_newer(&mut self, version: Version, value: T) -> bool {
        if version <= self.version {
            return false;
        }
        *self = Self { version, value };
        true
    }

    /// Version in force.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// The value in force.
    pub const fn value(&self) -> &T {
        &self.value
    }
}

/// What a starting node does about its first view; `P` names a peer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StartDecision<P> {
    /// Take the platform's view and become ready.
    FromPlatform,
    /// Take the view of this peer and become ready.
    FromPeer(P),
    /// Stay unready and ask again.
    Wait,
}

/// Decides which view a starting node takes.
///
/// A readable platform is newest by definition. Without it, every peer that is not known to be
/// down must have answered (`None` is a peer that has not), so that no version in force at a
/// peer is missed; `floor` is the newest version that any agent was heard to have in force.
pub fn decide_start<P: Clone + Ord>(
    platform_readable: bool,
    peers: &BTreeMap<P, Option<Version>>,
    floor: Version,
) -> StartDecision<P> {
    if platform_readable {
        return StartDecision::FromPlatform;
    }
    if peers.values().any(Option::is_none) {
        return StartDecision::Wait;
    }
    let newest = peers.iter().max_by_key(|(_, version)| **version);
    match newest {
        Some((peer, Some(version))) if *version >= floor && *version > 0 => {
            StartDecision::FromPeer(peer.clone())
        }
        _ => StartDecision::Wait,
    }
}
