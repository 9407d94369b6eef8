//! Planned stops: loading replacement replicas before an endpoint stops.

use crate::{clock::unix_now_ms, node::Node};
use radishpin_protocol::{EndpointRecord, GrantState, ModelRecord, WorkloadClass, prelude::*};

/// Number of consecutive loads that a preload leaves time for before the stop.
const PRELOAD_LEAD_LOADS: u32 = 4;

impl Node {
    /// Models that `endpoint` should load now because an endpoint with a replica stops soon.
    ///
    /// Covers interactive services only. Other models are loaded on the next request, which saves
    /// idle accelerator hours.
    pub(super) fn preloads(&self, view: &ClusterView, endpoint: &str) -> BTreeSet<ModelId> {
        if view.stops.is_empty() {
            return BTreeSet::new();
        }
        let now_unix_ms = unix_now_ms();
        let preload = |(id, model): (&ModelId, &ModelRecord)| {
            let preload = self.should_preload(view, id, model, endpoint, now_unix_ms);
            preload.then(|| id.clone())
        };
        view.models.iter().filter_map(preload).collect()
    }

    fn should_preload(
        &self,
        view: &ClusterView,
        id: &ModelId,
        model: &ModelRecord,
        endpoint: &str,
        now_unix_ms: u64,
    ) -> bool {
        let profile = view.profile_of(&model.service);
        let interactive =
            profile.is_some_and(|profile| profile.class == WorkloadClass::Interactive);
        if !interactive || self.replacement(view, model, now_unix_ms) != Some(endpoint) {
            return false;
        }
        model
            .grants
            .keys()
            .filter(|holder| *holder != endpoint)
            .any(|holder| self.stops_with_replica(view, holder, id, now_unix_ms))
    }

    /// The endpoint that takes over: the first with a grant and no planned stop of its own.
    ///
    /// Every node chooses the same endpoint for the same view.
    fn replacement<'a>(
        &self,
        view: &ClusterView,
        model: &'a ModelRecord,
        now_unix_ms: u64,
    ) -> Option<&'a str> {
        let stays = |endpoint: &EndpointId| {
            let record = view.endpoints.get(endpoint);
            record.is_some_and(|record| view.time_until_stop(record, now_unix_ms).is_none())
        };
        let held = model
            .grants
            .iter()
            .filter(|(_, grant)| grant.state == GrantState::Held);
        let mut stay = held.map(|(id, _)| id).filter(|id| stays(id));
        stay.next().map(String::as_str)
    }

    fn stops_with_replica(
        &self,
        view: &ClusterView,
        holder: &str,
        model: &ModelId,
        now_unix_ms: u64,
    ) -> bool {
        let Some(link) = self.links().get(holder).cloned() else {
            return false;
        };
        let stop_in = view.time_until_stop(link.record(), now_unix_ms);
        let lead = self.settings.stop_lead + link.load_time(model) * PRELOAD_LEAD_LOADS;
        stop_in.is_some_and(|stop_in| stop_in <= lead) && link.has_replica(model)
    }

    /// Whether the endpoint gets no new work because of a planned stop.
    pub(in crate::node) fn stops_soon(&self, view: &ClusterView, record: &EndpointRecord) -> bool {
        if view.stops.is_empty() {
            return false;
        }
        let stop_in = view.time_until_stop(record, unix_now_ms());
        stop_in.is_some_and(|stop_in| stop_in <= self.settings.stop_lead)
    }
}
