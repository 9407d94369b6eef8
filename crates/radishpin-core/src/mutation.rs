//! Deliberate faults in the decision logic, which tests inject to prove that the model checker
//! detects each of them.

/// A fault to inject; each variant violates one rule of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Mutation {
    /// The agent applies a view older than the one that it currently uses.
    ApplyOlderView,
    /// Grants in state `Revoking` are not counted as replicas.
    CountOnlyHeldGrants,
    /// A grant in state `Revoking` is removed without the agent's confirmation.
    DropUnconfirmedGrant,
    /// The agent loads a model whose grant is being revoked.
    LoadWhileRevoking,
    /// The replica count is lowered before the excess grants are removed.
    LowerReplicasFirst,
    /// Memory is released when the unload is ordered, before the engine has completed it.
    ReleaseMemoryAtUnloadOrder,
    /// A report resolves orders with an unknown outcome even if it is older than the orders.
    SettleUnknownByAnyReport,
    /// A suspected endpoint is treated as gone.
    TreatSuspectAsGone,
    /// A late or reordered report is accepted as the newest one.
    AcceptLateReports,
    /// A confirmation made before the current version of the row was written is accepted.
    AcceptOlderConfirmation,
    /// A confirmation by an agent that is no longer registered is accepted.
    AcceptPredecessorConfirmation,
    /// A new incarnation trusts a report although orders of its predecessor may still take effect
    /// after it.
    TrustFirstReport,
}

/// The rules in force: all of them, unless a test disables one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct Rules {
    mutation: Option<Mutation>,
}

impl Rules {
    /// All rules except the one that the mutation violates.
    #[cfg(feature = "mutations")]
    pub(crate) const fn with_mutation(mutation: Mutation) -> Self {
        Self {
            mutation: Some(mutation),
        }
    }

    /// Whether the given fault is injected; always false outside of tests.
    pub(crate) fn is_broken(self, mutation: Mutation) -> bool {
        self.mutation == Some(mutation)
    }
}
