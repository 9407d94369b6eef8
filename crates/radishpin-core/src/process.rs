//! Decision logic whose state lasts for the lifetime of the process.

mod crash_suspect;
mod crash_table;
mod endpoint_limits;
mod endpoint_list;
mod exposures;
mod fair_share;
mod fleet;
mod lease;
mod membership;
mod memory;
mod memory_shares;
mod order;
mod quota;
mod relay;
mod replica_ledger;
mod residency;
mod send_slots;
mod shared_state;
mod software_versions;
mod store_era;

pub use crash_suspect::{
    CrashId, CrashRecord, EndpointVariant, Suspect, SuspectCrashes, Suspects, UNKNOWN_VARIANT,
    endpoint_variant,
};
pub use crash_table::{
    CRASH_LIFETIME, CRASH_LIFETIME_MAX, CRASHES_PER_SUSPECT_MAX, CRASHES_TO_REFUSE, CrashTable,
    CrashVerdict, SUSPECTS_MAX,
};
pub use endpoint_limits::{EndpointLimit, EndpointLimits, LIMIT_LIFETIME, LIMITS_MAX};
pub use endpoint_list::{
    EndpointChange, EndpointEntry, EndpointList, EndpointListing, EndpointPhase, HeldModel,
    RECOVERY_GRACE, UNUSABLE_ROW_GRACE,
};
pub use exposures::{ExposedRequest, Exposure, ExposureEnd, ExposureNews, Exposures};
pub use fair_share::{FairShare, ShareQuery, ShareVerdict, Standing, TRACKED_MAX};
pub use fleet::{
    EndpointSnapshot, FIRST_TOKEN_LATENCY, Fleet, LinkLoss, LoadTarget, Pick, PickQuery,
    REQUESTED_BACKOFF_MAX, Refusal, RefusalReason, RequestOutcome, STATEMENT_LIFETIME, SlotWait,
    StatusNews, UNLISTED_STATEMENTS_MAX, Wait,
};
pub use lease::{
    LEASE_VALID_FOR, LeaseDecision, LeaseRecord, LeaseWatch, MAX_READ_GAP, RENEWAL_INTERVAL,
    STANDBY_CANDIDATES, TAKEOVER_STAGGER, TAKEOVER_TIMEOUT, candidate_rank,
};
pub use membership::{
    FLAP_COUNT_RESET_AFTER, GONE_AFTER, GONE_AFTER_READS, ListedHostState, MemberState, Membership,
    NEVER_LISTED_GONE_AFTER, RECOVER_AFTER_SUCCESSES, SUSPECT_AFTER_FAILURES, SUSPICION_MAX,
    SUSPICION_MIN,
};
pub use memory::MemoryAccount;
pub use memory_shares::{
    BudgetExceeded, GIVES_WAY_AFTER, MemoryLimits, MemoryShares, MemoryUse, ORDINARY_BODY_BYTES,
    ShareId,
};
pub use order::{
    DEFAULT_ORDER_LIFE, EngineReport, FENCE_MODEL, Fencing, Order, OrderKind, OrderNumber,
    OrderOutcome, Target,
};
pub use quota::{
    CreditAnswer, CreditAsk, CreditBook, CreditQuery, CreditSearch, HOLDER_BACKOFF, LEASE_LIFE,
    LeaseRequest, PARTS_HELD_MAX, PARTS_MAX, PARTS_MIN, PartHolders, PartLimit, QuotaBounds,
    QuotaHolder, QuotaLimit, SpentCredit, TakeCredit,
};
pub use relay::{
    DIRECT_LINKS_AGAIN, DIRECT_LINKS_MAX, FOLLOW_TIMEOUT, GROUP_SIZE_MAX, Group, GroupKey,
    RELAY_CANDIDATES, RELAYS, REPORT_INTERVAL, Relay, RelayAnswer, RelayPoll, RelayedState,
    StatusLoad, groups,
};
pub use replica_ledger::{LoadDecision, LoadRefusal, ReplicaLedger, ReplicaState, ReplicaStatus};
pub use residency::{
    Action, ActionOutcome, Demand, DemandReason, EndpointReport, GATEWAY_TIMEOUT, GatewayReport,
    LoadStatus, ModelStatus, ModelUsage, RELAYED_GATEWAY_TIMEOUT, Residency, Status,
    StoreLoadShare,
};
pub use send_slots::{LIMITED_ENDPOINTS_MAX, SLOT_INTERVAL_MAX, SLOT_WAIT_MAX, SendSlots, Slot};
pub use shared_state::{SeenNews, SharedReply, SharedRequest, choose_holders};
pub use software_versions::{
    FULL_LIST_DELAY, ListedVersion, OnlyVersion, READ_AGE_MAX, READ_GAP_MAX, SoftwareVersions,
    VERSION_LIFETIME, VersionHistory,
};
pub use store_era::{ResponseEra, StoreEra, StoreEras, StorePosition};
