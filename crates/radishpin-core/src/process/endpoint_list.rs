//! The endpoints that the platform lists, kept through outages of its store.

use radishpin_protocol::{UnixMs, prelude::*};
use std::{collections::VecDeque, net::SocketAddr};

/// Time after an outage of the store during which missing entries are kept.
pub const RECOVERY_GRACE: Duration = Duration::from_secs(2);
/// Time for which an endpoint stays listed while its row names no usable endpoint. A live endpoint
/// overwrites such a row with its next heartbeat, about a second later.
pub const UNUSABLE_ROW_GRACE: Duration = Duration::from_secs(10);
/// Number of earlier incarnations that are remembered of one endpoint.
const REPLACED_INCARNATIONS_MAX: usize = 8;

/// Time for which an entry that is no longer listed is remembered; drills of the store bring back entries
/// that are some seconds old.
const DEPARTED_LIFETIME: Duration = Duration::from_secs(600);
/// Most entries that are remembered after they are no longer listed.
const DEPARTED_MAX: usize = 4_096;

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
    /// Number of the heartbeat that wrote the entry; increases within one incarnation.
    pub sequence: u64,
    /// Time for which it remains slow after its start.
    pub cold_remaining: Duration,
    /// Time until it stops; `None` unless it drains at short notice.
    pub remaining: Option<Duration>,
    /// Models that were loaded when it last wrote its entry.
    pub models: BTreeMap<ModelId, HeldModel>,
}

/// A complete read of the platform's list.
#[derive(Clone, Debug, Default)]
pub struct EndpointListing {
    /// Entries that could be decoded.
    pub entries: BTreeMap<EndpointId, EndpointEntry>,
    /// Keys of the rows that could not be decoded.
    pub unusable: BTreeSet<EndpointId>,
    /// Services of the active configuration; `None` before the first one. An entry of another service
    /// never displaces one of these.
    pub services: Option<BTreeSet<ServiceId>>,
}

impl EndpointListing {
    fn is_known(&self, service: &str) -> bool {
        let services = self.services.as_ref();
        services.is_none_or(|services| services.contains(service))
    }

    /// Whether an entry may be that of the same endpoint as `current`, which is listed under the same id. An
    /// endpoint does not change its service without a restart.
    fn may_follow(&self, entry: &EndpointEntry, current: &EndpointEntry) -> bool {
        if entry.service == current.service {
            return true;
        }
        let is_known = self.is_known(&entry.service);
        let is_restart = entry.started_unix_ms != current.started_unix_ms;
        is_known && (is_restart || !self.is_known(&current.service))
    }
}

impl From<BTreeMap<EndpointId, EndpointEntry>> for EndpointListing {
    fn from(entries: BTreeMap<EndpointId, EndpointEntry>) -> Self {
        Self {
            entries,
            ..Self::default()
        }
    }
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

/// Incarnations of one endpoint other than the current one.
#[derive(Clone, Debug, Default)]
struct OtherIncarnations {
    /// Start times of incarnations that were current before, oldest first.
    replaced: VecDeque<UnixMs>,
    /// First entry of an incarnation that may be the current one.
    unconfirmed: Option<UnconfirmedEntry>,
}

/// An entry whose incarnation is the current one if it writes another entry.
#[derive(Clone, Copy, Debug)]
struct UnconfirmedEntry {
    started_unix_ms: UnixMs,
    sequence: u64,
    /// Whether the store may have brought it back from an older copy.
    may_be_restored: bool,
}

impl OtherIncarnations {
    /// Whether an entry with another start time than the current one begins a new incarnation; it is then
    /// recorded as the current one.
    ///
    /// The clock of an endpoint may have gone back before its restart, so that an earlier start time alone
    /// does not tell a new incarnation from a delayed write of an old one. A delayed write is overwritten by
    /// the next heartbeat, whereas a live incarnation writes on: its second entry confirms it. The first
    /// entry is enough if its start time is later than the current one, or if it drains, unless its
    /// incarnation was replaced before. One that drains with an earlier start time is not enough if it is first
    /// read when `may_be_restored` holds: a drill of the store brings back the last entries of processes that
    /// have ended, and the live one would be out of use until it has written two entries.
    fn may_replace(
        &mut self,
        current: &EndpointEntry,
        entry: &EndpointEntry,
        may_be_restored: bool,
    ) -> bool {
        let started = entry.started_unix_ms;
        let was_replaced = self.replaced.contains(&started);
        let is_later = started > current.started_unix_ms;
        let unconfirmed = self.unconfirmed;
        let unconfirmed = unconfirmed.filter(|other| other.started_unix_ms == started);
        let is_confirmed = unconfirmed.is_some_and(|other| entry.sequence > other.sequence);
        let may_be_restored = unconfirmed.map_or(may_be_restored, |other| other.may_be_restored);
        let is_draining = entry.phase == EndpointPhase::Draining && !may_be_restored;
        if !is_confirmed && (was_replaced || !is_later && !is_draining) {
            self.unconfirmed = unconfirmed.or(Some(UnconfirmedEntry {
                started_unix_ms: started,
                sequence: entry.sequence,
                may_be_restored,
            }));
            return false;
        }
        self.unconfirmed = None;
        self.replaced.retain(|replaced| *replaced != started);
        if self.replaced.len() >= REPLACED_INCARNATIONS_MAX {
            self.replaced.pop_front();
        }
        self.replaced.push_back(current.started_unix_ms);
        true
    }
}

/// Start time and sequence of an entry; a live endpoint writes the same one only once.
type Heartbeat = (UnixMs, u64);

/// A listed entry, which may have been replaced by another one with its address.
#[derive(Clone, Copy, Debug)]
struct Listed {
    /// When it was first listed; zero for one that the store has brought back from an older copy.
    first_at: Duration,
    heartbeat: Heartbeat,
}

/// An entry that is no longer listed.
#[derive(Clone, Copy, Debug)]
struct Departed {
    at: Duration,
    last_heartbeat: Heartbeat,
}

/// The current endpoints according to the platform's list.
#[derive(Clone, Debug, Default)]
pub struct EndpointList {
    entries: BTreeMap<EndpointId, EndpointEntry>,
    /// All listed entries, including those that were replaced.
    listed: BTreeMap<EndpointId, Listed>,
    /// Entries that are no longer listed, as the store may bring them back.
    departed: BTreeMap<EndpointId, Departed>,
    /// Since when the row of a current endpoint names no usable one.
    unusable_since: BTreeMap<EndpointId, Duration>,
    /// Of current endpoints whose entries had several start times.
    incarnations: BTreeMap<EndpointId, OtherIncarnations>,
    read_failed: bool,
    recovered_at: Option<Duration>,
}

impl EndpointList {
    /// The current endpoints; during an outage of the store, those of the last read.
    pub fn entries(&self) -> &BTreeMap<EndpointId, EndpointEntry> {
        &self.entries
    }

    /// Starts of processes that may have taken the place of those listed under these ids: the first entry of each
    /// has been read.
    pub fn unconfirmed_starts(&self) -> BTreeMap<EndpointId, UnixMs> {
        let starts = self.incarnations.iter().filter_map(|(id, known)| {
            let unconfirmed = known.unconfirmed?;
            Some((id.clone(), unconfirmed.started_unix_ms))
        });
        starts.collect()
    }

    /// Records that the store could not be read; all entries are kept.
    pub fn record_read_failure(&mut self) {
        self.read_failed = true;
    }

    /// Applies a complete list that was read from the store at `now`.
    ///
    /// Entries that expired during an outage are kept until [`RECOVERY_GRACE`] after its end: a
    /// live endpoint writes its entry again within that time. An endpoint whose row became unusable is kept
    /// for [`UNUSABLE_ROW_GRACE`]. Of several entries with the same
    /// address only the newest is used: an endpoint that restarts under a new id leaves its old
    /// entry behind until that expires.
    pub fn apply(
        &mut self,
        listing: impl Into<EndpointListing>,
        now: Duration,
    ) -> Vec<EndpointChange> {
        let mut listing = listing.into();
        if std::mem::take(&mut self.read_failed) {
            self.recovered_at = Some(now);
        }
        self.reject_foreign(&mut listing);
        self.record_unusable(&listing, now);
        let kept = self.kept(&listing, now);
        self.record_departed(&listing, &kept, now);
        self.record_listed(&listing, now);
        let in_grace = self.is_in_recovery_grace(now);
        let mut next = kept;
        for (id, entry) in std::mem::take(&mut listing.entries) {
            if let Some(entry) = self.accept(&id, entry, in_grace) {
                next.insert(id, entry);
            }
        }
        self.drop_replaced(&mut next, &listing);
        let changes = self.changes(&next);
        self.incarnations.retain(|id, _| next.contains_key(id));
        self.entries = next;
        changes
    }

    /// Moves entries that cannot be those of the endpoints currently listed under their ids to the
    /// unusable ones.
    fn reject_foreign(&self, listing: &mut EndpointListing) {
        let is_foreign = |(id, entry): (&EndpointId, &EndpointEntry)| {
            let current = self.entries.get(id);
            let foreign = current.is_some_and(|current| !listing.may_follow(entry, current));
            foreign.then(|| id.clone())
        };
        let foreign: Vec<EndpointId> = listing.entries.iter().filter_map(is_foreign).collect();
        for id in foreign {
            listing.entries.remove(&id);
            listing.unusable.insert(id);
        }
    }

    fn record_unusable(&mut self, listing: &EndpointListing, now: Duration) {
        self.unusable_since
            .retain(|id, _| listing.unusable.contains(id));
        for id in &listing.unusable {
            if self.entries.contains_key(id) {
                self.unusable_since.entry(id.clone()).or_insert(now);
            }
        }
    }

    /// Whether the store lately came back from an outage, and so perhaps from an older copy.
    fn is_in_recovery_grace(&self, now: Duration) -> bool {
        self.recovered_at
            .is_some_and(|recovered_at| now.saturating_sub(recovered_at) < RECOVERY_GRACE)
    }

    /// The current entries without those whose endpoints are no longer listed.
    fn kept(
        &self,
        listing: &EndpointListing,
        now: Duration,
    ) -> BTreeMap<EndpointId, EndpointEntry> {
        let in_grace = self.is_in_recovery_grace(now);
        let is_kept = |id: &EndpointId| {
            let unusable_since = self.unusable_since.get(id);
            in_grace
                || listing.entries.contains_key(id)
                || unusable_since
                    .is_some_and(|since| now.saturating_sub(*since) < UNUSABLE_ROW_GRACE)
        };
        let kept = self.entries.iter().filter(|(id, _)| is_kept(id));
        kept.map(|(id, entry)| (id.clone(), entry.clone()))
            .collect()
    }

    /// Moves entries that are no longer listed to the departed ones.
    fn record_departed(
        &mut self,
        listing: &EndpointListing,
        kept: &BTreeMap<EndpointId, EndpointEntry>,
        now: Duration,
    ) {
        let departed = &mut self.departed;
        departed.retain(|_, entry| now.saturating_sub(entry.at) < DEPARTED_LIFETIME);
        self.listed.retain(|id, listed| {
            let stays = listing.entries.contains_key(id)
                || listing.unusable.contains(id)
                || kept.contains_key(id);
            if !stays && departed.len() < DEPARTED_MAX {
                let entry = Departed {
                    at: now,
                    last_heartbeat: listed.heartbeat,
                };
                departed.insert(id.clone(), entry);
            }
            stays
        });
    }

    /// Records when entries are first listed. One that departed before and has written no heartbeat since is
    /// an old row that the store has brought back, which must not count as newer than the entry of another
    /// endpoint that has its address now.
    fn record_listed(&mut self, listing: &EndpointListing, now: Duration) {
        for (id, entry) in &listing.entries {
            let heartbeat = (entry.started_unix_ms, entry.sequence);
            let departed = self.departed.get(id);
            let is_brought_back = departed.is_some_and(|departed| {
                let (started, sequence) = departed.last_heartbeat;
                heartbeat.0 == started && heartbeat.1 <= sequence
            });
            let returned = !is_brought_back && self.departed.remove(id).is_some();
            let first_at = if is_brought_back { Duration::ZERO } else { now };
            let first = Listed {
                first_at,
                heartbeat,
            };
            let listed = self.listed.entry(id.clone()).or_insert(first);
            listed.heartbeat = heartbeat;
            if returned {
                listed.first_at = now;
            }
        }
    }

    /// Returns a listed entry as it applies; `None` if it is, or may be, a delayed write from before the
    /// endpoint's restart or from before its last heartbeat. An incarnation that drains stays draining.
    /// `may_be_restored` tells whether the store may have brought the entry back from an older copy.
    fn accept(
        &mut self,
        id: &str,
        mut entry: EndpointEntry,
        may_be_restored: bool,
    ) -> Option<EndpointEntry> {
        let Some(current) = self.entries.get(id) else {
            return Some(entry);
        };
        if entry.started_unix_ms != current.started_unix_ms {
            let known = self.incarnations.entry(id.to_owned()).or_default();
            let replaces = known.may_replace(current, &entry, may_be_restored);
            return replaces.then_some(entry);
        }
        if let Some(known) = self.incarnations.get_mut(id) {
            known.unconfirmed = None;
        }
        if current.phase == EndpointPhase::Draining {
            entry.phase = EndpointPhase::Draining;
        }
        if entry.sequence >= current.sequence {
            return Some(entry);
        }
        // A delayed write; that the endpoint drains holds all the same.
        let is_draining = entry.phase == EndpointPhase::Draining;
        is_draining.then(|| EndpointEntry {
            phase: EndpointPhase::Draining,
            ..current.clone()
        })
    }

    /// Removes entries whose address belongs to a newer entry.
    ///
    /// The entry listed later is the newer one; the start time decides only between entries first
    /// listed by the same read, because clocks of endpoints may differ. An entry of an unknown service is
    /// never the newer one.
    fn drop_replaced(
        &self,
        entries: &mut BTreeMap<EndpointId, EndpointEntry>,
        listing: &EndpointListing,
    ) {
        type Rank = (bool, Duration, UnixMs, EndpointId);
        let mut newest: BTreeMap<SocketAddr, Rank> = BTreeMap::new();
        for (id, entry) in entries.iter() {
            let is_known = listing.is_known(&entry.service);
            let listed = self.listed.get(id);
            let first_listed_at = listed.map_or(Duration::ZERO, |listed| listed.first_at);
            let newest = newest.entry(entry.address).or_default();
            let started = entry.started_unix_ms;
            let candidate = (is_known, first_listed_at, started, id.clone());
            *newest = candidate.max(std::mem::take(newest));
        }
        entries.retain(|id, entry| {
            let newest = newest.get(&entry.address);
            newest.is_none_or(|(_, _, _, newest)| newest == id)
        });
    }

    /// The changes from the current entries to `next`.
    fn changes(&self, next: &BTreeMap<EndpointId, EndpointEntry>) -> Vec<EndpointChange> {
        let gone = self.entries.keys().filter(|id| !next.contains_key(*id));
        let gone = gone.cloned().map(EndpointChange::Gone);
        let changed = next
            .iter()
            .filter_map(|(id, entry)| Self::change(id, self.entries.get(id), entry));
        gone.chain(changed).collect()
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
            Some(before)
                if before.started_unix_ms != after.started_unix_ms
                    || before.service != after.service =>
            {
                Some(EndpointChange::Restarted(id.clone()))
            }
            Some(before) if before.phase == EndpointPhase::Ready && draining => {
                Some(EndpointChange::Draining(id.clone()))
            }
            Some(_) => None,
        }
    }
}
