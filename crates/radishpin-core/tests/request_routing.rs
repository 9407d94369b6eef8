//! Endpoint selection: readiness, two random choices, zones, affinity; and wait estimates.

use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_core::request::{
    Candidate, ReplicaReadiness, Tier, admit, choose_endpoint, estimate_wait, queue_wait,
    replica_subset, retry_after,
};
use radishpin_protocol::prelude::*;

fn millis(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn candidate(name: &str, replica: ReplicaReadiness) -> Candidate {
    Candidate {
        endpoint: name.to_owned(),
        availability_zone_local: true,
        replica,
        outstanding: 0,
        concurrency: 2,
        service_time: millis(1_000),
        load_time: millis(5_000),
        suspected: false,
        leaving: false,
        affinity: false,
        report_age: Duration::ZERO,
    }
}

fn granted(name: &str, tier: Tier) -> Candidate {
    candidate(name, ReplicaReadiness::Granted { tier })
}

fn loaded(name: &str, outstanding: u32) -> Candidate {
    Candidate {
        outstanding,
        ..candidate(name, ReplicaReadiness::Loaded)
    }
}

fn chosen(candidates: &[Candidate]) -> &str {
    let choice = choose_endpoint(candidates, 0x1234_5678_9abc_def0);
    choice.map_or("none", |index| &candidates[index].endpoint)
}

fn arbitrary_candidate() -> impl Strategy<Value = Candidate> {
    let replica = prop_oneof![
        Just(ReplicaReadiness::Loaded),
        (0..9_000_u64).prop_map(|ms| ReplicaReadiness::Loading {
            remaining: millis(ms)
        }),
        Just(ReplicaReadiness::Granted { tier: Tier::Memory }),
        Just(ReplicaReadiness::Granted { tier: Tier::Disk }),
        Just(ReplicaReadiness::Granted { tier: Tier::Remote }),
    ];
    let flags = prop::array::uniform4(any::<bool>());
    let loads = (0..40_u32, 0..9_u32, 0..9_000_u64, 0..9_000_u64, 0..99_u64);
    (replica, flags, loads, 0..1_000_u32).prop_map(|(replica, flags, loads, name)| {
        let (outstanding, concurrency, service_ms, load_ms, age_s) = loads;
        let [availability_zone_local, suspected, leaving, affinity] = flags;
        Candidate {
            endpoint: name.to_string(),
            availability_zone_local,
            replica,
            outstanding,
            concurrency,
            service_time: millis(service_ms),
            load_time: millis(load_ms),
            suspected,
            leaving,
            affinity,
            report_age: Duration::from_secs(age_s),
        }
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4819),
        failure_persistence: None,
        ..ProptestConfig::with_cases(2_000)
    })]

    #[test]
    fn never_chooses_a_leaving_or_needlessly_slow_endpoint(
        candidates in prop::collection::vec(arbitrary_candidate(), 0..12),
        random: u64,
    ) {
        let usable = |c: &&Candidate| !c.leaving;
        let unsuspected = |c: &Candidate| !c.leaving && !c.suspected;
        let Some(index) = choose_endpoint(&candidates, random) else {
            prop_assert!(candidates.iter().filter(usable).count() == 0);
            return Ok(());
        };
        let choice = &candidates[index];
        prop_assert!(!choice.leaving);
        prop_assert!(!choice.suspected || !candidates.iter().any(unsuspected));
        // A replica that is not loaded is chosen only if its wait is shorter than that of some
        // loaded replica that is equally suspected.
        let loaded: Vec<&Candidate> = candidates
            .iter()
            .filter(|c| !c.leaving && c.suspected == choice.suspected)
            .filter(|c| c.replica == ReplicaReadiness::Loaded)
            .collect();
        if choice.replica != ReplicaReadiness::Loaded && !loaded.is_empty() {
            let wait = estimate_wait(choice);
            prop_assert!(loaded.iter().any(|c| wait < estimate_wait(c)));
        }
    }

    #[test]
    fn refuses_exactly_the_calls_that_cannot_be_served_in_time(estimate_ms in 0..99_000_u64, left_ms in 0..99_000_u64, random: u64) {
        let admitted = admit(millis(estimate_ms), millis(left_ms), random);
        prop_assert_eq!(admitted.is_ok(), estimate_ms <= left_ms);
        if let Err(refusal) = admitted {
            prop_assert!(refusal.retry_after >= millis(1_000));
            prop_assert!(refusal.retry_after <= millis(240_000));
        }
    }

    /// Every replica is considered by equally many nodes, give or take one.
    #[test]
    fn subsets_cover_replicas_evenly(replicas in 1..200_usize, limit in 1..32_usize, nodes in 1..64_usize) {
        let mut covered = vec![0_u32; replicas];
        for node in 0..nodes {
            for index in replica_subset(replicas, limit, node) {
                covered[index] += 1;
            }
        }
        let spread = covered.iter().max().unwrap() - covered.iter().min().unwrap();
        prop_assert!(spread <= 1, "{:?}", covered);
    }
}

#[test]
fn candidates_are_preferred_by_readiness() {
    let loading = candidate(
        "loading",
        ReplicaReadiness::Loading {
            remaining: millis(900),
        },
    );
    let all = [
        granted("remote", Tier::Remote),
        granted("memory", Tier::Memory),
        loading,
        loaded("loaded", 2),
    ];
    let order: Vec<&str> = (0..4).rev().map(|last| chosen(&all[..=last])).collect();
    insta::assert_snapshot!(order.join(" "), @"loaded loading memory remote");
}

#[test]
fn a_queue_longer_than_the_load_time_starts_another_replica() {
    let queued = |outstanding| {
        [
            loaded("loaded", outstanding),
            granted("granted", Tier::Remote),
        ]
    };
    let by_queue: Vec<String> = [0, 4, 7, 8, 12]
        .map(|n| format!("{n}: {}", chosen(&queued(n))))
        .into();
    insta::assert_snapshot!(by_queue.join(", "), @"0: loaded, 4: loaded, 7: loaded, 8: granted, 12: granted");
}

#[test]
fn a_burst_at_many_nodes_starts_one_load() {
    let names = ["a", "b", "c", "d", "e"];
    let grants = names.map(|name| granted(name, Tier::Disk));
    let choices: BTreeSet<usize> = (0..1_000_u64)
        .filter_map(|node| choose_endpoint(&grants, node.wrapping_mul(0x9e37_79b9_7f4a_7c15)))
        .collect();
    assert_eq!(choices.len(), 1);
    // Different sets of grants lead to different endpoints.
    let mut firsts: BTreeMap<&str, u32> = BTreeMap::new();
    for a in 0..20_usize {
        for b in a + 1..20 {
            let pair = [a, b].map(|n| granted(&format!("runner-{n}"), Tier::Disk));
            let first = choose_endpoint(&pair, 0).unwrap();
            *firsts.entry(["lower", "higher"][first]).or_default() += 1;
        }
    }
    insta::assert_snapshot!(format!("{firsts:?}"), @r#"{"higher": 93, "lower": 97}"#);
}

#[test]
fn the_local_zone_is_preferred_only_if_the_call_waits_no_longer() {
    let near = |outstanding, report_age| Candidate {
        report_age,
        ..loaded("near", outstanding)
    };
    let far = |outstanding| Candidate {
        availability_zone_local: false,
        ..loaded("far", outstanding)
    };
    let fresh = Duration::ZERO;
    let cases = [
        ("near has a place", near(1, fresh), far(0)),
        ("near has none", near(2, fresh), far(0)),
        ("both wait alike", near(4, fresh), far(4)),
        ("never reported", near(1, Duration::MAX), far(0)),
        ("never reported, no busier", near(1, Duration::MAX), far(1)),
    ];
    let table: Vec<String> = cases
        .map(|(name, near, far)| format!("{name}: {}", chosen(&[near, far])))
        .into();
    insta::assert_snapshot!(table.join("\n"), @r"
    near has a place: near
    near has none: far
    both wait alike: near
    never reported: far
    never reported, no busier: near
    ");
}

#[test]
fn affinity_counts_only_if_the_call_waits_no_longer() {
    let hinted = |outstanding| Candidate {
        affinity: true,
        ..loaded("hinted", outstanding)
    };
    assert_eq!(chosen(&[loaded("idle", 0), hinted(1)]), "hinted");
    assert_eq!(chosen(&[loaded("idle", 0), hinted(2)]), "idle");
}

#[test]
fn suspected_endpoints_are_chosen_last() {
    let suspected = Candidate {
        suspected: true,
        ..loaded("suspected", 0)
    };
    let leaving = Candidate {
        leaving: true,
        ..loaded("leaving", 0)
    };
    assert_eq!(
        chosen(&[suspected.clone(), granted("cold", Tier::Remote)]),
        "cold"
    );
    assert_eq!(chosen(&[suspected, leaving.clone()]), "suspected");
    assert_eq!(chosen(&[leaving]), "none");
}

#[test]
fn waits_and_retry_times() {
    let waits: Vec<String> = [0, 1, 2, 3, 6]
        .map(|outstanding| {
            format!(
                "{outstanding}: {:?}",
                queue_wait(outstanding, 2, millis(1_000))
            )
        })
        .into();
    insta::assert_snapshot!(waits.join(", "), @"0: 0ns, 1: 0ns, 2: 750ms, 3: 1.5s, 6: 3.75s");
    let times = [0, 500, 1_500].map(|random| retry_after(millis(2_000), random));
    insta::assert_snapshot!(format!("{times:?}"), @"[2s, 2.5s, 3.5s]");
}

/// Reports come from peers and may hold any value.
#[test]
fn extreme_reports_do_not_overflow() {
    let extremes = [Duration::ZERO, Duration::MAX];
    let counts = [0, u32::MAX];
    for service_time in extremes {
        for load_time in extremes {
            for outstanding in counts {
                for concurrency in counts {
                    let extreme = Candidate {
                        outstanding,
                        concurrency,
                        service_time,
                        load_time,
                        ..granted("extreme", Tier::Remote)
                    };
                    let loaded = Candidate {
                        replica: ReplicaReadiness::Loaded,
                        ..extreme.clone()
                    };
                    assert!(choose_endpoint(&[loaded, extreme], u64::MAX).is_some());
                }
            }
        }
    }
    assert!(admit(Duration::MAX, Duration::ZERO, u64::MAX).is_err());
}
