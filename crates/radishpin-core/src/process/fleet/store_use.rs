//! How much the endpoints use the weight store, and which of them may.

use super::{Fleet, loader::FULL_SPEED_LOADS};
use crate::{rendezvous::rendezvous_hash, request::Tier};
use radishpin_protocol::prelude::*;

/// Use of the weight store as of the last plan.
#[derive(Clone, Debug)]
pub(super) struct StoreUse {
    /// Loads in progress from it.
    loads: u32,
    /// Endpoints of each service that may load from it.
    loaders: BTreeMap<ServiceId, BTreeSet<EndpointId>>,
}

impl Fleet {
    /// Finds the use of the weight store in the statuses.
    pub(super) fn find_store_use(&self) -> StoreUse {
        let statuses = self.endpoints.values().filter_map(|e| e.status.as_ref());
        let loads = statuses.filter_map(|status| status.loading.as_ref());
        let count = loads.filter(|loading| loading.tier == Tier::Remote).count();
        let loaders = self.endpoint_counts.keys().map(|service| {
            let loaders = self.find_store_loaders(service, None);
            (service.clone(), loaders)
        });
        StoreUse {
            loads: u32::try_from(count).unwrap_or(u32::MAX),
            loaders: loaders.collect(),
        }
    }

    /// Loads in progress from the weight store, over all endpoints with a status.
    pub(super) fn store_loads(&self) -> u32 {
        self.store_use
            .as_ref()
            .map_or(0, |store_use| store_use.loads)
    }

    /// The endpoints that may load from the weight store, as many as it serves at full speed.
    ///
    /// An endpoint carries out one load at a time, so no more loads than that run at once, whichever models the
    /// gateways want.
    pub(super) fn store_loaders(
        &self,
        service: &str,
        software_version: Option<&str>,
    ) -> BTreeSet<EndpointId> {
        let store_use = self.store_use.as_ref();
        let known = store_use.and_then(|store_use| store_use.loaders.get(service));
        match known.filter(|_| software_version.is_none()) {
            Some(known) => known.clone(),
            None => self.find_store_loaders(service, software_version),
        }
    }

    /// Chooses those that load from it already, then those that have nothing loaded, and then others by their hash.
    ///
    /// Endpoints without a status count too, so that gateways that know different ones choose alike.
    fn find_store_loaders(
        &self,
        service: &str,
        software_version: Option<&str>,
    ) -> BTreeSet<EndpointId> {
        let eligible = self.endpoints.iter().filter(|(_, endpoint)| {
            endpoint.entry.service == service
                && endpoint.is_ready()
                && endpoint
                    .status
                    .as_ref()
                    .is_none_or(|status| status.engine_up)
                && endpoint.may_serve_version(software_version)
        });
        let ranked = eligible.map(|(id, endpoint)| {
            let status = endpoint.status.as_ref();
            let loading = status.and_then(|status| status.loading.as_ref());
            let is_loader = loading.is_some_and(|loading| loading.tier == Tier::Remote);
            let may_hold_models = status.is_none_or(|status| !status.models.is_empty());
            (
                !is_loader,
                may_hold_models,
                rendezvous_hash(service, id),
                id,
            )
        });
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        let first = ranked.into_iter().take(FULL_SPEED_LOADS as usize);
        first.map(|(.., id)| id.clone()).collect()
    }
}
