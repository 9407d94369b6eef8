//! Initial states of explorations.

use super::{steps::*, system::*};
use radishpin_core::process::*;
use radishpin_protocol::{Grant, GrantState, ModelRecord, prelude::*};
use std::sync::Arc;

impl SystemState {
    /// Creates an initial state: agents are registered, their endpoints are empty, and `holders`
    /// lists the endpoints with a grant for each model.
    pub fn start(setting: Setting, holders: [&[usize]; 2], faults: u8, changes: u8) -> Self {
        let row = |value| Row { version: 1, value };
        let row_of = |value: u32| Row { version: 1, value };
        let record = |model: usize, holders: &[usize]| {
            let grant = Grant {
                state: GrantState::Held,
                since_version: 0,
            };
            row(ModelRecord {
                service: MODELS[model].to_owned(),
                size_mb: SIZE_MB,
                replicas: holders.iter().map(|_| 1).sum(),
                grants: holders
                    .iter()
                    .map(|endpoint| (ENDPOINTS[*endpoint].to_owned(), grant))
                    .collect(),
            })
        };
        let registration = Row {
            version: 1,
            value: Registration {
                incarnation: 1,
                host: 0,
            },
        };
        let mut table = Table {
            head: 1,
            models: [record(0, holders[0]), record(1, holders[1])],
            profiles: holders.map(|holders| row_of(holders.iter().map(|_| 1).sum())),
            endpoints: [(); 3].map(|()| registration.clone()),
            agent_views: Default::default(),
        };
        table.update_agent_views();
        let table = Arc::new(table);
        let endpoint = EndpointState {
            engine: Engine::default(),
            agents: Vec::new(),
            in_flight: Vec::new(),
            delayed_report: None,
            lost_hosts: 0,
            standing: MemberState::Usable,
        };
        let node = Node {
            view: Some(table.clone()),
            latest_confirmations: Default::default(),
        };
        let mut system = Self {
            setting,
            table,
            platform_up: true,
            nodes: [node.clone(), node],
            endpoint_states: [(); 3].map(|()| Arc::new(endpoint.clone())),
            now: 0,
            faults_left: faults,
            changes_left: changes,
            step_violation: None,
        };
        system.start_agents();
        system
    }

    pub fn start_agents(&mut self) {
        if let Fencing::Ignored { .. } = self.setting.fencing {
            self.now = 2;
        }
        for endpoint in 0..self.endpoint_states.len() {
            let agent = self.new_agent(1, 1, Duration::ZERO);
            self.endpoint_mut(endpoint).agents.push(Arc::new(agent));
            self.send_due_orders(endpoint, 0, OrderDelivery::Immediate);
            self.observe(endpoint, 0);
            self.sync(0, endpoint, 0);
        }
    }

    pub fn new_agent(
        &self,
        incarnation: Incarnation,
        registration_version: Version,
        now: Duration,
    ) -> Agent {
        let fencing = self.setting.fencing;
        let ledger = ReplicaLedger::new(incarnation, registration_version, MEMORY_MB, fencing, now);
        let ledger = match self.setting.broken_rule {
            Some(BrokenRule::Core(mutation)) => ledger.with_mutation(mutation),
            _ => ledger,
        };
        Agent {
            ledger,
            max_view_version: 0,
        }
    }
}
