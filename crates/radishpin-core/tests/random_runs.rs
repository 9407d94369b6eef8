//! Long random runs of the same specification, with budgets far beyond the exhaustive ones.
//!
//! The seeds are recorded here: a run that fails is repeated by running the test again.

#[path = "model_check/spec.rs"]
#[allow(dead_code)]
mod spec;

use proptest::{
    prelude::any,
    test_runner::{Config, RngSeed, TestCaseError, TestRunner},
};
use radishpin_core::process::Fencing;
use spec::{
    recovery::Recovered,
    steps::Kind,
    system::{Setting, SystemState, TICK},
};

const STEPS: usize = 150;
/// Runs for each seed; fewer in debug builds, which run slowly.
const RUNS: u32 = if cfg!(debug_assertions) { 40 } else { 150 };
const FAULTS: u8 = 12;
const CHANGES: u8 = 8;

/// One run: every number picks one of the steps that are possible then.
fn run(setting: Setting, picks: &[u16]) -> Result<(), TestCaseError> {
    let mut system = SystemState::start(setting, [&[0, 1], &[0]], FAULTS, CHANGES);
    for pick in picks {
        // Ordinary steps are three times as likely as changes and faults.
        let faulty = pick % 4 == 0;
        let steps = system.steps().into_iter();
        let wanted = steps.filter(|step| (step.kind() != Kind::Ordinary) == faulty);
        let next: Vec<SystemState> = wanted.filter_map(|step| system.after(step)).collect();
        if next.is_empty() {
            continue;
        }
        system = next[usize::from(*pick) / 4 % next.len()].clone();
        if let Some(violation) = system.violation() {
            return Err(TestCaseError::fail(violation));
        }
    }
    match Recovered::default().fault_after(&system) {
        Some(fault) => Err(TestCaseError::fail(fault)),
        None => Ok(()),
    }
}

fn runs(setting: Setting, seed: u64) {
    let config = Config {
        cases: RUNS,
        rng_seed: RngSeed::Fixed(seed),
        failure_persistence: None,
        ..Config::default()
    };
    let picks = proptest::collection::vec(any::<u16>(), STEPS);
    let result = TestRunner::new(config).run(&picks, |picks| run(setting, &picks));
    assert_eq!(result, Ok(()), "seed {seed}");
}

#[test]
fn with_numbers_checked() {
    let setting = Setting {
        fencing: Fencing::Checked,
        numbers_survive: true,
        exclusive_address: false,
        broken: None,
    };
    for seed in [1, 2, 3] {
        runs(setting, seed);
    }
}

#[test]
fn with_numbers_ignored() {
    let setting = Setting {
        fencing: Fencing::Ignored { order_life: TICK },
        numbers_survive: false,
        exclusive_address: true,
        broken: None,
    };
    for seed in [4, 5, 6] {
        runs(setting, seed);
    }
}
