//! The agent's record of its endpoint: which replicas it holds, which orders are outstanding and
//! which ones may be issued.

mod decision;
mod due_orders;
mod replica;
mod reports;

use super::{Fencing, MemoryAccount, Order, OrderKind, OrderNumber, OrderOutcome, Target};
use crate::mutation::{Mutation, Rules};
use radishpin_protocol::{GrantState, OrderSequence, prelude::*};
use replica::{PendingOrder, Replica, Stage};
use reports::AppliedReport;

pub use decision::{LoadDecision, LoadRefusal};
pub use replica::{ReplicaState, ReplicaStatus};

/// An agent's record of the replicas at its endpoint; issues and numbers all orders to it.
///
/// The ledger does no I/O: the caller sends the orders and passes in views, outcomes and reports.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct ReplicaLedger {
    incarnation: Incarnation,
    registration_version: Version,
    fencing: Fencing,
    started_at: Duration,
    view: AgentView,
    memory: MemoryAccount,
    replicas: BTreeMap<Target, Replica>,
    uses: BTreeMap<Target, u32>,
    last_sequence: OrderSequence,
    fence_in_flight: Option<OrderNumber>,
    /// Newest order known to have been executed by the running instance of the endpoint.
    last_executed: OrderNumber,
    last_report: Option<AppliedReport>,
    /// Whether a report has shown what the endpoint holds after the last moment at which an order
    /// of an earlier incarnation could take effect.
    contents_known: bool,
    superseded: bool,
    rules: Rules,
}

impl ReplicaLedger {
    /// Creates the ledger of an agent that has just registered and owns the endpoint's agent
    /// address.
    ///
    /// `incarnation` and `registration_version` come from the commit that registered the agent;
    /// views older than that commit are rejected. All memory counts as used until a report newer
    /// than the registration arrives; `now` is the time of the registration.
    pub fn new(
        incarnation: Incarnation,
        registration_version: Version,
        memory_mb: SizeMb,
        fencing: Fencing,
        now: Duration,
    ) -> Self {
        Self {
            incarnation,
            registration_version,
            fencing,
            started_at: now,
            view: AgentView::default(),
            memory: MemoryAccount::new(memory_mb),
            replicas: BTreeMap::new(),
            uses: BTreeMap::new(),
            last_sequence: 0,
            fence_in_flight: None,
            last_executed: OrderNumber::default(),
            last_report: None,
            contents_known: false,
            superseded: false,
            rules: Rules::default(),
        }
    }

    /// Returns the ledger with one rule broken, for tests that check that the violation is found.
    #[cfg(feature = "mutations")]
    #[doc(hidden)]
    #[must_use]
    pub fn with_mutation(mut self, mutation: Mutation) -> Self {
        self.rules = Rules::with_mutation(mutation);
        self
    }

    /// Replaces the current view; returns `false` and changes nothing if `view` is older than the
    /// current view or than the registration.
    pub fn apply_view(&mut self, view: &AgentView) -> bool {
        let min_version = self.view.version.max(self.registration_version);
        if view.version < min_version && !self.rules.is_broken(Mutation::ApplyOlderView) {
            return false;
        }
        self.view.clone_from(view);
        true
    }

    /// The current view; empty, with version 0, until the first one is applied.
    pub const fn view(&self) -> &AgentView {
        &self.view
    }

    /// Version of the current view; 0 until the first one is applied.
    pub const fn view_version(&self) -> Version {
        self.view.version
    }

    /// Incarnation of the agent that owns the ledger, as assigned at its registration.
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Number of orders issued in this incarnation, fences included.
    pub const fn orders_issued(&self) -> OrderSequence {
        self.last_sequence
    }

    /// Stops issuing orders, because another agent was registered for the endpoint.
    pub const fn supersede(&mut self) {
        self.superseded = true;
    }

    /// Whether another agent was registered for the endpoint.
    pub const fn superseded(&self) -> bool {
        self.superseded
    }

    /// Returns whether the target is ready, and issues the order to load it if the grant and the
    /// free memory allow it.
    ///
    /// For an adapter whose model is not loaded, the returned decision is about the model.
    pub fn request_load(
        &mut self,
        target: &Target,
        adapter_size_mb: Option<SizeMb>,
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
            return self.issue_load(target, adapter_size_mb, now);
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

    /// Issues the order to unload an idle target.
    ///
    /// Returns `None` if the target is in use or not known to be loaded, if it is a model with
    /// adapters, or if no orders may be issued.
    pub fn request_unload(&mut self, target: &Target, now: Duration) -> Option<Order> {
        if !self.may_issue_orders() || !self.can_unload(target) {
            return None;
        }
        let size_mb = self.memory.reserved_mb(target);
        let order = self.next_order(OrderKind::Unload, target, size_mb);
        let pending = self.pending_order(&order, now);
        let replica = self.replicas.get_mut(target)?;
        replica.state = ReplicaState::Unloading;
        replica.pending = Some(pending);
        if self.rules.is_broken(Mutation::ReleaseMemoryAtUnloadOrder) {
            self.memory.release(target);
        }
        Some(order)
    }

    /// Records the outcome of an order; outcomes of earlier incarnations' orders and of orders that
    /// are not in flight are ignored.
    pub fn record_outcome(&mut self, number: OrderNumber, outcome: OrderOutcome, now: Duration) {
        if self.fence_in_flight == Some(number) {
            self.fence_in_flight = None;
            self.record_executed(number, outcome);
            return;
        }
        let same_instance = self.pending_instance(number) == Some(self.instance());
        let Some((target, replica)) = self
            .replicas
            .iter_mut()
            .find(|(_, replica)| replica.has_in_flight(number))
        else {
            return;
        };
        if outcome == OrderOutcome::Failed && replica.absent_if_failed() {
            let target = target.clone();
            self.remove_replica(&target);
            return;
        }
        // An answer from an instance of the endpoint that has since restarted says nothing about
        // the memory of the running one.
        let effective_outcome = if same_instance {
            outcome
        } else {
            OrderOutcome::Unknown
        };
        replica.apply_outcome(effective_outcome, now);
        self.record_executed(number, effective_outcome);
    }

    /// Counts a request that starts to use a target; returns `false` if the target or its model is
    /// not loaded or the grant does not allow its use.
    ///
    /// A target in use is not unloaded.
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

    /// Models whose grant is being revoked under the current view, and that are absent and cannot
    /// be loaded again under it.
    pub fn released(&self) -> Vec<ModelId> {
        if !self.can_confirm_absence() {
            return Vec::new();
        }
        let revoking = self.view.grants.iter().filter(|(model, grant)| {
            grant.grant.state == GrantState::Revoking && !self.has_replica_of(model)
        });
        revoking.map(|(model, _)| model.clone()).collect()
    }

    /// Targets that the endpoint holds or may hold.
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

    /// Accelerator memory that counts as used: all of it until a report has shown what the
    /// endpoint holds.
    pub fn memory_used_mb(&self) -> SizeMb {
        if self.contents_known {
            self.memory.used_mb()
        } else {
            self.memory.capacity_mb()
        }
    }

    /// Accelerator memory that a load can still reserve.
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
        if !held && !self.rules.is_broken(Mutation::LoadWhileRevoking) {
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
        adapter_size_mb: Option<SizeMb>,
        now: Duration,
    ) -> LoadDecision {
        let size_mb = match target {
            Target::Model(model) => self.view.grants.get(model).map(|grant| grant.size_mb),
            Target::Adapter { .. } => adapter_size_mb,
        };
        let Some(size_mb) = size_mb else {
            return LoadDecision::Refused(LoadRefusal::UnknownSize);
        };
        if !self.memory.reserve(target, size_mb) {
            return LoadDecision::Refused(self.no_memory_refusal(target, size_mb));
        }
        let order = self.next_order(OrderKind::Load, target, size_mb);
        let replica = Replica::loading(self.pending_order(&order, now), now);
        self.replicas.insert(target.clone(), replica);
        LoadDecision::Issue(order)
    }

    fn next_order(&mut self, kind: OrderKind, target: &Target, size_mb: SizeMb) -> Order {
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

    fn pending_order(&self, order: &Order, now: Duration) -> PendingOrder {
        PendingOrder {
            number: order.number,
            kind: order.kind,
            stage: Stage::InFlight,
            sent_at: now,
            instance: self.instance(),
        }
    }

    /// Endpoint instance for which a pending order was issued; the inner `None` stands for an order
    /// issued before the first report.
    fn pending_instance(&self, number: OrderNumber) -> Option<Option<u64>> {
        let mut pending = self.replicas.values().filter_map(|replica| replica.pending);
        let pending = pending.find(|pending| pending.number == number)?;
        Some(pending.instance)
    }

    fn record_executed(&mut self, number: OrderNumber, outcome: OrderOutcome) {
        if outcome == OrderOutcome::Done {
            self.last_executed = self.last_executed.max(number);
        }
    }

    fn remove_replica(&mut self, target: &Target) {
        self.replicas.remove(target);
        self.memory.release(target);
    }

    const fn may_issue_orders(&self) -> bool {
        self.contents_known && !self.superseded && self.view.version > 0
    }

    fn can_unload(&self, target: &Target) -> bool {
        let has_no_adapters = match target {
            Target::Model(model) => self.adapters_of(model).next().is_none(),
            Target::Adapter { .. } => true,
        };
        has_no_adapters && self.is_loaded(target) && self.uses_of(target) == 0
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

    fn has_replica_of(&self, model: &str) -> bool {
        self.replicas.keys().any(|target| target.model() == model)
    }
}
