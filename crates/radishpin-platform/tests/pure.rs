//! Tests of backoff, retry budget, breaker and rate limiter; the tests pass in the time.

use radishpin_platform::{
    AdaptiveRateLimiter, Backoff, Breaker, BreakerSettings, BreakerState, BudgetSettings, Permit,
    RetryBudget, jittered,
};
use std::time::Duration;

const fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

#[test]
fn backoff_doubles_up_to_its_cap_and_jitters_from_zero() {
    let backoff = Backoff {
        base: ms(50),
        cap: ms(1_000),
    };
    let ceilings: Vec<u128> = (0..7).map(|n| backoff.ceiling(n).as_millis()).collect();
    insta::assert_compact_json_snapshot!(ceilings, @"[50, 100, 200, 400, 800, 1000, 1000]");
    assert_eq!(backoff.ceiling(u32::MAX), ms(1_000));
    assert_eq!(backoff.delay(3, 0.0), ms(0));
    assert_eq!(backoff.delay(3, 0.5), ms(200));
    assert_eq!(jittered(ms(2_000), 0.0), ms(1_000));
    assert_eq!(jittered(ms(2_000), 1.0), ms(3_000));
}

#[test]
fn retries_are_limited_to_a_fraction_of_the_calls() {
    // Eighths are exact in binary floating point, so the count below is exact.
    let settings = BudgetSettings {
        per_call: 0.125,
        per_second: 0.125,
        max_balance: 10.0,
    };
    let mut budget = RetryBudget::new(settings, ms(0));
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.deposit(ms(0));
        retries += usize::from(budget.try_withdraw(ms(0)));
    }
    // 10 retries of the full budget, and an eighth of each call except the first, whose deposit
    // is lost because the budget is full.
    assert_eq!(retries, 134);
    assert!(!budget.try_withdraw(ms(0)));
    assert!(!budget.try_withdraw(ms(999)));
    assert!(budget.try_withdraw(ms(1_000)));
}

#[test]
fn the_breaker_allows_one_probe_and_stays_open_longer_after_each_failure() {
    let mut breaker = Breaker::new(BreakerSettings::default());
    for _ in 0..4 {
        breaker.record_failure(ms(0), 1.0);
    }
    assert_eq!(breaker.permit(ms(0)), Permit::Allowed);
    breaker.record_failure(ms(0), 1.0);
    assert_eq!(breaker.state(), BreakerState::Open);
    let mut open_times_ms = Vec::new();
    let mut now = ms(0);
    for _ in 0..6 {
        let Permit::Refused(wait) = breaker.permit(now) else {
            panic!("not open at {now:?}");
        };
        open_times_ms.push(wait.as_millis());
        now += wait;
        assert_eq!(breaker.permit(now), Permit::Allowed);
        assert_eq!(breaker.state(), BreakerState::HalfOpen);
        assert_eq!(breaker.permit(now), Permit::Refused(ms(2_000)));
        breaker.record_failure(now, 1.0);
    }
    insta::assert_compact_json_snapshot!(open_times_ms, @"[500, 1000, 2000, 4000, 5000, 5000]");
    breaker.record_success();
    assert_eq!(breaker.permit(now), Permit::Allowed);
}

#[test]
fn a_probe_without_a_result_is_abandoned() {
    let mut breaker = Breaker::new(BreakerSettings {
        failures: 1,
        ..BreakerSettings::default()
    });
    breaker.record_failure(ms(0), 0.0);
    assert_eq!(breaker.permit(ms(249)), Permit::Refused(ms(1)));
    assert_eq!(breaker.permit(ms(250)), Permit::Allowed);
    assert_eq!(breaker.permit(ms(2_249)), Permit::Refused(ms(1)));
    assert_eq!(breaker.permit(ms(2_250)), Permit::Allowed);
}

#[test]
fn the_rate_limiter_slows_down_once_for_calls_limited_together() {
    let mut limiter = AdaptiveRateLimiter::default();
    assert_eq!(limiter.reserve(ms(0), ms(0)), Some(ms(0)));
    limiter.record_rate_limited(ms(0), 1.0);
    limiter.record_rate_limited(ms(1), 1.0);
    assert_eq!(limiter.interval(), ms(50));
    assert_eq!(limiter.reserve(ms(0), ms(1_000)), Some(ms(50)));
    assert_eq!(limiter.reserve(ms(0), ms(1_000)), Some(ms(100)));
    assert_eq!(limiter.reserve(ms(0), ms(149)), None);
    limiter.record_rate_limited(ms(60), 1.0);
    assert_eq!(limiter.interval(), ms(100));
    for _ in 0..2_000 {
        limiter.record_success();
    }
    assert_eq!(limiter.interval(), ms(0));
}
