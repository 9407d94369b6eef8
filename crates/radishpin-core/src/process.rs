//! Decisions whose state lives as long as a process.

mod memory;
mod order;
mod replica_ledger;

pub use memory::MemoryAccount;
pub use order::{
    DEFAULT_ORDER_LIFE, EngineReport, FENCE_MODEL, Fencing, Order, OrderKind, OrderNumber,
    OrderOutcome, Target,
};
pub use replica_ledger::{LoadDecision, LoadRefusal, ReplicaLedger, ReplicaState, ReplicaStatus};
