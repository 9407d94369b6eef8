//! What the ends of requests tell about the parts of their prompts.

use radishpin_core::{
    process::{ExposureEnd, PromptExposures},
    request::{PromptPartId, SharedParts},
};
use std::{collections::BTreeSet, time::Duration};

const A: PromptPartId = 0xa;
const B: PromptPartId = 0xb;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn prompt(parts: &[PromptPartId]) -> SharedParts {
    parts.iter().copied().collect()
}

/// Parts that are sound, and parts that a crash is held against.
fn settle(
    exposures: &mut PromptExposures,
    now: Duration,
) -> (Vec<PromptPartId>, Vec<PromptPartId>) {
    let news = exposures.settle(now);
    let blamed: BTreeSet<_> = news.crashes.iter().map(|entry| entry.part).collect();
    (
        news.sound.into_iter().collect(),
        blamed.into_iter().collect(),
    )
}

#[test]
fn a_broken_connection_counts_only_if_the_engine_is_down_too() {
    for down_first in [false, true] {
        let mut exposures = PromptExposures::default();
        let broken = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
        if down_first {
            exposures.engine_down("e1", ms(90));
        }
        exposures.end(broken, ExposureEnd::Broken, ms(100));
        if !down_first {
            assert_eq!(settle(&mut exposures, ms(100)), (vec![], vec![]));
            exposures.engine_down("e1", ms(250));
        }
        assert_eq!(settle(&mut exposures, ms(250)), (vec![], vec![A]));
        assert!(exposures.is_settled());
    }
}

#[test]
fn a_broken_connection_to_an_engine_that_lives_on_tells_nothing() {
    let mut exposures = PromptExposures::default();
    let broken = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    exposures.end(broken, ExposureEnd::Broken, ms(100));
    exposures.engine_down("e2", ms(200));
    exposures.engine_started("e1", 7, ms(200));
    assert_eq!(settle(&mut exposures, ms(5_200)), (vec![], vec![]));
    assert!(exposures.is_settled());
    exposures.engine_down("e1", ms(5_300));
    assert_eq!(settle(&mut exposures, ms(5_300)), (vec![], vec![]));
}

#[test]
fn an_answered_request_clears_its_parts_after_a_while() {
    let mut exposures = PromptExposures::default();
    let served = exposures.begin("e1", 7, &prompt(&[A, B])).unwrap();
    exposures.end(served, ExposureEnd::Served, ms(100));
    assert_eq!(settle(&mut exposures, ms(1_000)), (vec![], vec![]));
    assert_eq!(settle(&mut exposures, ms(1_100)), (vec![A, B], vec![]));
    assert!(exposures.is_sound(A, ms(1_200)));
    let broken = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    exposures.end(broken, ExposureEnd::Broken, ms(1_300));
    exposures.engine_down("e1", ms(1_300));
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
    let mut exposures = PromptExposures::default();
    let served = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    let broken = exposures.begin("e1", 7, &prompt(&[B])).unwrap();
    exposures.end(served, ExposureEnd::Served, ms(100));
    exposures.end(broken, ExposureEnd::Broken, ms(180));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![]));
    exposures.engine_down("e1", ms(2_000));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![A, B]));
}

/// A sidecar reports its engine as down while it starts itself; no connection broke.
#[test]
fn a_sidecar_that_restarts_proves_no_crash() {
    let mut exposures = PromptExposures::default();
    let served = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    exposures.end(served, ExposureEnd::Served, ms(100));
    exposures.engine_down("e1", ms(200));
    assert_eq!(settle(&mut exposures, ms(1_500)), (vec![], vec![]));
    exposures.engine_started("e1", 7, ms(1_600));
    assert_eq!(settle(&mut exposures, ms(5_200)), (vec![], vec![]));
    assert!(exposures.is_settled());
}

/// The same, but the engine comes back as another run of its process.
#[test]
fn an_engine_that_started_anew_had_crashed() {
    let mut exposures = PromptExposures::default();
    let served = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    exposures.end(served, ExposureEnd::Served, ms(100));
    exposures.engine_down("e1", ms(200));
    exposures.engine_started("e1", 9, ms(3_200));
    assert_eq!(settle(&mut exposures, ms(3_200)), (vec![], vec![A]));
}

#[test]
fn a_request_that_did_not_run_tells_nothing() {
    let mut exposures = PromptExposures::default();
    let refused = exposures.begin("e1", 7, &prompt(&[A])).unwrap();
    exposures.end(refused, ExposureEnd::NotRun, ms(100));
    exposures.engine_down("e1", ms(100));
    assert_eq!(settle(&mut exposures, ms(2_000)), (vec![], vec![]));
    assert!(exposures.begin("e1", 7, &prompt(&[])).is_none());
    assert!(exposures.is_settled());
}

#[test]
fn two_gateways_name_the_crash_of_one_engine_alike() {
    let crash_of = |endpoint: &str, started: u64| {
        let mut exposures = PromptExposures::default();
        let broken = exposures.begin(endpoint, started, &prompt(&[A])).unwrap();
        exposures.end(broken, ExposureEnd::Broken, ms(100));
        exposures.engine_down(endpoint, ms(100));
        exposures.settle(ms(100)).crashes[0].crashes[0].crash
    };
    assert_eq!(crash_of("e1", 7), crash_of("e1", 7));
    assert_ne!(crash_of("e1", 7), crash_of("e1", 8));
    assert_ne!(crash_of("e1", 7), crash_of("e2", 7));
}
