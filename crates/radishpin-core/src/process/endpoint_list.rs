//! The endpoints that the platform lists, through outages of its store.

use radishpin_protocol::{UnixMs, prelude::*};
use std::net::SocketAddr;

/// How long an entry may be missing after the store came back before it counts as gone.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Whether an endpoint takes new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It takes requests.
    Ready,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A model that an endpoint holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldModel {
    /// Adapters of the model that it holds, by name.
    pub adapters: BTreeSet<AdapterId>,
}

/// What the platform lists of one endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that it belongs to.
    pub service: ServiceId,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: AvailabilityZone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes new requests.
    pub phase: EndpointPhase,
    /// Unix time of its start in milliseconds; 0 where it doesn't tell.
    pub started_unix_ms: UnixMs,
    /// Models that it held when it last wrote its entry.
    pub models: BTreeMap<ModelId, HeldModel>,
}

/// A change of what is believed of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// Listed for the first time, or again after it was gone.
    Joined(EndpointId),
    /// It started anew under its id.
    Restarted(EndpointId),
    /// It takes no new requests.
    Draining(EndpointId),
    /// No longer listed.
    Gone(EndpointId),
}

/// The endpoints in force.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// When each entry was listed first; also those that another one has taken the place of.
    first_listed: BTreeMap<EndpointId, Duration>,
    failed: bool,
    returned_at: Option<Duration>,
}

impl EndpointList {
    /// The endpoints in force.
    pub fn entries(&self) -> &BTreeMap<EndpointId, EndpointEntry> {
        &self.entries
    }

    /// Records that the store could not be read.
    pub fn record_read_failure(&mut self) {
        self.failed = true;
    }

    /// Takes in a whole list read from the store at `now`.
    ///
    /// Entries that lapsed during an outage are kept until [`RECOVERY_GRACE`] after its end: a live
    /// endpoint writes its entry again within that time. Of entries with one address only the
    /// newest is in force: an endpoint that restarts under a new id leaves its old entry behind
    /// until that one lapses.
    pub fn apply(
        &mut self,
        listed: BTreeMap<EndpointId, EndpointEntry>,
        now: Duration,
    ) -> Vec<EndpointChange> {
        if std::mem::take(&mut self.failed) {
            self.returned_at = Some(now);
        }
        let lenient = self
            .returned_at
            .is_some_and(|returned_at| now.saturating_sub(returned_at) < RECOVERY_GRACE);
        let mut changes = Vec::new();
        if !lenient {
            let gone = self.entries.keys().filter(|id| !listed.contains_key(*id));
            changes.extend(gone.cloned().map(EndpointChange::Gone));
            self.entries.retain(|id, _| listed.contains_key(id));
        }
        let listed = self.drop_replaced(listed, now, &mut changes);
        for (id, entry) in listed {
            let known = self.entries.get(&id);
            if known.is_some_and(|known| entry.started_unix_ms < known.started_unix_ms) {
                // A late write of the endpoint's previous life.
                continue;
            }
            changes.extend(Self::change(&id, self.entries.get(&id), &entry));
            self.entries.insert(id, entry);
        }
        changes
    }

    /// Passes over entries whose address a newer one has, and takes them out of force.
    fn drop_replaced(
        &mut self,
        mut listed: BTreeMap<EndpointId, EndpointEntry>,
        now: Duration,
        changes: &mut Vec<EndpointChange>,
    ) -> BTreeMap<EndpointId, EndpointEntry> {
        let Self {
            entries,
            first_listed,
            ..
        } = self;
        first_listed.retain(|id, _| listed.contains_key(id) || entries.contains_key(id));
        for id in listed.keys() {
            first_listed.entry(id.clone()).or_insert(now);
        }
        let mut newest: BTreeMap<SocketAddr, (Duration, UnixMs, EndpointId)> = BTreeMap::new();
        for (id, entry) in entries.iter().chain(&listed) {
            let first = first_listed.get(id).copied().unwrap_or_default();
            let newest = newest.entry(entry.address).or_default();
            let candidate = (first, entry.started_unix_ms, id.clone());
            *newest = candidate.max(std::mem::take(newest));
        }
        let is_newest = |id: &EndpointId, entry: &EndpointEntry| {
            let newest = newest.get(&entry.address);
            newest.is_none_or(|(_, _, newest)| newest == id)
        };
        let replaced = entries.iter().filter(|(id, entry)| !is_newest(id, entry));
        changes.extend(replaced.map(|(id, _)| EndpointChange::Gone(id.clone())));
        entries.retain(|id, entry| is_newest(id, entry));
        listed.retain(|id, entry| is_newest(id, entry));
        listed
    }

    fn change(
        id: &EndpointId,
        before: Option<&EndpointEntry>,
        after: &EndpointEntry,
    ) -> Option<EndpointChange> {
        let draining = after.phase == EndpointPhase::Draining;
        match before {
            None if draining => Some(EndpointChange::Draining(id.clone())),
            None => Some(EndpointChange::Joined(id.clone())),
            Some(before) if before.started_unix_ms != after.started_unix_ms => {
                Some(EndpointChange::Restarted(id.clone()))
            }
            Some(before) if before.phase == EndpointPhase::Ready && draining => {
                Some(EndpointChange::Draining(id.clone()))
            }
            Some(_) => None,
        }
    }
}
