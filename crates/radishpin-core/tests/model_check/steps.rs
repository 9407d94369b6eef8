//! Steps of the specification; they call the decision functions of radishpin-core.

use super::system::*;
use radishpin_core::process::*;
use std::sync::Arc;

/// How the orders of a step are delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderDelivery {
    /// Executed, answered and reported within the step.
    Immediate,
    /// Executed and answered within the step; reported later.
    Unreported,
    /// Left in flight, to be delivered later or never.
    Delayed,
}

/// Kind of a step: ordinary work, a change by an operator, or a certain fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StepKind {
    Ordinary,
    SetReplicas,
    Leave,
    Unreported,
    Delayed,
    LateReport,
    RestartEngine,
    LoseHost,
    Successor,
    Suspect,
    Outage,
    StopNode,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// A node reads the newest view from the platform.
    Poll(usize),
    /// A node sends an agent its view and receives the agent's confirmation.
    Sync {
        node: usize,
        endpoint: usize,
        agent: usize,
    },
    /// A node plans a model's next record from its view and commits it.
    Commit {
        node: usize,
        model: usize,
    },
    /// A request for a model makes its agent load it.
    Load {
        endpoint: usize,
        agent: usize,
        model: usize,
        delivery: OrderDelivery,
    },
    SendDueOrders {
        endpoint: usize,
        agent: usize,
        delivery: OrderDelivery,
    },
    /// An order in flight arrives and is answered.
    Deliver {
        endpoint: usize,
        index: usize,
    },
    /// An agent stops waiting for an answer; the order stays in flight.
    GiveUp {
        endpoint: usize,
        index: usize,
    },
    /// An agent reads the report of its endpoint.
    Observe {
        endpoint: usize,
        agent: usize,
    },
    /// A report is created that will arrive late.
    DelayReport(usize),
    LateReport {
        endpoint: usize,
        agent: usize,
    },
    RestartEngine(usize),
    LoseHost(usize),
    /// A new agent registers, on a new host if the old host was lost.
    Successor(usize),
    SetStanding {
        endpoint: usize,
        standing: MemberState,
    },
    /// An operator sets the maximum number of replicas of a model.
    SetReplicas {
        model: usize,
        replicas: u32,
    },
    Outage,
    Recover,
    Tick,
    StopNode(usize),
    StartNode(usize),
}

impl Step {
    pub const fn kind(self) -> StepKind {
        match self {
            Self::SetReplicas { .. } => StepKind::SetReplicas,
            Self::SetStanding { standing, .. } => match standing {
                MemberState::Leaving => StepKind::Leave,
                MemberState::Suspect => StepKind::Suspect,
                MemberState::Usable | MemberState::Gone => StepKind::Ordinary,
            },
            Self::Load { delivery, .. } | Self::SendDueOrders { delivery, .. } => match delivery {
                OrderDelivery::Immediate => StepKind::Ordinary,
                OrderDelivery::Unreported => StepKind::Unreported,
                OrderDelivery::Delayed => StepKind::Delayed,
            },
            Self::DelayReport(_) => StepKind::LateReport,
            Self::RestartEngine(_) => StepKind::RestartEngine,
            Self::LoseHost(_) => StepKind::LoseHost,
            Self::Successor(_) => StepKind::Successor,
            Self::Outage => StepKind::Outage,
            Self::StopNode(_) => StepKind::StopNode,
            _ => StepKind::Ordinary,
        }
    }
}

impl SystemState {
    /// The state after the step; `None` if the step is not possible or changes nothing.
    pub fn after_step(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        next.apply(step)?;
        (next != *self).then_some(next)
    }

    pub fn apply(&mut self, step: Step) -> Option<()> {
        match step {
            Step::Poll(node) => self.poll(node),
            Step::Sync {
                node,
                endpoint,
                agent,
            } => self.sync(node, endpoint, agent),
            Step::Commit { node, model } => self.commit(node, model),
            Step::Load {
                endpoint,
                agent,
                model,
                delivery,
            } => self.load(endpoint, agent, model, delivery),
            Step::SendDueOrders {
                endpoint,
                agent,
                delivery,
            } => self.send_due_orders(endpoint, agent, delivery),
            Step::Deliver { endpoint, index } => self.deliver(endpoint, index),
            Step::GiveUp { endpoint, index } => self.give_up(endpoint, index),
            Step::Observe { endpoint, agent } => self.observe(endpoint, agent),
            Step::DelayReport(endpoint) => self.delay_report(endpoint),
            Step::LateReport { endpoint, agent } => self.late_report(endpoint, agent),
            Step::RestartEngine(endpoint) => self.restart_engine(endpoint),
            Step::LoseHost(endpoint) => self.lose_host(endpoint),
            Step::Successor(endpoint) => self.register_successor(endpoint),
            Step::SetStanding { endpoint, standing } => self.set_standing(endpoint, standing),
            Step::SetReplicas { model, replicas } => self.set_replicas(model, replicas),
            Step::Outage => self.outage(),
            Step::Recover => self.recover(),
            Step::Tick => self.tick(),
            Step::StopNode(node) => self.stop_node(node),
            Step::StartNode(node) => self.start_node(node),
        }
    }

    pub fn endpoint_mut(&mut self, endpoint: usize) -> &mut EndpointState {
        Arc::make_mut(&mut self.endpoint_states[endpoint])
    }

    pub fn agent(&mut self, endpoint: usize, agent: usize) -> Option<&mut Agent> {
        self.endpoint_mut(endpoint)
            .agents
            .get_mut(agent)
            .map(Arc::make_mut)
    }

    pub fn ledger(&mut self, endpoint: usize, agent: usize) -> Option<&mut ReplicaLedger> {
        Some(&mut self.agent(endpoint, agent)?.ledger)
    }

    pub fn use_fault_budget(&mut self) -> Option<()> {
        self.faults_left = self.faults_left.checked_sub(1)?;
        Some(())
    }

    pub fn use_change_budget(&mut self) -> Option<()> {
        self.changes_left = self.changes_left.checked_sub(1)?;
        Some(())
    }
}
