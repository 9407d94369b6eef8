//! Eras of the platform's store, which begins a new one whenever it comes back from an older copy.

use radishpin_protocol::prelude::*;

/// Number of an era of the store; each is greater than the one before.
pub type StoreEra = u64;

/// Version of the store up to which a table was read. Versions of different eras are not compared, as the
/// store gives them out again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StorePosition {
    /// Era of the version; `None` if the store states none.
    pub era: Option<StoreEra>,
    /// Version within the era.
    pub version: Version,
}

/// The store's era according to its responses on all connections of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct StoreEras {
    current: Option<StoreEra>,
}

impl StoreEras {
    /// The latest era that a response stated; `None` if none did.
    pub fn current(&self) -> Option<StoreEra> {
        self.current
    }

    /// Records the era that a response states, and returns the era of what it holds; `None` if the response
    /// is a late one of an earlier era, which must be discarded.
    ///
    /// `known_before` is the current era when the call began. A call that began in the current era cannot
    /// get a late response: if that states a smaller number, another store has taken the place of this one.
    pub fn observe(
        &mut self,
        stated: Option<StoreEra>,
        known_before: Option<StoreEra>,
    ) -> Option<ResponseEra> {
        let Some(era) = stated else {
            return Some(ResponseEra(self.current));
        };
        let is_older = self.current.is_some_and(|current| era < current);
        if is_older && known_before != self.current {
            return None;
        }
        self.current = Some(era);
        Some(ResponseEra(self.current))
    }
}

/// Era of the rows in a response; `None` within if the store states none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ResponseEra(pub Option<StoreEra>);
