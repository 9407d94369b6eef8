//! Explores every interleaving of one non-idempotent call at a node and two agents that may
//! restart. The call starts at most once, and never starts once it was reported as not run.

#[path = "support/explore.rs"]
mod support;

use radishpin_core::request::{
    AttemptAdmission, AttemptLedger, AttemptOutcome, RetryContext, RetryDecision, TombstoneOutcome,
    decide_retry,
};
use radishpin_protocol::prelude::*;
use support::{explore, findings};

const NOW: Duration = Duration::ZERO;
const AGENTS: usize = 2;
const ATTEMPTS: AttemptNumber = 3;

/// A safety rule that the model omits, to check that the exploration detects the omission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Agents run attempts that were sent to an earlier incarnation.
    ExecuteOfOtherIncarnation,
    /// The node accepts the answer to a tombstone from another incarnation than the attempt's.
    TombstoneOfOtherIncarnation,
    /// The node treats a lost answer as a refusal instead of sending a tombstone.
    NoTombstone,
    /// Agents evict a tombstone before the tombstoned attempt arrives.
    EvictedTombstone,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Target {
    agent: usize,
    incarnation: Incarnation,
    attempt: AttemptNumber,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Message {
    Execute(Target),
    Refused(Target),
    Answer(Target),
    Tombstone(Target),
    Outcome(Target, Incarnation, TombstoneOutcome),
}

#[derive(Clone, Debug)]
struct Agent {
    incarnation: Incarnation,
    ledger: AttemptLedger,
    queued: BTreeSet<AttemptNumber>,
    running: BTreeSet<AttemptNumber>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Node {
    AwaitingAnswer(Target),
    AwaitingTombstone(Target),
    Answered,
    ReportedNotRun,
    ReportedUnknown,
}

#[derive(Clone, Debug)]
struct State {
    agents: [Agent; AGENTS],
    // Messages in transit, delivered in any order, at any time or never.
    messages: BTreeSet<Message>,
    node: Node,
    starts: u32,
    restarts_left: u32,
}

fn id(attempt: AttemptNumber) -> AttemptId {
    AttemptId {
        request_id: "order".into(),
        number: attempt,
    }
}

fn new_agent(incarnation: Incarnation) -> Agent {
    Agent {
        incarnation,
        ledger: AttemptLedger::new(8, Duration::from_secs(60)),
        queued: BTreeSet::new(),
        running: BTreeSet::new(),
    }
}

impl State {
    fn initial() -> Self {
        let first = Target {
            agent: 0,
            incarnation: 1,
            attempt: 1,
        };
        Self {
            agents: [new_agent(1), new_agent(1)],
            messages: [Message::Execute(first)].into(),
            node: Node::AwaitingAnswer(first),
            starts: 0,
            restarts_left: 2,
        }
    }

    fn successors(&self, fault: Fault) -> Vec<Self> {
        let delivered = self.messages.iter().map(|message| {
            let mut next = self.clone();
            next.messages.remove(message);
            next.deliver(*message, fault);
            next
        });
        let mut all: Vec<Self> = delivered.collect();
        for agent in 0..AGENTS {
            all.extend(self.agent_steps(agent));
        }
        all.extend(self.timeouts(fault));
        all
    }

    fn agent_steps(&self, agent: usize) -> Vec<Self> {
        let mut all = Vec::new();
        let incarnation = self.agents[agent].incarnation;
        for attempt in &self.agents[agent].queued {
            let mut next = self.clone();
            next.agents[agent].queued.remove(attempt);
            if next.agents[agent].ledger.start(&id(*attempt), NOW) {
                next.starts += 1;
                next.agents[agent].running.insert(*attempt);
            }
            all.push(next);
        }
        for attempt in &self.agents[agent].running {
            let mut next = self.clone();
            next.agents[agent].running.remove(attempt);
            next.agents[agent].ledger.finish(&id(*attempt), NOW);
            let attempt = *attempt;
            let target = Target {
                agent,
                incarnation,
                attempt,
            };
            next.messages.insert(Message::Answer(target));
            all.push(next);
        }
        if self.restarts_left > 0 {
            let mut next = self.clone();
            next.restarts_left -= 1;
            next.agents[agent] = new_agent(incarnation + 1);
            all.push(next);
        }
        all
    }

    fn timeouts(&self, fault: Fault) -> Vec<Self> {
        let (target, outcome) = match self.node {
            Node::AwaitingAnswer(target) if fault == Fault::NoTombstone => {
                let code = ResultCode::QueueFull;
                let not_run = true;
                (target, AttemptOutcome::Refused { code, not_run })
            }
            Node::AwaitingAnswer(target) => (target, AttemptOutcome::NoAnswer),
            Node::AwaitingTombstone(target) => (target, AttemptOutcome::TombstoneLost),
            Node::Answered | Node::ReportedNotRun | Node::ReportedUnknown => return Vec::new(),
        };
        [NOW, Duration::from_secs(9)]
            .map(|remaining| {
                let mut next = self.clone();
                next.decide(target, outcome, remaining);
                next
            })
            .into()
    }

    fn deliver(&mut self, message: Message, fault: Fault) {
        match message {
            Message::Execute(target) => self.execute(target, fault),
            Message::Tombstone(target) => {
                let agent = &mut self.agents[target.agent];
                let answered_by = agent.incarnation;
                let outcome = agent.ledger.tombstone(&id(target.attempt), NOW);
                if fault == Fault::EvictedTombstone {
                    agent.ledger.expire(Duration::MAX);
                }
                self.messages
                    .insert(Message::Outcome(target, answered_by, outcome));
            }
            Message::Answer(target) if self.awaits_answer(target) => self.node = Node::Answered,
            Message::Refused(target) if self.node == Node::AwaitingAnswer(target) => {
                let code = ResultCode::EndpointLeaving;
                let not_run = true;
                let outcome = AttemptOutcome::Refused { code, not_run };
                self.decide(target, outcome, Duration::from_secs(9));
            }
            Message::Outcome(target, answered_by, outcome)
                if self.node == Node::AwaitingTombstone(target) =>
            {
                let proven = match fault {
                    Fault::TombstoneOfOtherIncarnation => outcome,
                    _ => outcome.if_same_incarnation(target.incarnation, answered_by),
                };
                let outcome = AttemptOutcome::Tombstoned(proven);
                self.decide(target, outcome, Duration::from_secs(9));
            }
            // The node no longer waits for this message.
            Message::Answer(_) | Message::Refused(_) | Message::Outcome(..) => {}
        }
    }

    fn awaits_answer(&self, target: Target) -> bool {
        self.node == Node::AwaitingAnswer(target) || self.node == Node::AwaitingTombstone(target)
    }

    fn execute(&mut self, target: Target, fault: Fault) {
        let agent = &mut self.agents[target.agent];
        let other_incarnation = agent.incarnation != target.incarnation;
        if other_incarnation && fault != Fault::ExecuteOfOtherIncarnation {
            self.messages.insert(Message::Refused(target));
            return;
        }
        match agent.ledger.admit(&id(target.attempt), NOW) {
            AttemptAdmission::Admitted => {
                agent.queued.insert(target.attempt);
            }
            _ => {
                self.messages.insert(Message::Refused(target));
            }
        }
    }

    fn decide(&mut self, target: Target, outcome: AttemptOutcome, remaining: Duration) {
        let context = RetryContext {
            idempotent: false,
            remaining,
            estimated_duration: NOW,
            attempts: target.attempt,
            another_endpoint: target.attempt < ATTEMPTS,
        };
        match decide_retry(outcome, context, || true) {
            RetryDecision::Retry(_) => {
                let agent = (target.agent + 1) % AGENTS;
                let target = Target {
                    agent,
                    incarnation: self.agents[agent].incarnation,
                    attempt: target.attempt + 1,
                };
                self.messages.insert(Message::Execute(target));
                self.node = Node::AwaitingAnswer(target);
            }
            RetryDecision::Tombstone => {
                self.messages.insert(Message::Tombstone(target));
                self.node = Node::AwaitingTombstone(target);
            }
            RetryDecision::Refuse(_) => self.node = Node::ReportedNotRun,
            RetryDecision::Unknown(_) => self.node = Node::ReportedUnknown,
        }
    }

    fn violation(&self) -> Option<&'static str> {
        if self.starts > 1 {
            return Some("started twice");
        }
        let false_report = self.node == Node::ReportedNotRun && self.starts > 0;
        false_report.then_some("reported as not run, but started")
    }
}

fn explore_with(fault: Fault) -> Result<usize, &'static str> {
    explore(State::initial(), |s| s.successors(fault), State::violation)
}

#[test]
fn call_starts_at_most_once_and_never_after_a_report_of_not_run() {
    insta::assert_snapshot!(format!("{:?}", explore_with(Fault::None)), @"Ok(10634)");
}

#[test]
fn every_omitted_rule_is_detected() {
    let faults = [
        Fault::ExecuteOfOtherIncarnation,
        Fault::TombstoneOfOtherIncarnation,
        Fault::NoTombstone,
        Fault::EvictedTombstone,
    ];
    insta::assert_snapshot!(findings(&faults, explore_with), @r#"
    ExecuteOfOtherIncarnation: Err("started twice")
    TombstoneOfOtherIncarnation: Err("started twice")
    NoTombstone: Err("reported as not run, but started")
    EvictedTombstone: Err("started twice")
    "#);
}
