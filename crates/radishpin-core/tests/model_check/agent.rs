//! Steps of agents and endpoints.

use super::{steps::*, system::*};
use radishpin_core::process::*;
use std::sync::Arc;

/// Number of orders after which an agent gets no more requests, which limits the state graph.
const MAX_ORDERS: u64 = 3;

impl SystemState {
    pub fn load(
        &mut self,
        endpoint: usize,
        agent: usize,
        model: usize,
        delivery: OrderDelivery,
    ) -> Option<()> {
        let now = self.clock(endpoint);
        let ledger = self.ledger(endpoint, agent)?;
        match ledger.request_load(&target(model), None, now) {
            LoadDecision::Issue(order) => self.send(endpoint, agent, vec![order], delivery),
            LoadDecision::Refused(LoadRefusal::NoMemory { evict, .. }) => {
                let orders: Vec<Order> = evict
                    .iter()
                    .filter_map(|target| ledger.request_unload(target, now))
                    .collect();
                self.send(endpoint, agent, orders, delivery)
            }
            _ => None,
        }
    }

    pub fn send_due_orders(
        &mut self,
        endpoint: usize,
        agent: usize,
        delivery: OrderDelivery,
    ) -> Option<()> {
        let now = self.clock(endpoint);
        let orders = self.ledger(endpoint, agent)?.due_orders(now);
        self.send(endpoint, agent, orders, delivery)
    }

    pub fn send(
        &mut self,
        endpoint: usize,
        agent: usize,
        orders: Vec<Order>,
        delivery: OrderDelivery,
    ) -> Option<()> {
        if orders.is_empty() {
            return None;
        }
        if delivery == OrderDelivery::Delayed {
            self.use_fault_budget()?;
            let sent_at = self.now;
            let in_flight = orders
                .into_iter()
                .map(|order| InFlightOrder { order, sent_at });
            self.endpoint_mut(endpoint).in_flight.extend(in_flight);
            return Some(());
        }
        for order in orders {
            let outcome = self.execute(endpoint, &order);
            let now = self.clock(endpoint);
            self.ledger(endpoint, agent)?
                .record_outcome(order.number, outcome, now);
        }
        if delivery == OrderDelivery::Unreported {
            return self.use_fault_budget();
        }
        self.observe(endpoint, agent)
    }

    /// Executes an order at the endpoint, or refuses it because of its fencing number.
    pub fn execute(&mut self, endpoint: usize, order: &Order) -> OrderOutcome {
        let fencing = self.setting.fencing;
        let engine = &mut self.endpoint_mut(endpoint).engine;
        let is_older = order.number.incarnation < engine.highest_number.incarnation;
        if fencing == Fencing::Checked && order.number <= engine.highest_number {
            return OrderOutcome::Failed;
        }
        engine.highest_number = engine.highest_number.max(order.number);
        engine.as_of = engine.as_of.max(order.number);
        engine.changes += 1;
        match order.kind {
            OrderKind::Load => engine.loaded.insert(order.target.clone()),
            OrderKind::Unload => engine.loaded.remove(&order.target),
        };
        if is_older {
            self.step_violation =
                Some("an order of an earlier incarnation took effect after a later one's");
        }
        OrderOutcome::Done
    }

    pub fn deliver(&mut self, endpoint: usize, index: usize) -> Option<()> {
        if index >= self.endpoint_states[endpoint].in_flight.len() {
            return None;
        }
        let order = self.endpoint_mut(endpoint).in_flight.remove(index).order;
        let outcome = self.execute(endpoint, &order);
        self.record_outcome(endpoint, order.number, outcome);
        Some(())
    }

    pub fn give_up(&mut self, endpoint: usize, index: usize) -> Option<()> {
        let number = self.endpoint_states[endpoint]
            .in_flight
            .get(index)?
            .order
            .number;
        let before = self.endpoint_states[endpoint].agents.clone();
        self.record_outcome(endpoint, number, OrderOutcome::Unknown);
        if self.endpoint_states[endpoint].agents == before {
            return None;
        }
        // Advances the clock, so that reports requested from now on are newer.
        self.endpoint_mut(endpoint).engine.changes += 1;
        Some(())
    }

    pub fn record_outcome(&mut self, endpoint: usize, number: OrderNumber, outcome: OrderOutcome) {
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

    pub fn delay_report(&mut self, endpoint: usize) -> Option<()> {
        self.endpoint_states[endpoint].newest_agent()?;
        self.use_fault_budget()?;
        self.endpoint_mut(endpoint).delayed_report = Some(self.report(endpoint));
        Some(())
    }

    pub fn late_report(&mut self, endpoint: usize, agent: usize) -> Option<()> {
        let report = self.endpoint_states[endpoint].delayed_report.clone()?;
        let now = self.clock(endpoint);
        self.ledger(endpoint, agent)?.apply_report(&report, now);
        self.endpoint_mut(endpoint).delayed_report = None;
        Some(())
    }

    /// Whether the agent has issued [`MAX_ORDERS`].
    pub fn order_limit_reached(&self, endpoint: usize, agent: usize) -> bool {
        let agent = self.endpoint_states[endpoint].agent(agent);
        agent.is_none_or(|agent| agent.ledger.orders_issued() >= MAX_ORDERS)
    }

    pub fn is_ready(&self, endpoint: usize, model: usize) -> bool {
        let Some(agent) = self.endpoint_states[endpoint].newest_agent() else {
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
