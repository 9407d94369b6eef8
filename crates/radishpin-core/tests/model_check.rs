//! Exhaustive exploration of the core protocol; the steps call the real decision functions.
//!
//! `cargo test --release -p radishpin-core --test model_check -- --nocapture` prints the number of
//! states, the depth, and how each broken rule was found. Debug builds explore smaller state
//! graphs, also exhaustively.

#[path = "model_check/spec.rs"]
mod spec;

use radishpin_core::{mutation::Mutation::*, process::Fencing};
use spec::{
    explore::{Findings, explore},
    steps::StepKind::{self, *},
    system::{BrokenRule, Setting, SystemState, TICK},
};

/// Endpoints check fencing numbers and remember them over restarts; a paused agent may resume while
/// its successor runs.
const CHECKED: Setting = Setting {
    fencing: Fencing::Checked,
    numbers_persist: true,
    exclusive_address: false,
    broken_rule: None,
};

/// Endpoints ignore fencing numbers; an agent keeps its successor from starting by owning its
/// address.
const IGNORED: Setting = Setting {
    fencing: Fencing::Ignored { order_life: TICK },
    numbers_persist: false,
    exclusive_address: true,
    broken_rule: None,
};

type Holders = [&'static [usize]; 2];

/// Both models have grants, the first one at two endpoints; one endpoint has grants for both.
const BOTH_MODELS: Holders = [&[0, 1], &[0]];
/// Each model has a grant at an endpoint of its own.
const SEPARATE_ENDPOINTS: Holders = [&[0], &[1]];
/// Only the first model has a grant, at one endpoint.
const ONE_MODEL: Holders = [&[0], &[]];

const LIGHT_FAULTS: &[StepKind] = &[
    Unreported,
    LateReport,
    RestartEngine,
    Suspect,
    Outage,
    StopNode,
];
const HEAVY_FAULTS: &[StepKind] = &[Delayed, LoseHost, Successor];

/// Explores all states, for both kinds of endpoint, and checks that none violates a safety property
/// and that every model is served from each state once faults stop.
fn assert_holds(name: &str, holders: Holders, scope: &[&[StepKind]], faults: u8, changes: u8) {
    let scope = scope.concat();
    let check = |numbers: &str, setting: Setting| {
        let start = SystemState::start(setting, holders, faults, changes);
        let findings = explore(start, &scope, true);
        let Findings { states, depth, .. } = findings;
        println!("{name}, numbers {numbers}: {states} states, depth {depth}");
        assert_eq!(findings.violation, None, "{name}, numbers {numbers}");
    };
    std::thread::scope(|threads| {
        threads.spawn(|| check("checked", CHECKED));
        threads.spawn(|| check("ignored", IGNORED));
    });
}

/// Grants at the start of the larger explorations; fewer in debug builds, which run slowly.
const LARGE_START: Holders = if cfg!(debug_assertions) {
    ONE_MODEL
} else {
    BOTH_MODELS
};

#[test]
fn without_faults() {
    assert_holds("no fault", BOTH_MODELS, &[], 0, 0);
}

#[test]
fn with_one_light_fault() {
    assert_holds("one light fault", LARGE_START, &[LIGHT_FAULTS], 1, 0);
}

#[test]
fn with_two_light_faults() {
    assert_holds("two light faults", LARGE_START, &[LIGHT_FAULTS], 2, 0);
}

#[test]
fn with_a_delayed_or_lost_order() {
    assert_holds("delayed order", LARGE_START, &[&[Delayed]], 1, 0);
}

#[test]
fn with_a_lost_host() {
    assert_holds("lost host", LARGE_START, &[&[LoseHost]], 1, 0);
}

#[test]
fn with_a_successor() {
    assert_holds("successor", LARGE_START, &[&[Successor]], 1, 0);
}

#[test]
fn with_a_successor_and_a_delayed_order() {
    assert_holds(
        "successor, delayed order",
        ONE_MODEL,
        &[&[Successor, Delayed]],
        2,
        0,
    );
}

#[test]
fn with_a_successor_on_a_new_host() {
    assert_holds(
        "successor, lost host",
        ONE_MODEL,
        &[&[Successor, LoseHost]],
        2,
        0,
    );
}

#[test]
fn with_a_replica_change_and_any_fault() {
    let heavy = if cfg!(debug_assertions) {
        &[]
    } else {
        HEAVY_FAULTS
    };
    let scope = &[&[SetReplicas], LIGHT_FAULTS, heavy];
    assert_holds("replica change, any fault", ONE_MODEL, scope, 1, 1);
}

#[test]
fn with_a_replica_change_and_a_light_fault() {
    let faults = &[&[SetReplicas], LIGHT_FAULTS];
    assert_holds(
        "replica change, light fault",
        SEPARATE_ENDPOINTS,
        faults,
        1,
        1,
    );
}

#[test]
fn with_two_replica_changes() {
    assert_holds("two replica changes", ONE_MODEL, &[&[SetReplicas]], 0, 2);
}

#[test]
fn with_a_leaving_endpoint() {
    assert_holds("leaving endpoint", SEPARATE_ENDPOINTS, &[&[Leave]], 0, 1);
}

/// A broken rule, and an exploration that finds the violation.
struct Case {
    broken_rule: BrokenRule,
    setting: Setting,
    holders: Holders,
    scope: &'static [StepKind],
    faults: u8,
    changes: u8,
}

const CASES: &[Case] = &[
    Case {
        broken_rule: BrokenRule::Core(ApplyOlderView),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Leave],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(CountOnlyHeldGrants),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Leave],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(DropUnconfirmedGrant),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[SetReplicas],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(LoadWhileRevoking),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[SetReplicas],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(LowerReplicasFirst),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[SetReplicas],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(ReleaseMemoryAtUnloadOrder),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(SettleUnknownByAnyReport),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(SettleUnknownByAnyReport),
        setting: IGNORED,
        holders: BOTH_MODELS,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(TreatSuspectAsGone),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Suspect],
        faults: 1,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(AcceptLateReports),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[LateReport, RestartEngine],
        faults: 2,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(AcceptOlderConfirmation),
        setting: CHECKED,
        holders: ONE_MODEL,
        scope: &[SetReplicas],
        faults: 0,
        changes: 3,
    },
    Case {
        broken_rule: BrokenRule::Core(AcceptPredecessorConfirmation),
        setting: CHECKED,
        holders: ONE_MODEL,
        scope: &[SetReplicas, Successor],
        faults: 1,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::Core(TrustFirstReport),
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Delayed, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::Core(TrustFirstReport),
        setting: IGNORED,
        holders: BOTH_MODELS,
        scope: &[Delayed, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::OmitModelCondition,
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[SetReplicas],
        faults: 0,
        changes: 1,
    },
    Case {
        broken_rule: BrokenRule::OmitProfileCondition,
        setting: CHECKED,
        holders: ONE_MODEL,
        scope: &[SetReplicas],
        faults: 0,
        changes: 2,
    },
    Case {
        broken_rule: BrokenRule::OmitEndpointConditions,
        setting: CHECKED,
        holders: ONE_MODEL,
        scope: &[LoseHost, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::ReuseIncarnation,
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[Successor],
        faults: 1,
        changes: 0,
    },
    Case {
        broken_rule: BrokenRule::StartBelowMinVersion,
        setting: CHECKED,
        holders: BOTH_MODELS,
        scope: &[StopNode, Outage],
        faults: 2,
        changes: 0,
    },
];

#[test]
fn each_broken_rule_is_found() {
    for case in CASES {
        let setting = Setting {
            broken_rule: Some(case.broken_rule),
            ..case.setting
        };
        let start = SystemState::start(setting, case.holders, case.faults, case.changes);
        let findings = explore(start, case.scope, false);
        let Some((violation, steps)) = findings.violation else {
            panic!(
                "{:?} is not found in {} states",
                case.broken_rule, findings.states
            );
        };
        let numbers = match case.setting.fencing {
            Fencing::Checked => "checked",
            Fencing::Ignored { .. } => "ignored",
        };
        println!(
            "{:?}, numbers {numbers}: {violation}, after {} steps and {} states",
            case.broken_rule,
            steps.len(),
            findings.states,
        );
    }
}

/// Each assumption about endpoints is necessary: without it, a safety property is violated.
#[test]
fn each_assumption_is_needed() {
    let two_agents = Setting {
        exclusive_address: false,
        ..IGNORED
    };
    let numbers_forgotten = Setting {
        numbers_persist: false,
        ..CHECKED
    };
    let cases: [(&str, Setting, &[StepKind], u8); 2] = [
        ("two agents, numbers ignored", two_agents, &[Successor], 1),
        (
            "numbers forgotten",
            numbers_forgotten,
            &[Successor, RestartEngine],
            2,
        ),
    ];
    for (name, setting, scope, faults) in cases {
        let findings = explore(
            SystemState::start(setting, BOTH_MODELS, faults, 0),
            scope,
            false,
        );
        let Some((violation, steps)) = findings.violation else {
            panic!("{name}: no violation in {} states", findings.states);
        };
        println!(
            "{name}: {violation}, after {} steps: {steps:?}",
            steps.len()
        );
    }
}
