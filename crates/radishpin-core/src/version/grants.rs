//! The next record of a model: which endpoints may load it.
//!
//! A record is written by a commit that depends on the version of the row that was read, on the
//! version of the head, and on the rows of [`GrantChange::depends_on`], so that a plan made from
//! an outdated view is never written.

use super::placement::{Candidates, worst_held};
use crate::{
    mutation::{Mutation, Rules},
    process::Standing,
};
use radishpin_protocol::{Grant, GrantState, ModelRecord, prelude::*};

/// What a node knows of an endpoint that may hold grants.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointSummary {
    /// Its host.
    pub host: HostId,
    /// The availability zone of its host.
    pub availability_zone: AvailabilityZone,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Accelerator memory.
    pub memory_mb: SizeMb,
    /// Accelerator memory that is free, as last reported.
    pub free_mb: SizeMb,
    /// Accelerator memory of idle replicas that may be unloaded, as last reported.
    pub idle_mb: SizeMb,
    /// Sum of the sizes of the models that it has grants for.
    pub granted_mb: SizeMb,
    /// Life of its agent, from the endpoint's row.
    pub incarnation: Incarnation,
    /// Whether it can be counted on.
    pub standing: Standing,
}

/// An agent's statement that revoked models are absent and stay so.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Confirmation {
    /// Life of the agent that made it.
    pub incarnation: Incarnation,
    /// Version of the view in force at the agent when it made it.
    pub view_version: Version,
    /// The models, from [`crate::process::ReplicaLedger::released`].
    pub released: BTreeSet<ModelId>,
}

/// What the next record of a model is planned from; all rows are of one view.
#[derive(Clone, Copy, Debug)]
pub struct GrantPlanInput<'a> {
    /// Name of the model.
    pub model_id: &'a ModelId,
    /// Its record.
    pub model: &'a ModelRecord,
    /// Version of the row of the record.
    pub row_version: Version,
    /// Version of the view that the rows are of.
    pub head_version: Version,
    /// The profile of the model's service.
    pub profile: &'a Profile,
    /// Every registered endpoint; rows are deleted only once no grant names the endpoint.
    pub endpoints: &'a BTreeMap<EndpointId, EndpointSummary>,
    /// The newest statement of each agent.
    pub confirmations: &'a BTreeMap<EndpointId, Confirmation>,
    /// Holders that refused a load that a caller waits for, because they have no room.
    pub lacking_memory: &'a BTreeSet<EndpointId>,
}

/// A planned write of a model's row.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GrantChange {
    /// The record to write.
    pub record: ModelRecord,
    /// Endpoints whose rows must be unchanged when it is written.
    pub depends_on: BTreeSet<EndpointId>,
}

/// Plans the next record; `None` where nothing is to be changed now.
///
/// Grants never exceed `replicas`. A grant is dropped only where its agent has confirmed that
/// the model is absent under this very row, or where the host is gone. A lowered count revokes
/// first and lowers `replicas` as the grants go.
pub fn plan_grants(facts: &GrantPlanInput<'_>) -> Option<GrantChange> {
    Planner::new(facts, Rules::default()).plan()
}

/// The same plan with one rule broken, for tests that show the rule to matter.
#[cfg(feature = "mutations")]
#[doc(hidden)]
pub fn plan_grants_with_mutation(
    facts: &GrantPlanInput<'_>,
    mutation: Mutation,
) -> Option<GrantChange> {
    Planner::new(facts, Rules::breaking(mutation)).plan()
}

struct Planner<'a> {
    facts: &'a GrantPlanInput<'a>,
    rules: Rules,
    record: ModelRecord,
    depends_on: BTreeSet<EndpointId>,
}

impl<'a> Planner<'a> {
    fn new(facts: &'a GrantPlanInput<'a>, rules: Rules) -> Self {
        Self {
            facts,
            rules,
            record: facts.model.clone(),
            depends_on: BTreeSet::new(),
        }
    }

    fn plan(mut self) -> Option<GrantChange> {
        self.drop_released();
        self.revoke_misplaced();
        self.revoke_excess();
        self.revoke_for_move();
        self.revoke_for_spread();
        self.decide_replicas();
        self.grant();
        (self.record != *self.facts.model).then_some(GrantChange {
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
        let Some(endpoint) = self.facts.endpoints.get(id) else {
            return false;
        };
        let suspicion_suffices = self.rules.broken(Mutation::SuspectIsGone);
        match endpoint.standing {
            Standing::Gone => return true,
            Standing::Suspect if suspicion_suffices => return true,
            Standing::Suspect | Standing::Usable | Standing::Leaving => (),
        }
        let confirmation = self.facts.confirmations.get(id);
        let confirmed = confirmation.is_some_and(|c| self.confirms(endpoint, c))
            || self.rules.broken(Mutation::DropUnconfirmed);
        grant.state == GrantState::Revoking && confirmed
    }

    /// Whether the statement comes from the registered agent and was made under this row.
    fn confirms(&self, endpoint: &EndpointSummary, confirmation: &Confirmation) -> bool {
        let current = confirmation.incarnation == endpoint.incarnation
            || self.rules.broken(Mutation::TakeWordOfPredecessor);
        let newer = confirmation.view_version >= self.facts.row_version
            || self.rules.broken(Mutation::TakeOlderConfirmation);
        current && newer && confirmation.released.contains(self.facts.model_id)
    }

    /// Revokes the grants of endpoints that leave, or that the model does not belong to.
    fn revoke_misplaced(&mut self) {
        let misplaced = |id: &&EndpointId| {
            self.facts.endpoints.get(*id).is_some_and(|endpoint| {
                endpoint.standing == Standing::Leaving || !self.may_hold(endpoint)
            })
        };
        let revoked: Vec<EndpointId> = self.held().filter(misplaced).cloned().collect();
        for id in revoked {
            self.revoke(&id);
        }
    }

    fn revoke_excess(&mut self) {
        while self.held().count() > self.decided() {
            let Some(worst) = worst_held(&self.record, self.facts.endpoints) else {
                return;
            };
            self.revoke(&worst);
        }
    }

    /// Revokes a grant where no holder has room and another endpoint could load now.
    fn revoke_for_move(&mut self) {
        if self.open_places() > 0 || self.revoking() > 0 {
            return;
        }
        if !self.held().all(|id| self.facts.lacking_memory.contains(id)) {
            return;
        }
        let unable = self.held().next();
        let able = self.candidates().best_with_room();
        if let (Some(unable), Some(_)) = (unable.cloned(), able) {
            self.revoke(&unable);
        }
    }

    /// Revokes one of several grants that would all be lost with one availability zone or host,
    /// where an endpoint elsewhere can take it.
    fn revoke_for_spread(&mut self) {
        if self.open_places() > 0 || self.revoking() > 0 || self.held().count() < 2 {
            return;
        }
        if !self.candidates().improves_spread() {
            return;
        }
        if let Some(worst) = worst_held(&self.record, self.facts.endpoints) {
            self.revoke(&worst);
        }
    }

    /// Raises `replicas` at once; lowers it only as the grants go.
    fn decide_replicas(&mut self) {
        let decided = self.facts.profile.max_replicas;
        let granted = u32::try_from(self.record.grants.len()).unwrap_or(u32::MAX);
        self.record.replicas = if self.rules.broken(Mutation::LowerReplicasFirst) {
            decided
        } else {
            decided.max(granted)
        };
    }

    fn grant(&mut self) {
        while self.open_places() > 0 {
            let Some(id) = self.candidates().best() else {
                return;
            };
            let grant = self.stamped(GrantState::Held);
            self.record.grants.insert(id.clone(), grant);
            self.depends_on.insert(id);
        }
    }

    fn candidates(&self) -> Candidates<'_> {
        // An endpoint that just gave the grant up is not the first choice for it.
        let dropped = &self.depends_on;
        Candidates::new(
            &self.record,
            self.facts.endpoints,
            self.facts.lacking_memory,
            dropped,
        )
    }

    fn revoke(&mut self, id: &EndpointId) {
        let grant = self.stamped(GrantState::Revoking);
        self.record.grants.insert(id.clone(), grant);
    }

    const fn stamped(&self, state: GrantState) -> Grant {
        Grant {
            state,
            since_version: self.facts.head_version,
        }
    }

    fn may_hold(&self, endpoint: &EndpointSummary) -> bool {
        endpoint.service == self.record.service && endpoint.memory_mb >= self.record.size_mb
    }

    const fn decided(&self) -> usize {
        self.facts.profile.max_replicas as usize
    }

    /// How many more grants the decided count allows now.
    fn open_places(&self) -> usize {
        let taken = if self.rules.broken(Mutation::CountHeldOnly) {
            self.held().count()
        } else {
            self.record.grants.len()
        };
        self.decided().saturating_sub(taken)
    }

    fn revoking(&self) -> usize {
        self.record.grants.len() - self.held().count()
    }

    fn held(&self) -> impl Iterator<Item = &EndpointId> {
        let held = |(_, grant): &(&EndpointId, &Grant)| grant.state == GrantState::Held;
        self.record.grants.iter().filter(held).map(|(id, _)| id)
    }
}
