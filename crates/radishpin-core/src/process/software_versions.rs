//! Software versions that the endpoints of each service had lately.

use super::EndpointEntry;
use crate::request::ORIGIN_LIFETIME;
use radishpin_protocol::prelude::*;

/// Time after its first look at the list at which a gateway has seen all endpoints: entries that
/// expired during an outage of the store are back by then.
pub const FULL_LIST_DELAY: Duration = Duration::from_secs(3);

/// When each software version of a service was last listed; `None` stands for an unknown version.
#[derive(Clone, Debug, Default)]
pub struct SoftwareVersions {
    first_listed_at: Option<Duration>,
    last_listed_at: BTreeMap<ServiceId, BTreeMap<Option<SoftwareVersion>, Duration>>,
}

impl SoftwareVersions {
    /// Records the versions of a list of endpoints that was read at `now`.
    pub fn record(&mut self, entries: &BTreeMap<EndpointId, EndpointEntry>, now: Duration) {
        self.first_listed_at.get_or_insert(now);
        for entry in entries.values() {
            let versions = self
                .last_listed_at
                .entry(entry.service.clone())
                .or_default();
            versions.insert(entry.software_version.clone(), now);
        }
        for versions in self.last_listed_at.values_mut() {
            versions.retain(|_, listed_at| now.saturating_sub(*listed_at) < ORIGIN_LIFETIME);
        }
        self.last_listed_at
            .retain(|_, versions| !versions.is_empty());
    }

    /// The one version of all endpoints that a service has had during [`ORIGIN_LIFETIME`]; `None` if
    /// there were several, none, or one that is not known.
    pub fn only_version(&self, service: &str) -> Option<&SoftwareVersion> {
        let versions = self.last_listed_at.get(service)?;
        let mut known = versions.keys();
        match (known.next(), known.next()) {
            (Some(only), None) => only.as_ref(),
            _ => None,
        }
    }

    /// Time until the list has been read for long enough to contain all endpoints; zero if it has.
    pub fn full_list_in(&self, now: Duration) -> Duration {
        let first = self.first_listed_at.unwrap_or(now);
        (first + FULL_LIST_DELAY).saturating_sub(now)
    }
}
