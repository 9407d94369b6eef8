//! Orders that no request asks for: fences, unloads of idle and revoked replicas, preloads.

use super::{LoadDecision, LoadRefusal, ReplicaLedger, ReplicaState, replica::Stage};
use crate::process::{FENCE_MODEL, Fencing, Order, OrderKind, OrderNumber, Target};
use radishpin_protocol::{GrantState, prelude::*};

impl ReplicaLedger {
    /// Orders that are due now; call it about once a second and after each view.
    ///
    /// A fence where an older order has to be ruled out; unloads of idle replicas whose grant is
    /// revoked or gone, and of those idle for longer than their profile says; loads of replicas
    /// that are kept loaded, and unloads that make room for them.
    pub fn due_orders(&mut self, now: Duration) -> Vec<Order> {
        if self.superseded {
            return Vec::new();
        }
        let mut orders: Vec<Order> = self.fence().into_iter().collect();
        if !self.may_order() {
            return orders;
        }
        for target in self.due_for_unload(now) {
            orders.extend(self.request_unload(&target, now));
        }
        for model in self.due_for_preload() {
            orders.extend(self.preload(&model, now));
        }
        orders
    }

    /// The refusal of a load for want of memory, with the cheapest way to make room.
    pub(super) fn no_memory(&self, target: &Target, needed_mb: SizeMb) -> LoadRefusal {
        let free_mb = self.memory.free_mb();
        let releasing_mb = self.releasing_mb();
        let coming_mb = free_mb.saturating_add(releasing_mb);
        LoadRefusal::NoMemory {
            needed_mb,
            free_mb,
            releasing_mb,
            evict: self.evict(target, needed_mb.saturating_sub(coming_mb)),
        }
    }

    fn fence(&mut self) -> Option<Order> {
        if self.fencing != Fencing::Checked || self.fence_in_flight.is_some() {
            return None;
        }
        let needed = self.fence_needed();
        if self.as_of() >= needed || self.acted >= needed {
            return None;
        }
        let target = Target::Model(FENCE_MODEL.to_owned());
        let order = self.number_order(OrderKind::Unload, &target, 0);
        self.fence_in_flight = Some(order.number);
        Some(order)
    }

    /// Number that the endpoint must have acted on before its reports settle everything.
    fn fence_needed(&self) -> OrderNumber {
        let first = OrderNumber {
            incarnation: self.incarnation,
            sequence: 1,
        };
        let unknown = self.replicas.values().filter_map(|replica| {
            let pending = replica.pending?;
            (pending.stage == Stage::Unknown).then_some(pending.number)
        });
        unknown.fold(first, OrderNumber::max)
    }

    fn due_for_unload(&self, now: Duration) -> Vec<Target> {
        let due = |target: &&Target| self.unloadable(target) && self.is_due(target, now);
        self.replicas.keys().filter(due).cloned().collect()
    }

    fn is_due(&self, target: &Target, now: Duration) -> bool {
        let Some(grant) = self.view.grants.get(target.model()) else {
            return true;
        };
        if grant.grant.state == GrantState::Revoking {
            return true;
        }
        let kept = grant.keep_loaded && matches!(target, Target::Model(_));
        let last_used = self.replicas.get(target).map(|replica| replica.last_used);
        let idle = last_used.is_some_and(|at| now.saturating_sub(at) >= grant.idle_unload);
        idle && !kept
    }

    fn due_for_preload(&self) -> Vec<ModelId> {
        let grants = self.view.grants.iter();
        let due = grants.filter(|(model, grant)| {
            grant.keep_loaded
                && grant.grant.state == GrantState::Held
                && !self.replicas.contains_key(&Target::Model((*model).clone()))
        });
        due.map(|(model, _)| model.clone()).collect()
    }

    fn preload(&mut self, model: &ModelId, now: Duration) -> Vec<Order> {
        match self.request_load(&Target::Model(model.clone()), None, now) {
            LoadDecision::Issue(order) => vec![order],
            LoadDecision::Refused(LoadRefusal::NoMemory { evict, .. }) => evict
                .iter()
                .filter_map(|target| self.request_unload(target, now))
                .collect(),
            LoadDecision::Ready | LoadDecision::Loading | LoadDecision::Refused(_) => Vec::new(),
        }
    }

    fn releasing_mb(&self) -> SizeMb {
        let unloading = self
            .replicas
            .iter()
            .filter(|(_, replica)| replica.state == ReplicaState::Unloading);
        let sizes = unloading.map(|(target, _)| self.memory.reserved_mb(target));
        sizes.fold(0, SizeMb::saturating_add)
    }

    /// Idle targets whose unload frees `missing_mb`, the least recently used first, an adapter
    /// before its model; empty where all of them together do not free enough.
    fn evict(&self, target: &Target, missing_mb: SizeMb) -> Vec<Target> {
        let mut evict = Vec::new();
        let mut freed_mb: SizeMb = 0;
        for group in self.evictable(target) {
            if freed_mb >= missing_mb {
                break;
            }
            for member in group {
                if !evict.contains(&member) {
                    freed_mb = freed_mb.saturating_add(self.memory.reserved_mb(&member));
                    evict.push(member);
                }
            }
        }
        if freed_mb >= missing_mb {
            evict
        } else {
            Vec::new()
        }
    }

    /// Groups of targets that can be unloaded together, the least recently used first.
    fn evictable(&self, wanted: &Target) -> Vec<Vec<Target>> {
        let mut groups: Vec<(Duration, Vec<Target>)> = self
            .replicas
            .iter()
            .filter_map(|(target, replica)| Some((replica.last_used, self.group(target, wanted)?)))
            .collect();
        groups.sort();
        groups.into_iter().map(|(_, group)| group).collect()
    }

    /// The target with the adapters that go before it; `None` where it may not be evicted.
    fn group(&self, target: &Target, wanted: &Target) -> Option<Vec<Target>> {
        let idle = |target: &Target| self.is_loaded(target) && self.uses_of(target) == 0;
        if target == wanted || !idle(target) {
            return None;
        }
        let Target::Model(model) = target else {
            return Some(vec![target.clone()]);
        };
        let grant = self.view.grants.get(model);
        let kept = grant.is_some_and(|g| g.keep_loaded && g.grant.state == GrantState::Held);
        if kept || model == wanted.model() || !self.adapters_of(model).all(idle) {
            return None;
        }
        let adapters = self.adapters_of(model).cloned();
        Some(adapters.chain([target.clone()]).collect())
    }
}
