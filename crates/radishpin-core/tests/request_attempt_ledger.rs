//! An attempt starts at most once, whatever the order of admissions, starts and tombstones.

use radishpin_core::request::{AttemptAdmission, AttemptLedger, AttemptState, TombstoneOutcome};
use radishpin_protocol::prelude::*;

const RETENTION: Duration = Duration::from_secs(60);

fn attempt(number: AttemptNumber) -> AttemptId {
    AttemptId {
        request_id: "r".into(),
        number,
    }
}

/// What the ledger has reported about one attempt.
#[derive(Clone, Debug, Default)]
struct Reported {
    admitted: u32,
    started: u32,
    never_runs: bool,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Admit,
    Start,
    Tombstone,
    Finish,
    Cancel,
}

const ACTIONS: [Action; 5] = [
    Action::Admit,
    Action::Start,
    Action::Tombstone,
    Action::Finish,
    Action::Cancel,
];

fn apply(ledger: &mut AttemptLedger, reported: &mut Reported, id: &AttemptId, action: Action) {
    let now = Duration::ZERO;
    match action {
        Action::Admit => {
            reported.admitted += u32::from(ledger.admit(id, now) == AttemptAdmission::Admitted)
        }
        Action::Start => reported.started += u32::from(ledger.start(id, now)),
        Action::Finish => ledger.finish(id, now),
        Action::Cancel => reported.never_runs |= ledger.cancel_unstarted(id, now),
        Action::Tombstone => {
            let outcome = ledger.tombstone(id, now);
            reported.never_runs |= outcome == TombstoneOutcome::NeverRuns;
        }
    }
}

/// Explores every sequence of `depth` actions on two attempts of one request.
fn explore(ledger: &AttemptLedger, reported: &[Reported; 2], depth: u32, visited: &mut u64) {
    *visited += 1;
    for (reported, name) in reported.iter().zip(["first", "second"]) {
        assert!(reported.admitted <= 1, "{name} admitted twice");
        assert!(reported.started <= 1, "{name} started twice");
        let contradiction = reported.never_runs && reported.started > 0;
        assert!(
            !contradiction,
            "{name} started although reported as never running"
        );
    }
    if depth == 0 {
        return;
    }
    for number in [1, 2] {
        for action in ACTIONS {
            let mut ledger = ledger.clone();
            let mut reported = reported.clone();
            let slot = &mut reported[number as usize - 1];
            apply(&mut ledger, slot, &attempt(number), action);
            explore(&ledger, &reported, depth - 1, visited);
        }
    }
}

#[test]
fn no_sequence_starts_twice_or_after_never_runs() {
    let mut visited = 0;
    let ledger = AttemptLedger::new(8, RETENTION);
    explore(&ledger, &Default::default(), 6, &mut visited);
    insta::assert_snapshot!(visited, @"1111111");
}

#[test]
fn later_attempt_prevents_the_start_of_earlier_ones() {
    let mut ledger = AttemptLedger::new(8, RETENTION);
    let now = Duration::ZERO;
    assert_eq!(ledger.admit(&attempt(1), now), AttemptAdmission::Admitted);
    assert_eq!(ledger.admit(&attempt(2), now), AttemptAdmission::Admitted);
    assert!(!ledger.start(&attempt(1), now));
    assert!(ledger.start(&attempt(2), now));
    let again = ledger.admit(&attempt(2), now);
    assert_eq!(again, AttemptAdmission::Duplicate(AttemptState::Started));
    let mut ledger = AttemptLedger::new(8, RETENTION);
    assert_eq!(ledger.admit(&attempt(2), now), AttemptAdmission::Admitted);
    assert_eq!(ledger.admit(&attempt(1), now), AttemptAdmission::Superseded);
}

#[test]
fn memory_is_bounded_and_late_attempts_are_stale_once_tombstones_are_evicted() {
    let mut ledger = AttemptLedger::new(8, RETENTION);
    let id = |name: u32| AttemptId {
        request_id: format!("r{name}"),
        number: 1,
    };
    for name in 0..20 {
        let admission = ledger.admit(&id(name), Duration::ZERO);
        assert_eq!(admission == AttemptAdmission::Admitted, name < 8);
    }
    let outcomes: Vec<_> = (20..24)
        .map(|name| ledger.tombstone(&id(name), Duration::ZERO))
        .collect();
    insta::assert_debug_snapshot!(outcomes, @r"
    [
        NeverRuns,
        NeverRuns,
        Unknown,
        Unknown,
    ]
    ");
    // Once a tombstone is evicted, an attempt sent before it is refused as stale.
    let sent_at = Duration::ZERO;
    ledger.expire(RETENTION);
    let late = ledger.admit_if_recent(&id(20), sent_at, RETENTION);
    assert_eq!(late, AttemptAdmission::Stale);
    assert_eq!(ledger.len(), 8, "queued attempts are never evicted");
}

#[test]
fn tombstone_answered_by_another_incarnation_proves_nothing() {
    let outcome = TombstoneOutcome::NeverRuns;
    assert_eq!(
        outcome.if_same_incarnation(3, 3),
        TombstoneOutcome::NeverRuns
    );
    assert_eq!(outcome.if_same_incarnation(3, 4), TombstoneOutcome::Unknown);
}
