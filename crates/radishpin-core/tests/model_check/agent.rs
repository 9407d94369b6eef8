//! Steps of agents and endpoints.

use super::{steps::*, system::*};
use radishpin_core::process::*;
use std::sync::Arc;

/// Orders that an agent gives at most while the state graph is explored.
const ORDERS_AT_MOST: u64 = 3;

impl SystemState {
    pub fn load(&mut self, site: usize, agent: usize, model: usize, travel: Travel) -> Option<()> {
        let now = self.clock(site);
        let ledger = self.ledger(site, agent)?;
        match ledger.request_load(&target(model), None, now) {
            LoadDecision::Issue(order) => self.send(site, agent, vec![order], travel),
            LoadDecision::Refused(LoadRefusal::NoMemory { evict, .. }) => {
                let orders: Vec<Order> = evict
                    .iter()
                    .filter_map(|target| ledger.request_unload(target, now))
                    .collect();
                self.send(site, agent, orders, travel)
            }
            _ => None,
        }
    }

    pub fn house(&mut self, site: usize, agent: usize, travel: Travel) -> Option<()> {
        let now = self.clock(site);
        let orders = self.ledger(site, agent)?.due_orders(now);
        self.send(site, agent, orders, travel)
    }

    pub fn send(
        &mut self,
        site: usize,
        agent: usize,
        orders: Vec<Order>,
        travel: Travel,
    ) -> Option<()> {
        if orders.is_empty() {
            return None;
        }
        if travel == Travel::Delayed {
            self.spend_fault()?;
            let sent_at = self.now;
            let flights = orders.into_iter().map(|order| Flight { order, sent_at });
            self.site(site).flights.extend(flights);
            return Some(());
        }
        for order in orders {
            let outcome = self.act(site, &order);
            let now = self.clock(site);
            self.ledger(site, agent)?
                .record_outcome(order.number, outcome, now);
        }
        if travel == Travel::Unreported {
            return self.spend_fault();
        }
        self.observe(site, agent)
    }

    /// The endpoint carries an order out, or refuses it for its number.
    pub fn act(&mut self, site: usize, order: &Order) -> OrderOutcome {
        let fencing = self.setting.fencing;
        let engine = &mut self.site(site).engine;
        let older = order.number.incarnation < engine.highest.incarnation;
        if fencing == Fencing::Checked && order.number <= engine.highest {
            return OrderOutcome::Failed;
        }
        engine.highest = engine.highest.max(order.number);
        engine.as_of = engine.as_of.max(order.number);
        engine.changes += 1;
        match order.kind {
            OrderKind::Load => engine.loaded.insert(order.target.clone()),
            OrderKind::Unload => engine.loaded.remove(&order.target),
        };
        if older {
            self.alarm = Some("an order of an earlier incarnation took effect after a later one's");
        }
        OrderOutcome::Done
    }

    pub fn deliver(&mut self, site: usize, flight: usize) -> Option<()> {
        if flight >= self.sites[site].flights.len() {
            return None;
        }
        let order = self.site(site).flights.remove(flight).order;
        let outcome = self.act(site, &order);
        self.settle(site, order.number, outcome);
        Some(())
    }

    pub fn give_up(&mut self, site: usize, flight: usize) -> Option<()> {
        let number = self.sites[site].flights.get(flight)?.order.number;
        let before = self.sites[site].agents.clone();
        self.settle(site, number, OrderOutcome::Unknown);
        if self.sites[site].agents == before {
            return None;
        }
        // Reports asked for from now on are newer.
        self.site(site).engine.changes += 1;
        Some(())
    }

    pub fn settle(&mut self, site: usize, number: OrderNumber, outcome: OrderOutcome) {
        let now = self.clock(site);
        for agent in &mut self.site(site).agents {
            if agent.ledger.incarnation() == number.incarnation {
                Arc::make_mut(agent)
                    .ledger
                    .record_outcome(number, outcome, now);
            }
        }
    }

    pub fn observe(&mut self, site: usize, agent: usize) -> Option<()> {
        let report = self.report(site);
        let now = self.clock(site);
        self.ledger(site, agent)?.apply_report(&report, now);
        Some(())
    }

    pub fn make_report(&mut self, site: usize) -> Option<()> {
        self.sites[site].newest()?;
        self.spend_fault()?;
        self.site(site).late = Some(self.report(site));
        Some(())
    }

    pub fn late_report(&mut self, site: usize, agent: usize) -> Option<()> {
        let report = self.sites[site].late.clone()?;
        let now = self.clock(site);
        self.ledger(site, agent)?.apply_report(&report, now);
        self.site(site).late = None;
        Some(())
    }

    /// Whether the agent has given as many orders as an exploration allows.
    pub fn orders_spent(&self, site: usize, agent: usize) -> bool {
        let agent = self.sites[site].agent(agent);
        agent.is_none_or(|agent| agent.ledger.orders_issued() >= ORDERS_AT_MOST)
    }

    pub fn is_ready(&self, site: usize, model: usize) -> bool {
        let Some(agent) = self.sites[site].newest() else {
            return false;
        };
        let target: Target = target(model);
        let mut ledger = agent.ledger.clone();
        let ready = ledger.request_load(&target, None, self.clock(site)) == LoadDecision::Ready;
        ready && self.sites[site].engine.loaded.contains(&target)
    }
}
