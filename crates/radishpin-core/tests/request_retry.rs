//! Retry policy: retries only where it is safe and within the budget, and result codes that state
//! correctly whether the request may have run.

use proptest::{prelude::*, test_runner::RngSeed};
use radishpin_core::request::{
    AttemptOutcome, MAX_ATTEMPTS, RetryBudget, RetryBudgets, RetryContext, RetryDecision,
    RetryReason, TombstoneOutcome, decide_retry,
};
use radishpin_protocol::prelude::*;

const REMAINING: Duration = Duration::from_secs(9);

fn outcomes() -> Vec<AttemptOutcome> {
    let refused = |not_run| {
        let of_code = move |code: &ResultCode| AttemptOutcome::Refused {
            code: *code,
            not_run,
        };
        ResultCode::ALL.iter().map(of_code)
    };
    let tombstones = [
        TombstoneOutcome::NeverRuns,
        TombstoneOutcome::Started,
        TombstoneOutcome::Finished,
        TombstoneOutcome::Unknown,
    ];
    let mut all = vec![
        AttemptOutcome::NotSent,
        AttemptOutcome::NoAnswer,
        AttemptOutcome::BrokenBeforeAnswer,
        AttemptOutcome::BrokenInAnswer { resumable: true },
        AttemptOutcome::BrokenInAnswer { resumable: false },
        AttemptOutcome::Crossed,
        AttemptOutcome::TombstoneLost,
    ];
    all.extend(tombstones.map(AttemptOutcome::Tombstoned));
    all.extend(refused(true));
    all.extend(refused(false));
    all
}

fn is_proven_not_run(outcome: AttemptOutcome) -> bool {
    matches!(
        outcome,
        AttemptOutcome::NotSent
            | AttemptOutcome::Refused { not_run: true, .. }
            | AttemptOutcome::Tombstoned(TombstoneOutcome::NeverRuns)
    )
}

fn all_contexts() -> Vec<RetryContext> {
    let mut all = Vec::new();
    for idempotent in [false, true] {
        for remaining in [Duration::ZERO, REMAINING] {
            for attempts in [1, MAX_ATTEMPTS] {
                for another_endpoint in [false, true] {
                    for estimated_duration in [Duration::ZERO, REMAINING * 2] {
                        all.push(RetryContext {
                            idempotent,
                            remaining,
                            estimated_duration,
                            attempts,
                            another_endpoint,
                        });
                    }
                }
            }
        }
    }
    all
}

#[test]
fn codes_match_what_ran_and_retries_are_safe() {
    let mut checked = 0;
    for outcome in outcomes() {
        for context in all_contexts() {
            for budget in [false, true] {
                let decision = decide_retry(outcome, context, || budget);
                let description = format!("{outcome:?} {context:?} {budget} -> {decision:?}");
                let proven = is_proven_not_run(outcome);
                match decision {
                    RetryDecision::Retry(reason) => {
                        assert!(proven || context.idempotent, "{description}");
                        assert!(
                            context.remaining >= context.estimated_duration.max(REMAINING / 9),
                            "{description}"
                        );
                        assert!(context.attempts < MAX_ATTEMPTS, "{description}");
                        assert!(budget || !reason.is_budgeted(), "{description}");
                    }
                    RetryDecision::Refuse(code) => {
                        assert!(proven, "{description}");
                        assert_eq!(code.ran(), Ran::No, "{description}");
                    }
                    RetryDecision::Unknown(code) => {
                        assert_eq!(code.ran(), Ran::Unknown, "{description}")
                    }
                    RetryDecision::Tombstone => {
                        assert_eq!(outcome, AttemptOutcome::NoAnswer, "{description}")
                    }
                }
                checked += 1;
            }
        }
    }
    insta::assert_snapshot!(checked, @"5824");
}

#[test]
fn decisions_for_common_outcomes() {
    let context = |idempotent| RetryContext {
        idempotent,
        remaining: REMAINING,
        estimated_duration: Duration::ZERO,
        attempts: 1,
        another_endpoint: true,
    };
    let refused = |code| AttemptOutcome::Refused {
        code,
        not_run: true,
    };
    let cases = [
        AttemptOutcome::NotSent,
        refused(ResultCode::EndpointLeaving),
        refused(ResultCode::QueueFull),
        refused(ResultCode::InvalidField),
        AttemptOutcome::NoAnswer,
        AttemptOutcome::Tombstoned(TombstoneOutcome::NeverRuns),
        AttemptOutcome::Tombstoned(TombstoneOutcome::Started),
        AttemptOutcome::TombstoneLost,
        AttemptOutcome::BrokenBeforeAnswer,
        AttemptOutcome::BrokenInAnswer { resumable: true },
        AttemptOutcome::Crossed,
    ];
    let row = |outcome| {
        let [if_non_idempotent, if_idempotent] =
            [false, true].map(|i| decide_retry(outcome, context(i), || true));
        format!("{outcome:?}: {if_non_idempotent:?} | idempotent: {if_idempotent:?}")
    };
    insta::assert_snapshot!(cases.map(row).join("\n"), @r"
    NotSent: Retry(NotSent) | idempotent: Retry(NotSent)
    Refused { code: EndpointLeaving, not_run: true }: Retry(Leaving) | idempotent: Retry(Leaving)
    Refused { code: QueueFull, not_run: true }: Retry(QueueFull) | idempotent: Retry(QueueFull)
    Refused { code: InvalidField, not_run: true }: Refuse(InvalidField) | idempotent: Refuse(InvalidField)
    NoAnswer: Tombstone | idempotent: Retry(IdempotentNoAnswer)
    Tombstoned(NeverRuns): Retry(NeverRuns) | idempotent: Retry(NeverRuns)
    Tombstoned(Started): Unknown(OutcomeUnknown) | idempotent: Retry(IdempotentNoAnswer)
    TombstoneLost: Unknown(OutcomeUnknown) | idempotent: Retry(IdempotentNoAnswer)
    BrokenBeforeAnswer: Unknown(OutcomeUnknown) | idempotent: Retry(IdempotentNoAnswer)
    BrokenInAnswer { resumable: true }: Unknown(AnswerBroken) | idempotent: Retry(Resume)
    Crossed: Unknown(AnswerCrossed) | idempotent: Retry(IdempotentCrossed)
    ");
}

#[test]
fn reasons_have_distinct_metric_labels() {
    let names: BTreeSet<&str> = RetryReason::ALL.iter().map(|r| r.name()).collect();
    assert_eq!(names.len(), RetryReason::ALL.len());
    let unbudgeted = RetryReason::ALL.iter().filter(|r| !r.is_budgeted());
    let unbudgeted: Vec<&str> = unbudgeted.map(|r| r.name()).collect();
    insta::assert_snapshot!(unbudgeted.join(" "), @"not_sent leaving not_granted no_memory never_runs");
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(4819),
        failure_persistence: None,
        ..ProptestConfig::with_cases(500)
    })]

    /// In any order of requests and retries, the retries never exceed the burst plus a tenth of the
    /// requests, per service and in total.
    #[test]
    fn retries_stay_within_a_tenth(events in prop::collection::vec((0..3_usize, any::<bool>()), 0..600)) {
        const NODE_BURST: u32 = 7;
        const SERVICE_BURST: u32 = 4;
        let mut budgets = RetryBudgets::new(NODE_BURST, SERVICE_BURST);
        let mut requests = [0_u32; 3];
        let mut retries = [0_u32; 3];
        for (service, is_request) in events {
            let name = ["a", "b", "c"][service];
            if is_request {
                budgets.record_request(name);
                requests[service] += 1;
            } else if budgets.try_take(name) {
                retries[service] += 1;
            }
            prop_assert!(retries[service] <= SERVICE_BURST + requests[service] / 10);
            let (requests_total, retries_total): (u32, u32) = (requests.iter().sum(), retries.iter().sum());
            prop_assert!(retries_total <= NODE_BURST + requests_total / 10);
        }
    }
}

#[test]
fn ten_requests_earn_one_retry() {
    let mut budget = RetryBudget::new(1);
    assert!(budget.try_take());
    for _ in 0..9 {
        budget.record_request();
    }
    assert!(!budget.try_take());
    budget.record_request();
    assert!(budget.try_take());
}
