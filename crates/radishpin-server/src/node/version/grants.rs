//! What the next grants of a model are planned from.

use crate::node::Node;
use radishpin_core::{
    process::MemberState,
    version::{Confirmation, EndpointSummary},
};
use radishpin_protocol::{EndpointRecord, prelude::*};

impl Node {
    /// What this node knows of every endpoint.
    pub(super) fn standings(&self, view: &ClusterView) -> BTreeMap<EndpointId, EndpointSummary> {
        let granted_mb = granted_memory(view);
        let standing = |(id, record): (&EndpointId, &EndpointRecord)| {
            let granted_mb = granted_mb.get(id).copied().unwrap_or_default();
            (id.clone(), self.standing(id, record, granted_mb))
        };
        view.endpoints.iter().map(standing).collect()
    }

    /// The newest statements of the agents.
    pub(super) fn confirmations(&self) -> BTreeMap<EndpointId, Confirmation> {
        let links = self.links();
        let confirmation = |(id, link): (&EndpointId, &std::sync::Arc<_>)| {
            let link: &crate::node::connection::AgentLink = link;
            (id.clone(), link.confirmation())
        };
        links.iter().map(confirmation).collect()
    }

    /// Whether the host list says that the endpoint's host is to go.
    pub(in crate::node) fn is_host_leaving(&self, record: &EndpointRecord) -> bool {
        let now = self.clock.now();
        // The name of no endpoint: only the host's own standing counts.
        let standing = self.members.lock().member_state("", &record.host, now);
        standing == MemberState::Leaving
    }

    fn standing(
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
