//! Decisions on requests to load a replica.

use crate::process::{Order, Target};
use radishpin_protocol::prelude::*;

/// Decision on a request to load a target.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadDecision {
    /// The target is loaded and may be used.
    Ready,
    /// The target, or the model of the adapter, is being loaded.
    Loading,
    /// The caller sends this order, records its outcome and asks again. A model is loaded before
    /// its adapter.
    Issue(Order),
    /// The target cannot be loaded now.
    Refused(LoadRefusal),
}

/// Reason why a target cannot be loaded now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadRefusal {
    /// The endpoint has no grant for the model.
    NotGranted,
    /// The endpoint's grant for the model is being revoked.
    Revoking,
    /// Not enough accelerator memory is free.
    NoMemory {
        /// Accelerator memory that the target takes.
        needed_mb: SizeMb,
        /// Accelerator memory that is free.
        free_mb: SizeMb,
        /// Accelerator memory that unloads in progress will release.
        releasing_mb: SizeMb,
        /// Idle replicas to unload to make room, least recently used first; empty if the unloads
        /// in progress suffice, or if no unload can make enough room.
        evict: Vec<Target>,
    },
    /// What the endpoint holds is not known yet, the target is being unloaded, or the outcome of
    /// an order about it is unknown.
    Uncertain,
    /// No view has been applied yet, or another agent was registered for the endpoint.
    NotRegistered,
    /// The caller did not give the size of the adapter.
    UnknownSize,
}
