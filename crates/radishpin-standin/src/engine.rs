//! A stand-in model engine: limited accelerator memory, continuous batching, prefix cache.

mod admission;
mod call;
mod faults;
mod http;
mod memory;
mod prefix_cache;
mod settings;
mod stream;

pub use call::{Call, CallRequest, token};
pub use faults::EngineFaults;
pub use settings::EngineSettings;

use crate::{clock::Clock, journal::Journal, lagged::Lagged, weight_store::WeightStore};
use admission::Admission;
use faults::FaultSwitch;
use memory::{LoadStart, Memory};
use parking_lot::Mutex;
use prefix_cache::PrefixCache;
use radishpin_protocol::engine::{EngineErrorKind, EngineReport, LoadTarget, Order, Tier};
use std::{sync::Arc, time::Duration};

/// Time between looks at a condition that another task brings about.
const POLL: Duration = Duration::from_millis(2);
/// Parts of the report lag at which the load is sampled.
const SAMPLES_PER_LAG: u32 = 8;

/// Handle to an engine; clones share it.
#[derive(Clone, Debug)]
pub struct Engine {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    settings: EngineSettings,
    weight_store: WeightStore,
    journal: Journal,
    clock: Clock,
    memory: Mutex<Memory>,
    admission: Arc<Admission>,
    load: Mutex<Lagged<Load>>,
    cache: Mutex<PrefixCache>,
    faults: FaultSwitch,
}

/// Calls at an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Load {
    running: u32,
    queued: u32,
}

impl Engine {
    /// An engine with nothing loaded; `seed` decides which cache events are lost.
    pub fn new(settings: EngineSettings, weight_store: WeightStore, seed: u64) -> Self {
        let shared = Shared {
            memory: Mutex::new(Memory::new(settings.memory_mb, settings.tiers.clone())),
            admission: Arc::new(Admission::new(settings.concurrency)),
            load: Mutex::new(Lagged::new(Load::default())),
            cache: Mutex::new(PrefixCache::new(&settings, seed)),
            faults: FaultSwitch::default(),
            journal: Journal::new(settings.journal_runs),
            clock: Clock::system(),
            settings,
            weight_store,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// What really ran.
    pub fn journal(&self) -> &Journal {
        &self.shared.journal
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.shared.faults.set(faults);
    }

    /// Changes the faults in place.
    pub fn change_faults(&self, change: impl FnOnce(&mut EngineFaults)) {
        self.shared.faults.change(change);
    }

    /// The faults that are left.
    pub fn faults(&self) -> EngineFaults {
        self.shared.faults.get()
    }

    /// Empties the memory and forgets all order numbers; running calls are cut.
    pub fn restart(&self) {
        let now = self.shared.clock.now();
        self.shared.memory.lock().restart(now);
        self.shared.cache.lock().clear();
    }

    /// Carries out a load order; returns when the target is loaded.
    ///
    /// # Errors
    /// A stale order, an adapter without its model, weights that could not be read, or an
    /// unload or restart meanwhile.
    pub async fn load(&self, order: &Order) -> Result<(), EngineErrorKind> {
        self.unfrozen().await;
        loop {
            match self.begin_load(order)? {
                LoadStart::Loaded => return Ok(()),
                LoadStart::Loading(generation) => {
                    return self.join_load(&order.target, generation).await;
                }
                LoadStart::Unloading => wait(POLL).await,
                LoadStart::Started { generation, tier } => {
                    let read = self.read_weights(&order.target, tier).await;
                    return self.end_load(&order.target, generation, read);
                }
            }
        }
    }

    /// Carries out an unload order; returns when the memory is free. Calls that run on the
    /// target are cut at once. Unloading a model unloads its adapters, and unloading what is
    /// not loaded succeeds.
    ///
    /// # Errors
    /// A stale order.
    pub async fn unload(&self, order: &Order) -> Result<(), EngineErrorKind> {
        self.unfrozen().await;
        self.begin_unload(order)?;
        wait(self.shared.settings.unload).await;
        self.unfrozen().await;
        let now = self.shared.clock.now();
        let mut memory = self.shared.memory.lock();
        memory.finish_unload(&order.target, now);
        Ok(())
    }

    /// The state as it was before the report's lag.
    pub fn report(&self) -> EngineReport {
        let now = self.shared.clock.now();
        let lag = self.shared.settings.report_lag;
        let load = self.lagged_load(now, lag);
        let cache_events = self.shared.cache.lock().take_events(now);
        let mut report = self.shared.memory.lock().report(now, lag);
        report.running = load.running;
        report.queued = load.queued;
        report.cache_events = cache_events;
        report
    }

    /// What is loaded now, without lag.
    pub fn loaded(&self) -> Vec<LoadTarget> {
        self.shared.memory.lock().loaded()
    }

    /// Accelerator memory in use now, without lag.
    pub fn used_mb(&self) -> u32 {
        self.shared.memory.lock().used_mb()
    }

    fn begin_unload(&self, order: &Order) -> Result<(), EngineErrorKind> {
        let now = self.shared.clock.now();
        let mut memory = self.shared.memory.lock();
        memory.accept(order.number, self.shared.settings.refuses_stale_orders)?;
        memory.begin_unload(&order.target, now);
        Ok(())
    }

    fn begin_load(&self, order: &Order) -> Result<LoadStart, EngineErrorKind> {
        let now = self.shared.clock.now();
        let settings = &self.shared.settings;
        let mut memory = self.shared.memory.lock();
        memory.accept(order.number, settings.refuses_stale_orders)?;
        let start = memory.begin_load(order, now)?;
        let used_mb = memory.used_mb();
        drop(memory);
        let started = matches!(start, LoadStart::Started { .. });
        if started && used_mb > settings.memory_mb {
            let journal = &self.shared.journal;
            journal.overcommit(&order.target, used_mb, settings.memory_mb);
        }
        Ok(start)
    }

    async fn join_load(&self, target: &LoadTarget, generation: u64) -> Result<(), EngineErrorKind> {
        loop {
            match self.shared.memory.lock().is_loaded(target, generation) {
                Some(true) => return Ok(()),
                Some(false) => {}
                None => return Err(EngineErrorKind::Superseded),
            }
            smol::Timer::after(POLL).await;
        }
    }

    async fn read_weights(&self, target: &LoadTarget, tier: Tier) -> Result<(), EngineErrorKind> {
        if self.shared.faults.take(|faults| &mut faults.fail_loads) {
            return Err(EngineErrorKind::LoadFailed);
        }
        let settings = &self.shared.settings;
        let store = &self.shared.weight_store;
        let read = match (&target.adapter, tier) {
            (Some(_), _) => store.load_adapter().await,
            (None, Tier::Memory) => {
                wait(settings.memory_load).await;
                Ok(())
            }
            (None, Tier::Disk) => {
                wait(settings.disk_load).await;
                Ok(())
            }
            (None, Tier::Remote) => store.load_model().await,
        };
        self.unfrozen().await;
        read.map_err(|_| EngineErrorKind::LoadFailed)
    }

    fn end_load(
        &self,
        target: &LoadTarget,
        generation: u64,
        read: Result<(), EngineErrorKind>,
    ) -> Result<(), EngineErrorKind> {
        let now = self.shared.clock.now();
        let mut memory = self.shared.memory.lock();
        if let Err(error) = read {
            memory.abandon_load(target, generation, now);
            return Err(error);
        }
        let tier = self.shared.settings.tier_after_load;
        if memory.finish_load(target, generation, tier, now) {
            Ok(())
        } else {
            Err(EngineErrorKind::Superseded)
        }
    }

    async fn unfrozen(&self) {
        while self.shared.faults.frozen() {
            smol::Timer::after(POLL).await;
        }
    }

    fn lagged_load(&self, now: Duration, lag: Duration) -> Load {
        if lag.is_zero() {
            return self.shared.load_now();
        }
        let mut load = self.shared.load.lock();
        load.read(now, lag).unwrap_or_default()
    }
}

impl Shared {
    fn load_now(&self) -> Load {
        let (running, queued) = self.admission.load();
        Load { running, queued }
    }

    /// Notes the load for later reports, at most a few times within the lag.
    fn sample_load(&self) {
        let lag = self.settings.report_lag;
        if lag.is_zero() {
            return;
        }
        let now = self.clock.now();
        let mut load = self.load.lock();
        if now.saturating_sub(load.latest_at()) >= lag / SAMPLES_PER_LAG {
            load.set(now, self.load_now());
            load.read(now, lag);
        }
    }
}

async fn wait(duration: Duration) {
    if !duration.is_zero() {
        smol::Timer::after(duration).await;
    }
}
