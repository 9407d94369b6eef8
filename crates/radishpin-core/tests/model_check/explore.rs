//! Exhaustive exploration of the specification.

use super::{
    recovery::Recovered,
    steps::{Kind, Step, Travel},
    system::*,
};
use pathfinding::directed::bfs::bfs_reach;
use radishpin_core::process::{Fencing, ReplicaState, ReplicaStatus, Standing};
use radishpin_protocol::GrantState;
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

/// Ticks of the clock in an exploration.
const TICKS: u32 = 4;

/// Steps from the start to a state, the last first.
#[derive(Debug)]
pub struct Trace {
    step: Step,
    before: Option<Arc<Self>>,
}

/// A state as it was first reached; equal to any other way of reaching it.
#[derive(Clone, Debug)]
pub struct Reached {
    system: SystemState,
    depth: usize,
    trace: Option<Arc<Trace>>,
}

impl PartialEq for Reached {
    fn eq(&self, other: &Self) -> bool {
        self.system == other.system
    }
}

impl Eq for Reached {}

impl Hash for Reached {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.system.hash(state);
    }
}

/// What an exploration found.
#[derive(Debug, Default)]
pub struct Findings {
    pub states: usize,
    pub depth: usize,
    /// The first violation and the shortest way to it.
    pub violation: Option<(&'static str, Vec<Step>)>,
}

/// Explores every state that steps of this scope reach; stops at the first violation. With
/// `liveness` it also takes the fair path from every state.
pub fn explore(start: SystemState, scope: &[Kind], liveness: bool) -> Findings {
    let start = Reached {
        system: start,
        depth: 0,
        trace: None,
    };
    let mut findings = Findings::default();
    let mut recovered = Recovered::default();
    for reached in bfs_reach(start, |reached| reached.successors(scope)) {
        findings.states += 1;
        findings.depth = findings.depth.max(reached.depth);
        let mut violation = reached.system.violation();
        if liveness && violation.is_none() {
            violation = recovered.fault_after(&reached.system);
        }
        if let Some(violation) = violation {
            findings.violation = Some((violation, reached.steps()));
            break;
        }
    }
    findings
}

impl Reached {
    fn successors(&self, scope: &[Kind]) -> Vec<Self> {
        if self.system.violation().is_some() {
            return Vec::new();
        }
        let next = |step: Step| {
            let trace = Trace {
                step,
                before: self.trace.clone(),
            };
            Some(Self {
                system: self.system.after(step)?.canonical(),
                depth: self.depth + 1,
                trace: Some(Arc::new(trace)),
            })
        };
        let steps = self.system.steps().into_iter();
        let possible = steps.filter(|step| self.system.affords(step.kind(), scope));
        possible.filter_map(next).collect()
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut trace = self.trace.as_ref();
        while let Some(last) = trace {
            steps.push(last.step);
            trace = last.before.as_ref();
        }
        steps.reverse();
        steps
    }
}

impl SystemState {
    /// The two nodes are interchangeable: a state and its mirror image count once.
    fn canonical(mut self) -> Self {
        let [first, second] = &self.nodes;
        let key = |node: &Node| node.view.as_ref().map(|view| view.head);
        if (key(second), &second.heard) < (key(first), &first.heard) {
            self.nodes.swap(0, 1);
        }
        self
    }

    /// Whether the step's kind is in scope and its budget is not spent.
    fn affords(&self, kind: Kind, scope: &[Kind]) -> bool {
        match kind {
            Kind::Ordinary => true,
            Kind::Decide | Kind::Leave => self.changes_left > 0 && scope.contains(&kind),
            _ => self.faults_left > 0 && scope.contains(&kind),
        }
    }

    /// Every step that may be possible in this state.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Outage, Step::Recover];
        if self.now < TICKS && self.time_matters() {
            steps.push(Step::Tick);
        }
        for node in 0..self.nodes.len() {
            steps.extend([
                Step::Poll(node),
                Step::StopNode(node),
                Step::StartNode(node),
            ]);
            steps.extend((0..MODELS.len()).map(|model| Step::Commit { node, model }));
        }
        let decisions = (0..=2).map(|replicas| Step::Decide { model: 0, replicas });
        steps.extend(decisions);
        for endpoint in 0..self.endpoint_states.len() {
            self.endpoint_steps(endpoint, &mut steps);
        }
        steps
    }

    fn endpoint_steps(&self, endpoint: usize, steps: &mut Vec<Step>) {
        steps.extend([
            Step::MakeReport(endpoint),
            Step::RestartEngine(endpoint),
            Step::LoseHost(endpoint),
            Step::Successor(endpoint),
        ]);
        for standing in [Standing::Usable, Standing::Suspect, Standing::Leaving] {
            steps.push(Step::Stand { endpoint, standing });
        }
        for flight in 0..self.endpoint_states[endpoint].flights.len() {
            steps.extend([
                Step::Deliver { endpoint, flight },
                Step::GiveUp { endpoint, flight },
            ]);
        }
        for agent in 0..self.endpoint_states[endpoint].agents.len() {
            self.agent_steps(endpoint, agent, steps);
        }
    }

    fn agent_steps(&self, endpoint: usize, agent: usize, steps: &mut Vec<Step>) {
        steps.push(Step::LateReport { endpoint, agent });
        if self.report_matters(endpoint, agent) {
            steps.push(Step::Observe { endpoint, agent });
        }
        let nodes = 0..self.nodes.len();
        let useful = nodes.filter(|node| self.sync_matters(*node, endpoint, agent));
        steps.extend(useful.map(|node| Step::Sync {
            node,
            endpoint,
            agent,
        }));
        for travel in [Travel::AtOnce, Travel::Unreported, Travel::Delayed] {
            steps.push(Step::House {
                endpoint,
                agent,
                travel,
            });
            if !self.orders_spent(endpoint, agent) {
                let loads = 0..MODELS.len();
                steps.extend(loads.map(|model| Step::Load {
                    endpoint,
                    agent,
                    model,
                    travel,
                }));
            }
        }
    }

    /// Whether an order or a new agent waits for the life of orders to pass.
    fn time_matters(&self) -> bool {
        self.endpoint_states.iter().any(|endpoint| {
            let waits = endpoint.newest().is_some_and(|agent| {
                let replicas = agent.ledger.replicas();
                let uncertain = |r: &ReplicaStatus| r.state == ReplicaState::Uncertain;
                let unknown = replicas.is_empty() && agent.ledger.memory_free_mb() == 0;
                unknown || replicas.values().any(uncertain)
            });
            waits || !endpoint.flights.is_empty()
        })
    }

    /// Whether a report would change what the agent knows. Where the endpoint ignores numbers,
    /// one that only shows the time to have passed is left out.
    fn report_matters(&self, endpoint: usize, agent: usize) -> bool {
        let Some(before) = self.endpoint_states[endpoint].agent(agent) else {
            return false;
        };
        if self.setting.fencing == Fencing::Checked {
            return true;
        }
        let mut after = before.ledger.clone();
        after.apply_report(&self.report(endpoint), self.clock(endpoint));
        after.replicas() != before.ledger.replicas()
            || after.memory_free_mb() != before.ledger.memory_free_mb()
            || after.released() != before.ledger.released()
    }

    /// Whether a view would change what the agent may do or must confirm. One that only brings
    /// a newer version is left out: without it the agent is bound less, not more.
    fn sync_matters(&self, node: usize, endpoint: usize, agent: usize) -> bool {
        let (Some(view), Some(agent)) = (
            &self.nodes[node].view,
            self.endpoint_states[endpoint].agent(agent),
        ) else {
            return false;
        };
        let view = view.agent_view(endpoint);
        let mut grants = view.grants.values();
        view.grants != agent.ledger.view().grants
            || agent.ledger.view_version() == 0
            || grants.any(|grant| grant.grant.state == GrantState::Revoking)
    }
}
