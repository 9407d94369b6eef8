//! Decisions made wrong on purpose, so that the model checker can be shown to find each.

/// A rule that is broken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// The agent applies a view older than the one in force.
    ApplyOlderView,
    /// Grants that are being revoked do not count as replicas.
    CountOnlyHeldGrants,
    /// A grant being revoked is dropped without the agent's confirmation.
    DropUnconfirmedGrant,
    /// The agent loads a model whose grant is being revoked.
    LoadWhileRevoking,
    /// The decided count is lowered before the grants have gone.
    LowerReplicasFirst,
    /// Memory counts as free as soon as the unload is ordered.
    ReleaseMemoryAtUnloadOrder,
    /// A report settles orders without a known outcome even where it is older than them.
    SettleUnknownByAnyReport,
    /// An endpoint under suspicion counts as gone.
    TreatSuspectAsGone,
    /// A late report is taken for the newest one.
    AcceptLateReports,
    /// A confirmation made before the row was written counts.
    AcceptOlderConfirmation,
    /// A confirmation by an agent that is no longer registered counts.
    AcceptPredecessorConfirmation,
    /// A new incarnation trusts a report that orders of its predecessor may outlive.
    TrustFirstReport,
}

/// Which rules hold: all of them, but for a test that breaks one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Rules {
    mutation: Option<Mutation>,
}

impl Rules {
    /// All rules but one.
    #[cfg(feature = "mutations")]
    pub(crate) const fn with_mutation(mutation: Mutation) -> Self {
        Self {
            mutation: Some(mutation),
        }
    }

    /// Whether a rule is broken.
    pub(crate) fn is_broken(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}
