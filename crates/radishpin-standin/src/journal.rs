//! Journal of what really ran, the truth against which answers are checked.

use crate::clock::Clock;
use parking_lot::Mutex;
use radishpin_protocol::engine::LoadTarget;
use radishpin_protocol::{RequestId, SizeMb, engine};
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// Locks over which runs are spread.
const SHARDS: usize = 16;
/// Runs kept where no other limit is set.
const DEFAULT_RUNS: usize = 1_000_000;

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunEnd {
    /// It still runs.
    Running,
    /// It ran to its end.
    Finished,
    /// The peer hung up, and it was stopped.
    Cancelled,
    /// Its model was unloaded or the engine restarted under it.
    Cut,
}

/// One run of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Run {
    /// Attempt as the caller's header gave it, `REQUEST/ATTEMPT`.
    pub attempt: String,
    /// The caller's request.
    pub request_id: RequestId,
    /// Name of the model, adapter or plain service.
    pub model: String,
    /// The caller's `Idempotency-Key`, where the call carried one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub idempotency_key: Option<String>,
    /// Number of the run at its endpoint, from 1.
    pub effect: u64,
    /// Start, since the journal's start.
    pub started_ms: u64,
    /// End, since the journal's start.
    pub finished_ms: Option<u64>,
    /// How it ended.
    pub end: RunEnd,
}

/// A load order that took more accelerator memory than there is.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Overcommit {
    /// What was loaded.
    pub target: LoadTarget,
    /// Accelerator memory in use with it.
    pub used_mb: SizeMb,
    /// Accelerator memory that there is.
    pub memory_mb: SizeMb,
    /// Time, since the journal's start.
    pub at_ms: u64,
}

/// All that a journal holds at one time.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct JournalSnapshot {
    /// Runs in order of effect number.
    pub runs: Vec<Run>,
    /// Runs that were not kept, as the journal was full.
    pub runs_not_kept: u64,
    /// Load orders beyond the memory.
    pub overcommits: Vec<Overcommit>,
}

/// Handle to a journal; clones share it.
#[derive(Clone, Debug)]
pub struct Journal {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    clock: Clock,
    runs_per_shard: usize,
    shards: [Mutex<Shard>; SHARDS],
    overcommits: Mutex<Vec<Overcommit>>,
    next_effect: std::sync::atomic::AtomicU64,
}

#[derive(Debug, Default)]
struct Shard {
    runs: Vec<Run>,
    not_kept: u64,
}

impl Journal {
    /// A journal that keeps up to `runs` runs and counts the rest.
    pub fn new(runs: usize) -> Self {
        let shared = Shared {
            clock: Clock::system(),
            runs_per_shard: runs.div_ceil(SHARDS),
            shards: Default::default(),
            overcommits: Mutex::default(),
            next_effect: std::sync::atomic::AtomicU64::new(1),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Records the start of a run; its end is recorded by the guard.
    pub fn start(&self, attempt: &str, model: &str, idempotency_key: Option<&str>) -> RunGuard {
        let effect = self
            .shared
            .next_effect
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let request_id = engine::parse_attempt(attempt)
            .map_or_else(|| attempt.to_owned(), |attempt| attempt.request_id);
        let run = Run {
            attempt: attempt.to_owned(),
            request_id,
            model: model.to_owned(),
            idempotency_key: idempotency_key.map(ToOwned::to_owned),
            effect,
            started_ms: self.now_ms(),
            finished_ms: None,
            end: RunEnd::Running,
        };
        let slot = self.keep(run);
        RunGuard {
            journal: self.clone(),
            effect,
            slot,
        }
    }

    /// Records a load order beyond the memory.
    pub(crate) fn overcommit(&self, target: &LoadTarget, used_mb: SizeMb, memory_mb: SizeMb) {
        self.shared.overcommits.lock().push(Overcommit {
            target: target.clone(),
            used_mb,
            memory_mb,
            at_ms: self.now_ms(),
        });
    }

    /// All that it holds now.
    pub fn snapshot(&self) -> JournalSnapshot {
        let mut snapshot = JournalSnapshot {
            overcommits: self.overcommits(),
            ..JournalSnapshot::default()
        };
        for shard in &self.shared.shards {
            let shard = shard.lock();
            snapshot.runs.extend(shard.runs.iter().cloned());
            snapshot.runs_not_kept += shard.not_kept;
        }
        snapshot.runs.sort_by_key(|run| run.effect);
        snapshot
    }

    /// Runs in order of effect number.
    pub fn runs(&self) -> Vec<Run> {
        self.snapshot().runs
    }

    /// Runs of one caller's request.
    pub fn runs_of(&self, request_id: &str) -> Vec<Run> {
        let mut runs = self.runs();
        runs.retain(|run| run.request_id == request_id);
        runs
    }

    /// Load orders beyond the memory.
    pub fn overcommits(&self) -> Vec<Overcommit> {
        self.shared.overcommits.lock().clone()
    }

    fn keep(&self, run: Run) -> Option<usize> {
        let mut shard = self.shard(run.effect).lock();
        if shard.runs.len() >= self.shared.runs_per_shard {
            shard.not_kept += 1;
            return None;
        }
        shard.runs.push(run);
        Some(shard.runs.len() - 1)
    }

    fn end(&self, effect: u64, slot: Option<usize>, end: RunEnd) {
        let Some(slot) = slot else { return };
        let now_ms = self.now_ms();
        if let Some(run) = self.shard(effect).lock().runs.get_mut(slot) {
            run.end = end;
            run.finished_ms = Some(now_ms);
        }
    }

    fn shard(&self, effect: u64) -> &Mutex<Shard> {
        let index = usize::try_from(effect).unwrap_or(0) % SHARDS;
        &self.shared.shards[index]
    }

    fn now_ms(&self) -> u64 {
        u64::try_from(self.shared.clock.now().as_millis()).unwrap_or(u64::MAX)
    }
}

impl Default for Journal {
    fn default() -> Self {
        Self::new(DEFAULT_RUNS)
    }
}

/// Records the end of a run; dropped before [`RunGuard::end`], the run counts as cancelled.
#[derive(Debug)]
pub struct RunGuard {
    journal: Journal,
    effect: u64,
    slot: Option<usize>,
}

impl RunGuard {
    /// Number of the run at its endpoint.
    pub fn effect(&self) -> u64 {
        self.effect
    }

    /// Records how the run ended.
    pub fn end(mut self, end: RunEnd) {
        let slot = self.slot.take();
        self.journal.end(self.effect, slot, end);
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let slot = self.slot.take();
        self.journal.end(self.effect, slot, RunEnd::Cancelled);
    }
}
