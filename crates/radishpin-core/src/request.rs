//! Decisions about one request: whether it is admitted, where it runs, whether it may run again.
//!
//! Everything here is pure. `now` is the time since the start of the process, and a `random`
//! argument is a word that the process draws.

mod admission;
mod attempt_ledger;
mod keyed_call;
mod load_limit;
mod prefix_hints;
mod prompt;
mod retry;
mod retry_budget;
mod routing;
mod stop_plan;
mod stream_cursor;
mod stream_timeouts;
mod work_queue;

pub use admission::{AdmissionRefusal, admit, estimate_wait, queue_wait, retry_after};
pub use attempt_ledger::{Admission, AttemptLedger, AttemptState, TombstoneOutcome};
pub use keyed_call::{
    Answer, Dispatch, Fingerprint, INLINE_ANSWER_BYTES, KeyedCall, KeyedRow, KeyedStep, StoreReply,
    after_commit, after_read, finished, key_row, not_run, settle_pending,
};
pub use load_limit::LoadLimit;
pub use prefix_hints::{CacheEvent, PrefixHash, PrefixHints};
pub use prompt::PromptSize;
pub use retry::{
    AttemptOutcome, CallFacts, MAX_ATTEMPTS, RetryReason, Step, TOMBSTONE_TIMEOUT, next_step,
};
pub use retry_budget::{RetryBudget, RetryBudgets};
pub use routing::{Candidate, ReplicaReadiness, Tier, choose_endpoint, replica_subset};
pub use stop_plan::{
    LoadAhead, Replacement, StopEndpoint, StopModel, StopPlan, StopPlanInput, StopWarning,
    plan_stop,
};
pub use stream_cursor::{ChunkVerdict, StreamCursor};
pub use stream_timeouts::StreamTimeouts;
pub use work_queue::{Popped, QueueLimits, QueueRefusal, WorkQueue};
