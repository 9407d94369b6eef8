//! Two calls with the same `Idempotency-Key` at two nodes: a table of the transitions, and every
//! interleaving with a store that loses replies, nodes that stop or pause at any step, and an agent
//! that restarts.

#[path = "support/explore.rs"]
mod support;

use radishpin_core::request::{
    AttemptAdmission, AttemptLedger, Dispatch, INLINE_ANSWER_BYTES, KeyedCall, KeyedRow, KeyedStep,
    StoreReply, StoredAnswer, TombstoneOutcome, after_commit, after_read, after_tombstone,
    claim_key, finished_row, not_run_row,
};
use radishpin_protocol::prelude::*;
use support::{explore, findings};

const NOW: Duration = Duration::ZERO;
const RETENTION: Duration = Duration::from_secs(86_400);
const DEADLINE_UNIX_MS: u64 = 10_000;
const PAST_DEADLINE_UNIX_MS: u64 = 60_000;
const NODES: usize = 2;

fn call(node: usize, incarnation: Incarnation, now_unix_ms: u64) -> KeyedCall {
    KeyedCall {
        fingerprint: "same".into(),
        dispatch: Dispatch {
            operation: format!("operation-{node}"),
            request_id: format!("request-{node}"),
            attempt: 1,
            endpoint: "endpoint".into(),
            incarnation,
            deadline_unix_ms: DEADLINE_UNIX_MS,
        },
        now_unix_ms,
        retention: RETENTION,
    }
}

fn id(dispatch: &Dispatch) -> AttemptId {
    AttemptId {
        request_id: dispatch.request_id.clone(),
        number: dispatch.attempt,
    }
}

/// A safety rule that the model omits, to check that the exploration detects the omission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// The row is written without the version condition.
    UnconditionalWrite,
    /// A pending row of another node is replaced without a tombstone.
    NoTombstone,
    /// The answer to a tombstone is accepted from another incarnation than the attempt's.
    TombstoneOfOtherIncarnation,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum Phase {
    NextStep(KeyedStep),
    AwaitsCommit(Version, KeyedRow),
    Sent,
    Done,
}

#[derive(Clone, Debug)]
struct State {
    row: Option<KeyedRow>,
    version: Version,
    // Commits in flight: node, required version and new row.
    commits: Vec<(usize, Version, KeyedRow)>,
    calls: [KeyedCall; NODES],
    phases: [Phase; NODES],
    ledger: AttemptLedger,
    incarnation: Incarnation,
    executes: Vec<Dispatch>,
    queued: Vec<Dispatch>,
    starts: u32,
    losses_left: u32,
}

impl State {
    fn initial() -> Self {
        let calls = [0, 1].map(|node| call(node, 1, 0));
        Self {
            row: None,
            version: 0,
            commits: Vec::new(),
            phases: [0, 1].map(|node: usize| Phase::NextStep(claim_key(&calls[node], 0))),
            calls,
            ledger: AttemptLedger::new(8, Duration::from_secs(60)),
            incarnation: 1,
            executes: Vec::new(),
            queued: Vec::new(),
            starts: 0,
            losses_left: 2,
        }
    }

    fn with(&self, change: impl FnOnce(&mut Self)) -> Self {
        let mut next = self.clone();
        change(&mut next);
        next
    }

    fn successors(&self, fault: Fault) -> Vec<Self> {
        let mut all = Vec::new();
        for node in 0..NODES {
            all.extend(self.node_steps(node, fault));
        }
        for index in 0..self.commits.len() {
            all.push(self.with(|s| s.apply_commit(index, fault)));
        }
        for index in 0..self.executes.len() {
            all.push(self.with(|s| s.admit(index)));
        }
        for index in 0..self.queued.len() {
            all.push(self.with(|s| s.start(index)));
        }
        if self.incarnation == 1 {
            all.push(self.with(|s| {
                s.incarnation = 2;
                s.ledger = AttemptLedger::new(8, Duration::from_secs(60));
                s.queued.clear();
            }));
        }
        if self.calls[0].now_unix_ms == 0 {
            let pass_deadline = |s: &mut Self| {
                for call in &mut s.calls {
                    call.now_unix_ms = PAST_DEADLINE_UNIX_MS;
                }
            };
            all.push(self.with(pass_deadline));
        }
        all
    }

    fn node_steps(&self, node: usize, fault: Fault) -> Vec<Self> {
        let mut all = Vec::new();
        match &self.phases[node] {
            Phase::Done => return all,
            Phase::NextStep(step) => all.extend(self.take_step(node, step, fault)),
            // The reply is lost; the commit may have been applied, or may still be.
            Phase::AwaitsCommit(..) if self.losses_left > 0 => all.push(self.with(|s| {
                s.losses_left -= 1;
                s.set(node, after_commit(StoreReply::Unknown));
            })),
            Phase::AwaitsCommit(..) | Phase::Sent => {}
        }
        all
    }

    fn take_step(&self, node: usize, step: &KeyedStep, fault: Fault) -> Vec<Self> {
        let call = &self.calls[node];
        match step {
            KeyedStep::Write { if_version, row } => vec![self.with(|s| {
                let commit = (node, *if_version, row.clone());
                if !s.commits.contains(&commit) {
                    s.commits.push(commit);
                }
                s.phases[node] = Phase::AwaitsCommit(*if_version, row.clone());
            })],
            KeyedStep::Read => {
                let read = after_read(call, Some((self.version, self.row.as_ref())));
                let failed = after_read(call, None);
                vec![
                    self.with(|s| s.set(node, read)),
                    self.with(|s| s.set(node, failed)),
                ]
            }
            KeyedStep::Send => vec![self.with(|s| {
                s.executes.push(s.calls[node].dispatch.clone());
                s.phases[node] = Phase::Sent;
            })],
            KeyedStep::Tombstone { version, dispatch } => {
                let tombstone_then_decide = |s: &mut Self| {
                    let ledger_outcome = s.ledger.tombstone(&id(dispatch), NOW);
                    let outcome = match fault {
                        Fault::NoTombstone => TombstoneOutcome::NeverRuns,
                        Fault::TombstoneOfOtherIncarnation => ledger_outcome,
                        _ => {
                            ledger_outcome.if_same_incarnation(dispatch.incarnation, s.incarnation)
                        }
                    };
                    s.calls[node].dispatch.incarnation = s.incarnation;
                    s.calls[node].dispatch.operation = format!("operation-{node}-again");
                    let step = after_tombstone(&s.calls[node], *version, outcome);
                    s.set(node, step);
                };
                vec![self.with(tombstone_then_decide)]
            }
            KeyedStep::Replay { .. } | KeyedStep::Refuse(_) => {
                vec![self.with(|s| s.phases[node] = Phase::Done)]
            }
        }
    }

    fn set(&mut self, node: usize, step: KeyedStep) {
        self.phases[node] = Phase::NextStep(step);
    }

    fn apply_commit(&mut self, index: usize, fault: Fault) {
        let (node, if_version, row) = self.commits.remove(index);
        let version_matches = self.version == if_version || fault == Fault::UnconditionalWrite;
        if version_matches {
            self.version += 1;
            self.row = Some(row.clone());
        }
        if self.phases[node] == Phase::AwaitsCommit(if_version, row) {
            let reply = if version_matches {
                StoreReply::Committed
            } else {
                StoreReply::Conflict
            };
            self.set(node, after_commit(reply));
        }
    }

    fn admit(&mut self, index: usize) {
        let dispatch = self.executes.remove(index);
        let same_incarnation = dispatch.incarnation == self.incarnation;
        if same_incarnation && self.ledger.admit(&id(&dispatch), NOW) == AttemptAdmission::Admitted
        {
            self.queued.push(dispatch);
        }
    }

    fn start(&mut self, index: usize) {
        let dispatch = self.queued.remove(index);
        self.starts += u32::from(self.ledger.start(&id(&dispatch), NOW));
    }
}

fn explore_with(fault: Fault) -> Result<usize, &'static str> {
    explore(
        State::initial(),
        |s| s.successors(fault),
        |s| (s.starts > 1).then_some("started twice"),
    )
}

#[test]
fn at_most_one_call_starts_per_key() {
    insta::assert_snapshot!(format!("{:?}", explore_with(Fault::None)), @"Ok(9684)");
}

#[test]
fn every_omitted_rule_is_detected() {
    let faults = [
        Fault::UnconditionalWrite,
        Fault::NoTombstone,
        Fault::TombstoneOfOtherIncarnation,
    ];
    insta::assert_snapshot!(findings(&faults, explore_with), @r#"
    UnconditionalWrite: Err("started twice")
    NoTombstone: Err("started twice")
    TombstoneOfOtherIncarnation: Err("started twice")
    "#);
}

fn describe(step: &KeyedStep) -> String {
    match step {
        KeyedStep::Write { if_version, row } => {
            let KeyedRow::Pending { dispatch, .. } = row else {
                return "write a row that is not pending".into();
            };
            format!(
                "write pending {} if version {if_version}",
                dispatch.operation
            )
        }
        KeyedStep::Tombstone { dispatch, .. } => format!("tombstone {}", dispatch.operation),
        KeyedStep::Replay { status, .. } => format!("replay {status}"),
        KeyedStep::Refuse(code) => format!("refuse {} ran {:?}", code.name(), code.ran()),
        KeyedStep::Read | KeyedStep::Send => format!("{step:?}"),
    }
}

#[test]
fn stored_row_decides_the_next_step_of_a_second_call() {
    let first = call(0, 1, 0);
    let KeyedStep::Write { row: pending, .. } = claim_key(&first, 0) else {
        unreachable!("the first step is a write");
    };
    let answer = StoredAnswer::from_body("text/plain", b"booked", "object");
    let done = finished_row(&first, 201, answer);
    let soon = call(1, 1, 1_000);
    let late = call(1, 1, PAST_DEADLINE_UNIX_MS);
    let expired = call(1, 1, 86_400_000 + 6_000);
    let other = KeyedCall {
        fingerprint: "other".into(),
        ..soon.clone()
    };
    let cases = [
        ("absent", &soon, None),
        ("pending", &soon, Some(&pending)),
        ("pending, its deadline passed", &late, Some(&pending)),
        ("pending, own write", &first, Some(&pending)),
        ("not run", &soon, Some(&not_run_row(&first))),
        ("finished", &soon, Some(&done)),
        ("finished, expired", &expired, Some(&done)),
        ("pending, other body", &other, Some(&pending)),
        ("finished, other body", &other, Some(&done)),
    ];
    let mut table: Vec<String> = cases
        .map(|(case, call, row)| format!("{case}: {}", describe(&after_read(call, Some((7, row))))))
        .into();
    table.push(format!(
        "store down: {}",
        describe(&after_read(&soon, None))
    ));
    for reply in [
        StoreReply::Committed,
        StoreReply::Conflict,
        StoreReply::NoEffect,
        StoreReply::Unknown,
    ] {
        table.push(format!(
            "commit {reply:?}: {}",
            describe(&after_commit(reply))
        ));
    }
    for outcome in [
        TombstoneOutcome::NeverRuns,
        TombstoneOutcome::Started,
        TombstoneOutcome::Finished,
        TombstoneOutcome::Unknown,
    ] {
        table.push(format!(
            "tombstone {outcome:?}: {}",
            describe(&after_tombstone(&late, 7, outcome))
        ));
    }
    insta::assert_snapshot!(table.join("\n"), @r"
    absent: write pending operation-1 if version 7
    pending: refuse key_in_progress ran Unknown
    pending, its deadline passed: tombstone operation-0
    pending, own write: Send
    not run: write pending operation-1 if version 7
    finished: replay 201
    finished, expired: write pending operation-1 if version 7
    pending, other body: refuse key_reused ran No
    finished, other body: refuse key_reused ran No
    store down: refuse key_unchecked ran Unknown
    commit Committed: Send
    commit Conflict: Read
    commit NoEffect: refuse key_unchecked ran Unknown
    commit Unknown: Read
    tombstone NeverRuns: write pending operation-1 if version 7
    tombstone Started: refuse key_in_progress ran Unknown
    tombstone Finished: refuse outcome_unknown ran Unknown
    tombstone Unknown: refuse outcome_unknown ran Unknown
    ");
}

#[test]
fn large_and_binary_answers_go_to_the_object_store() {
    let stored = |body: &[u8]| StoredAnswer::from_body("text/plain", body, "key");
    let is_inline = |body: &[u8]| matches!(stored(body), StoredAnswer::Inline { .. });
    assert!(is_inline(&vec![b'a'; INLINE_ANSWER_BYTES]));
    assert!(!is_inline(&vec![b'a'; INLINE_ANSWER_BYTES + 1]));
    assert!(!is_inline(&[0xff, 0xfe]));
}
