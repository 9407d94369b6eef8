//! Decisions about a single request: admission, routing, queueing, retries and deduplication.
//!
//! All functions are pure: `now` is the time since the process started, and `random` is a random
//! 64-bit integer supplied by the caller.

mod admission;
mod attempt_ledger;
mod body_pace;
mod event_scanner;
mod fingerprint;
mod keyed_call;
mod load_limit;
mod prefix_hints;
mod prompt;
mod request_rate;
mod retry;
mod retry_budget;
mod routing;
mod stop_plan;
mod stream_cursor;
mod stream_origins;
mod stream_timeouts;
mod work_queue;

pub use admission::{AdmissionRefusal, admit, estimate_wait, queue_wait, retry_after};
pub use attempt_ledger::{AttemptAdmission, AttemptLedger, AttemptState, TombstoneOutcome};
pub use body_pace::{BodyPace, PaceLimits};
pub use event_scanner::EventScanner;
pub use fingerprint::{RequestFingerprint, RequestIdentity};
pub use keyed_call::{
    Dispatch, Fingerprint, INLINE_ANSWER_BYTES, KeyedCall, KeyedRow, KeyedStep, StoreReply,
    StoredAnswer, after_commit, after_read, after_tombstone, claim_key, finished_row, not_run_row,
};
pub use load_limit::LoadLimit;
pub use prefix_hints::{CacheEvent, PrefixHash, PrefixHints};
pub use prompt::{PromptPartId, PromptSize, SHARED_PARTS_MAX, SharedParts};
pub use request_rate::{LimitStatement, RequestRate};
pub use retry::{
    AttemptOutcome, MAX_ATTEMPTS, RetryContext, RetryDecision, RetryReason, TOMBSTONE_TIMEOUT,
    decide_retry,
};
pub use retry_budget::{RetryBudget, RetryBudgets};
pub use routing::{Candidate, ReplicaReadiness, Tier, choose_endpoint, replica_subset};
pub use stop_plan::{
    LoadAhead, Replacement, StopEndpoint, StopModel, StopPlan, StopPlanInput, StopWarning,
    plan_stop,
};
pub use stream_cursor::{ChunkVerdict, StreamCursor};
pub use stream_origins::{ORIGIN_LIFETIME, ORIGINS_MAX, StreamOrigin, StreamOrigins};
pub use stream_timeouts::StreamTimeouts;
pub use work_queue::{Popped, QueueLimits, QueueRefusal, WorkQueue};
