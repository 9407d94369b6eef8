//! Planning of grants: which endpoints may load a model.
//!
//! A plan is a new record for the model's row. It is committed only if that row still has the
//! version that was read, the table's head still has the version of the view, and the rows of the
//! endpoints in [`GrantChange::depends_on`] are unchanged, so that a plan made from an outdated
//! view is never written.

use super::placement::{Candidates, worst_held};
use crate::{
    mutation::{Mutation, Rules},
    process::MemberState,
};
use radishpin_protocol::{Grant, GrantState, ModelRecord, prelude::*};

/// State of an endpoint as the planner of grants needs it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointSummary {
    /// Host that the endpoint runs on, from the endpoint's row.
    pub host: HostId,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Accelerator memory of the endpoint.
    pub memory_mb: SizeMb,
    /// Free accelerator memory, as last reported.
    pub free_mb: SizeMb,
    /// Accelerator memory of idle replicas that may be unloaded, as last reported.
    pub idle_mb: SizeMb,
    /// Total size of the models for which the endpoint has grants.
    pub granted_mb: SizeMb,
    /// Incarnation of the registered agent, from the endpoint's row.
    pub incarnation: Incarnation,
    /// Whether the endpoint is usable, suspected to have failed, leaving or gone.
    pub standing: MemberState,
}

/// An agent's confirmation that models with revoked grants are absent and will not be loaded again.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Incarnation of the agent that sent the confirmation.
    pub incarnation: Incarnation,
    /// Version of the view that the agent used when it sent the confirmation.
    pub view_version: Version,
    /// Models confirmed as absent, from [`crate::process::ReplicaLedger::released`].
    pub released: BTreeSet<ModelId>,
}

/// Input of [`plan_grants`] for one model; all rows are from the same view.
#[derive(Clone, Copy, Debug)]
pub struct GrantPlanInput<'a> {
    /// ID of the model, as agents confirm it.
    pub model_id: &'a ModelId,
    /// Current record of the model.
    pub model: &'a ModelRecord,
    /// Version of the model's row.
    pub row_version: Version,
    /// Version of the view from which the rows were read.
    pub head_version: Version,
    /// Profile of the model's service; its `max_replicas` limits the number of grants.
    pub profile: &'a Profile,
    /// All registered endpoints; an endpoint's row is deleted only once no grant names it.
    pub endpoints: &'a BTreeMap<EndpointId, EndpointSummary>,
    /// Newest confirmation of each endpoint's agent.
    pub confirmations: &'a BTreeMap<EndpointId, Confirmation>,
    /// Endpoints with a grant that refused a load, for which a caller waits, for lack of memory.
    pub lacking_memory: &'a BTreeSet<EndpointId>,
}

/// A planned write of a model's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantChange {
    /// Record to write.
    pub record: ModelRecord,
    /// Endpoints whose rows must be unchanged when the record is written.
    pub depends_on: BTreeSet<EndpointId>,
}

/// Plans the next record of a model; returns `None` if nothing needs to change now.
///
/// The number of grants never exceeds `replicas`. A grant is dropped only if its agent has
/// confirmed that the model is absent, under a view that includes the current row, or if the host
/// is gone. When the limit of replicas is lowered, grants are revoked first, and `replicas` is
/// lowered as they are dropped.
pub fn plan_grants(input: &GrantPlanInput<'_>) -> Option<GrantChange> {
    Planner::new(input, Rules::default()).plan()
}

/// Plans with one rule broken, for tests that check that the violation is found.
#[cfg(feature = "mutations")]
#[doc(hidden)]
pub fn plan_grants_with_mutation(
    input: &GrantPlanInput<'_>,
    mutation: Mutation,
) -> Option<GrantChange> {
    Planner::new(input, Rules::with_mutation(mutation)).plan()
}

struct Planner<'a> {
    input: &'a GrantPlanInput<'a>,
    rules: Rules,
    record: ModelRecord,
    depends_on: BTreeSet<EndpointId>,
}

impl<'a> Planner<'a> {
    fn new(input: &'a GrantPlanInput<'a>, rules: Rules) -> Self {
        Self {
            input,
            rules,
            record: input.model.clone(),
            depends_on: BTreeSet::new(),
        }
    }

    fn plan(mut self) -> Option<GrantChange> {
        self.drop_released();
        self.revoke_misplaced();
        self.revoke_excess();
        self.revoke_for_move();
        self.revoke_for_spread();
        self.update_replicas();
        self.grant();
        (self.record != *self.input.model).then_some(GrantChange {
            record: self.record,
            depends_on: self.depends_on,
        })
    }

    fn drop_released(&mut self) {
        let grants = self.record.grants.iter();
        let droppable = grants.filter(|(id, grant)| self.is_droppable(id, **grant));
        let dropped: Vec<EndpointId> = droppable.map(|(id, _)| id.clone()).collect();
        for id in dropped {
            self.record.grants.remove(&id);
            self.depends_on.insert(id);
        }
    }

    fn is_droppable(&self, id: &EndpointId, grant: Grant) -> bool {
        let Some(endpoint) = self.input.endpoints.get(id) else {
            return false;
        };
        let suspect_is_gone = self.rules.is_broken(Mutation::TreatSuspectAsGone);
        match endpoint.standing {
            MemberState::Gone => return true,
            MemberState::Suspect if suspect_is_gone => return true,
            MemberState::Suspect | MemberState::Usable | MemberState::Leaving => (),
        }
        let confirmation = self.input.confirmations.get(id);
        let confirmed = confirmation.is_some_and(|c| self.confirms(endpoint, c))
            || self.rules.is_broken(Mutation::DropUnconfirmedGrant);
        grant.state == GrantState::Revoking && confirmed
    }

    /// Whether the confirmation is from the registered agent and covers this model under a view
    /// that includes the current row.
    fn confirms(&self, endpoint: &EndpointSummary, confirmation: &Confirmation) -> bool {
        let is_registered = confirmation.incarnation == endpoint.incarnation
            || self
                .rules
                .is_broken(Mutation::AcceptPredecessorConfirmation);
        let includes_row = confirmation.view_version >= self.input.row_version
            || self.rules.is_broken(Mutation::AcceptOlderConfirmation);
        is_registered && includes_row && confirmation.released.contains(self.input.model_id)
    }

    /// Revokes the grants of endpoints that are leaving, belong to another service or are too small
    /// for the model.
    fn revoke_misplaced(&mut self) {
        let misplaced = |id: &&EndpointId| {
            self.input.endpoints.get(*id).is_some_and(|endpoint| {
                endpoint.standing == MemberState::Leaving || !self.may_hold(endpoint)
            })
        };
        let revoked: Vec<EndpointId> = self.held().filter(misplaced).cloned().collect();
        for id in revoked {
            self.revoke(&id);
        }
    }

    fn revoke_excess(&mut self) {
        while self.held().count() > self.replica_limit() {
            let Some(worst) = worst_held(&self.record, self.input.endpoints) else {
                return;
            };
            self.revoke(&worst);
        }
    }

    /// Revokes one grant if every holder lacks memory and another endpoint could load the model.
    fn revoke_for_move(&mut self) {
        if self.remaining_grants() > 0 || self.revoking_count() > 0 {
            return;
        }
        if !self.held().all(|id| self.input.lacking_memory.contains(id)) {
            return;
        }
        let holder = self.held().next();
        let replacement = self.candidates().best_with_memory();
        if let (Some(holder), Some(_)) = (holder.cloned(), replacement) {
            self.revoke(&holder);
        }
    }

    /// Revokes one of several grants that are all in one availability zone or on one host, if an
    /// endpoint elsewhere can get it, so that one failure does not take all replicas.
    fn revoke_for_spread(&mut self) {
        if self.remaining_grants() > 0 || self.revoking_count() > 0 || self.held().count() < 2 {
            return;
        }
        if !self.candidates().improves_spread() {
            return;
        }
        if let Some(worst) = worst_held(&self.record, self.input.endpoints) {
            self.revoke(&worst);
        }
    }

    /// Raises `replicas` to the limit at once, but lowers it only as grants are dropped.
    fn update_replicas(&mut self) {
        let limit = self.input.profile.max_replicas;
        let granted = u32::try_from(self.record.grants.len()).unwrap_or(u32::MAX);
        self.record.replicas = if self.rules.is_broken(Mutation::LowerReplicasFirst) {
            limit
        } else {
            limit.max(granted)
        };
    }

    fn grant(&mut self) {
        while self.remaining_grants() > 0 {
            let Some(id) = self.candidates().best() else {
                return;
            };
            let grant = self.new_grant(GrantState::Held);
            self.record.grants.insert(id.clone(), grant);
            self.depends_on.insert(id);
        }
    }

    fn candidates(&self) -> Candidates<'_> {
        // An endpoint whose grant was just dropped gets it again only if there is no other.
        let dropped = &self.depends_on;
        Candidates::new(
            &self.record,
            self.input.endpoints,
            self.input.lacking_memory,
            dropped,
        )
    }

    fn revoke(&mut self, id: &EndpointId) {
        let grant = self.new_grant(GrantState::Revoking);
        self.record.grants.insert(id.clone(), grant);
    }

    const fn new_grant(&self, state: GrantState) -> Grant {
        Grant {
            state,
            since_version: self.input.head_version,
        }
    }

    fn may_hold(&self, endpoint: &EndpointSummary) -> bool {
        endpoint.service == self.record.service && endpoint.memory_mb >= self.record.size_mb
    }

    const fn replica_limit(&self) -> usize {
        self.input.profile.max_replicas as usize
    }

    /// Number of grants that can be added before the limit of replicas is reached.
    fn remaining_grants(&self) -> usize {
        let used = if self.rules.is_broken(Mutation::CountOnlyHeldGrants) {
            self.held().count()
        } else {
            self.record.grants.len()
        };
        self.replica_limit().saturating_sub(used)
    }

    fn revoking_count(&self) -> usize {
        self.record.grants.len() - self.held().count()
    }

    fn held(&self) -> impl Iterator<Item = &EndpointId> {
        let held = |(_, grant): &(&EndpointId, &Grant)| grant.state == GrantState::Held;
        self.record.grants.iter().filter(held).map(|(id, _)| id)
    }
}
