//! Decisions whose state lives as long as a process.

mod fleet;
mod lease;
mod membership;
mod memory;
mod order;
mod replica_ledger;
mod residency;
mod roster;

pub use fleet::{
    FIRST_TOKEN, Fleet, Known, LinkLoss, Outcome, Pick, PickQuery, Refusal, RefusalReason, Wait,
};
pub use lease::{
    LEASE_VALID_FOR, LeaseDecision, LeaseRecord, LeaseWatch, MAX_READ_GAP, RENEWAL_INTERVAL,
    STANDBY_CANDIDATES, TAKEOVER_STAGGER, TAKEOVER_TIMEOUT, candidate_rank,
};
pub use membership::{
    FORGET_RELAPSES_AFTER, GONE_AFTER, GONE_AFTER_LISTS, Listed, Membership,
    NEVER_LISTED_GONE_AFTER, SUSPECT_AFTER_FAILURES, SUSPECT_AT_LEAST, SUSPECT_AT_MOST, Standing,
    TRUST_AFTER_SUCCESSES,
};
pub use memory::MemoryAccount;
pub use order::{
    DEFAULT_ORDER_LIFE, EngineReport, FENCE_MODEL, Fencing, Order, OrderKind, OrderNumber,
    OrderOutcome, Target,
};
pub use replica_ledger::{LoadDecision, LoadRefusal, ReplicaLedger, ReplicaState, ReplicaStatus};
pub use residency::{
    Action, Demand, DemandReason, EndpointReport, GATEWAY_TIMEOUT, GatewayReport, LoadStatus,
    ModelStatus, ModelUsage, Residency, Settled, Status, StoreLoadShare,
};
pub use roster::{EndpointEntry, EndpointPhase, HeldModel, RETURN_GRACE, Roster, RosterChange};
