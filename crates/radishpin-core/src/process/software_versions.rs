//! Software versions that the endpoints of each service had lately.

use super::EndpointEntry;
use crate::request::ORIGIN_LIFETIME;
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Time after its first read of the list at which a gateway has seen all endpoints, as entries that
/// expired during an outage of the store are back by then, and has heard from the holders of
/// shared state what other gateways saw.
pub const FULL_LIST_DELAY: Duration = Duration::from_secs(3);
/// Age of the last read of the list beyond which another gateway may use a newer version.
pub const READ_AGE_MAX: Duration = Duration::from_secs(2);
/// Longest time between two reads of the list in which no version comes and goes.
pub const READ_GAP_MAX: Duration = Duration::from_secs(15);
/// Time for which a listed version is kept: others may have read it a while after this process heard of it.
pub const VERSION_LIFETIME: Duration = ORIGIN_LIFETIME.saturating_add(READ_GAP_MAX);

/// The software versions of each service during the last [`ORIGIN_LIFETIME`], from reads of the list
/// of endpoints by this process and by others.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    first_start: bool,
    first_read_at: Option<Duration>,
    last_read_at: Option<Duration>,
    /// Time from which on reads go back for [`ORIGIN_LIFETIME`].
    complete_at: Option<Duration>,
    /// When each version is forgotten, [`VERSION_LIFETIME`] after it was last listed. `None` stands for
    /// an unknown version.
    forgotten_at: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Duration>>,
}

/// Which version began any stream of a service that its caller may still resume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OnlyVersion<'a> {
    /// This one, as the service has had no other.
    Known(&'a str),
    /// It may be known after this time.
    KnownIn(Duration),
    /// The service has had several versions, or one without a name.
    Ambiguous,
}

/// What a process knows of software versions, as gateways and holders of shared state tell each other.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct VersionHistory {
    /// Age of the last read of the list, in milliseconds.
    pub read_age_ms: u64,
    /// Time before that read for which all versions are known, in milliseconds.
    pub complete_for_ms: u64,
    /// The versions of that time.
    pub versions: Vec<ListedVersion>,
}

/// A software version of a service that was listed lately.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ListedVersion {
    /// The service.
    pub service: ServiceId,
    /// The version; `None` if an endpoint named none.
    pub software_version: Option<SoftwareVersion>,
    /// Time since it was last listed, in milliseconds.
    pub age_ms: u64,
}

impl SoftwareVersions {
    /// Creates an empty history. If the whole system is started for the first time, no stream began
    /// before.
    pub fn new(first_start: bool) -> Self {
        Self {
            first_start,
            ..Self::default()
        }
    }

    /// Records the versions of a list of endpoints that was read at `now`; returns whether one of them
    /// was not known.
    pub fn record(&mut self, entries: &BTreeMap<EndpointId, EndpointEntry>, now: Duration) -> bool {
        let complete_at = match (self.first_start, self.first_read_at) {
            (true, None) => now + FULL_LIST_DELAY,
            _ => now + ORIGIN_LIFETIME,
        };
        self.first_read_at.get_or_insert(now);
        self.extend(now, complete_at);
        let mut has_new = false;
        for entry in entries.values() {
            let version = entry.software_version.as_ref();
            has_new |= self.list(&entry.service, version, now + VERSION_LIFETIME);
        }
        self.forget(now);
        has_new
    }

    /// Merges what another process knows.
    pub fn merge(&mut self, history: &VersionHistory, now: Duration) {
        for listed in &history.versions {
            let version = listed.software_version.as_ref();
            let left = VERSION_LIFETIME.saturating_sub(Duration::from_millis(listed.age_ms));
            self.list(&listed.service, version, now + left);
        }
        self.forget(now);
        let read_age = Duration::from_millis(history.read_age_ms);
        if read_age <= READ_GAP_MAX {
            let complete_for = Duration::from_millis(history.complete_for_ms);
            let incomplete_for = ORIGIN_LIFETIME.saturating_sub(complete_for);
            let read_at = now.saturating_sub(read_age);
            self.extend(read_at, read_at + incomplete_for);
        }
    }

    /// What this process knows, for others.
    pub fn history(&self, now: Duration) -> VersionHistory {
        let millis = |duration: Duration| u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
        let (Some(last_read_at), Some(complete_at)) = (self.last_read_at, self.complete_at) else {
            return VersionHistory {
                read_age_ms: u64::MAX,
                ..VersionHistory::default()
            };
        };
        let incomplete_for = complete_at.saturating_sub(last_read_at);
        let versions = self.forgotten_at.iter().flat_map(|(service, versions)| {
            versions.iter().map(|(version, forgotten_at)| {
                let left = forgotten_at.saturating_sub(now);
                ListedVersion {
                    service: service.clone(),
                    software_version: version.clone(),
                    age_ms: millis(VERSION_LIFETIME.saturating_sub(left)),
                }
            })
        });
        VersionHistory {
            read_age_ms: millis(now.saturating_sub(last_read_at)),
            complete_for_ms: millis(ORIGIN_LIFETIME.saturating_sub(incomplete_for)),
            versions: versions.collect(),
        }
    }

    /// Determines the one version that a service has had during [`ORIGIN_LIFETIME`].
    pub fn only_version(&self, service: &str, now: Duration) -> OnlyVersion<'_> {
        let (Some(last_read_at), Some(complete_at)) = (self.last_read_at, self.complete_at) else {
            return OnlyVersion::KnownIn(FULL_LIST_DELAY);
        };
        let versions = self.forgotten_at.get(service);
        let mut known = versions.into_iter().flatten();
        let version = match (known.next(), known.next()) {
            (Some((Some(version), _)), None) => version,
            _ => return OnlyVersion::Ambiguous,
        };
        if now.saturating_sub(last_read_at) > READ_AGE_MAX {
            return OnlyVersion::KnownIn(READ_AGE_MAX);
        }
        let complete_in = complete_at.saturating_sub(now);
        if complete_in.is_zero() {
            return OnlyVersion::Known(version);
        }
        let full_list_at = self.first_read_at.unwrap_or(now) + FULL_LIST_DELAY;
        let full_list_in = full_list_at.saturating_sub(now);
        match full_list_in.is_zero() {
            true => OnlyVersion::KnownIn(complete_in),
            false => OnlyVersion::KnownIn(full_list_in.min(complete_in)),
        }
    }

    /// Extends the known time by a read at `read_at`, after which all versions are known from
    /// `complete_at` on.
    fn extend(&mut self, read_at: Duration, complete_at: Duration) {
        let last_read_at = self.last_read_at;
        let continues = last_read_at.is_some_and(|last| read_at <= last + READ_GAP_MAX);
        self.complete_at = match self.complete_at {
            Some(earlier) if continues => Some(earlier.min(complete_at)),
            _ => Some(complete_at),
        };
        self.last_read_at = last_read_at.max(Some(read_at));
    }

    /// Records that a version was listed; returns whether it was not known.
    fn list(
        &mut self,
        service: &str,
        version: Option<&SoftwareVersion>,
        forgotten_at: Duration,
    ) -> bool {
        if !self.forgotten_at.contains_key(service) {
            self.forgotten_at
                .insert(service.to_owned(), BTreeMap::new());
        }
        let Some(versions) = self.forgotten_at.get_mut(service) else {
            return false;
        };
        match versions.get_mut(&version.cloned()) {
            Some(known) => {
                *known = forgotten_at.max(*known);
                false
            }
            None => {
                versions.insert(version.cloned(), forgotten_at);
                true
            }
        }
    }

    fn forget(&mut self, now: Duration) {
        for versions in self.forgotten_at.values_mut() {
            versions.retain(|_, forgotten_at| *forgotten_at > now);
        }
        self.forgotten_at.retain(|_, versions| !versions.is_empty());
    }
}
