//! The endpoints that the platform lists, kept through outages of its store.

use radishpin_protocol::{UnixMs, prelude::*};
use std::net::SocketAddr;

/// Time after an outage of the store during which missing entries are kept.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);

/// Phase of an endpoint, as it writes it into its entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointPhase {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no new ones.
    Draining,
}

/// A model that an endpoint has loaded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct HeldModel {
    /// Adapters of the model that it has loaded.
    pub adapters: BTreeSet<AdapterId>,
}

/// Entry of one endpoint in the platform's list; the endpoint writes it itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointEntry {
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address for requests.
    pub address: SocketAddr,
    /// Availability zone of its host.
    pub zone: AvailabilityZone,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it accepts new requests.
    pub phase: EndpointPhase,
    /// Version of its software; endpoints of several versions may serve side by side.
    pub software_version: Option<SoftwareVersion>,
    /// Unix time of its start in milliseconds; 0 if unknown.
    pub started_unix_ms: UnixMs,
    /// Models that were loaded when it last wrote its entry.
    pub models: BTreeMap<ModelId, HeldModel>,
}

/// A change to an endpoint of an [`EndpointList`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EndpointChange {
    /// Listed for the first time, or again after it was removed.
    Joined(EndpointId),
    /// Restarted under the same id.
    Restarted(EndpointId),
    /// Started to drain, or is draining when first listed.
    Draining(EndpointId),
    /// No longer listed, or replaced by a newer entry with its address.
    Gone(EndpointId),
}

/// The current endpoints according to the platform's list.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// When each entry was first listed, including listed entries that were replaced.
    first_listed: BTreeMap<EndpointId, Duration>,
    read_failed: bool,
    recovered_at: Option<Duration>,
}

impl EndpointList {
    /// The current endpoints; during an outage of the store, those of the last read.
    pub fn entries(&self) -> &BTreeMap<EndpointId, EndpointEntry> {
        &self.entries
    }

    /// Records that the store could not be read; all entries are kept.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Applies a complete list that was read from the store at `now`.
    ///
    /// Entries that expired during an outage are kept until [`RECOVERY_GRACE`] after its end: a
    /// live endpoint writes its entry again within that time. Of several entries with the same
    /// address only the newest is used: an endpoint that restarts under a new id leaves its old
    /// entry behind until that expires.
    pub fn apply(
        &mut self,
        listed: BTreeMap<EndpointId, EndpointEntry>,
        now: Duration,
    ) -> Vec<EndpointChange> {
        if std::mem::take(&mut self.read_failed) {
            self.recovered_at = Some(now);
        }
        let in_grace = self
            .recovered_at
            .is_some_and(|recovered_at| now.saturating_sub(recovered_at) < RECOVERY_GRACE);
        let mut changes = Vec::new();
        if !in_grace {
            let gone = self.entries.keys().filter(|id| !listed.contains_key(*id));
            changes.extend(gone.cloned().map(EndpointChange::Gone));
            self.entries.retain(|id, _| listed.contains_key(id));
        }
        let listed = self.drop_replaced(listed, now, &mut changes);
        for (id, entry) in listed {
            let current = self.entries.get(&id);
            if current.is_some_and(|current| entry.started_unix_ms < current.started_unix_ms) {
                // A delayed write from before the endpoint's restart.
                continue;
            }
            changes.extend(Self::change(&id, self.entries.get(&id), &entry));
            self.entries.insert(id, entry);
        }
        changes
    }

    /// Removes entries whose address belongs to a newer entry, from the list and from `listed`.
    ///
    /// The entry listed later is the newer one; the start time decides only between entries first
    /// listed by the same read, because clocks of endpoints may differ.
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
            let first_listed_at = first_listed.get(id).copied().unwrap_or_default();
            let newest = newest.entry(entry.address).or_default();
            let candidate = (first_listed_at, entry.started_unix_ms, id.clone());
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
