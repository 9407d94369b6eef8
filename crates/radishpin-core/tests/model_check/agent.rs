//! Steps of agents and endpoints.

use super::{steps::*, system::*};
use radishpin_core::process::*;
use std::sync::Arc;

/// Orders that an agent gives at most while the state graph is explored.
const ORDERS_AT_MOST: u64 = 3;

impl SystemState {
    pub fn load(
        &mut self,
        endpoint: usize,
        agent: usize,
        model: usize,
        travel: Travel,
    ) -> Option<()> {
        let now = self.clock(endpoint);
        let ledger = self.ledger(endpoint, agent)?;
        match ledger.request_load(&target(model), None, now) {
            LoadDecision::Issue(order) => self.send(endpoint, agent, vec![order], travel),
            LoadDecision::Refused(LoadRefusal::NoMemory { evict, .. }) => {
                let orders: Vec<Order> = evict
                    .iter()
                    .filter_map(|target| ledger.request_unload(target, now))
                    .collect();
                self.send(endpoint, agent, orders, travel)
            }
            _ => None,
        }
    }

    pub fn house(&mut self, endpoint: usize, agent: usize, travel: Travel) -> Option<()> {
        let now = self.clock(endpoint);
        let orders = self.ledger(endpoint, agent)?.due_orders(now);
        self.send(endpoint, agent, orders, travel)
    }

    pub fn send(
        &mut self,
        endpoint: usize,
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
            self.endpoint_mut(endpoint).flights.extend(flights);
            return Some(());
        }
        for order in orders {
            let outcome = self.act(endpoint, &order);
            let now = self.clock(endpoint);
            self.ledger(endpoint, agent)?
                .record_outcome(order.number, outcome, now);
        }
        if travel == Travel::Unreported {
            return self.spend_fault();
        }
        self.observe(endpoint, agent)
    }

    /// The endpoint carries an order out, or refuses it for its number.
    pub fn act(&mut self, endpoint: usize, order: &Order) -> OrderOutcome {
        let fencing = self.setting.fencing;
        let engine = &mut self.endpoint_mut(endpoint).engine;
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

    pub fn deliver(&mut self, endpoint: usize, flight: usize) -> Option<()> {
        if flight >= self.endpoint_states[endpoint].flights.len() {
            return None;
        }
        let order = self.endpoint_mut(endpoint).flights.remove(flight).order;
        let outcome = self.act(endpoint, &order);
        self.settle(endpoint, order.number, outcome);
        Some(())
    }

    pub fn give_up(&mut self, endpoint: usize, flight: usize) -> Option<()> {
        let number = self.endpoint_states[endpoint]
            .flights
            .get(flight)?
            .order
            .number;
        let before = self.endpoint_states[endpoint].agents.clone();
        self.settle(endpoint, number, OrderOutcome::Unknown);
        if self.endpoint_states[endpoint].agents == before {
            return None;
        }
        // Reports asked for from now on are newer.
        self.endpoint_mut(endpoint).engine.changes += 1;
        Some(())
    }

    pub fn settle(&mut self, endpoint: usize, number: OrderNumber, outcome: OrderOutcome) {
        let now = self.clock(endpoint);
        for agent in &mut self.endpoint_mut(endpoint).agents {
            if agent.ledger.incarnation() == number.incarnation {
                Arc::make_mut(agent)
                    .ledger
                    .record_outcome(number, outcome, now);
            }
        }
    }

    pub fn observe(&mut self, endpoint: usize, agent: usize) -> Option<()> {
        let report = self.report(endpoint);
        let now = self.clock(endpoint);
        self.ledger(endpoint, agent)?.apply_report(&report, now);
        Some(())
    }

    pub fn make_report(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest()?;
        self.spend_fault()?;
        self.endpoint_mut(endpoint).late = Some(self.report(endpoint));
        Some(())
    }

    pub fn late_report(&mut self, endpoint: usize, agent: usize) -> Option<()> {
        let report = self.endpoint_states[endpoint].late.clone()?;
        let now = self.clock(endpoint);
        self.ledger(endpoint, agent)?.apply_report(&report, now);
        self.endpoint_mut(endpoint).late = None;
        Some(())
    }

    /// Whether the agent has given as many orders as an exploration allows.
    pub fn orders_spent(&self, endpoint: usize, agent: usize) -> bool {
        let agent = self.endpoint_states[endpoint].agent(agent);
        agent.is_none_or(|agent| agent.ledger.orders_issued() >= ORDERS_AT_MOST)
    }

    pub fn is_ready(&self, endpoint: usize, model: usize) -> bool {
        let Some(agent) = self.endpoint_states[endpoint].newest() else {
            return false;
        };
        let target: Target = target(model);
        let mut ledger = agent.ledger.clone();
        let ready = ledger.request_load(&target, None, self.clock(endpoint)) == LoadDecision::Ready;
        ready
            && self.endpoint_states[endpoint]
                .engine
                .loaded
                .contains(&target)
    }
}
