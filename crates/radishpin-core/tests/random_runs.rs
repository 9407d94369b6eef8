//! Long random runs of the model checker's specification, with more faults and changes than can be
//! explored exhaustively.
//!
//! The seeds are fixed, so that running a failed test again repeats the failure.

#[path = "model_check/spec.rs"]
#[allow(dead_code)]
mod spec;

use proptest::{
    prelude::any,
    test_runner::{Config, RngSeed, TestCaseError, TestRunner},
};
use radishpin_core::process::Fencing;
use spec::{
    recovery::RecoveryCheck,
    steps::StepKind,
    system::{Setting, SystemState, TICK},
};

const STEPS: usize = 150;
/// Runs per seed; fewer in debug builds, which run slowly.
const RUNS: u32 = if cfg!(debug_assertions) { 40 } else { 150 };
const FAULTS: u8 = 12;
const CHANGES: u8 = 8;

/// Executes one run, in which every number selects one of the steps that are possible.
fn run(setting: Setting, choices: &[u16]) -> Result<(), TestCaseError> {
    let mut system = SystemState::start(setting, [&[0, 1], &[0]], FAULTS, CHANGES);
    for choice in choices {
        // Ordinary steps are chosen three times as often as changes and faults.
        let wants_fault = choice % 4 == 0;
        let steps = system.steps().into_iter();
        let matching = steps.filter(|step| (step.kind() != StepKind::Ordinary) == wants_fault);
        let next: Vec<SystemState> = matching
            .filter_map(|step| system.after_step(step))
            .collect();
        if next.is_empty() {
            continue;
        }
        system = next[usize::from(*choice) / 4 % next.len()].clone();
        if let Some(violation) = system.violation() {
            return Err(TestCaseError::fail(violation));
        }
    }
    match RecoveryCheck::default().violation_after_faults(&system) {
        Some(violation) => Err(TestCaseError::fail(violation)),
        None => Ok(()),
    }
}

fn check_runs(setting: Setting, seed: u64) {
    let config = Config {
        cases: RUNS,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let choices = proptest::collection::vec(any::<u16>(), STEPS);
    let result = TestRunner::new(config).run(&choices, |choices| run(setting, &choices));
    assert_eq!(result, Ok(()), "seed {seed}");
}

#[test]
fn with_fencing_checked() {
    let setting = Setting {
        fencing: Fencing::Checked,
        numbers_persist: true,
        exclusive_address: false,
        broken_rule: None,
    };
    for seed in [1, 2, 3] {
        check_runs(setting, seed);
    }
}

#[test]
fn with_fencing_ignored() {
    let setting = Setting {
        fencing: Fencing::Ignored { order_life: TICK },
        numbers_persist: false,
        exclusive_address: true,
        broken_rule: None,
    };
    for seed in [4, 5, 6] {
        check_runs(setting, seed);
    }
}
