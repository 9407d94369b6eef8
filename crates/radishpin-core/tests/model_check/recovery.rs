//! The path to served once faults stop.

use super::{
    steps::{Step, Travel},
    system::*,
};
use radishpin_core::process::{Fencing, Standing};
use std::{
    collections::BTreeSet,
    hash::{DefaultHasher, Hash, Hasher},
    sync::Arc,
};

/// Rounds of fair steps within which every model is served.
const ROUNDS: usize = 12;

/// Hashes of states from which every model was served once faults had stopped.
#[derive(Debug, Default)]
pub struct Recovered {
    served: BTreeSet<u64>,
}

impl Recovered {
    /// What goes wrong once faults stop and every process takes its steps in turn: with the
    /// orders on their way all delivered, and with all of them lost.
    pub fn fault_after(&mut self, system: &SystemState) -> Option<&'static str> {
        let on_their_way = system
            .endpoint_states
            .iter()
            .any(|endpoint| !endpoint.flights.is_empty());
        self.fault_in_turns(system, true).or_else(|| {
            on_their_way
                .then(|| self.fault_in_turns(system, false))
                .flatten()
        })
    }

    fn fault_in_turns(
        &mut self,
        system: &SystemState,
        orders_arrive: bool,
    ) -> Option<&'static str> {
        let mut system = system.clone();
        system.stop_faults(orders_arrive);
        let mut served = [0, 1].map(|model| system.table.profiles[model].value == 0);
        let mut passed = Vec::new();
        for _ in 0..ROUNDS {
            system.spread_views();
            let hash = system.hash_with(served);
            if self.served.contains(&hash) {
                break;
            }
            passed.push(hash);
            system.serve(&mut served);
            if let Some(violation) = system.violation() {
                return Some(violation);
            }
            if served == [true, true] {
                break;
            }
        }
        if passed.len() == ROUNDS && served != [true, true] {
            return Some("a model is not served although faults have stopped");
        }
        self.served.extend(passed);
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
        if let Some(next) = self.after(step) {
            *self = next;
        }
    }

    fn stop_faults(&mut self, orders_arrive: bool) {
        self.step(Step::Recover);
        for node in 0..self.nodes.len() {
            self.step(Step::StartNode(node));
        }
        for endpoint in 0..self.endpoint_states.len() {
            let standing = Standing::Usable;
            self.step(Step::Stand { endpoint, standing });
            let agent = self.endpoint_states[endpoint]
                .agents
                .len()
                .saturating_sub(1);
            self.step(Step::LateReport { endpoint, agent });
            while !self.endpoint_states[endpoint].flights.is_empty() {
                if !orders_arrive {
                    self.step(Step::GiveUp {
                        endpoint,
                        flight: 0,
                    });
                    Arc::make_mut(&mut self.endpoint_states[endpoint])
                        .flights
                        .remove(0);
                }
                self.step(Step::Deliver {
                    endpoint,
                    flight: 0,
                });
            }
        }
        self.faults_left = 0;
        self.changes_left = 0;
    }

    fn spread_views(&mut self) {
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

    fn serve(&mut self, served: &mut [bool; 2]) {
        let travel = Travel::AtOnce;
        for endpoint in 0..self.endpoint_states.len() {
            let agent = self.endpoint_states[endpoint]
                .agents
                .len()
                .saturating_sub(1);
            self.step(Step::House {
                endpoint,
                agent,
                travel,
            });
            self.step(Step::Observe { endpoint, agent });
        }
        for (model, served) in served.iter_mut().enumerate() {
            for endpoint in 0..self.endpoint_states.len() {
                let agent = self.endpoint_states[endpoint]
                    .agents
                    .len()
                    .saturating_sub(1);
                // The first may make room; the request waits for the report and asks again.
                for _ in 0..2 {
                    self.step(Step::Load {
                        endpoint,
                        agent,
                        model,
                        travel,
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
