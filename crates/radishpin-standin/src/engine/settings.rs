//! Speeds and limits of an engine.

use radishpin_protocol::{ModelId, SizeMb, engine::Tier};
use std::{collections::BTreeMap, time::Duration};

/// Speeds and limits of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSettings {
    /// Accelerator memory.
    pub memory_mb: SizeMb,
    /// Calls in the batch at once; more wait.
    pub concurrency: u32,
    /// Time to the first token of a prompt whose prefix is not cached.
    pub first_token: Duration,
    /// Time to the first token of a prompt whose prefix is cached.
    pub cached_first_token: Duration,
    /// Time of each token, for a call alone in the batch.
    pub token: Duration,
    /// Time added to each token by each other call in the batch, in percent.
    pub batch_slowdown_percent: u32,
    /// Time of a load from the host's memory.
    pub memory_load: Duration,
    /// Time of a load from disk.
    pub disk_load: Duration,
    /// Time of an unload, during which the memory stays taken.
    pub unload: Duration,
    /// Where checkpoints are at the start; a model that is not listed is remote.
    pub tiers: BTreeMap<ModelId, Tier>,
    /// Slowest tier in which a checkpoint stays after a load.
    pub tier_after_load: Tier,
    /// Whether an order with an older number than one seen before is refused.
    pub refuses_stale_orders: bool,
    /// Time by which reports lag behind the state.
    pub report_lag: Duration,
    /// Prompt prefixes that the cache holds.
    pub cache_prefixes: usize,
    /// Time by which cache events lag behind the cache.
    pub cache_event_lag: Duration,
    /// Share of cache events that are lost, in percent.
    pub cache_event_loss_percent: u8,
    /// Runs that the journal keeps.
    pub journal_runs: usize,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            memory_mb: 24_000,
            concurrency: 16,
            first_token: Duration::from_millis(40),
            cached_first_token: Duration::from_millis(10),
            token: Duration::from_millis(5),
            batch_slowdown_percent: 0,
            memory_load: Duration::from_millis(300),
            disk_load: Duration::from_millis(900),
            unload: Duration::from_millis(50),
            tiers: BTreeMap::new(),
            tier_after_load: Tier::Disk,
            refuses_stale_orders: true,
            report_lag: Duration::from_millis(200),
            cache_prefixes: 256,
            cache_event_lag: Duration::from_millis(500),
            cache_event_loss_percent: 5,
            journal_runs: 1_000_000,
        }
    }
}

impl EngineSettings {
    /// An engine that takes no time over anything, for measurements of what lies before it.
    pub fn instant() -> Self {
        Self {
            first_token: Duration::ZERO,
            cached_first_token: Duration::ZERO,
            token: Duration::ZERO,
            memory_load: Duration::ZERO,
            disk_load: Duration::ZERO,
            unload: Duration::ZERO,
            report_lag: Duration::ZERO,
            cache_event_lag: Duration::ZERO,
            ..Self::default()
        }
    }
}
