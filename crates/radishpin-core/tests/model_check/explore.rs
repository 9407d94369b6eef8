//! Exhaustive exploration of the specification's states, breadth first.

use super::{
    recovery::RecoveryCheck,
    steps::{OrderDelivery, Step, StepKind},
    system::*,
};
use pathfinding::directed::bfs::bfs_reach;
use radishpin_core::process::{Fencing, MemberState, ReplicaState, ReplicaStatus};
use radishpin_protocol::GrantState;
use std::{
    hash::{Hash, Hasher},
    sync::Arc,
};

/// Maximum number of clock ticks in an exploration.
const TICKS: u32 = 4;

/// Steps from the start to a state, as a linked list that begins with the last step.
#[derive(Debug)]
pub struct Trace {
    step: Step,
    previous: Option<Arc<Self>>,
}

/// A state and the first path to it; equality and hash ignore the path.
#[derive(Clone, Debug)]
pub struct ReachedState {
    system: SystemState,
    depth: usize,
    trace: Option<Arc<Trace>>,
}

impl PartialEq for ReachedState {
    fn eq(&self, other: &Self) -> bool {
        self.system == other.system
    }
}

impl Eq for ReachedState {}

impl Hash for ReachedState {
    fn hash<H: Hasher>(&self, state: &mut H) {
        self.system.hash(state);
    }
}

/// Result of an exploration.
#[derive(Debug, Default)]
pub struct Findings {
    pub states: usize,
    pub depth: usize,
    /// First violation and the shortest path to it.
    pub violation: Option<(&'static str, Vec<Step>)>,
}

/// Explores every state that is reachable with steps in `scope` and stops at the first violation.
///
/// With `liveness`, also checks from every state that all models are served once faults stop.
pub fn explore(start: SystemState, scope: &[StepKind], liveness: bool) -> Findings {
    let start = ReachedState {
        system: start,
        depth: 0,
        trace: None,
    };
    let mut findings = Findings::default();
    let mut recovery_check = RecoveryCheck::default();
    for reached in bfs_reach(start, |reached| reached.successors(scope)) {
        findings.states += 1;
        findings.depth = findings.depth.max(reached.depth);
        let mut violation = reached.system.violation();
        if liveness && violation.is_none() {
            violation = recovery_check.violation_after_faults(&reached.system);
        }
        if let Some(violation) = violation {
            findings.violation = Some((violation, reached.steps()));
            break;
        }
    }
    findings
}

impl ReachedState {
    fn successors(&self, scope: &[StepKind]) -> Vec<Self> {
        if self.system.violation().is_some() {
            return Vec::new();
        }
        let next = |step: Step| {
            let trace = Trace {
                step,
                previous: self.trace.clone(),
            };
            Some(Self {
                system: self.system.after_step(step)?.canonical(),
                depth: self.depth + 1,
                trace: Some(Arc::new(trace)),
            })
        };
        let steps = self.system.steps().into_iter();
        let possible = steps.filter(|step| self.system.is_in_budget(step.kind(), scope));
        possible.filter_map(next).collect()
    }

    fn steps(&self) -> Vec<Step> {
        let mut steps = Vec::new();
        let mut trace = self.trace.as_ref();
        while let Some(last) = trace {
            steps.push(last.step);
            trace = last.previous.as_ref();
        }
        steps.reverse();
        steps
    }
}

impl SystemState {
    /// Orders the two nodes, which are interchangeable, so that states that differ only by their
    /// exchange are explored once.
    fn canonical(mut self) -> Self {
        let [first, second] = &self.nodes;
        let key = |node: &Node| node.view.as_ref().map(|view| view.head);
        if (key(second), &second.latest_confirmations) < (key(first), &first.latest_confirmations) {
            self.nodes.swap(0, 1);
        }
        self
    }

    /// Whether the kind of step is in scope and its budget of faults or changes is not used up.
    fn is_in_budget(&self, kind: StepKind, scope: &[StepKind]) -> bool {
        match kind {
            StepKind::Ordinary => true,
            StepKind::SetReplicas | StepKind::Leave => {
                self.changes_left > 0 && scope.contains(&kind)
            }
            _ => self.faults_left > 0 && scope.contains(&kind),
        }
    }

    /// Steps that may be possible in this state; those that are not yield no next state.
    pub fn steps(&self) -> Vec<Step> {
        let mut steps = vec![Step::Outage, Step::Recover];
        if self.now < TICKS && self.tick_has_effect() {
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
        let replica_changes = (0..=2).map(|replicas| Step::SetReplicas { model: 0, replicas });
        steps.extend(replica_changes);
        for endpoint in 0..self.endpoint_states.len() {
            self.endpoint_steps(endpoint, &mut steps);
        }
        steps
    }

    fn endpoint_steps(&self, endpoint: usize, steps: &mut Vec<Step>) {
        steps.extend([
            Step::DelayReport(endpoint),
            Step::RestartEngine(endpoint),
            Step::LoseHost(endpoint),
            Step::Successor(endpoint),
        ]);
        for standing in [
            MemberState::Usable,
            MemberState::Suspect,
            MemberState::Leaving,
        ] {
            steps.push(Step::SetStanding { endpoint, standing });
        }
        for index in 0..self.endpoint_states[endpoint].in_flight.len() {
            steps.extend([
                Step::Deliver { endpoint, index },
                Step::GiveUp { endpoint, index },
            ]);
        }
        for agent in 0..self.endpoint_states[endpoint].agents.len() {
            self.agent_steps(endpoint, agent, steps);
        }
    }

    fn agent_steps(&self, endpoint: usize, agent: usize, steps: &mut Vec<Step>) {
        steps.push(Step::LateReport { endpoint, agent });
        if self.report_has_effect(endpoint, agent) {
            steps.push(Step::Observe { endpoint, agent });
        }
        let nodes = 0..self.nodes.len();
        let useful = nodes.filter(|node| self.sync_has_effect(*node, endpoint, agent));
        steps.extend(useful.map(|node| Step::Sync {
            node,
            endpoint,
            agent,
        }));
        for delivery in [
            OrderDelivery::Immediate,
            OrderDelivery::Unreported,
            OrderDelivery::Delayed,
        ] {
            steps.push(Step::SendDueOrders {
                endpoint,
                agent,
                delivery,
            });
            if !self.order_limit_reached(endpoint, agent) {
                let loads = 0..MODELS.len();
                steps.extend(loads.map(|model| Step::Load {
                    endpoint,
                    agent,
                    model,
                    delivery,
                }));
            }
        }
    }

    /// Whether an order or a new agent waits for orders to expire.
    fn tick_has_effect(&self) -> bool {
        self.endpoint_states.iter().any(|endpoint| {
            let is_waiting = endpoint.newest_agent().is_some_and(|agent| {
                let replicas = agent.ledger.replicas();
                let uncertain = |r: &ReplicaStatus| r.state == ReplicaState::Uncertain;
                let contents_unknown = replicas.is_empty() && agent.ledger.memory_free_mb() == 0;
                contents_unknown || replicas.values().any(uncertain)
            });
            is_waiting || !endpoint.in_flight.is_empty()
        })
    }

    /// Whether a report would change what the agent knows. If the endpoint ignores fencing numbers,
    /// reports that only show that time has passed are left out to keep the state graph small.
    fn report_has_effect(&self, endpoint: usize, agent: usize) -> bool {
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

    /// Whether a view would change what the agent may do or must confirm.
    ///
    /// Views that only have a newer version are left out. That hides no violation: an agent with
    /// the older version is less constrained, not more.
    fn sync_has_effect(&self, node: usize, endpoint: usize, agent: usize) -> bool {
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
