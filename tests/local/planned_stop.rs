//! A planned stop: what `docs/operators/planned-stops.md` says happens.

use crate::system::System;
use radishpin_server::operator::document::StatusReport;

const ENDPOINT: &str = "runner-1";

fn leaves(report: &StatusReport) -> bool {
    let endpoint = report.endpoints.iter().find(|e| e.name == ENDPOINT);
    let heard = endpoint.and_then(|endpoint| endpoint.report.as_ref());
    heard.is_some_and(|heard| heard.leaving)
}

fn holds_grants(report: &StatusReport) -> bool {
    let mut models = report.models.iter();
    models.any(|model| model.grants.contains_key(ENDPOINT))
}

#[test]
fn an_endpoint_that_stops_gives_its_grants_away_and_comes_back() {
    let system = System::start();
    let before = system.wait_for("a grant at the endpoint", holds_grants);
    // Within the time before the window in which endpoints take no new work.
    system.accepted("stop plan --host host-runner-1 --from +10s --to +1h --id cage");
    let moved = system.wait_for("the endpoint leaves", |report| {
        leaves(report) && !holds_grants(report)
    });
    for (model, now) in before.models.iter().zip(&moved.models) {
        assert!(now.grants.len() <= now.replicas as usize, "{now:?}");
        assert!(!now.grants.is_empty(), "{model:?} {now:?}");
    }
    for model in &moved.models {
        let answer = system.complete(&model.name);
        assert_eq!(answer.status, 200, "{}: {answer:?}", model.name);
    }
    system.accepted("stop cancel cage");
    system.wait_for("the endpoint is back", |report| !leaves(report));
}
