//! A planned stop moves grants off its endpoints, as documented in
//! `docs/operators/planned-stops.md`.

use crate::system::System;
use radishpin_server::operator::document::StatusReport;

fn is_leaving(report: &StatusReport, endpoint: &str) -> bool {
    let endpoint = report.endpoints.iter().find(|e| e.name == endpoint);
    let latest_report = endpoint.and_then(|endpoint| endpoint.report.as_ref());
    latest_report.is_some_and(|latest| latest.leaving)
}

fn holds_grants(report: &StatusReport, endpoint: &str) -> bool {
    let mut models = report.models.iter();
    models.any(|model| model.grants.contains_key(endpoint))
}

/// Returns an endpoint with a grant; which one depends on the order of registrations.
fn endpoint_with_grant(report: &StatusReport) -> Option<String> {
    let mut grants = report.models.iter().flat_map(|model| model.grants.keys());
    grants.next().cloned()
}

#[test]
fn a_planned_stop_moves_grants_and_its_cancellation_restores_the_endpoint() {
    let system = System::start();
    let before = system.wait_for("a grant", |report| endpoint_with_grant(report).is_some());
    let endpoint = endpoint_with_grant(&before).expect("an endpoint with a grant");
    let found = before.endpoints.iter().find(|e| e.name == endpoint);
    let host = found.expect("the endpoint of the grant").host.clone();
    // The window starts sooner than the stop lead, so the endpoint accepts no new work at once.
    system.apply_change(&format!(
        "stop plan --host {host} --from +10s --to +1h --id cage"
    ));
    let moved = system.wait_for("the endpoint leaves", |report| {
        is_leaving(report, &endpoint) && !holds_grants(report, &endpoint)
    });
    for (model, now) in before.models.iter().zip(&moved.models) {
        assert!(now.grants.len() <= now.replicas as usize, "{now:?}");
        assert!(!now.grants.is_empty(), "{model:?} {now:?}");
    }
    for model in &moved.models {
        let answer = system.complete(&model.name);
        assert_eq!(answer.status, 200, "{}: {answer:?}", model.name);
    }
    system.apply_change("stop cancel cage");
    system.wait_for("the endpoint is back", |report| {
        !is_leaving(report, &endpoint)
    });
}
