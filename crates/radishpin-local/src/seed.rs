//! The first rows of the platform's table.

use crate::{ClusterPlan, LocalError};
use radishpin_platform::{HostEntry, HostState};
use radishpin_protocol::{
    ADAPTER_PREFIX, AdapterRecord, HEAD_KEY, HeadRecord, MODEL_PREFIX, ModelRecord, PROFILE_PREFIX,
    SERVICE_PREFIX, ServiceRecord, prelude::*,
};
use radishpin_standin::MemoryPlatform;
use serde_json::to_string;

/// Writes the first rows of a plan, the head row last, and its host list.
///
/// # Errors
/// A record cannot be written as JSON.
pub fn seed_platform(platform: &MemoryPlatform, plan: &ClusterPlan) -> Result<(), LocalError> {
    for (name, profile) in &plan.profiles {
        put(platform, PROFILE_PREFIX, name, &to_string(profile)?);
    }
    for (name, service) in &plan.services {
        let record = ServiceRecord {
            kind: service.kind,
            profile: service.profile.clone(),
        };
        put(platform, SERVICE_PREFIX, name, &to_string(&record)?);
    }
    for (name, model) in &plan.models {
        let profile = plan
            .services
            .get(&model.service)
            .map(|service| &service.profile);
        let profile = profile.and_then(|name| plan.profiles.get(name));
        let record = ModelRecord {
            service: model.service.clone(),
            size_mb: model.size_mb,
            replicas: profile.map_or(0, |profile| profile.max_replicas),
            grants: BTreeMap::new(),
        };
        put(platform, MODEL_PREFIX, name, &to_string(&record)?);
        for (adapter, size_mb) in &model.adapters {
            let record = AdapterRecord {
                model: name.clone(),
                size_mb: *size_mb,
            };
            put(platform, ADAPTER_PREFIX, adapter, &to_string(&record)?);
        }
    }
    let head = HeadRecord {
        operation: "seed".to_owned(),
    };
    platform.put_row(HEAD_KEY, Some(&to_string(&head)?));
    platform.set_hosts(host_list(plan));
    Ok(())
}

/// The host list of a plan: a host for each node and those of the endpoints.
fn host_list(plan: &ClusterPlan) -> Vec<HostEntry> {
    let live = |host: &str, zone: &str, peer_address: Option<String>| HostEntry {
        host: host.to_owned(),
        availability_zone: zone.to_owned(),
        state: HostState::Live,
        peer_address,
    };
    let nodes = plan.nodes.iter().enumerate().map(|(index, zone)| {
        let name = node_name(index);
        live(&name, zone, Some(name.clone()))
    });
    let hosts: BTreeMap<&HostId, &AvailabilityZone> = plan
        .endpoints
        .values()
        .map(|endpoint| (&endpoint.host, &endpoint.availability_zone))
        .collect();
    let hosts = hosts.into_iter().map(|(host, zone)| live(host, zone, None));
    nodes.chain(hosts).collect()
}

/// Name of a node, also of its host.
pub(crate) fn node_name(index: usize) -> String {
    format!("node-{}", index + 1)
}

fn put(platform: &MemoryPlatform, prefix: &str, name: &str, value: &str) {
    platform.put_row(&format!("{prefix}{name}"), Some(value));
}
