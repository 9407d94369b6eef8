//! State and tasks that exist for the lifetime of the agent's process.

mod average_durations;
mod error;
mod housekeeping;
mod leaving;
mod metrics;
mod order_runner;
mod registration;
mod run;
mod slots;

pub use error::AgentError;
pub use run::RunningAgent;

use super::connection::Endpoint;
use crate::{clock::Clock, settings::AgentSettings, shards::Shards};
use average_durations::AverageDurations;
use event_listener::Event;
use leaving::LeavingState;
use metrics::AgentMetrics;
use order_runner::LoadCounters;
use parking_lot::Mutex;
use radishpin_core::{
    process::ReplicaLedger,
    request::{AttemptLedger, TombstoneOutcome},
};
use radishpin_http::Shutdown;
use radishpin_protocol::{engine::Tier, prelude::*, wire::Load};
use radishpin_runtime::Runtime;
use slots::Slots;
use std::sync::atomic::{AtomicU64, Ordering};

/// Number of shards of the attempt ledger.
const ATTEMPT_SHARDS: usize = 16;
/// Maximum number of attempts per shard.
const ATTEMPTS_PER_SHARD: usize = 8 * 1024;
/// Time for which an attempt stays in the ledger after it ended. It is longer than any message can
/// be delayed, because a connection whose pings are not answered is closed within seconds.
const ATTEMPT_KEEP: Duration = Duration::from_secs(60);

/// The agent of one endpoint, shared by its RPC handlers and background tasks.
#[derive(Debug)]
pub struct Agent {
    pub(super) settings: AgentSettings,
    pub(super) runtime: Runtime,
    pub(super) clock: Clock,
    pub(super) endpoint: Endpoint,
    /// `None` until the agent is registered.
    pub(super) ledger: Mutex<Option<ReplicaLedger>>,
    /// Notified after every change to the replica ledger.
    pub(super) ledger_changed: Event,
    /// Notified when the endpoint's report should be read without waiting for the interval.
    pub(super) report_requested: Event,
    pub(super) attempts: Shards<AttemptLedger>,
    pub(super) slots: Slots,
    pub(super) load_counters: LoadCounters,
    pub(super) average_durations: AverageDurations,
    pub(super) metrics: AgentMetrics,
    pub(super) tiers: Mutex<BTreeMap<ModelId, Tier>>,
    pub(super) incarnation: AtomicU64,
    pub(super) leaving_state: LeavingState,
    pub(super) shutdown: Shutdown,
}

impl Agent {
    fn new(settings: AgentSettings, runtime: Runtime, shutdown: Shutdown) -> Self {
        let endpoint = Endpoint::new(settings.endpoint, settings.kind);
        let clock = Clock::start();
        let slots = Slots::new(clock, settings.concurrency, settings.queue_places as usize);
        Self {
            runtime,
            clock,
            endpoint,
            ledger: Mutex::new(None),
            ledger_changed: Event::new(),
            report_requested: Event::new(),
            attempts: Shards::new(ATTEMPT_SHARDS, || {
                AttemptLedger::new(ATTEMPTS_PER_SHARD, ATTEMPT_KEEP)
            }),
            slots,
            load_counters: LoadCounters::default(),
            average_durations: AverageDurations::default(),
            metrics: AgentMetrics::new(),
            tiers: Mutex::default(),
            incarnation: AtomicU64::new(0),
            leaving_state: LeavingState::default(),
            shutdown,
            settings,
        }
    }

    /// Incarnation under which this agent is registered; 0 until it is registered.
    pub fn incarnation(&self) -> Incarnation {
        self.incarnation.load(Ordering::Acquire)
    }

    /// Whether new attempts are refused because the endpoint is leaving or the agent is stopping.
    pub fn leaving(&self) -> bool {
        self.leaving_state.is_leaving(self.clock.now()) || self.shutdown.has_begun()
    }

    /// Number of calls that the endpoint is processing.
    pub fn running_calls(&self) -> u32 {
        self.slots.running()
    }

    /// Current load of the endpoint, as reported to nodes.
    pub(super) fn load(&self) -> Load {
        let (memory_used_mb, loading) = self.memory_and_loads();
        Load {
            running: self.slots.running(),
            queued: self.slots.queued(),
            concurrency: self.settings.concurrency,
            memory_mb: self.settings.memory_mb,
            memory_used_mb,
            service_time_ms: self.average_durations.service_time_ms(),
            load_time_ms: self.average_durations.load_time_ms(),
            leaving: self.leaving(),
            loading,
        }
    }

    /// Prevents an attempt from ever starting, unless it has started already.
    pub(super) fn tombstone(&self, id: &AttemptId) -> TombstoneOutcome {
        let now = self.clock.now();
        self.attempts
            .with(&id.request_id, |ledger| ledger.tombstone(id, now))
    }

    fn memory_and_loads(&self) -> (SizeMb, u32) {
        let used_mb = match self.ledger.lock().as_ref() {
            Some(ledger) => ledger.memory_used_mb(),
            None => self.settings.memory_mb,
        };
        (used_mb, self.load_counters.in_flight())
    }
}
