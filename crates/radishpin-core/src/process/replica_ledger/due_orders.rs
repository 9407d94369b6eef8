//! Orders that are issued without a request: fences, unloads of idle and revoked replicas, and
//! preloads. Also selects the replicas to evict when a load needs memory.

use super::{LoadDecision, LoadRefusal, ReplicaLedger, ReplicaState, replica::Stage};
use crate::process::{FENCE_MODEL, Fencing, Order, OrderKind, OrderNumber, Target};
use radishpin_protocol::{GrantState, prelude::*};

impl ReplicaLedger {
    /// Issues the orders that are due now; to be called about once a second and after each view.
    ///
    /// These are a fence, if older orders must be prevented from taking effect; unloads of unused
    /// replicas whose grant is being revoked or gone, or that were idle for longer than their
    /// profile allows; loads of replicas that are kept loaded, and evictions that make room for
    /// them.
    pub fn due_orders(&mut self, now: Duration) -> Vec<Order> {
        if self.superseded {
            return Vec::new();
        }
        let mut orders: Vec<Order> = self.due_fence().into_iter().collect();
        if !self.may_issue_orders() {
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

    /// Builds the refusal of a load that does not fit, with the replicas to evict for it.
    pub(super) fn no_memory_refusal(&self, target: &Target, needed_mb: SizeMb) -> LoadRefusal {
        let free_mb = self.memory.free_mb();
        let releasing_mb = self.releasing_mb();
        let available_mb = free_mb.saturating_add(releasing_mb);
        LoadRefusal::NoMemory {
            needed_mb,
            free_mb,
            releasing_mb,
            evict: self.select_evictions(target, needed_mb.saturating_sub(available_mb)),
        }
    }

    /// Issues a fence: an order without effect whose number makes the endpoint refuse all older
    /// orders, so that its next report resolves them.
    fn due_fence(&mut self) -> Option<Order> {
        if self.fencing != Fencing::Checked || self.fence_in_flight.is_some() {
            return None;
        }
        let required = self.required_fence();
        if self.reported_order() >= required || self.last_executed >= required {
            return None;
        }
        let target = Target::Model(FENCE_MODEL.to_owned());
        let order = self.next_order(OrderKind::Unload, &target, 0);
        self.fence_in_flight = Some(order.number);
        Some(order)
    }

    /// Smallest order number that the endpoint must have processed for its reports to resolve every
    /// order of earlier incarnations and every order with an unknown outcome.
    fn required_fence(&self) -> OrderNumber {
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
        let due = |target: &&Target| self.can_unload(target) && self.should_unload(target, now);
        self.replicas.keys().filter(due).cloned().collect()
    }

    /// Whether the grant is gone or being revoked, or the target was idle for too long.
    fn should_unload(&self, target: &Target, now: Duration) -> bool {
        let Some(grant) = self.view.grants.get(target.model()) else {
            return true;
        };
        if grant.grant.state == GrantState::Revoking {
            return true;
        }
        let keep_loaded = grant.keep_loaded && matches!(target, Target::Model(_));
        let last_used = self.replicas.get(target).map(|replica| replica.last_used);
        let idle = last_used.is_some_and(|at| now.saturating_sub(at) >= grant.idle_unload);
        idle && !keep_loaded
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

    /// Selects idle targets whose unload frees `missing_mb`: least recently used first, and
    /// adapters before their model. Empty if all of them together do not free enough.
    fn select_evictions(&self, target: &Target, missing_mb: SizeMb) -> Vec<Target> {
        let mut selected = Vec::new();
        let mut freed_mb: SizeMb = 0;
        for group in self.eviction_groups(target) {
            if freed_mb >= missing_mb {
                break;
            }
            for member in group {
                if !selected.contains(&member) {
                    freed_mb = freed_mb.saturating_add(self.memory.reserved_mb(&member));
                    selected.push(member);
                }
            }
        }
        if freed_mb >= missing_mb {
            selected
        } else {
            Vec::new()
        }
    }

    /// Groups of targets that can be unloaded together to load `wanted`, least recently used first.
    fn eviction_groups(&self, wanted: &Target) -> Vec<Vec<Target>> {
        let mut groups: Vec<(Duration, Vec<Target>)> = self
            .replicas
            .iter()
            .filter_map(|(target, replica)| {
                Some((replica.last_used, self.eviction_group(target, wanted)?))
            })
            .collect();
        groups.sort();
        groups.into_iter().map(|(_, group)| group).collect()
    }

    /// The target, preceded by its adapters if it is a model; `None` if it must not be evicted.
    ///
    /// Targets in use, models that are kept loaded and the model of a wanted adapter stay.
    fn eviction_group(&self, target: &Target, wanted: &Target) -> Option<Vec<Target>> {
        let idle = |target: &Target| self.is_loaded(target) && self.uses_of(target) == 0;
        if target == wanted || !idle(target) {
            return None;
        }
        let Target::Model(model) = target else {
            return Some(vec![target.clone()]);
        };
        let grant = self.view.grants.get(model);
        let keep_loaded = grant.is_some_and(|g| g.keep_loaded && g.grant.state == GrantState::Held);
        if keep_loaded || model == wanted.model() || !self.adapters_of(model).all(idle) {
            return None;
        }
        let adapters = self.adapters_of(model).cloned();
        Some(adapters.chain([target.clone()]).collect())
    }
}
