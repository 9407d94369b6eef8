//! Slots at endpoints that state limits.

use radishpin_core::{
    process::{LIMITED_ENDPOINTS_MAX, SLOT_INTERVAL_MAX, SLOT_WAIT_MAX, SendSlots, Slot},
    request::RequestRate,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn per_s(per_s: f64) -> RequestRate {
    RequestRate::from_per_s(per_s).expect("the rate is valid")
}

fn take(slots: &mut SendSlots, rate: f64, wait_max: u64, now: u64) -> Slot {
    slots.take("e", per_s(rate), ms(wait_max), ms(now))
}

#[test]
fn slots_come_one_interval_apart_and_in_the_order_in_which_they_are_asked_for() {
    let mut slots = SendSlots::default();
    let answers = [(0, 0), (1_000, 0), (1_000, 10), (1_000, 10), (500, 500)];
    let answers = answers.map(|(wait_max, now)| take(&mut slots, 2.0, wait_max, now));
    let expected = [
        Slot::Denied { wait_ms: 500 },
        Slot::Granted { wait_ms: 500 },
        Slot::Granted { wait_ms: 990 },
        Slot::Denied { wait_ms: 1_490 },
        Slot::Denied { wait_ms: 1_000 },
    ];
    assert_eq!(answers, expected);
    assert_eq!(
        take(&mut slots, 2.0, 0, 9_000),
        Slot::Granted { wait_ms: 0 }
    );
    assert_eq!(
        take(&mut slots, 2.0, 0, 9_000),
        Slot::Denied { wait_ms: 500 },
        "unused slots are not made up for"
    );
}

#[test]
fn a_limit_of_zero_gives_a_slot_now_and_then() {
    let mut slots = SendSlots::default();
    let longest = SLOT_INTERVAL_MAX.as_millis() as u64;
    let denied = Slot::Denied { wait_ms: longest };
    assert_eq!(take(&mut slots, 0.0, 0, 0), denied);
    let granted = Slot::Granted { wait_ms: 0 };
    assert_eq!(take(&mut slots, 0.0, 0, longest), granted);
}

#[test]
fn a_limit_that_changes_is_in_force_with_the_next_slot() {
    let mut slots = SendSlots::default();
    assert_eq!(take(&mut slots, 1e6, 0, 1_000), Slot::Denied { wait_ms: 1 });
    assert_eq!(
        take(&mut slots, 1e6, 0, 1_001),
        Slot::Granted { wait_ms: 0 }
    );
    assert_eq!(
        take(&mut slots, 1.0, 0, 1_501),
        Slot::Denied { wait_ms: 500 },
        "lowered"
    );
    for _ in 0..3 {
        take(&mut slots, 4.0, 10_000, 2_001);
    }
    assert_eq!(
        take(&mut slots, 4.0, 0, 2_001),
        Slot::Denied { wait_ms: 750 }
    );
    assert_eq!(
        take(&mut slots, 40.0, 0, 2_001),
        Slot::Denied { wait_ms: 75 },
        "raised: those given out ahead come sooner too"
    );
}

#[test]
fn a_huge_wait_and_many_endpoints_keep_the_slots_bounded() {
    let mut slots = SendSlots::default();
    let granted = (0..1_000).filter(|_| {
        let slot = take(&mut slots, 10.0, u64::MAX, 0);
        matches!(slot, Slot::Granted { .. })
    });
    assert_eq!(granted.count() as u64, 10 * SLOT_WAIT_MAX.as_secs());
    for n in 0..2 * LIMITED_ENDPOINTS_MAX {
        slots.take(&format!("e{n}"), per_s(1.0), ms(0), ms(1));
    }
    assert_eq!(slots.len(), LIMITED_ENDPOINTS_MAX);
}

/// Gateways that reach different holders, and holders that are down for a while and start anew, at random.
#[test]
fn no_span_of_four_seconds_has_more_than_one_and_a_half_times_the_limit_and_five() {
    const SPAN: Duration = Duration::from_secs(4);
    /// Divisors of the rates of the holders that stand in for the first.
    const DIVISORS: [u32; 3] = [1, 8, 16];
    const DOWNTIME: Duration = Duration::from_secs(1);
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let limit = [0.3, 1.0, 2.5, 10.0, 40.0][random.random_range(0..5)];
        let mut holders: [SendSlots; 3] = Default::default();
        let mut down_until = [Duration::ZERO; 3];
        let mut sent: Vec<Duration> = Vec::new();
        let mut now = Duration::ZERO;
        while now < Duration::from_secs(40) {
            now += ms(random.random_range(0..40));
            let rank = random.random_range(0..3);
            if random.random_ratio(1, 500) {
                holders[rank] = SendSlots::default();
                down_until[rank] = now + DOWNTIME;
            }
            if now < down_until[rank] {
                continue;
            }
            let rate = per_s(limit).divided(DIVISORS[rank]);
            let wait_max = ms(random.random_range(0..3_000));
            if let Slot::Granted { wait_ms } = holders[rank].take("e", rate, wait_max, now) {
                sent.push(now + ms(wait_ms));
            }
        }
        sent.sort_unstable();
        let spans = sent.iter().map(|from| {
            let in_span = |at: &&Duration| (*from..*from + SPAN).contains(*at);
            sent.iter().filter(in_span).count()
        });
        let most = spans.max().unwrap_or(0) as f64;
        let allowed = 1.5 * limit * SPAN.as_secs_f64() + 5.0;
        assert!(most <= allowed, "seed {seed}, limit {limit}: {most}");
    }
}
