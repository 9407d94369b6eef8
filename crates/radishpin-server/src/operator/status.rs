//! `GET /v1/status`: the cluster as seen by this node.

use super::{
    api::OperatorContext,
    change::answer,
    document::{EndpointStatus, ModelStatus, ServiceStatus, StatusReport},
    refusal::Refusal,
    services, stops,
};
use http_types::Response;
use radishpin_protocol::ClusterView;
use std::time::Instant;

const OK: u16 = 200;

/// Responds from the current view and the cached reports, so it works without the platform.
pub(super) fn show(context: &OperatorContext) -> Result<Response, Refusal> {
    let view = (context.view)();
    let now = Instant::now();
    let report = StatusReport {
        node: context.node.clone(),
        view_version: view.version,
        processes: context.status_cache.processes(now),
        endpoints: endpoints(context, &view, now),
        models: models(&view),
        services: service_list(&view),
        stops: stops::entries(context, &view),
    };
    answer(OK, &report)
}

fn endpoints(context: &OperatorContext, view: &ClusterView, now: Instant) -> Vec<EndpointStatus> {
    let endpoints = view.endpoints.iter();
    endpoints
        .map(|(name, endpoint)| EndpointStatus {
            name: name.clone(),
            host: endpoint.host.clone(),
            availability_zone: endpoint.availability_zone.clone(),
            service: endpoint.service.clone(),
            agent_address: endpoint.agent_address.clone(),
            memory_mb: endpoint.memory_mb,
            incarnation: endpoint.incarnation,
            report: context.status_cache.report(name, now),
        })
        .collect()
}

fn models(view: &ClusterView) -> Vec<ModelStatus> {
    let models = view.models.iter();
    models
        .map(|(name, model)| ModelStatus {
            name: name.clone(),
            service: model.service.clone(),
            size_mb: model.size_mb,
            replicas: model.replicas,
            grants: model.grants.clone(),
        })
        .collect()
}

fn service_list(view: &ClusterView) -> Vec<ServiceStatus> {
    let services = view.services.iter();
    services
        .map(|(name, service)| ServiceStatus {
            name: name.clone(),
            version: services::version_of(view, name),
            kind: service.kind,
            profile: service.profile.clone(),
        })
        .collect()
}
