//! What the ends of requests tell about what crashes endpoints.

use radishpin_core::{
    process::{ExposedRequest, ExposureEnd, Exposures, Suspect},
    request::PromptPartId,
};
use std::{collections::BTreeSet, time::Duration};

const A: PromptPartId = 0xa;
const B: PromptPartId = 0xb;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn prompt(parts: &[PromptPartId]) -> ExposedRequest {
    ExposedRequest {
        parts: parts.iter().copied().collect(),
        ..ExposedRequest::default()
    }
}

/// Parts that are sound, and parts that a crash is held against.
fn settle(exposures: &mut Exposures, now: Duration) -> (Vec<PromptPartId>, Vec<PromptPartId>) {
    let news = exposures.settle(now);
    let blamed: BTreeSet<_> = news
        .crashes
        .iter()
        .map(|entry| entry.suspect.id())
        .collect();
    (
        news.sound.into_iter().collect(),
        blamed.into_iter().collect(),
    )
}

#[test]
fn a_broken_connection_counts_only_if_the_engine_is_down_too() {
    for down_first in [false, true] {
        let mut exposures = Exposures::default();
        let broken = exposures.begin("e1", 7, prompt(&[A]));
        if down_first {
            exposures.endpoint_down("e1", ms(90));
        }
        exposures.end(broken, ExposureEnd::Broken, None, ms(100));
        if !down_first {
            assert_eq!(settle(&mut exposures, ms(100)), (vec![], vec![]));
            exposures.endpoint_down("e1", ms(250));
        }
        assert_eq!(settle(&mut exposures, ms(250)), (vec![], vec![A]));
        assert!(exposures.is_settled());
    }
}

#[test]
fn a_broken_connection_to_an_engine_that_lives_on_tells_nothing() {
    let mut exposures = Exposures::default();
    let broken = exposures.begin("e1", 7, prompt(&[A]));
    exposures.end(broken, ExposureEnd::Broken, None, ms(100));
    exposures.endpoint_down("e2", ms(200));
    exposures.endpoint_started("e1", 7, ms(200));
    assert_eq!(settle(&mut exposures, ms(5_200)), (vec![], vec![]));
    assert!(exposures.is_settled());
    exposures.endpoint_down("e1", ms(5_300));
    assert_eq!(settle(&mut exposures, ms(5_300)), (vec![], vec![]));
}

#[test]
fn an_answered_request_clears_its_parts_after_a_while() {
    let mut exposures = Exposures::default();
    let served = exposures.begin("e1", 7, prompt(&[A, B]));
    exposures.end(served, ExposureEnd::Served, None, ms(100));
    assert_eq!(settle(&mut exposures, ms(1_000)), (vec![], vec![]));
    assert_eq!(settle(&mut exposures, ms(1_100)), (vec![A, B], vec![]));
    assert!(exposures.is_sound(A, ms(1_200)));
    let broken = exposures.begin("e1", 7, prompt(&[A]));
    exposures.end(broken, ExposureEnd::Broken, None, ms(1_300));
    exposures.endpoint_down("e1", ms(1_300));
    let blamed = settle(&mut exposures, ms(1_300)).1;
    assert_eq!(
        blamed,
        Vec::<PromptPartId>::new(),
        "it was answered just before"
    );
    assert!(!exposures.is_sound(A, ms(12_000)));
}

/// A short answer ends just before its engine crashes under it; another connection breaks.
#[test]
fn a_request_that_was_answered_just_before_the_crash_is_not_cleared_by_it() {
    let mut exposures = Exposures::default();
    let served = exposures.begin("e1", 7, prompt(&[A]));
    let broken = exposures.begin("e1", 7, prompt(&[B]));
    exposures.end(served, ExposureEnd::Served, None, ms(100));
    exposures.end(broken, ExposureEnd::Broken, None, ms(180));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![]));
    exposures.endpoint_down("e1", ms(2_000));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![A, B]));
}

/// A sidecar reports its engine as down while it starts itself; no connection broke.
#[test]
fn a_sidecar_that_restarts_proves_no_crash() {
    let mut exposures = Exposures::default();
    let served = exposures.begin("e1", 7, prompt(&[A]));
    exposures.end(served, ExposureEnd::Served, None, ms(100));
    exposures.endpoint_down("e1", ms(200));
    assert_eq!(settle(&mut exposures, ms(1_500)), (vec![], vec![]));
    exposures.endpoint_started("e1", 7, ms(1_600));
    assert_eq!(settle(&mut exposures, ms(5_200)), (vec![], vec![]));
    assert!(exposures.is_settled());
}

/// The same, but the engine comes back as another run of its process.
#[test]
fn an_engine_that_started_anew_had_crashed() {
    let mut exposures = Exposures::default();
    let served = exposures.begin("e1", 7, prompt(&[A]));
    exposures.end(served, ExposureEnd::Served, None, ms(100));
    exposures.endpoint_down("e1", ms(200));
    exposures.endpoint_started("e1", 9, ms(3_200));
    assert_eq!(settle(&mut exposures, ms(3_200)), (vec![], vec![A]));
}

#[test]
fn a_request_that_did_not_run_tells_nothing() {
    let mut exposures = Exposures::default();
    let refused = exposures.begin("e1", 7, prompt(&[A]));
    exposures.end(refused, ExposureEnd::NotRun, None, ms(100));
    exposures.endpoint_down("e1", ms(100));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![]));
    let without_parts = exposures.begin("e1", 7, prompt(&[]));
    exposures.end(without_parts, ExposureEnd::Served, None, ms(2_000));
    assert!(exposures.is_settled());
}

#[test]
fn two_gateways_name_the_crash_of_one_engine_alike() {
    let crash_of = |endpoint: &str, started: u64| {
        let mut exposures = Exposures::default();
        let broken = exposures.begin(endpoint, started, prompt(&[A]));
        exposures.end(broken, ExposureEnd::Broken, None, ms(100));
        exposures.endpoint_down(endpoint, ms(100));
        exposures.settle(ms(100)).crashes[0].crashes[0].crash
    };
    assert_eq!(crash_of("e1", 7), crash_of("e1", 7));
    assert_ne!(crash_of("e1", 7), crash_of("e1", 8));
    assert_ne!(crash_of("e1", 7), crash_of("e2", 7));
}

/// Fingerprints of the requests that crashes are held against.
fn blamed_requests(exposures: &mut Exposures, now: Duration) -> Vec<u64> {
    let crashes = exposures.settle(now).crashes.into_iter();
    let requests = crashes.filter(|entry| matches!(entry.suspect, Suspect::Request(_)));
    requests.map(|entry| entry.suspect.id()).collect()
}

#[test]
fn a_crash_is_held_against_the_requests_that_the_endpoint_was_running() {
    let mut exposures = Exposures::default();
    let [broken, served, canceled, early] = [(); 4].map(|()| exposures.begin("p1", 0, prompt(&[])));
    exposures.end(served, ExposureEnd::Served, None, ms(90));
    exposures.end(early, ExposureEnd::Other, Some(4), ms(100));
    exposures.end(canceled, ExposureEnd::Other, Some(3), ms(1_900));
    exposures.end(broken, ExposureEnd::Broken, Some(1), ms(2_000));
    assert!(blamed_requests(&mut exposures, ms(2_000)).is_empty());
    exposures.endpoint_down("p1", ms(2_050));
    assert_eq!(blamed_requests(&mut exposures, ms(2_050)), [1, 3]);
    assert!(exposures.is_settled());
}

#[test]
fn an_endpoint_that_crashes_again_under_the_same_listed_start_runs_anew_between() {
    let mut exposures = Exposures::default();
    let first = exposures.begin("p1", 0, prompt(&[]));
    let hanging = exposures.begin("p1", 0, prompt(&[]));
    exposures.end(first, ExposureEnd::Broken, Some(1), ms(100));
    exposures.endpoint_down("p1", ms(110));
    assert_eq!(blamed_requests(&mut exposures, ms(110)), [1]);
    let next = exposures.begin("p1", 0, prompt(&[]));
    exposures.end(next, ExposureEnd::Other, Some(2), ms(900));
    assert!(blamed_requests(&mut exposures, ms(900)).is_empty());
    let again = exposures.begin("p1", 0, prompt(&[]));
    exposures.end(again, ExposureEnd::Broken, Some(1), ms(3_000));
    exposures.endpoint_down("p1", ms(3_010));
    assert_eq!(blamed_requests(&mut exposures, ms(3_010)), [1]);
    exposures.end(hanging, ExposureEnd::Other, Some(3), ms(9_000));
    exposures.settle(ms(20_000));
    assert!(exposures.is_settled());
}

/// The gateway gave the request up before the endpoint crashed under it, and nothing else ran there.
#[test]
fn a_refused_connection_proves_a_crash_under_a_request_that_was_given_up() {
    let mut exposures = Exposures::default();
    let given_up = exposures.begin("p1", 0, prompt(&[]));
    exposures.end(given_up, ExposureEnd::Other, Some(1), ms(300));
    exposures.endpoint_down("p1", ms(700));
    assert!(blamed_requests(&mut exposures, ms(700)).is_empty());
    exposures.endpoint_refuses("p1", ms(800));
    assert_eq!(blamed_requests(&mut exposures, ms(800)), [1]);
}
