//! The agent's ledger: which replicas its endpoint holds, and what it may be ordered to do.

mod decision;
mod due_orders;
mod replica;
mod reports;

use super::{Fencing, MemoryAccount, Order, OrderKind, OrderNumber, OrderOutcome, Target};
use crate::mutation::{Mutation, Rules};
use radishpin_protocol::{GrantState, OrderSequence, prelude::*};
use replica::{Pending, Replica, Stage};
use reports::Observed;

pub use decision::{LoadDecision, LoadRefusal};
pub use replica::{ReplicaState, ReplicaStatus};

/// What an agent knows of its endpoint's replicas, and the one place that numbers its orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaLedger {
    incarnation: Incarnation,
    floor_version: Version,
    fencing: Fencing,
    started_at: Duration,
    view: AgentView,
    memory: MemoryAccount,
    replicas: BTreeMap<Target, Replica>,
    uses: BTreeMap<Target, u32>,
    last_sequence: OrderSequence,
    fence_in_flight: Option<OrderNumber>,
    /// Newest order known to have been carried out in this life of the endpoint.
    acted: OrderNumber,
    observed: Option<Observed>,
    /// Whether what the endpoint holds is known since this incarnation.
    contents_known: bool,
    superseded: bool,
    rules: Rules,
}

impl ReplicaLedger {
    /// A ledger for an agent that was just registered and owns the endpoint's agent address.
    ///
    /// `incarnation` and `floor_version` come from the commit that registered it: no view older
    /// than that commit is ever applied. All memory counts as taken until a report newer than
    /// the registration; `now` is the time of the registration.
    pub fn new(
        incarnation: Incarnation,
        floor_version: Version,
        memory_mb: SizeMb,
        fencing: Fencing,
        now: Duration,
    ) -> Self {
        Self {
            incarnation,
            floor_version,
            fencing,
            started_at: now,
            view: AgentView::default(),
            memory: MemoryAccount::new(memory_mb),
            replicas: BTreeMap::new(),
            uses: BTreeMap::new(),
            last_sequence: 0,
            fence_in_flight: None,
            acted: OrderNumber::default(),
            observed: None,
            contents_known: false,
            superseded: false,
            rules: Rules::default(),
        }
    }

    /// The same ledger with one rule broken, for tests that show the rule to matter.
    #[cfg(feature = "mutations")]
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.rules = Rules::breaking(mutation);
        self
    }

    /// Puts a view in force; `false` where it is older than the one in force or than the
    /// registration, and ignored.
    pub fn apply_view(&mut self, view: &AgentView) -> bool {
        let oldest = self.view.version.max(self.floor_version);
        if view.version < oldest && !self.rules.broken(Mutation::ApplyOlderView) {
            return false;
        }
        self.view.clone_from(view);
        true
    }

    /// The view in force; empty, of version 0, before the first.
    pub const fn view(&self) -> &AgentView {
        &self.view
    }

    /// Version of the view in force; 0 before the first.
    pub const fn view_version(&self) -> Version {
        self.view.version
    }

    /// Life of the agent that the ledger belongs to.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of orders given.
    pub const fn orders_issued(&self) -> OrderSequence {
        self.last_sequence
    }

    /// Notes that another agent was registered for the endpoint: no more orders are given.
    pub const fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Whether another agent was registered for the endpoint.
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Decides whether the target is ready, and orders its load where it may and can be loaded.
    pub fn request_load(
        &mut self,
        target: &Target,
        size_mb_of_adapter: Option<SizeMb>,
        now: Duration,
    ) -> LoadDecision {
        if let Err(refusal) = self.check_grant(target.model()) {
            return LoadDecision::Refused(refusal);
        }
        if matches!(target, Target::Adapter { .. }) {
            let model = Target::Model(target.model().clone());
            let decision = self.request_load(&model, None, now);
            if decision != LoadDecision::Ready {
                return decision;
            }
        }
        let Some(replica) = self.replicas.get_mut(target) else {
            return self.issue_load(target, size_mb_of_adapter, now);
        };
        match replica.state {
            ReplicaState::Loaded => {
                replica.last_used = now;
                LoadDecision::Ready
            }
            ReplicaState::Loading => LoadDecision::Loading,
            ReplicaState::Unloading | ReplicaState::Uncertain => {
                LoadDecision::Refused(LoadRefusal::Uncertain)
            }
        }
    }

    /// Orders the unload of an idle target; `None` while it is in use, in flight or absent, and
    /// for a model while it has adapters.
    pub fn request_unload(&mut self, target: &Target, now: Duration) -> Option<Order> {
        if !self.may_order() || !self.unloadable(target) {
            return None;
        }
        let size_mb = self.memory.reserved_mb(target);
        let order = self.number_order(OrderKind::Unload, target, size_mb);
        let pending = self.pending(&order, now);
        let replica = self.replicas.get_mut(target)?;
        replica.state = ReplicaState::Unloading;
        replica.pending = Some(pending);
        if self.rules.broken(Mutation::ReleaseMemoryAtUnloadOrder) {
            self.memory.release(target);
        }
        Some(order)
    }

    /// Records the outcome of an order; those of older lives and unknown numbers are ignored.
    pub fn record_outcome(&mut self, number: OrderNumber, outcome: OrderOutcome, now: Duration) {
        if self.fence_in_flight == Some(number) {
            self.fence_in_flight = None;
            self.note_acted(number, outcome);
            return;
        }
        let same_instance = self.pending_instance(number) == Some(self.instance());
        let Some((target, replica)) = self
            .replicas
            .iter_mut()
            .find(|(_, replica)| replica.in_flight(number))
        else {
            return;
        };
        if outcome == OrderOutcome::Failed && replica.failed() {
            let target = target.clone();
            self.forget(&target);
            return;
        }
        // An answer from a life of the endpoint that has ended says nothing of its memory now.
        let known = if same_instance {
            outcome
        } else {
            OrderOutcome::Unknown
        };
        replica.settle(known, now);
        self.note_acted(number, known);
    }

    /// Counts a use of a loaded target; `false` where it may not be used.
    pub fn begin_use(&mut self, target: &Target) -> bool {
        let usable = self.check_grant(target.model()).is_ok()
            && self.is_loaded(target)
            && self.is_loaded(&Target::Model(target.model().clone()));
        if usable {
            *self.uses.entry(target.clone()).or_default() += 1;
        }
        usable
    }

    /// Ends a use that [`Self::begin_use`] counted.
    pub fn end_use(&mut self, target: &Target, now: Duration) {
        if let Some(uses) = self.uses.get_mut(target) {
            *uses = uses.saturating_sub(1);
            if *uses == 0 {
                self.uses.remove(target);
            }
        }
        for used in [target.clone(), Target::Model(target.model().clone())] {
            if let Some(replica) = self.replicas.get_mut(&used) {
                replica.last_used = now;
            }
        }
    }

    /// Models whose grant is being revoked and that are certainly absent, and stay so, under the
    /// view in force.
    pub fn released(&self) -> Vec<ModelId> {
        if !self.may_confirm() {
            return Vec::new();
        }
        let revoking = self.view.grants.iter().filter(|(model, grant)| {
            grant.grant.state == GrantState::Revoking && !self.holds_any_of(model)
        });
        revoking.map(|(model, _)| model.clone()).collect()
    }

    /// What the endpoint holds or may hold, by target.
    pub fn replicas(&self) -> BTreeMap<Target, ReplicaStatus> {
        let status = |(target, replica): (&Target, &Replica)| {
            let status = ReplicaStatus {
                state: replica.state,
                size_mb: self.memory.reserved_mb(target),
                uses: self.uses_of(target),
                last_used: replica.last_used,
            };
            (target.clone(), status)
        };
        self.replicas.iter().map(status).collect()
    }

    /// Memory that counts as taken: all of it until the endpoint's contents are known.
    pub fn memory_used_mb(&self) -> SizeMb {
        if self.contents_known {
            self.memory.used_mb()
        } else {
            self.memory.capacity_mb()
        }
    }

    /// Memory that a load can still reserve.
    pub fn memory_free_mb(&self) -> SizeMb {
        self.memory
            .capacity_mb()
            .saturating_sub(self.memory_used_mb())
    }

    fn check_grant(&self, model: &str) -> Result<(), LoadRefusal> {
        if self.superseded || self.view.version == 0 {
            return Err(LoadRefusal::NotRegistered);
        }
        let held = match self.view.grants.get(model) {
            Some(grant) => grant.grant.state == GrantState::Held,
            None => return Err(LoadRefusal::NotGranted),
        };
        if !held && !self.rules.broken(Mutation::LoadWhileRevoking) {
            return Err(LoadRefusal::Revoking);
        }
        if self.contents_known {
            Ok(())
        } else {
            Err(LoadRefusal::Uncertain)
        }
    }

    fn issue_load(
        &mut self,
        target: &Target,
        size_mb_of_adapter: Option<SizeMb>,
        now: Duration,
    ) -> LoadDecision {
        let size_mb = match target {
            Target::Model(model) => self.view.grants.get(model).map(|grant| grant.size_mb),
            Target::Adapter { .. } => size_mb_of_adapter,
        };
        let Some(size_mb) = size_mb else {
            return LoadDecision::Refused(LoadRefusal::UnknownSize);
        };
        if !self.memory.reserve(target, size_mb) {
            return LoadDecision::Refused(self.no_memory(target, size_mb));
        }
        let order = self.number_order(OrderKind::Load, target, size_mb);
        let replica = Replica::loading(self.pending(&order, now), now);
        self.replicas.insert(target.clone(), replica);
        LoadDecision::Issue(order)
    }

    fn number_order(&mut self, kind: OrderKind, target: &Target, size_mb: SizeMb) -> Order {
        self.last_sequence += 1;
        let number = OrderNumber {
            incarnation: self.incarnation,
            sequence: self.last_sequence,
        };
        Order {
            number,
            kind,
            target: target.clone(),
            size_mb,
        }
    }

    fn pending(&self, order: &Order, now: Duration) -> Pending {
        Pending {
            number: order.number,
            kind: order.kind,
            stage: Stage::InFlight,
            sent_at: now,
            instance: self.instance(),
        }
    }

    fn pending_instance(&self, number: OrderNumber) -> Option<Option<u64>> {
        let mut pending = self.replicas.values().filter_map(|replica| replica.pending);
        let pending = pending.find(|pending| pending.number == number)?;
        Some(pending.instance)
    }

    fn note_acted(&mut self, number: OrderNumber, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Done {
            self.acted = self.acted.max(number);
        }
    }

    fn forget(&mut self, target: &Target) {
        self.replicas.remove(target);
        self.memory.release(target);
    }

    const fn may_order(&self) -> bool {
        self.contents_known && !self.superseded && self.view.version > 0
    }

    fn unloadable(&self, target: &Target) -> bool {
        let free_of_adapters = match target {
            Target::Model(model) => self.adapters_of(model).next().is_none(),
            Target::Adapter { .. } => true,
        };
        free_of_adapters && self.is_loaded(target) && self.uses_of(target) == 0
    }

    fn is_loaded(&self, target: &Target) -> bool {
        let replica = self.replicas.get(target);
        replica.is_some_and(|replica| replica.state == ReplicaState::Loaded)
    }

    fn uses_of(&self, target: &Target) -> u32 {
        self.uses.get(target).copied().unwrap_or_default()
    }

    fn adapters_of<'a>(&'a self, model: &'a str) -> impl Iterator<Item = &'a Target> {
        let of_model = move |target: &&Target| {
            matches!(target, Target::Adapter { .. }) && target.model() == model
        };
        self.replicas.keys().filter(of_model)
    }

    fn holds_any_of(&self, model: &str) -> bool {
        self.replicas.keys().any(|target| target.model() == model)
    }
}
