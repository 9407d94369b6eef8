//! Faults and the passing of time.

use super::system::*;
use radishpin_core::process::*;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

impl SystemState {
    pub fn restart_engine(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest()?;
        self.spend_fault()?;
        let survive = self.setting.numbers_survive;
        let engine = &mut self.endpoint_mut(endpoint).engine;
        engine.loaded.clear();
        engine.as_of = OrderNumber::default();
        engine.instance += 1;
        engine.changes += 1;
        if !survive {
            engine.highest = OrderNumber::default();
        }
        Some(())
    }

    pub fn lose_host(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest()?;
        if self
            .endpoint_states
            .iter()
            .any(|endpoint| endpoint.lost_hosts > 0)
        {
            return None;
        }
        self.spend_fault()?;
        let lost_hosts = self.endpoint_states[endpoint].lost_hosts + 1;
        let engine = &self.endpoint_states[endpoint].engine;
        let engine = Engine {
            loaded: BTreeSet::new(),
            highest: OrderNumber::default(),
            as_of: OrderNumber::default(),
            instance: engine.instance + 1,
            changes: engine.changes + 1,
        };
        *self.endpoint_mut(endpoint) = EndpointState {
            engine,
            agents: Vec::new(),
            flights: Vec::new(),
            late: None,
            lost_hosts,
            standing: Standing::Usable,
        };
        Some(())
    }

    pub fn successor(&mut self, endpoint: usize) -> Option<()> {
        let registration = self.table.endpoints[endpoint].value;
        if !self.platform_up || registration.incarnation > 1 {
            return None;
        }
        self.spend_fault()?;
        let reuse = self.setting.broken == Some(Broken::ReuseIncarnation);
        let registration = Registration {
            incarnation: registration.incarnation + u64::from(!reuse),
            host: self.endpoint_states[endpoint].lost_hosts,
        };
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.endpoints[endpoint] = Row {
            version: table.head,
            value: registration,
        };
        table.update_agent_views();
        let floor = table.head;
        let agent = self.new_agent(registration.incarnation, floor, self.clock(endpoint));
        let exclusive = self.setting.exclusive_address;
        let endpoint = self.endpoint_mut(endpoint);
        if exclusive {
            endpoint.agents.clear();
        }
        endpoint.agents.push(Arc::new(agent));
        Some(())
    }

    pub fn stand(&mut self, endpoint: usize, standing: Standing) -> Option<()> {
        self.endpoint_states[endpoint].newest()?;
        match standing {
            Standing::Usable => (),
            Standing::Suspect => self.spend_fault()?,
            Standing::Leaving => self.spend_change()?,
            Standing::Gone => return None,
        }
        self.endpoint_mut(endpoint).standing = standing;
        Some(())
    }

    pub fn outage(&mut self) -> Option<()> {
        if !self.platform_up {
            return None;
        }
        self.spend_fault()?;
        self.platform_up = false;
        Some(())
    }

    pub const fn recover(&mut self) -> Option<()> {
        self.platform_up = true;
        Some(())
    }

    /// Time passes; orders that are older than their life can no longer arrive.
    pub fn tick(&mut self) -> Option<()> {
        self.now += 1;
        let Fencing::Ignored { .. } = self.setting.fencing else {
            return None;
        };
        for endpoint in 0..self.endpoint_states.len() {
            while !self.endpoint_states[endpoint].flights.is_empty() {
                self.give_up(endpoint, 0);
                self.endpoint_mut(endpoint).flights.remove(0);
            }
        }
        Some(())
    }
}
