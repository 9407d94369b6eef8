//! Liveness: once faults stop, every model is served.

use super::{
    steps::{OrderDelivery, Step},
    system::*,
};
use radishpin_core::process::{Fencing, MemberState};
use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Number of rounds, in which every process takes its steps, within which every model is served.
const ROUNDS: usize = 12;

/// Liveness check that remembers, by hash, the states from which every model was served.
#[derive(Debug, Default)]
pub struct RecoveryCheck {
    served_states: BTreeSet<u64>,
}

impl RecoveryCheck {
    /// Returns what is violated once faults stop and every process takes its steps in turn. Orders
    /// in flight are all delivered in a first run and all lost in a second one.
    pub fn violation_after_faults(&mut self, system: &SystemState) -> Option<&'static str> {
        let has_orders_in_flight = system
            .endpoint_states
            .iter()
            .any(|endpoint| !endpoint.in_flight.is_empty());
        self.violation_in_fair_run(system, true).or_else(|| {
            has_orders_in_flight
                .then(|| self.violation_in_fair_run(system, false))
                .flatten()
        })
    }

    fn violation_in_fair_run(
        &mut self,
        system: &SystemState,
        orders_arrive: bool,
    ) -> Option<&'static str> {
        let mut system = system.clone();
        system.stop_faults(orders_arrive);
        let mut served = [0, 1].map(|model| system.table.profiles[model].value == 0);
        let mut visited = Vec::new();
        for _ in 0..ROUNDS {
            system.propagate_views();
            let hash = system.hash_with(served);
            if self.served_states.contains(&hash) {
                break;
            }
            visited.push(hash);
            system.run_round(&mut served);
            if let Some(violation) = system.violation() {
                return Some(violation);
            }
            if served == [true, true] {
                break;
            }
        }
        if visited.len() == ROUNDS && served != [true, true] {
            return Some("a model is not served although faults have stopped");
        }
        self.served_states.extend(visited);
        None
    }
}

impl SystemState {
    fn hash_with(&self, served: [bool; 2]) -> u64 {
        let mut hasher = DefaultHasher::new();
        (self, served).hash(&mut hasher);
        hasher.finish()
    }

    fn step(&mut self, step: Step) {
        if let Some(next) = self.after_step(step) {
            *self = next;
        }
    }

    fn stop_faults(&mut self, orders_arrive: bool) {
        self.step(Step::Recover);
        for node in 0..self.nodes.len() {
            self.step(Step::StartNode(node));
        }
        for endpoint in 0..self.endpoint_states.len() {
            let standing = MemberState::Usable;
            self.step(Step::SetStanding { endpoint, standing });
            let agent = self.endpoint_states[endpoint]
                .agents
                .len()
                .saturating_sub(1);
            self.step(Step::LateReport { endpoint, agent });
            while !self.endpoint_states[endpoint].in_flight.is_empty() {
                if !orders_arrive {
                    self.step(Step::GiveUp { endpoint, index: 0 });
                    Arc::make_mut(&mut self.endpoint_states[endpoint])
                        .in_flight
                        .remove(0);
                }
                self.step(Step::Deliver { endpoint, index: 0 });
            }
        }
        self.faults_left = 0;
        self.changes_left = 0;
    }

    fn propagate_views(&mut self) {
        if let Fencing::Ignored { .. } = self.setting.fencing {
            self.step(Step::Tick);
        }
        for node in 0..self.nodes.len() {
            self.step(Step::Poll(node));
            for endpoint in 0..self.endpoint_states.len() {
                let agent = self.endpoint_states[endpoint]
                    .agents
                    .len()
                    .saturating_sub(1);
                self.step(Step::Sync {
                    node,
                    endpoint,
                    agent,
                });
            }
        }
    }

    fn run_round(&mut self, served: &mut [bool; 2]) {
        let delivery = OrderDelivery::Immediate;
        for endpoint in 0..self.endpoint_states.len() {
            let agent = self.endpoint_states[endpoint]
                .agents
                .len()
                .saturating_sub(1);
            self.step(Step::SendDueOrders {
                endpoint,
                agent,
                delivery,
            });
            self.step(Step::Observe { endpoint, agent });
        }
        for (model, served) in served.iter_mut().enumerate() {
            for endpoint in 0..self.endpoint_states.len() {
                let agent = self.endpoint_states[endpoint]
                    .agents
                    .len()
                    .saturating_sub(1);
                // The first attempt may only evict; the second loads after the report.
                for _ in 0..2 {
                    self.step(Step::Load {
                        endpoint,
                        agent,
                        model,
                        delivery,
                    });
                    self.step(Step::Observe { endpoint, agent });
                }
                *served |= self.is_ready(endpoint, model);
            }
        }
        for node in 0..self.nodes.len() {
            for model in 0..MODELS.len() {
                self.step(Step::Commit { node, model });
            }
        }
    }
}
