//! The local limit on loads from the weight store adapts to observed load times.

use radishpin_core::request::LoadLimit;
use radishpin_protocol::prelude::*;

const SIZE_MB: SizeMb = 1_000;

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

/// Runs loads one after another, each taking `took`, and returns the limit after each.
fn limits(limit: &mut LoadLimit, now: &mut Duration, took: Duration, loads: u32) -> Vec<u64> {
    let run_load = |_| {
        *now = (*now).max(limit.not_before());
        assert!(
            limit.try_start(*now),
            "one load at a time is always allowed"
        );
        *now += took;
        limit.finish(SIZE_MB, took, *now);
        limit.limit_milli()
    };
    (0..loads).map(run_load).collect()
}

#[test]
fn limit_grows_additively_and_halves_on_slow_loads() {
    let mut limit = LoadLimit::new(4);
    let mut now = Duration::ZERO;
    let grown = limits(&mut limit, &mut now, secs(1), 8);
    insta::assert_snapshot!(format!("{grown:?}"), @"[2000, 2500, 2900, 3244, 3552, 3833, 4000, 4000]");
    let shrunk = limits(&mut limit, &mut now, secs(3), 7);
    insta::assert_snapshot!(format!("{shrunk:?}"), @"[2000, 1000, 500, 250, 125, 125, 125]");
    // A limit below one load is enforced by pauses between loads.
    insta::assert_snapshot!(format!("{:?}", limit.not_before() - now), @"21s");
    assert!(!limit.try_start(now));
    let recovered = limits(&mut limit, &mut now, secs(1), 12);
    assert!(recovered.last() > Some(&2_000), "{recovered:?}");
}

#[test]
fn concurrent_slow_loads_lower_the_limit_once() {
    let mut limit = LoadLimit::new(8);
    let mut now = Duration::ZERO;
    limits(&mut limit, &mut now, secs(1), 40);
    let before = limit.limit_milli();
    let started = (0..20).filter(|_| limit.try_start(now)).count();
    assert_eq!(
        started as u64,
        before / 1_000,
        "as many loads start as the limit allows"
    );
    now += secs(9);
    for _ in 0..started {
        limit.finish(SIZE_MB, secs(9), now);
    }
    assert_eq!(limit.limit_milli(), before / 2);
}

#[test]
fn failed_load_frees_its_slot() {
    let mut limit = LoadLimit::new(4);
    assert!(limit.try_start(Duration::ZERO));
    assert!(!limit.try_start(Duration::ZERO));
    limit.fail(secs(2), secs(2));
    assert_eq!(limit.in_flight(), 0);
    assert!(limit.try_start(limit.not_before()));
}

#[test]
fn extreme_times_do_not_overflow() {
    let mut limit = LoadLimit::new(u32::MAX);
    for took in [Duration::MAX, Duration::ZERO, Duration::MAX] {
        limit.finish(0, took, Duration::MAX);
        limit.fail(took, Duration::MAX);
    }
    assert_eq!(limit.in_flight(), 0);
}
