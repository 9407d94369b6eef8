//! Steps of faults, standings and time.

use super::system::*;
use radishpin_core::process::*;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

impl SystemState {
    pub fn restart_engine(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest_agent()?;
        self.use_fault_budget()?;
        let numbers_persist = self.setting.numbers_persist;
        let engine = &mut self.endpoint_mut(endpoint).engine;
        engine.loaded.clear();
        engine.as_of = OrderNumber::default();
        engine.instance += 1;
        engine.changes += 1;
        if !numbers_persist {
            engine.highest_number = OrderNumber::default();
        }
        Some(())
    }

    pub fn lose_host(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest_agent()?;
        if self
            .endpoint_states
            .iter()
            .any(|endpoint| endpoint.lost_hosts > 0)
        {
            return None;
        }
        self.use_fault_budget()?;
        let lost_hosts = self.endpoint_states[endpoint].lost_hosts + 1;
        let engine = &self.endpoint_states[endpoint].engine;
        let engine = Engine {
            loaded: BTreeSet::new(),
            highest_number: OrderNumber::default(),
            as_of: OrderNumber::default(),
            instance: engine.instance + 1,
            changes: engine.changes + 1,
        };
        *self.endpoint_mut(endpoint) = EndpointState {
            engine,
            agents: Vec::new(),
            in_flight: Vec::new(),
            delayed_report: None,
            lost_hosts,
            standing: MemberState::Usable,
        };
        Some(())
    }

    pub fn register_successor(&mut self, endpoint: usize) -> Option<()> {
        let registration = self.table.endpoints[endpoint].value;
        if !self.platform_up || registration.incarnation > 1 {
            return None;
        }
        self.use_fault_budget()?;
        let reuse_incarnation = self.setting.broken_rule == Some(BrokenRule::ReuseIncarnation);
        let registration = Registration {
            incarnation: registration.incarnation + u64::from(!reuse_incarnation),
            host: self.endpoint_states[endpoint].lost_hosts,
        };
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.endpoints[endpoint] = Row {
            version: table.head,
            value: registration,
        };
        table.update_agent_views();
        let registration_version = table.head;
        let agent = self.new_agent(
            registration.incarnation,
            registration_version,
            self.clock(endpoint),
        );
        let exclusive_address = self.setting.exclusive_address;
        let endpoint = self.endpoint_mut(endpoint);
        if exclusive_address {
            endpoint.agents.clear();
        }
        endpoint.agents.push(Arc::new(agent));
        Some(())
    }

    pub fn set_standing(&mut self, endpoint: usize, standing: MemberState) -> Option<()> {
        self.endpoint_states[endpoint].newest_agent()?;
        match standing {
            MemberState::Usable => (),
            MemberState::Suspect => self.use_fault_budget()?,
            MemberState::Leaving => self.use_change_budget()?,
            MemberState::Gone => return None,
        }
        self.endpoint_mut(endpoint).standing = standing;
        Some(())
    }

    pub fn outage(&mut self) -> Option<()> {
        if !self.platform_up {
            return None;
        }
        self.use_fault_budget()?;
        self.platform_up = false;
        Some(())
    }

    pub const fn recover(&mut self) -> Option<()> {
        self.platform_up = true;
        Some(())
    }

    /// Advances the clock by one tick, in which all orders in flight expire.
    pub fn tick(&mut self) -> Option<()> {
        self.now += 1;
        let Fencing::Ignored { .. } = self.setting.fencing else {
            return None;
        };
        for endpoint in 0..self.endpoint_states.len() {
            while !self.endpoint_states[endpoint].in_flight.is_empty() {
                self.give_up(endpoint, 0);
                self.endpoint_mut(endpoint).in_flight.remove(0);
            }
        }
        Some(())
    }
}
