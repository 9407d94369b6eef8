//! Faults and the passing of time.

use super::system::*;
use radishpin_core::process::*;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

impl SystemState {
    pub fn restart_engine(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        self.spend_fault()?;
        let survive = self.setting.numbers_survive;
        let engine = &mut self.site(site).engine;
        engine.loaded.clear();
        engine.as_of = OrderNumber::default();
        engine.instance += 1;
        engine.changes += 1;
        if !survive {
            engine.highest = OrderNumber::default();
        }
        Some(())
    }

    pub fn lose_host(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        if self.sites.iter().any(|site| site.lost_hosts > 0) {
            return None;
        }
        self.spend_fault()?;
        let lost_hosts = self.sites[site].lost_hosts + 1;
        let engine = &self.sites[site].engine;
        let engine = Engine {
            loaded: BTreeSet::new(),
            highest: OrderNumber::default(),
            as_of: OrderNumber::default(),
            instance: engine.instance + 1,
            changes: engine.changes + 1,
        };
        *self.site(site) = Site {
            engine,
            agents: Vec::new(),
            flights: Vec::new(),
            late: None,
            lost_hosts,
            standing: Standing::Usable,
        };
        Some(())
    }

    pub fn successor(&mut self, site: usize) -> Option<()> {
        let registration = self.table.endpoints[site].value;
        if !self.platform_up || registration.incarnation > 1 {
            return None;
        }
        self.spend_fault()?;
        let reuse = self.setting.broken == Some(Broken::ReuseIncarnation);
        let registration = Registration {
            incarnation: registration.incarnation + u64::from(!reuse),
            host: self.sites[site].lost_hosts,
        };
        let table = Arc::make_mut(&mut self.table);
        table.head += 1;
        table.endpoints[site] = Row {
            version: table.head,
            value: registration,
        };
        table.update_agent_views();
        let floor = table.head;
        let agent = self.new_agent(registration.incarnation, floor, self.clock(site));
        let exclusive = self.setting.exclusive_address;
        let site = self.site(site);
        if exclusive {
            site.agents.clear();
        }
        site.agents.push(Arc::new(agent));
        Some(())
    }

    pub fn stand(&mut self, site: usize, standing: Standing) -> Option<()> {
        self.sites[site].newest()?;
        match standing {
            Standing::Usable => (),
            Standing::Suspect => self.spend_fault()?,
            Standing::Leaving => self.spend_change()?,
            Standing::Gone => return None,
        }
        self.site(site).standing = standing;
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
        for site in 0..self.sites.len() {
            while !self.sites[site].flights.is_empty() {
                self.give_up(site, 0);
                self.site(site).flights.remove(0);
            }
        }
        Some(())
    }
}
