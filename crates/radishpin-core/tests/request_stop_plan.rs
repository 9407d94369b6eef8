//! Stop plans: replacements, lead times, warnings, overlapping and cancelled stops.

use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_core::request::{
    LoadAhead, StopEndpoint, StopModel, StopPlan, StopPlanInput, plan_stop,
};
use radishpin_protocol::{WorkloadClass, prelude::*};

fn secs(secs: u64) -> Duration {
    Duration::from_secs(secs)
}

fn endpoint(host: &str, zone: &str, free_mb: SizeMb) -> StopEndpoint {
    StopEndpoint {
        host: host.into(),
        availability_zone: zone.into(),
        service: "drafts".into(),
        memory_mb: 80_000,
        free_mb,
        usable: true,
    }
}

fn model(name: &str, class: WorkloadClass, grants: &[(&str, bool)]) -> StopModel {
    let grants = grants.iter().map(|(id, loaded)| ((*id).into(), *loaded));
    StopModel {
        model: name.into(),
        service: "drafts".into(),
        class,
        patience: secs(60),
        size_mb: 20_000,
        grants: grants.collect(),
        max_replicas: 4,
        load_time: secs(20),
        stream_time: secs(15),
    }
}

/// Four runners in two zones; runner-1 stops in ten minutes.
fn input(models: Vec<StopModel>) -> StopPlanInput {
    let endpoints = [
        ("runner-1", endpoint("host-1", "a", 10_000)),
        ("runner-2", endpoint("host-2", "a", 70_000)),
        ("runner-3", endpoint("host-3", "b", 30_000)),
        ("runner-4", endpoint("host-4", "b", 50_000)),
    ];
    StopPlanInput {
        now: secs(1_000),
        from: secs(1_600),
        stopping: ["runner-1".into()].into(),
        endpoints: endpoints.map(|(id, e)| (id.into(), e)).into(),
        models,
        parallel_loads: 1,
    }
}

fn show(plan: &StopPlan) -> String {
    let times = format!(
        "start {:?}, refuse new {:?}, streams moved {:?}",
        plan.start_at, plan.refuse_new_at, plan.resume_streams_at
    );
    let moves = plan.replacements.iter().map(|r| {
        let surge = if r.surge {
            "grant first"
        } else {
            "revoke first"
        };
        format!(
            "{:?} {}: {} -> {}, {:?}, {surge}",
            r.start_at, r.model, r.from, r.to, r.load
        )
    });
    let warnings = plan.warnings.iter().map(|w| format!("{w:?}"));
    let lines: Vec<String> = [times].into_iter().chain(moves).chain(warnings).collect();
    lines.join("\n")
}

#[test]
fn ample_notice_lets_replacements_load_before_the_window() {
    let plan = plan_stop(&input(vec![
        model(
            "warm",
            WorkloadClass::Interactive,
            &[("runner-1", true), ("runner-2", true)],
        ),
        model("only", WorkloadClass::Interactive, &[("runner-1", true)]),
        model("cold", WorkloadClass::Interactive, &[("runner-1", false)]),
        model("summary", WorkloadClass::Deferrable, &[("runner-1", true)]),
    ]));
    insta::assert_snapshot!(show(&plan), @r"
    start 1520s, refuse new 1580s, streams moved 1598s
    1520s warm: runner-1 -> runner-4, Load, grant first
    1550s only: runner-1 -> runner-2, Load, grant first
    1577s cold: runner-1 -> runner-2, GrantOnly, grant first
    1577s summary: runner-1 -> runner-2, GrantOnly, grant first
    ");
}

#[test]
fn deferrable_models_are_loaded_ahead_if_callers_cannot_wait_for_a_load() {
    let cannot_wait = StopModel {
        patience: secs(10),
        ..model("summary", WorkloadClass::Deferrable, &[("runner-1", true)])
    };
    let interactive = model("draft", WorkloadClass::Interactive, &[("runner-1", true)]);
    let plan = plan_stop(&input(vec![interactive, cannot_wait]));
    insta::assert_snapshot!(show(&plan), @r"
    start 1520s, refuse new 1580s, streams moved 1598s
    1520s draft: runner-1 -> runner-4, Load, grant first
    1550s summary: runner-1 -> runner-2, Load, grant first
    ");
}

#[test]
fn the_only_replica_moves_with_a_gap_if_no_second_is_allowed() {
    let single = StopModel {
        max_replicas: 1,
        ..model("only", WorkloadClass::Interactive, &[("runner-1", true)])
    };
    insta::assert_snapshot!(show(&plan_stop(&input(vec![single]))), @r#"
    start 1550s, refuse new 1580s, streams moved 1598s
    1550s only: runner-1 -> runner-2, Load, revoke first
    LastReplica { model: "only", gap: 20s }
    "#);
}

#[test]
fn a_model_without_memory_elsewhere_gets_no_replacement() {
    let huge = |name, grants| StopModel {
        size_mb: 75_000,
        ..model(name, WorkloadClass::Interactive, grants)
    };
    let lost = huge("lost", &[("runner-1", true)]);
    let kept = huge("kept", &[("runner-1", true), ("runner-2", true)]);
    insta::assert_snapshot!(show(&plan_stop(&input(vec![lost, kept]))), @r#"
    start 1580s, refuse new 1580s, streams moved 1598s
    TooLittleMemory { model: "kept", size_mb: 75000, refused: false }
    TooLittleMemory { model: "lost", size_mb: 75000, refused: true }
    "#);
}

/// The host list reports a stopping host late: the window opens soon or is already open.
#[test]
fn short_notice_starts_loads_at_once_and_warns() {
    let models = vec![model(
        "only",
        WorkloadClass::Interactive,
        &[("runner-1", true)],
    )];
    let short = StopPlanInput {
        from: secs(1_030),
        ..input(models)
    };
    insta::assert_snapshot!(show(&plan_stop(&short)), @r#"
    start 1000s, refuse new 1010s, streams moved 1028s
    1000s only: runner-1 -> runner-2, Load, grant first
    TooShortNotice { model: "only", missing: 20s }
    "#);
    let open = StopPlanInput {
        from: secs(900),
        ..short
    };
    insta::assert_snapshot!(show(&plan_stop(&open)), @r#"
    start 1000s, refuse new 1000s, streams moved 1000s
    1000s only: runner-1 -> runner-2, Load, grant first
    TooShortNotice { model: "only", missing: 30s }
    "#);
}

#[test]
fn a_stop_of_one_zone_moves_grants_to_the_other() {
    let models = vec![model(
        "both",
        WorkloadClass::Interactive,
        &[("runner-1", true), ("runner-2", true)],
    )];
    let zone = StopPlanInput {
        stopping: ["runner-1".into(), "runner-2".into()].into(),
        ..input(models)
    };
    insta::assert_snapshot!(show(&plan_stop(&zone)), @r"
    start 1520s, refuse new 1580s, streams moved 1598s
    1520s both: runner-2 -> runner-3, Load, grant first
    1550s both: runner-1 -> runner-4, Load, grant first
    ");
}

#[test]
fn endpoints_in_overlapping_stops_get_no_replacements() {
    let mut overlapping = input(vec![model(
        "only",
        WorkloadClass::Interactive,
        &[("runner-1", true)],
    )]);
    let without_overlap = plan_stop(&overlapping);
    for id in ["runner-2", "runner-3"] {
        overlapping.endpoints.get_mut(id).unwrap().usable = false;
    }
    let with_overlap = plan_stop(&overlapping);
    let to = |plan: &StopPlan| plan.replacements[0].to.clone();
    assert_eq!(
        (to(&without_overlap), to(&with_overlap)),
        ("runner-2".into(), "runner-4".into())
    );
    overlapping.endpoints.get_mut("runner-4").unwrap().usable = false;
    insta::assert_snapshot!(show(&plan_stop(&overlapping)), @r#"
    start 1580s, refuse new 1580s, streams moved 1598s
    TooLittleMemory { model: "only", size_mb: 20000, refused: true }
    LastEndpoint { service: "drafts" }
    "#);
}

#[test]
fn a_cancelled_stop_moves_nothing() {
    let mut cancelled = input(vec![model(
        "only",
        WorkloadClass::Interactive,
        &[("runner-1", true)],
    )]);
    cancelled.stopping.clear();
    let plan = plan_stop(&cancelled);
    assert!(plan.replacements.is_empty() && plan.warnings.is_empty());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4819),
        failure_persistence: None,
        ..ProptestConfig::with_cases(1_000)
    })]

    /// For any set of stopping endpoints, replacements go to endpoints that stay up, at most one
    /// per model and endpoint, within their free memory and `max_replicas`, and never start before
    /// now. New work is refused no later than the window opens.
    #[test]
    fn plans_satisfy_their_invariants(
        stopping in prop::collection::btree_set(1..5_usize, 0..4),
        grants in prop::collection::vec(prop::collection::btree_map(1..5_usize, any::<bool>(), 1..4), 1..6),
        max_replicas in 1..5_u32,
        from in 0..2_000_u64,
    ) {
        let id = |n: &usize| format!("runner-{n}");
        let models = grants.iter().enumerate().map(|(number, grants)| StopModel {
            grants: grants.iter().map(|(n, loaded)| (id(n), *loaded)).collect(),
            max_replicas,
            ..model(&format!("model-{number}"), WorkloadClass::Interactive, &[])
        });
        let input = StopPlanInput {
            from: secs(from),
            stopping: stopping.iter().map(id).collect(),
            ..input(models.collect())
        };
        let plan = plan_stop(&input);
        let mut used_mb: BTreeMap<&EndpointId, SizeMb> = BTreeMap::new();
        let mut granted: BTreeSet<(&ModelId, &EndpointId)> = BTreeSet::new();
        for replacement in &plan.replacements {
            let (model, to) = (&replacement.model, &replacement.to);
            prop_assert!(!input.stopping.contains(to));
            prop_assert!(granted.insert((model, to)));
            prop_assert!(replacement.start_at >= input.now);
            if replacement.load == LoadAhead::Load {
                *used_mb.entry(to).or_default() += 20_000;
            }
            let of_model = input.models.iter().find(|m| m.model == *model).unwrap();
            prop_assert!(!of_model.grants.contains_key(to));
            let of_same = plan.replacements.iter().filter(|r| r.model == *model);
            let surges = of_same.filter(|r| r.surge).count();
            let replicas = of_model.grants.len() + surges;
            prop_assert!(surges == 0 || replicas <= max_replicas as usize);
        }
        for (id, used_mb) in used_mb {
            prop_assert!(used_mb <= input.endpoints[id].free_mb);
        }
        prop_assert!(plan.refuse_new_at <= input.from.max(input.now));
        prop_assert!(plan.refuse_new_at <= plan.resume_streams_at);
    }
}
