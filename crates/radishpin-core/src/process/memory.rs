//! Accounting of an endpoint's accelerator memory.

use super::Target;
use radishpin_protocol::prelude::*;

/// Accelerator memory of one endpoint, with a reservation per model or adapter.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemoryAccount {
    capacity_mb: SizeMb,
    reserved_mb: BTreeMap<Target, SizeMb>,
}

impl MemoryAccount {
    /// Creates an account without reservations.
    pub const fn new(capacity_mb: SizeMb) -> Self {
        Self {
            capacity_mb,
            reserved_mb: BTreeMap::new(),
        }
    }

    /// Total accelerator memory of the endpoint.
    pub const fn capacity_mb(&self) -> SizeMb {
        self.capacity_mb
    }

    /// Sum of all reservations; exceeds the capacity only if the endpoint itself reported more.
    pub fn used_mb(&self) -> SizeMb {
        self.reserved_mb
            .values()
            .fold(0, |sum, size| sum.saturating_add(*size))
    }

    /// Memory that is not reserved; 0 if the reservations exceed the capacity.
    pub fn free_mb(&self) -> SizeMb {
        self.capacity_mb.saturating_sub(self.used_mb())
    }

    /// Memory reserved for a target; 0 without a reservation.
    pub fn reserved_mb(&self, target: &Target) -> SizeMb {
        self.reserved_mb.get(target).copied().unwrap_or_default()
    }

    /// Reserves memory for a target. Returns `false` and reserves nothing if the target already has
    /// a reservation or the free memory does not suffice.
    pub fn reserve(&mut self, target: &Target, size_mb: SizeMb) -> bool {
        if self.reserved_mb.contains_key(target) || size_mb > self.free_mb() {
            return false;
        }
        self.reserved_mb.insert(target.clone(), size_mb);
        true
    }

    /// Records memory use that the endpoint reported, even beyond the capacity. An existing
    /// reservation is raised if it is smaller, and never lowered.
    pub fn record(&mut self, target: &Target, size_mb: SizeMb) {
        let reserved_mb = self.reserved_mb.entry(target.clone()).or_default();
        *reserved_mb = size_mb.max(*reserved_mb);
    }

    /// Removes the reservation of a target, if there is one.
    pub fn release(&mut self, target: &Target) {
        self.reserved_mb.remove(target);
    }
}
