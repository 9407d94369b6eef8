//! Expected effects of a planned stop, computed by the stop planner of the core crate.

use super::{StatusCache, document::StopPhase};
use radishpin_core::request::{StopEndpoint, StopModel, StopPlanInput, StopWarning, plan_stop};
use radishpin_protocol::{
    EndpointRecord, GrantState, ModelRecord, StopRecord, StopTarget, UnixMs, prelude::*, wire,
};

/// Concurrent loads that the weight store serves at full speed.
const PARALLEL_LOADS: u32 = 4;
/// Load time assumed if no endpoint has reported one.
const DEFAULT_LOAD_TIME: Duration = Duration::from_secs(10);
/// Expected duration of the longest streaming call.
const STREAM_TIME: Duration = Duration::from_secs(30);
/// Maximum number of warnings listed; the rest are only counted.
const MAX_WARNINGS: usize = 20;

/// Phase of a stop at `now_unix_ms`.
pub(super) fn phase(stop: &StopRecord, now_unix_ms: UnixMs) -> StopPhase {
    if now_unix_ms < stop.from_unix_ms {
        StopPhase::Planned
    } else if now_unix_ms < stop.to_unix_ms {
        StopPhase::Open
    } else {
        StopPhase::Over
    }
}

/// Expected effects of `stop` together with the stops that overlap it; none after its window.
pub(super) fn stop_warnings(
    view: &ClusterView,
    status_cache: &StatusCache,
    stop: &StopRecord,
    now_unix_ms: UnixMs,
) -> Vec<String> {
    if phase(stop, now_unix_ms) == StopPhase::Over {
        return Vec::new();
    }
    let plan_input = plan_input(view, status_cache, stop, now_unix_ms);
    if plan_input.stopping.is_empty() {
        return vec!["no endpoint is known there; check the name".to_owned()];
    }
    let warnings = plan_stop(&plan_input).warnings;
    let omitted = warnings.len().saturating_sub(MAX_WARNINGS);
    let mut lines: Vec<String> = warnings
        .iter()
        .take(MAX_WARNINGS)
        .map(warning_text)
        .collect();
    if omitted > 0 {
        lines.push(format!("and {omitted} more"));
    }
    lines
}

fn warning_text(warning: &StopWarning) -> String {
    match warning {
        StopWarning::LastReplica { model, gap } => format!(
            "model {model}: its only loaded replica moves; callers wait up to {} ms for a load",
            gap.as_millis()
        ),
        StopWarning::TooLittleMemory {
            model,
            size_mb,
            refused: true,
        } => format!(
            "model {model}: no endpoint that stays has {size_mb} MB for it; its calls are refused \
             during the window"
        ),
        StopWarning::TooLittleMemory { model, size_mb, .. } => format!(
            "model {model}: no further endpoint that stays takes its {size_mb} MB; it has fewer \
             replicas during the window"
        ),
        StopWarning::TooShortNotice { model, missing } => format!(
            "model {model}: its replacement is loaded {} ms too late for the window",
            missing.as_millis()
        ),
        StopWarning::LastEndpoint { service } => format!(
            "service {service}: none of its endpoints stays; its calls are refused during the \
             window"
        ),
    }
}

fn plan_input(
    view: &ClusterView,
    status_cache: &StatusCache,
    stop: &StopRecord,
    now_unix_ms: UnixMs,
) -> StopPlanInput {
    let stopping: BTreeSet<EndpointId> = view
        .endpoints
        .iter()
        .filter(|(_, endpoint)| covers(&stop.target, endpoint))
        .map(|(id, _)| id.clone())
        .collect();
    let reports: BTreeMap<&EndpointId, wire::SyncReply> = view
        .endpoints
        .keys()
        .filter_map(|id| Some((id, status_cache.last_report(id)?)))
        .collect();
    let endpoints = view.endpoints.iter().map(|(id, record)| {
        let usable = !in_overlapping_stop(view, stop, record) && !is_leaving(reports.get(id));
        let endpoint = StopEndpoint {
            host: record.host.clone(),
            availability_zone: record.availability_zone.clone(),
            service: record.service.clone(),
            memory_mb: record.memory_mb,
            free_mb: free_mb(view, id, record.memory_mb, reports.get(id)),
            usable,
        };
        (id.clone(), endpoint)
    });
    let load_time = load_time(&reports);
    let models = view.models.iter().filter_map(|(id, model)| {
        let grants = held_grants(id, model, &reports);
        if !grants.keys().any(|endpoint| stopping.contains(endpoint)) {
            return None;
        }
        let profile = view.profile_of(&model.service)?;
        Some(StopModel {
            model: id.clone(),
            service: model.service.clone(),
            class: profile.class,
            patience: profile.patience(),
            size_mb: model.size_mb,
            grants,
            max_replicas: profile.max_replicas,
            load_time,
            stream_time: STREAM_TIME,
        })
    });
    StopPlanInput {
        now: Duration::ZERO,
        from: Duration::from_millis(stop.from_unix_ms.saturating_sub(now_unix_ms)),
        endpoints: endpoints.collect(),
        models: models.collect(),
        stopping,
        parallel_loads: PARALLEL_LOADS,
    }
}

/// Endpoints with a held grant, and whether each last reported the replica as loaded.
fn held_grants(
    model: &str,
    record: &ModelRecord,
    reports: &BTreeMap<&EndpointId, wire::SyncReply>,
) -> BTreeMap<EndpointId, bool> {
    let is_loaded = |endpoint: &EndpointId| {
        let replicas = reports.get(endpoint).map(|report| report.replicas.iter());
        replicas
            .into_iter()
            .flatten()
            .any(|replica| replica.model == model && replica.state() == wire::ReplicaState::Loaded)
    };
    let held = record.grants.iter();
    held.filter(|(_, grant)| grant.state == GrantState::Held)
        .map(|(endpoint, _)| (endpoint.clone(), is_loaded(endpoint)))
        .collect()
}

/// Free memory by the endpoint's latest report, or else the memory that no grant there claims.
fn free_mb(
    view: &ClusterView,
    endpoint: &EndpointId,
    memory_mb: SizeMb,
    report: Option<&wire::SyncReply>,
) -> SizeMb {
    if let Some(load) = report.and_then(|report| report.load) {
        return memory_mb.saturating_sub(load.memory_used_mb);
    }
    let granted = view.models.values();
    let granted_mb = granted
        .filter(|model| model.grants.contains_key(endpoint))
        .fold(0_u32, |sum, model| sum.saturating_add(model.size_mb));
    memory_mb.saturating_sub(granted_mb)
}

fn is_leaving(report: Option<&wire::SyncReply>) -> bool {
    let load = report.and_then(|report| report.load);
    load.is_some_and(|load| load.leaving)
}

/// The longest load time reported by any endpoint.
fn load_time(reports: &BTreeMap<&EndpointId, wire::SyncReply>) -> Duration {
    let times = reports.values().filter_map(|report| report.load);
    let longest_ms = times.map(|load| load.load_time_ms).max();
    match longest_ms {
        None | Some(0) => DEFAULT_LOAD_TIME,
        Some(longest_ms) => Duration::from_millis(longest_ms),
    }
}

fn in_overlapping_stop(view: &ClusterView, stop: &StopRecord, endpoint: &EndpointRecord) -> bool {
    view.stops.values().any(|other| {
        other.id != stop.id
            && other.from_unix_ms < stop.to_unix_ms
            && stop.from_unix_ms < other.to_unix_ms
            && covers(&other.target, endpoint)
    })
}

fn covers(target: &StopTarget, endpoint: &EndpointRecord) -> bool {
    match target {
        StopTarget::Host(host) => *host == endpoint.host,
        StopTarget::AvailabilityZone(zone) => *zone == endpoint.availability_zone,
    }
}
