//! Every interleaving of one non-idempotent call, a node and two agents that may restart: the call
//! starts at most once, and "not run" is true for ever.

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

/// A rule left out on purpose, to show that the exploration finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fault {
    None,
    /// Agents run what was sent to their predecessor.
    ExecuteOfOtherIncarnation,
    /// The node believes a tombstone that a successor answered.
    TombstoneOfOtherIncarnation,
    /// The node takes a lost answer for a refusal.
    NoTombstone,
    /// Agents forget an attempt that was tombstoned before it arrived.
    ForgottenTombstone,
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
    Waiting(Target),
    Tombstoning(Target),
    Answered,
    SaidNotRun,
    SaidUnknown,
}

#[derive(Clone, Debug)]
struct State {
    agents: [Agent; AGENTS],
    // Messages are delivered in any order, at any time or never.
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
            node: Node::Waiting(first),
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
            Node::Waiting(target) if fault == Fault::NoTombstone => {
                let code = ResultCode::QueueFull;
                let not_run = true;
                (target, AttemptOutcome::Refused { code, not_run })
            }
            Node::Waiting(target) => (target, AttemptOutcome::NoAnswer),
            Node::Tombstoning(target) => (target, AttemptOutcome::TombstoneLost),
            Node::Answered | Node::SaidNotRun | Node::SaidUnknown => return Vec::new(),
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
                let by = agent.incarnation;
                let outcome = agent.ledger.tombstone(&id(target.attempt), NOW);
                if fault == Fault::ForgottenTombstone {
                    agent.ledger.expire(Duration::MAX);
                }
                self.messages.insert(Message::Outcome(target, by, outcome));
            }
            Message::Answer(target) if self.awaits(target) => self.node = Node::Answered,
            Message::Refused(target) if self.node == Node::Waiting(target) => {
                let code = ResultCode::EndpointLeaving;
                let not_run = true;
                let outcome = AttemptOutcome::Refused { code, not_run };
                self.decide(target, outcome, Duration::from_secs(9));
            }
            Message::Outcome(target, by, outcome) if self.node == Node::Tombstoning(target) => {
                let proven = match fault {
                    Fault::TombstoneOfOtherIncarnation => outcome,
                    _ => outcome.if_same_incarnation(target.incarnation, by),
                };
                let outcome = AttemptOutcome::Tombstoned(proven);
                self.decide(target, outcome, Duration::from_secs(9));
            }
            // Late: the node has moved on.
            Message::Answer(_) | Message::Refused(_) | Message::Outcome(..) => {}
        }
    }

    fn awaits(&self, target: Target) -> bool {
        self.node == Node::Waiting(target) || self.node == Node::Tombstoning(target)
    }

    fn execute(&mut self, target: Target, fault: Fault) {
        let agent = &mut self.agents[target.agent];
        let other = agent.incarnation != target.incarnation;
        if other && fault != Fault::ExecuteOfOtherIncarnation {
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
        let facts = RetryContext {
            idempotent: false,
            remaining,
            estimated_duration: NOW,
            attempts: target.attempt,
            another_endpoint: target.attempt < ATTEMPTS,
        };
        match decide_retry(outcome, facts, || true) {
            RetryDecision::Retry(_) => {
                let agent = (target.agent + 1) % AGENTS;
                let target = Target {
                    agent,
                    incarnation: self.agents[agent].incarnation,
                    attempt: target.attempt + 1,
                };
                self.messages.insert(Message::Execute(target));
                self.node = Node::Waiting(target);
            }
            RetryDecision::Tombstone => {
                self.messages.insert(Message::Tombstone(target));
                self.node = Node::Tombstoning(target);
            }
            RetryDecision::Refuse(_) => self.node = Node::SaidNotRun,
            RetryDecision::Unknown(_) => self.node = Node::SaidUnknown,
        }
    }

    fn violation(&self) -> Option<&'static str> {
        if self.starts > 1 {
            return Some("started twice");
        }
        let untrue = self.node == Node::SaidNotRun && self.starts > 0;
        untrue.then_some("said not run, but ran")
    }
}

fn explore_with(fault: Fault) -> Result<usize, &'static str> {
    explore(State::initial(), |s| s.successors(fault), State::violation)
}

#[test]
fn a_call_starts_at_most_once_and_not_run_is_true() {
    insta::assert_snapshot!(format!("{:?}", explore_with(Fault::None)), @"Ok(10634)");
}

#[test]
fn every_rule_left_out_is_found() {
    let faults = [
        Fault::ExecuteOfOtherIncarnation,
        Fault::TombstoneOfOtherIncarnation,
        Fault::NoTombstone,
        Fault::ForgottenTombstone,
    ];
    insta::assert_snapshot!(findings(&faults, explore_with), @r#"
    ExecuteOfOtherIncarnation: Err("started twice")
    TombstoneOfOtherIncarnation: Err("started twice")
    NoTombstone: Err("said not run, but ran")
    ForgottenTombstone: Err("started twice")
    "#);
}
