//! Placement of grants: which endpoint gets the next grant, and whose grant is revoked first.

use super::EndpointSummary;
use crate::process::MemberState;
use radishpin_protocol::{GrantState, ModelRecord, prelude::*};
use std::cmp::Reverse;

/// Endpoints that may get the next grant of a model, ranked by preference.
pub(super) struct Candidates<'a> {
    record: &'a ModelRecord,
    spread: Spread<'a>,
    eligible: Vec<(&'a EndpointId, &'a EndpointSummary)>,
    /// Whether free memory goes before the spread, because a holder lacked memory.
    prefer_memory: bool,
    /// Endpoints that are chosen only if there is no other.
    avoided: &'a BTreeSet<EndpointId>,
}

/// Whether an endpoint has the memory to load the model now; the smallest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum MemoryFit {
    /// Enough memory is free.
    Free,
    /// Enough memory is free once idle replicas are unloaded.
    AfterUnload,
    /// Too much memory is taken by replicas that are in use or kept loaded.
    None,
}

/// Sort key of candidates; the smallest is preferred.
type Rank<'a> = (
    bool,
    usize,
    usize,
    MemoryFit,
    SizeMb,
    Reverse<SizeMb>,
    &'a EndpointId,
);

impl<'a> Candidates<'a> {
    /// Collects the usable endpoints of the model's service that hold no grant for it and have
    /// enough memory in total.
    ///
    /// Endpoints in `lacking_memory` are left out; those in `avoided` are ranked last.
    pub(super) fn new(
        record: &'a ModelRecord,
        endpoints: &'a BTreeMap<EndpointId, EndpointSummary>,
        lacking_memory: &'a BTreeSet<EndpointId>,
        avoided: &'a BTreeSet<EndpointId>,
    ) -> Self {
        let is_eligible = |(id, endpoint): &(&EndpointId, &EndpointSummary)| {
            endpoint.standing == MemberState::Usable
                && endpoint.service == record.service
                && endpoint.memory_mb >= record.size_mb
                && !record.grants.contains_key(*id)
                && !lacking_memory.contains(*id)
        };
        Self {
            record,
            spread: Spread::new(record, endpoints),
            eligible: endpoints.iter().filter(is_eligible).collect(),
            prefer_memory: !lacking_memory.is_empty(),
            avoided,
        }
    }

    /// The endpoint for the next grant: the one with the fewest grants of the model in its
    /// availability zone, then on its host, then with the least memory granted to models.
    pub(super) fn best(&self) -> Option<EndpointId> {
        let with_memory = self.best_with_memory().filter(|_| self.prefer_memory);
        with_memory.or_else(|| self.best_where(|_| true))
    }

    /// The best endpoint that could load the model now, with or without unloading idle replicas.
    pub(super) fn best_with_memory(&self) -> Option<EndpointId> {
        let free = self.best_where(|endpoint| self.fit(endpoint) == MemoryFit::Free);
        free.or_else(|| self.best_where(|endpoint| self.fit(endpoint) == MemoryFit::AfterUnload))
    }

    /// Whether all grants are in one availability zone or on one host, and an endpoint elsewhere
    /// could get one.
    pub(super) fn improves_spread(&self) -> bool {
        let zones = &self.spread.zones;
        let hosts = &self.spread.hosts;
        let elsewhere = |(_, endpoint): &(&EndpointId, &EndpointSummary)| {
            (zones.len() == 1 && !zones.contains_key(&endpoint.availability_zone))
                || (hosts.len() == 1 && !hosts.contains_key(&endpoint.host))
        };
        self.eligible.iter().any(elsewhere)
    }

    fn best_where(&self, predicate: impl Fn(&EndpointSummary) -> bool) -> Option<EndpointId> {
        let matching = self
            .eligible
            .iter()
            .filter(|(_, endpoint)| predicate(endpoint));
        let best = matching.min_by_key(|(id, endpoint)| self.rank(id, endpoint));
        best.map(|(id, _)| (*id).clone())
    }

    const fn fit(&self, endpoint: &EndpointSummary) -> MemoryFit {
        let size_mb = self.record.size_mb;
        if endpoint.free_mb >= size_mb {
            MemoryFit::Free
        } else if endpoint.free_mb.saturating_add(endpoint.idle_mb) >= size_mb {
            MemoryFit::AfterUnload
        } else {
            MemoryFit::None
        }
    }

    fn rank(&self, id: &'a EndpointId, endpoint: &EndpointSummary) -> Rank<'a> {
        (
            self.avoided.contains(id),
            self.spread.in_zone_of(endpoint),
            self.spread.on_host_of(endpoint),
            self.fit(endpoint),
            endpoint.granted_mb,
            Reverse(endpoint.free_mb),
            id,
        )
    }
}

/// The held grant to revoke first: the one of the endpoint with the worst standing, then the one in
/// the availability zone and on the host with the most grants of the model, then the one where the
/// most memory is granted to models.
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

/// Number of grants of one model in each availability zone and on each host.
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
