//! Answers to requests for replicas.

use crate::process::{Order, Target};
use radishpin_protocol::prelude::*;

/// Answer to a request for a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// It is loaded.
    Ready,
    /// It is being loaded.
    Loading,
    /// Carry out this order, settle it and ask again; the model comes before its adapter.
    Issue(Order),
    /// It cannot be loaded now.
    Refused(LoadRefusal),
}

/// Why a replica cannot be loaded now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadRefusal {
    /// The endpoint has no grant for the model.
    NotGranted,
    /// The grant is being revoked.
    Revoking,
    /// Its memory is not free.
    NoMemory {
        /// Memory that the target takes.
        needed_mb: SizeMb,
        /// Memory that is free.
        free_mb: SizeMb,
        /// Memory that unloads in flight will release.
        releasing_mb: SizeMb,
        /// Idle replicas, the least recently used first, whose unload would make room; empty
        /// where unloads in flight suffice, or where no unload can make room.
        evict: Vec<Target>,
    },
    /// What the endpoint holds is not known yet, or the target is being unloaded.
    Uncertain,
    /// No view is in force, or another agent was registered for the endpoint.
    NotRegistered,
    /// The size of the adapter was not given.
    UnknownSize,
}
