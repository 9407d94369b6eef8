//! Planned stops: replicas loaded elsewhere before an endpoint goes.

use crate::{clock::unix_now_ms, node::Node};
use radishpin_protocol::{EndpointRecord, GrantState, ModelRecord, WorkloadClass, prelude::*};

/// Loads that a preload is planned to have time for, one after the other.
const LOADS_AHEAD: u32 = 4;

impl Node {
    /// Models that `endpoint` should load now because an endpoint that has them loaded stops
    /// soon. Models whose callers can wait are loaded when one comes, which saves idle
    /// accelerator hours.
    pub(super) fn preloads(&self, view: &ClusterView, endpoint: &str) -> BTreeSet<ModelId> {
        if view.stops.is_empty() {
            return BTreeSet::new();
        }
        let now_unix_ms = unix_now_ms();
        let wanted = |(id, model): (&ModelId, &ModelRecord)| {
            let wanted = self.wants_preload(view, id, model, endpoint, now_unix_ms);
            wanted.then(|| id.clone())
        };
        view.models.iter().filter_map(wanted).collect()
    }

    fn wants_preload(
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

    /// The holder that takes over: the first that does not stop itself, the same at every node.
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
        let lead = self.settings.stop_lead + link.load_time(model) * LOADS_AHEAD;
        stop_in.is_some_and(|stop_in| stop_in <= lead) && link.has_replica(model)
    }

    /// Whether a planned stop keeps new work from the endpoint.
    pub(in crate::node) fn stops_soon(&self, view: &ClusterView, record: &EndpointRecord) -> bool {
        if view.stops.is_empty() {
            return false;
        }
        let stop_in = view.time_until_stop(record, unix_now_ms());
        stop_in.is_some_and(|stop_in| stop_in <= self.settings.stop_lead)
    }
}
