//! An attempt starts at most once, whatever arrives in whatever order.

use radishpin_core::request::{AttemptAdmission, AttemptLedger, AttemptState, TombstoneOutcome};
use radishpin_protocol::prelude::*;

const KEEP: Duration = Duration::from_secs(60);

fn attempt(number: AttemptNumber) -> AttemptId {
    AttemptId {
        request_id: "r".into(),
        number,
    }
}

/// What the outside saw of one attempt.
#[derive(Clone, Debug, Default)]
struct Seen {
    admitted: u32,
    started: u32,
    said_never_runs: bool,
}

#[derive(Clone, Copy, Debug)]
enum Action {
    Admit,
    Start,
    Tombstone,
    Finish,
    Forget,
}

const ACTIONS: [Action; 5] = [
    Action::Admit,
    Action::Start,
    Action::Tombstone,
    Action::Finish,
    Action::Forget,
];

fn act(ledger: &mut AttemptLedger, seen: &mut Seen, id: &AttemptId, action: Action) {
    let now = Duration::ZERO;
    match action {
        Action::Admit => seen.admitted += u32::from(ledger.admit(id, now) == AttemptAdmission::Admitted),
        Action::Start => seen.started += u32::from(ledger.start(id, now)),
        Action::Finish => ledger.finish(id, now),
        Action::Forget => seen.said_never_runs |= ledger.cancel_unstarted(id, now),
        Action::Tombstone => {
            let outcome = ledger.tombstone(id, now);
            seen.said_never_runs |= outcome == TombstoneOutcome::NeverRuns;
        }
    }
}

/// Explores every sequence of `depth` actions on two attempts of one request.
fn explore(ledger: &AttemptLedger, seen: &[Seen; 2], depth: u32, visited: &mut u64) {
    *visited += 1;
    for (seen, name) in seen.iter().zip(["first", "second"]) {
        assert!(seen.admitted <= 1, "{name} admitted twice");
        assert!(seen.started <= 1, "{name} started twice");
        let contradiction = seen.said_never_runs && seen.started > 0;
        assert!(!contradiction, "{name} ran although it was said never to");
    }
    if depth == 0 {
        return;
    }
    for number in [1, 2] {
        for action in ACTIONS {
            let mut ledger = ledger.clone();
            let mut seen = seen.clone();
            let slot = &mut seen[number as usize - 1];
            act(&mut ledger, slot, &attempt(number), action);
            explore(&ledger, &seen, depth - 1, visited);
        }
    }
}

#[test]
fn no_interleaving_starts_twice_or_after_never_runs() {
    let mut visited = 0;
    let ledger = AttemptLedger::new(8, KEEP);
    explore(&ledger, &Default::default(), 6, &mut visited);
    insta::assert_snapshot!(visited, @"1111111");
}

#[test]
fn later_attempt_fences_earlier_one() {
    let mut ledger = AttemptLedger::new(8, KEEP);
    let now = Duration::ZERO;
    assert_eq!(ledger.admit(&attempt(1), now), AttemptAdmission::Admitted);
    assert_eq!(ledger.admit(&attempt(2), now), AttemptAdmission::Admitted);
    assert!(!ledger.start(&attempt(1), now));
    assert!(ledger.start(&attempt(2), now));
    let again = ledger.admit(&attempt(2), now);
    assert_eq!(again, AttemptAdmission::Duplicate(AttemptState::Started));
    let mut ledger = AttemptLedger::new(8, KEEP);
    assert_eq!(ledger.admit(&attempt(2), now), AttemptAdmission::Admitted);
    assert_eq!(ledger.admit(&attempt(1), now), AttemptAdmission::Superseded);
}

#[test]
fn memory_is_bounded_and_tombstones_outlive_what_could_still_arrive() {
    let mut ledger = AttemptLedger::new(8, KEEP);
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
    // A tombstone that is forgotten leaves nothing that could still be admitted.
    let sent_at = Duration::ZERO;
    ledger.expire(KEEP);
    let late = ledger.admit_if_recent(&id(20), sent_at, KEEP);
    assert_eq!(late, AttemptAdmission::Stale);
    assert_eq!(ledger.len(), 8, "what waits is never forgotten");
}

#[test]
fn successor_of_an_agent_proves_nothing() {
    let outcome = TombstoneOutcome::NeverRuns;
    assert_eq!(outcome.if_same_incarnation(3, 3), TombstoneOutcome::NeverRuns);
    assert_eq!(outcome.if_same_incarnation(3, 4), TombstoneOutcome::Unknown);
}
