//! What a planned stop will cost as things stand.

use super::document::StopPhase;
use radishpin_protocol::{
    ClusterView, EndpointRecord, GrantState, ServiceKind, StopRecord, StopTarget, UnixMs,
};
use std::time::Duration;

/// Notice below which models may not be loaded elsewhere in time.
const SHORT_NOTICE: Duration = Duration::from_secs(60);
/// Models and services named one by one.
const NAMED: usize = 20;

/// Where a stop stands at `now_unix_ms`.
pub(super) fn phase(stop: &StopRecord, now_unix_ms: UnixMs) -> StopPhase {
    if now_unix_ms < stop.from_unix_ms {
        StopPhase::Planned
    } else if now_unix_ms < stop.to_unix_ms {
        StopPhase::Open
    } else {
        StopPhase::Over
    }
}

/// What will be refused during the window of `stop`, counting all stops that overlap it.
pub(super) fn stop_warnings(
    view: &ClusterView,
    stop: &StopRecord,
    now_unix_ms: UnixMs,
) -> Vec<String> {
    if phase(stop, now_unix_ms) == StopPhase::Over {
        return Vec::new();
    }
    let covered = |endpoint: &EndpointRecord| {
        covers(&stop.target, endpoint) || overlapping(view, stop, endpoint)
    };
    let mut warnings = Vec::new();
    if !view.endpoints.values().any(|e| covers(&stop.target, e)) {
        warnings.push("no endpoint is known there; check the name".to_owned());
        return warnings;
    }
    let notice_ms = stop.from_unix_ms.saturating_sub(now_unix_ms);
    if u128::from(notice_ms) < SHORT_NOTICE.as_millis() {
        warnings.push(format!(
            "short notice: {} s until the window opens; models may not be loaded elsewhere in time",
            notice_ms / 1_000
        ));
    }
    warnings.extend(named("model", stranded_models(view, &covered)));
    warnings.extend(named("service", stranded_services(view, &covered)));
    warnings
}

/// Models whose every grant is at an endpoint that stops.
fn stranded_models<'a>(
    view: &'a ClusterView,
    covered: &impl Fn(&EndpointRecord) -> bool,
) -> Vec<&'a str> {
    let stranded = view.models.iter().filter(|(_, model)| {
        let mut held = model
            .grants
            .iter()
            .filter(|(_, grant)| grant.state == GrantState::Held)
            .peekable();
        held.peek().is_some()
            && held.all(|(endpoint, _)| view.endpoints.get(endpoint).is_none_or(covered))
    });
    stranded.map(|(name, _)| name.as_str()).collect()
}

/// Plain services whose every endpoint stops.
fn stranded_services<'a>(
    view: &'a ClusterView,
    covered: &impl Fn(&EndpointRecord) -> bool,
) -> Vec<&'a str> {
    let stranded = view.services.iter().filter(|(name, service)| {
        let mut endpoints = view
            .endpoints
            .values()
            .filter(|endpoint| endpoint.service == **name)
            .peekable();
        service.kind == ServiceKind::Plain && endpoints.peek().is_some() && endpoints.all(covered)
    });
    stranded.map(|(name, _)| name.as_str()).collect()
}

fn named(what: &str, names: Vec<&str>) -> Option<String> {
    let rest = names.len().saturating_sub(NAMED);
    let shown: Vec<&str> = names.into_iter().take(NAMED).collect();
    if shown.is_empty() {
        return None;
    }
    let more = match rest {
        0 => String::new(),
        rest => format!(" and {rest} more"),
    };
    Some(format!(
        "nothing outside the stop serves {what} {}{more}; calls are refused during the window \
         unless that changes",
        shown.join(", ")
    ))
}

fn overlapping(view: &ClusterView, stop: &StopRecord, endpoint: &EndpointRecord) -> bool {
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
