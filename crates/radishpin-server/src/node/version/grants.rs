//! Inputs for planning grants: the states of endpoints and the confirmations of agents.

use crate::node::Node;
use radishpin_core::{
    process::MemberState,
    version::{Confirmation, EndpointSummary},
};
use radishpin_protocol::{EndpointRecord, prelude::*};

impl Node {
    /// The state of every endpoint of the view, as last reported to this node.
    pub(super) fn endpoint_summaries(
        &self,
        view: &ClusterView,
    ) -> BTreeMap<EndpointId, EndpointSummary> {
        let granted_mb = granted_memory(view);
        let summary = |(id, record): (&EndpointId, &EndpointRecord)| {
            let granted_mb = granted_mb.get(id).copied().unwrap_or_default();
            (id.clone(), self.endpoint_summary(id, record, granted_mb))
        };
        view.endpoints.iter().map(summary).collect()
    }

    /// The latest confirmation from every agent of the models that it has released.
    pub(super) fn confirmations(&self) -> BTreeMap<EndpointId, Confirmation> {
        let links = self.links();
        let confirmation = |(id, link): (&EndpointId, &std::sync::Arc<_>)| {
            let link: &crate::node::connection::AgentLink = link;
            (id.clone(), link.confirmation())
        };
        links.iter().map(confirmation).collect()
    }

    /// Whether the host list marks the endpoint's host as leaving.
    pub(in crate::node) fn is_host_leaving(&self, record: &EndpointRecord) -> bool {
        let now = self.clock.now();
        // No endpoint has the empty name, so only the host's state counts.
        let host_state = self.members.lock().member_state("", &record.host, now);
        host_state == MemberState::Leaving
    }

    fn endpoint_summary(
        &self,
        id: &EndpointId,
        record: &EndpointRecord,
        granted_mb: SizeMb,
    ) -> EndpointSummary {
        let now = self.clock.now();
        let links = self.links();
        let link = links.get(id);
        let load = link.map(|link| link.load()).unwrap_or_default();
        EndpointSummary {
            host: record.host.clone(),
            availability_zone: record.availability_zone.clone(),
            service: record.service.clone(),
            memory_mb: record.memory_mb,
            free_mb: record.memory_mb.saturating_sub(load.memory_used_mb),
            idle_mb: link.map(|link| link.memory_idle_mb()).unwrap_or_default(),
            granted_mb,
            incarnation: record.incarnation,
            standing: self.members.lock().member_state(id, &record.host, now),
        }
    }
}

fn granted_memory(view: &ClusterView) -> BTreeMap<EndpointId, SizeMb> {
    let mut granted_mb = BTreeMap::new();
    for model in view.models.values() {
        for endpoint in model.grants.keys() {
            let sum: &mut SizeMb = granted_mb.entry(endpoint.clone()).or_default();
            *sum = sum.saturating_add(model.size_mb);
        }
    }
    granted_mb
}
