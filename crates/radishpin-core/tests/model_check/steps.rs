//! Steps of the specification; the decisions in them are those of radishpin-core.

use super::system::*;
use radishpin_core::process::*;
use std::sync::Arc;

/// How the orders of a step travel.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Travel {
    /// Carried out, answered and reported within the step.
    AtOnce,
    /// Carried out and answered; the report comes later.
    Unreported,
    /// Left on their way: delivered later, or never.
    Delayed,
}

/// What a step stands for: ordinary work, a change by an operator, or a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Ordinary,
    Decide,
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
    /// A node takes the platform's newest view.
    Poll(usize),
    /// A node gives an agent its view and hears its word.
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
    /// A request asks an agent for a model.
    Load {
        endpoint: usize,
        agent: usize,
        model: usize,
        travel: Travel,
    },
    House {
        endpoint: usize,
        agent: usize,
        travel: Travel,
    },
    /// An order that was on its way arrives and is answered.
    Deliver {
        endpoint: usize,
        flight: usize,
    },
    /// An agent stops waiting for an answer; the order is still on its way.
    GiveUp {
        endpoint: usize,
        flight: usize,
    },
    /// An agent reads its endpoint's report.
    Observe {
        endpoint: usize,
        agent: usize,
    },
    /// A report is made that will arrive late.
    MakeReport(usize),
    LateReport {
        endpoint: usize,
        agent: usize,
    },
    RestartEngine(usize),
    LoseHost(usize),
    /// A new agent registers, on a new host where the old one was lost.
    Successor(usize),
    Stand {
        endpoint: usize,
        standing: Standing,
    },
    /// An operator sets how many replicas a model may have.
    Decide {
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
    pub const fn kind(self) -> Kind {
        match self {
            Self::Decide { .. } => Kind::Decide,
            Self::Stand { standing, .. } => match standing {
                Standing::Leaving => Kind::Leave,
                Standing::Suspect => Kind::Suspect,
                Standing::Usable | Standing::Gone => Kind::Ordinary,
            },
            Self::Load { travel, .. } | Self::House { travel, .. } => match travel {
                Travel::AtOnce => Kind::Ordinary,
                Travel::Unreported => Kind::Unreported,
                Travel::Delayed => Kind::Delayed,
            },
            Self::MakeReport(_) => Kind::LateReport,
            Self::RestartEngine(_) => Kind::RestartEngine,
            Self::LoseHost(_) => Kind::LoseHost,
            Self::Successor(_) => Kind::Successor,
            Self::Outage => Kind::Outage,
            Self::StopNode(_) => Kind::StopNode,
            _ => Kind::Ordinary,
        }
    }
}

impl SystemState {
    /// The state after the step; `None` where it cannot be taken or changes nothing.
    pub fn after(&self, step: Step) -> Option<Self> {
        let mut next = self.clone();
        next.take(step)?;
        (next != *self).then_some(next)
    }

    pub fn take(&mut self, step: Step) -> Option<()> {
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
                travel,
            } => self.load(endpoint, agent, model, travel),
            Step::House {
                endpoint,
                agent,
                travel,
            } => self.house(endpoint, agent, travel),
            Step::Deliver { endpoint, flight } => self.deliver(endpoint, flight),
            Step::GiveUp { endpoint, flight } => self.give_up(endpoint, flight),
            Step::Observe { endpoint, agent } => self.observe(endpoint, agent),
            Step::MakeReport(endpoint) => self.make_report(endpoint),
            Step::LateReport { endpoint, agent } => self.late_report(endpoint, agent),
            Step::RestartEngine(endpoint) => self.restart_engine(endpoint),
            Step::LoseHost(endpoint) => self.lose_host(endpoint),
            Step::Successor(endpoint) => self.successor(endpoint),
            Step::Stand { endpoint, standing } => self.stand(endpoint, standing),
            Step::Decide { model, replicas } => self.decide(model, replicas),
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

    pub fn spend_fault(&mut self) -> Option<()> {
        self.faults_left = self.faults_left.checked_sub(1)?;
        Some(())
    }

    pub fn spend_change(&mut self) -> Option<()> {
        self.changes_left = self.changes_left.checked_sub(1)?;
        Some(())
    }
}
