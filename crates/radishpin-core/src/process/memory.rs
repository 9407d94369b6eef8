//! Account of an endpoint's accelerator memory.

use super::Target;
use radishpin_protocol::prelude::*;

/// Accelerator memory of one endpoint and what is reserved of it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct MemoryAccount {
    capacity_mb: SizeMb,
    reserved_mb: BTreeMap<Target, SizeMb>,
}

impl MemoryAccount {
    /// An account with nothing reserved.
    pub const fn new(capacity_mb: SizeMb) -> Self {
        Self {
            capacity_mb,
            reserved_mb: BTreeMap::new(),
        }
    }

    /// Memory of the endpoint.
    pub const fn capacity_mb(&self) -> SizeMb {
        self.capacity_mb
    }

    /// Memory reserved; above the capacity only where the endpoint reported so.
    pub fn used_mb(&self) -> SizeMb {
        self.reserved_mb
            .values()
            .fold(0, |sum, size| sum.saturating_add(*size))
    }

    /// Memory that can still be reserved.
    pub fn free_mb(&self) -> SizeMb {
        self.capacity_mb.saturating_sub(self.used_mb())
    }

    /// Memory reserved for a target.
    pub fn reserved_mb(&self, target: &Target) -> SizeMb {
        self.reserved_mb.get(target).copied().unwrap_or_default()
    }

    /// Reserves memory for a target that has none; `false` where it does not fit.
    pub fn reserve(&mut self, target: &Target, size_mb: SizeMb) -> bool {
        if self.reserved_mb.contains_key(target) || size_mb > self.free_mb() {
            return false;
        }
        self.reserved_mb.insert(target.clone(), size_mb);
        true
    }

    /// Records memory that the endpoint says is taken, fitting or not.
    pub fn record(&mut self, target: &Target, size_mb: SizeMb) {
        let reserved_mb = self.reserved_mb.entry(target.clone()).or_default();
        *reserved_mb = size_mb.max(*reserved_mb);
    }

    /// Releases what is reserved for a target.
    pub fn release(&mut self, target: &Target) {
        self.reserved_mb.remove(target);
    }
}
