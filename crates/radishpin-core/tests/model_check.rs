//! The core protocol, explored exhaustively; its steps call the real decisions.
//!
//! `cargo test --release -p radishpin-core --test model_check -- --nocapture` prints the states,
//! the depth, and how each broken rule was found. Debug builds explore smaller budgets, each
//! still exhaustively.

#[path = "model_check/spec.rs"]
mod spec;

use radishpin_core::{mutation::Mutation::*, process::Fencing};
use spec::{
    explore::{Findings, explore},
    steps::Kind::{self, *},
    system::{Broken, Setting, SystemState, TICK},
};

/// Endpoints check numbers and remember them over restarts; a paused agent may wake up beside
/// its successor.
const CHECKED: Setting = Setting {
    fencing: Fencing::Checked,
    numbers_survive: true,
    exclusive_address: false,
    broken: None,
};

/// Endpoints ignore numbers; an agent's address keeps its successor from starting beside it.
const IGNORED: Setting = Setting {
    fencing: Fencing::Ignored { order_life: TICK },
    numbers_survive: false,
    exclusive_address: true,
    broken: None,
};

type Holders = [&'static [usize]; 2];

/// Both models, the first at two endpoints; one endpoint holds grants for both.
const BOTH: Holders = [&[0, 1], &[0]];
/// Each model at an endpoint of its own.
const APART: Holders = [&[0], &[1]];
/// Only the first model, at one endpoint.
const SINGLE: Holders = [&[0], &[]];

const LIGHT_FAULTS: &[Kind] = &[
    Unreported,
    LateReport,
    RestartEngine,
    Suspect,
    Outage,
    StopNode,
];
const HEAVY_FAULTS: &[Kind] = &[Delayed, LoseHost, Successor];

/// Explores all states and the fair path from each, for both kinds of endpoint.
fn holds(name: &str, holders: Holders, scope: &[&[Kind]], faults: u8, changes: u8) {
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

/// The start of the larger explorations; smaller in debug builds, which run slowly.
const LARGE: Holders = if cfg!(debug_assertions) { SINGLE } else { BOTH };

#[test]
fn without_faults() {
    holds("no fault", BOTH, &[], 0, 0);
}

#[test]
fn with_one_light_fault() {
    holds("one light fault", LARGE, &[LIGHT_FAULTS], 1, 0);
}

#[test]
fn with_two_light_faults() {
    holds("two light faults", LARGE, &[LIGHT_FAULTS], 2, 0);
}

#[test]
fn with_an_order_delayed_or_lost() {
    holds("delayed order", LARGE, &[&[Delayed]], 1, 0);
}

#[test]
fn with_a_host_lost() {
    holds("lost host", LARGE, &[&[LoseHost]], 1, 0);
}

#[test]
fn with_a_successor() {
    holds("successor", LARGE, &[&[Successor]], 1, 0);
}

#[test]
fn with_a_successor_and_a_delayed_order() {
    holds(
        "successor, delayed order",
        SINGLE,
        &[&[Successor, Delayed]],
        2,
        0,
    );
}

#[test]
fn with_a_successor_on_a_new_host() {
    holds(
        "successor, lost host",
        SINGLE,
        &[&[Successor, LoseHost]],
        2,
        0,
    );
}

#[test]
fn with_a_decision_and_any_fault() {
    let heavy = if cfg!(debug_assertions) {
        &[]
    } else {
        HEAVY_FAULTS
    };
    let scope = &[&[Decide], LIGHT_FAULTS, heavy];
    holds("decision, any fault", SINGLE, scope, 1, 1);
}

#[test]
fn with_a_decision_and_a_light_fault() {
    let faults = &[&[Decide], LIGHT_FAULTS];
    holds("decision, light fault", APART, faults, 1, 1);
}

#[test]
fn with_two_decisions() {
    holds("two decisions", SINGLE, &[&[Decide]], 0, 2);
}

#[test]
fn with_an_endpoint_that_leaves() {
    holds("leaving endpoint", APART, &[&[Leave]], 0, 1);
}

/// A rule broken on purpose, and the budget that shows it to matter.
struct Case {
    broken: Broken,
    setting: Setting,
    holders: Holders,
    scope: &'static [Kind],
    faults: u8,
    changes: u8,
}

const CASES: &[Case] = &[
    Case {
        broken: Broken::Core(ApplyOlderView),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Leave],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::Core(CountHeldOnly),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Leave],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::Core(DropUnconfirmed),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Decide],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::Core(LoadWhileRevoking),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Decide],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::Core(LowerReplicasFirst),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Decide],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::Core(ReleaseMemoryAtUnloadOrder),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken: Broken::Core(SettleUnknownByAnyReport),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken: Broken::Core(SettleUnknownByAnyReport),
        setting: IGNORED,
        holders: BOTH,
        scope: &[Delayed],
        faults: 1,
        changes: 0,
    },
    Case {
        broken: Broken::Core(SuspectIsGone),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Suspect],
        faults: 1,
        changes: 0,
    },
    Case {
        broken: Broken::Core(TakeLateReports),
        setting: CHECKED,
        holders: BOTH,
        scope: &[LateReport, RestartEngine],
        faults: 2,
        changes: 0,
    },
    Case {
        broken: Broken::Core(TakeOlderConfirmation),
        setting: CHECKED,
        holders: SINGLE,
        scope: &[Decide],
        faults: 0,
        changes: 3,
    },
    Case {
        broken: Broken::Core(TakeWordOfPredecessor),
        setting: CHECKED,
        holders: SINGLE,
        scope: &[Decide, Successor],
        faults: 1,
        changes: 1,
    },
    Case {
        broken: Broken::Core(TrustFirstReport),
        setting: CHECKED,
        holders: BOTH,
        scope: &[Delayed, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken: Broken::Core(TrustFirstReport),
        setting: IGNORED,
        holders: BOTH,
        scope: &[Delayed, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken: Broken::ForgetModelRow,
        setting: CHECKED,
        holders: BOTH,
        scope: &[Decide],
        faults: 0,
        changes: 1,
    },
    Case {
        broken: Broken::ForgetProfileRow,
        setting: CHECKED,
        holders: SINGLE,
        scope: &[Decide],
        faults: 0,
        changes: 2,
    },
    Case {
        broken: Broken::ForgetEndpointRows,
        setting: CHECKED,
        holders: SINGLE,
        scope: &[LoseHost, Successor],
        faults: 2,
        changes: 0,
    },
    Case {
        broken: Broken::ReuseIncarnation,
        setting: CHECKED,
        holders: BOTH,
        scope: &[Successor],
        faults: 1,
        changes: 0,
    },
    Case {
        broken: Broken::StartBelowFloor,
        setting: CHECKED,
        holders: BOTH,
        scope: &[StopNode, Outage],
        faults: 2,
        changes: 0,
    },
];

#[test]
fn each_broken_rule_is_found() {
    for case in CASES {
        let setting = Setting {
            broken: Some(case.broken),
            ..case.setting
        };
        let start = SystemState::start(setting, case.holders, case.faults, case.changes);
        let findings = explore(start, case.scope, false);
        let Some((violation, steps)) = findings.violation else {
            panic!(
                "{:?} is not found in {} states",
                case.broken, findings.states
            );
        };
        let numbers = match case.setting.fencing {
            Fencing::Checked => "checked",
            Fencing::Ignored { .. } => "ignored",
        };
        println!(
            "{:?}, numbers {numbers}: {violation}, after {} steps and {} states",
            case.broken,
            steps.len(),
            findings.states,
        );
    }
}

/// What no agent can prevent: an assumption that does not hold.
#[test]
fn each_assumption_is_needed() {
    let two_agents = Setting {
        exclusive_address: false,
        ..IGNORED
    };
    let forgetful = Setting {
        numbers_survive: false,
        ..CHECKED
    };
    let cases: [(&str, Setting, &[Kind], u8); 2] = [
        ("two agents, numbers ignored", two_agents, &[Successor], 1),
        (
            "numbers forgotten",
            forgetful,
            &[Successor, RestartEngine],
            2,
        ),
    ];
    for (name, setting, scope, faults) in cases {
        let findings = explore(SystemState::start(setting, BOTH, faults, 0), scope, false);
        let Some((violation, steps)) = findings.violation else {
            panic!("{name}: no violation in {} states", findings.states);
        };
        println!(
            "{name}: {violation}, after {} steps: {steps:?}",
            steps.len()
        );
    }
}
