//! The work queue loses no item, starves no service and enforces its limits.

use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_core::request::{Popped, QueueLimits, QueueRefusal, WorkQueue};
use radishpin_protocol::prelude::*;

const QUEUE_LIMITS: QueueLimits = QueueLimits {
    capacity: 12,
    per_service: 8,
};
const PRIORITIES: [u32; 3] = [0, 4, 9];

fn seeded(cases: u32) -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(4819),
        failure_persistence: None,
        ..ProptestConfig::with_cases(cases)
    }
}

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Push { service: usize, patience: u64 },
    Pop,
    PopExpired,
    Wait(u64),
}

fn action() -> impl Strategy<Value = Action> {
    prop_oneof![
        4 => (0..3_usize, 1..30_u64).prop_map(|(service, patience)| Action::Push { service, patience }),
        3 => Just(Action::Pop),
        1 => Just(Action::PopExpired),
        1 => (1..5_u64).prop_map(Action::Wait),
    ]
}

proptest! {
    #![proptest_config(seeded(400))]

    /// Every queued item leaves exactly once: ready before its deadline, expired at or after it, or
    /// drained. The limits hold, and the items of a service become ready in order of arrival.
    #[test]
    fn no_item_is_lost_and_limits_hold(actions in prop::collection::vec(action(), 1..120)) {
        let mut queue = WorkQueue::new(QUEUE_LIMITS);
        let mut waiting: BTreeMap<u64, (usize, Duration)> = BTreeMap::new();
        let mut now = Duration::ZERO;
        for (number, action) in (0_u64..).zip(actions) {
            match action {
                Action::Push { service, patience } => {
                    let deadline = now + secs(patience);
                    let of_service = waiting.values().filter(|(s, _)| *s == service).count();
                    let expected = if waiting.len() == QUEUE_LIMITS.capacity {
                        Err(QueueRefusal::Full)
                    } else if of_service == QUEUE_LIMITS.per_service {
                        Err(QueueRefusal::ServiceLimit)
                    } else {
                        waiting.insert(number, (service, deadline));
                        Ok(())
                    };
                    let name = service.to_string();
                    let pushed = queue.push(number, &name, PRIORITIES[service], deadline, now);
                    prop_assert_eq!(pushed, expected);
                }
                Action::Pop => match queue.pop(now) {
                    Some(Popped::Ready(item)) => {
                        let (service, deadline) = waiting.remove(&item).unwrap();
                        prop_assert!(deadline > now);
                        let older = waiting.range(..item).any(|(_, (s, _))| *s == service);
                        prop_assert!(!older, "overtaken within its service");
                    }
                    Some(Popped::Expired(item)) => {
                        prop_assert!(waiting.remove(&item).unwrap().1 <= now);
                    }
                    None => prop_assert!(waiting.is_empty()),
                },
                Action::PopExpired => match queue.pop_expired(now) {
                    Some(item) => prop_assert!(waiting.remove(&item).unwrap().1 <= now),
                    None => prop_assert!(waiting.values().all(|(_, deadline)| *deadline > now)),
                },
                Action::Wait(wait) => now += secs(wait),
            }
            prop_assert_eq!(queue.len(), waiting.len());
        }
        let left: Vec<u64> = waiting.into_keys().collect();
        prop_assert_eq!(queue.drain(), left);
    }

    /// While an item waits behind `own` others of its service, another service is served at most
    /// (own + 1) * weight ratio items, plus one.
    #[test]
    fn no_service_starves(own in 0..6_usize, others in prop::collection::vec(0..3_usize, 20..60)) {
        let limits = QueueLimits { capacity: 1_000, per_service: 1_000 };
        let mut queue = WorkQueue::new(limits);
        let deadline = secs(1_000);
        let now = Duration::ZERO;
        for _ in 0..=own {
            queue.push("own", "own", 0, deadline, now).unwrap();
        }
        let mut served = [0_usize; 3];
        let mut own_left = own + 1;
        for service in others.iter().cycle() {
            let names = ["a", "b", "c"];
            queue.push(names[*service], names[*service], PRIORITIES[*service], deadline, now).unwrap();
            match queue.pop(now) {
                Some(Popped::Ready("own")) => own_left -= 1,
                Some(Popped::Ready(name)) => {
                    served[names.iter().position(|n| *n == name).unwrap()] += 1;
                }
                other => prop_assert!(false, "{:?}", other),
            }
            if own_left == 0 {
                break;
            }
        }
        for (count, priority) in served.iter().zip(PRIORITIES) {
            let share = (own + 1) * (priority as usize + 1) + 1;
            prop_assert!(*count <= share, "{} over {}", count, share);
        }
    }
}

#[test]
fn shares_follow_priority_while_all_services_wait() {
    let limits = QueueLimits {
        capacity: 1_000,
        per_service: 500,
    };
    let mut queue = WorkQueue::new(limits);
    let now = Duration::ZERO;
    for _ in 0..300 {
        queue.push("drafts", "drafts", 7, secs(9), now).unwrap();
        queue
            .push("summaries", "summaries", 2, secs(9), now)
            .unwrap();
    }
    let mut served: BTreeMap<&str, u32> = BTreeMap::new();
    for _ in 0..110 {
        if let Some(Popped::Ready(name)) = queue.pop(now) {
            *served.entry(name).or_default() += 1;
        }
    }
    insta::assert_snapshot!(format!("{served:?}"), @r#"{"drafts": 80, "summaries": 30}"#);
}

/// In the overload simulation, expired items once counted against the share of their service, so
/// that a service with long patience and a long queue was never served.
#[test]
fn expired_items_do_not_count_against_the_share() {
    let limits = QueueLimits {
        capacity: 1_000,
        per_service: 500,
    };
    let mut queue = WorkQueue::new(limits);
    for _ in 0..50 {
        queue
            .push("late", "summaries", 0, secs(1), Duration::ZERO)
            .unwrap();
    }
    while queue.pop_expired(secs(2)).is_some() {}
    for _ in 0..50 {
        queue.push("draft", "drafts", 9, secs(9), secs(2)).unwrap();
        queue
            .push("summary", "summaries", 0, secs(9), secs(2))
            .unwrap();
    }
    let first: Vec<_> = (0..12).filter_map(|_| queue.pop(secs(2))).collect();
    assert!(first.contains(&Popped::Ready("summary")), "{first:?}");
}

#[test]
fn the_estimate_counts_overtaking_items() {
    let limits = QueueLimits {
        capacity: 1_000,
        per_service: 500,
    };
    let mut queue = WorkQueue::new(limits);
    let completion_interval = Duration::from_millis(250);
    // 20 drafts a second for 5 s, of which 16 a second are served.
    for tick in 0..100_u64 {
        let now = Duration::from_millis(tick * 50);
        queue.push(tick, "drafts", 7, secs(60), now).unwrap();
        if tick % 5 != 0 {
            queue.pop(now);
        }
    }
    let now = secs(5);
    let draft = queue.served_before("drafts", 7, completion_interval, now);
    let summary = queue.served_before("summaries", 2, completion_interval, now);
    queue.push(200, "summaries", 2, secs(60), now).unwrap();
    let second = queue.served_before("summaries", 2, completion_interval, now);
    insta::assert_debug_snapshot!((draft, summary, second), @r"
    (
        20,
        3,
        6,
    )
    ");
}

#[test]
fn items_of_disconnected_callers_are_removed() {
    let mut queue = WorkQueue::new(QUEUE_LIMITS);
    for item in 0..4 {
        queue
            .push(item, "drafts", 7, secs(9), Duration::ZERO)
            .unwrap();
    }
    assert_eq!(queue.remove_if(|item| item % 2 == 0), [0, 2]);
    assert_eq!(queue.next_deadline(), Some(secs(9)));
    assert_eq!(queue.drain(), [1, 3]);
    assert!(queue.is_empty());
}

#[test]
fn extreme_values_do_not_overflow() {
    let mut queue = WorkQueue::new(QUEUE_LIMITS);
    for item in 0..4 {
        let service = ["drafts", "summaries"][item % 2];
        queue
            .push(item, service, u32::MAX, Duration::MAX, Duration::ZERO)
            .unwrap();
    }
    let before = queue.served_before("drafts", 0, Duration::MAX, Duration::MAX);
    assert!(before >= 2);
    assert!(queue.pop(Duration::ZERO).is_some());
}
