//! Which endpoint gets a grant next, and which one loses its grant first.

use super::EndpointSummary;
use crate::process::Standing;
use radishpin_protocol::{GrantState, ModelRecord, prelude::*};
use std::cmp::Reverse;

/// Endpoints that may get a grant, and where the model's grants already are.
pub(super) struct Candidates<'a> {
    record: &'a ModelRecord,
    spread: Spread<'a>,
    free: Vec<(&'a EndpointId, &'a EndpointSummary)>,
    prefer_room: bool,
    avoided: &'a BTreeSet<EndpointId>,
}

/// Whether an endpoint can load the model now, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    /// At once.
    Free,
    /// After unloading idle replicas.
    AfterUnload,
    /// Not while its replicas are in use or kept loaded.
    None,
}

/// Order of preference; the smallest goes first.
type Rank<'a> = (
    bool,
    usize,
    usize,
    Room,
    SizeMb,
    Reverse<SizeMb>,
    &'a EndpointId,
);

impl<'a> Candidates<'a> {
    /// Endpoints of the model's service that can be counted on, hold no grant for it and are
    /// large enough for it, but for those known to have no room now; `avoided` ones go last.
    pub(super) fn new(
        record: &'a ModelRecord,
        endpoints: &'a BTreeMap<EndpointId, EndpointSummary>,
        unable: &'a BTreeSet<EndpointId>,
        avoided: &'a BTreeSet<EndpointId>,
    ) -> Self {
        let eligible = |(id, endpoint): &(&EndpointId, &EndpointSummary)| {
            endpoint.standing == Standing::Usable
                && endpoint.service == record.service
                && endpoint.memory_mb >= record.size_mb
                && !record.grants.contains_key(*id)
                && !unable.contains(*id)
        };
        Self {
            record,
            spread: Spread::new(record, endpoints),
            free: endpoints.iter().filter(eligible).collect(),
            prefer_room: !unable.is_empty(),
            avoided,
        }
    }

    /// The endpoint to get the next grant: where the model has the fewest grants in the
    /// availability zone and on the host, then where memory is least promised.
    pub(super) fn best(&self) -> Option<EndpointId> {
        let with_room = self.best_with_room().filter(|_| self.prefer_room);
        with_room.or_else(|| self.first_of(|_| true))
    }

    /// The best endpoint that could load the model now.
    pub(super) fn best_with_room(&self) -> Option<EndpointId> {
        let free = self.first_of(|endpoint| self.room(endpoint) == Room::Free);
        free.or_else(|| self.first_of(|endpoint| self.room(endpoint) == Room::AfterUnload))
    }

    /// Whether all grants would be lost with one availability zone or host, and an endpoint
    /// elsewhere could take one.
    pub(super) fn improves_spread(&self) -> bool {
        let zones = &self.spread.zones;
        let hosts = &self.spread.hosts;
        let elsewhere = |(_, endpoint): &(&EndpointId, &EndpointSummary)| {
            (zones.len() == 1 && !zones.contains_key(&endpoint.availability_zone))
                || (hosts.len() == 1 && !hosts.contains_key(&endpoint.host))
        };
        self.free.iter().any(elsewhere)
    }

    fn first_of(&self, suits: impl Fn(&EndpointSummary) -> bool) -> Option<EndpointId> {
        let suitable = self.free.iter().filter(|(_, endpoint)| suits(endpoint));
        let best = suitable.min_by_key(|(id, endpoint)| self.rank(id, endpoint));
        best.map(|(id, _)| (*id).clone())
    }

    const fn room(&self, endpoint: &EndpointSummary) -> Room {
        let size_mb = self.record.size_mb;
        if endpoint.free_mb >= size_mb {
            Room::Free
        } else if endpoint.free_mb.saturating_add(endpoint.idle_mb) >= size_mb {
            Room::AfterUnload
        } else {
            Room::None
        }
    }

    fn rank(&self, id: &'a EndpointId, endpoint: &EndpointSummary) -> Rank<'a> {
        (
            self.avoided.contains(id),
            self.spread.in_zone_of(endpoint),
            self.spread.on_host_of(endpoint),
            self.room(endpoint),
            endpoint.granted_mb,
            Reverse(endpoint.free_mb),
            id,
        )
    }
}

/// The held grant to revoke first: one that cannot be counted on, then one in the availability
/// zone and on the host with the most, then one where memory is most promised.
pub(super) fn worst_held(
    record: &ModelRecord,
    endpoints: &BTreeMap<EndpointId, EndpointSummary>,
) -> Option<EndpointId> {
    let spread = Spread::new(record, endpoints);
    let held = record
        .grants
        .iter()
        .filter(|(_, grant)| grant.state == GrantState::Held);
    let worst = held.max_by_key(|(id, _)| {
        let endpoint = endpoints.get(*id);
        endpoint.map(|endpoint| {
            (
                endpoint.standing,
                spread.in_zone_of(endpoint),
                spread.on_host_of(endpoint),
                endpoint.granted_mb,
                Reverse(endpoint.free_mb),
            )
        })
    });
    worst.map(|(id, _)| id.clone())
}

/// Grants of one model by availability zone and by host.
struct Spread<'a> {
    zones: BTreeMap<&'a AvailabilityZone, usize>,
    hosts: BTreeMap<&'a HostId, usize>,
}

impl<'a> Spread<'a> {
    fn new(record: &ModelRecord, endpoints: &'a BTreeMap<EndpointId, EndpointSummary>) -> Self {
        let mut spread = Self {
            zones: BTreeMap::new(),
            hosts: BTreeMap::new(),
        };
        for endpoint in record.grants.keys().filter_map(|id| endpoints.get(id)) {
            *spread.zones.entry(&endpoint.availability_zone).or_default() += 1;
            *spread.hosts.entry(&endpoint.host).or_default() += 1;
        }
        spread
    }

    fn in_zone_of(&self, endpoint: &EndpointSummary) -> usize {
        let grants = self.zones.get(&endpoint.availability_zone);
        grants.copied().unwrap_or_default()
    }

    fn on_host_of(&self, endpoint: &EndpointSummary) -> usize {
        self.hosts.get(&endpoint.host).copied().unwrap_or_default()
    }
}
