//! Accelerator memory of an engine: what takes it, and by which orders.

use crate::lagged::Lagged;
use radishpin_protocol::{
    ModelId, SizeMb,
    engine::{EngineErrorKind, EngineReport, LoadTarget, Order, OrderNumber, Resident, Tier},
};
use std::{collections::BTreeMap, time::Duration};

/// What is loaded and loading, with the reports of the recent past.
#[derive(Debug)]
pub(super) struct Memory {
    memory_mb: SizeMb,
    entries: BTreeMap<LoadTarget, Entry>,
    tiers: BTreeMap<ModelId, Tier>,
    as_of: OrderNumber,
    next_generation: u64,
    reports: u64,
    instance: u64,
    history: Lagged<EngineReport>,
}

#[derive(Clone, Copy, Debug)]
struct Entry {
    size_mb: SizeMb,
    /// Tells one load of a target from a later one.
    generation: u64,
    phase: Phase,
}

/// Where a target stands; it takes memory in each phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Loading,
    Loaded,
    Unloading,
}

/// How a load order begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LoadStart {
    /// The target is loaded already.
    Loaded,
    /// An earlier order loads the target.
    Loading(u64),
    /// An earlier order unloads the target; the load can start afterwards.
    Unloading,
    /// The load starts.
    Started {
        /// Generation of the load.
        generation: u64,
        /// Where the weights are.
        tier: Tier,
    },
}

/// One load of one target, on which a call runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Residency {
    target: LoadTarget,
    generation: u64,
}

impl Memory {
    pub(super) fn new(memory_mb: SizeMb, tiers: BTreeMap<ModelId, Tier>) -> Self {
        let mut memory = Self {
            memory_mb,
            entries: BTreeMap::new(),
            tiers,
            as_of: OrderNumber::default(),
            next_generation: 1,
            reports: 0,
            instance: 1,
            history: Lagged::new(EngineReport::default()),
        };
        memory.history = Lagged::new(memory.current());
        memory
    }

    /// Takes note of an order's number.
    pub(super) fn accept(
        &mut self,
        number: OrderNumber,
        refuses_stale: bool,
    ) -> Result<(), EngineErrorKind> {
        if number < self.as_of && refuses_stale {
            return Err(EngineErrorKind::StaleOrder);
        }
        self.as_of = self.as_of.max(number);
        Ok(())
    }

    pub(super) fn begin_load(
        &mut self,
        order: &Order,
        now: Duration,
    ) -> Result<LoadStart, EngineErrorKind> {
        if let Some(entry) = self.entries.get(&order.target).copied() {
            self.note(now);
            return Ok(match entry.phase {
                Phase::Loaded => LoadStart::Loaded,
                Phase::Loading => LoadStart::Loading(entry.generation),
                Phase::Unloading => LoadStart::Unloading,
            });
        }
        let model = LoadTarget::model(&order.target.model);
        if order.target.adapter.is_some() && !self.loads(&model) {
            self.note(now);
            return Err(EngineErrorKind::ModelNotLoaded);
        }
        let generation = self.next_generation;
        self.next_generation += 1;
        let entry = Entry {
            size_mb: order.size_mb,
            generation,
            phase: Phase::Loading,
        };
        self.entries.insert(order.target.clone(), entry);
        self.note(now);
        let tier = self.tier(&order.target.model);
        Ok(LoadStart::Started { generation, tier })
    }

    /// Whether the load of this generation still stood.
    pub(super) fn finish_load(
        &mut self,
        target: &LoadTarget,
        generation: u64,
        slowest_tier: Tier,
        now: Duration,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(target) else {
            return false;
        };
        if entry.generation != generation || entry.phase != Phase::Loading {
            return false;
        }
        entry.phase = Phase::Loaded;
        if target.adapter.is_none() {
            let tier = self.tier(&target.model).min(slowest_tier);
            self.tiers.insert(target.model.clone(), tier);
        }
        self.note(now);
        true
    }

    /// Gives up a load of this generation, unless an unload has taken it over.
    pub(super) fn abandon_load(&mut self, target: &LoadTarget, generation: u64, now: Duration) {
        let stands =
            |entry: &Entry| entry.generation == generation && entry.phase == Phase::Loading;
        if self.entries.get(target).is_some_and(stands) {
            self.entries.remove(target);
        }
        self.note(now);
    }

    /// Begins to unload a target, and the adapters of a model; calls on it are cut.
    pub(super) fn begin_unload(&mut self, target: &LoadTarget, now: Duration) {
        for (other, entry) in &mut self.entries {
            if covers(target, other) {
                entry.phase = Phase::Unloading;
            }
        }
        self.note(now);
    }

    /// Frees the memory of what is being unloaded.
    pub(super) fn finish_unload(&mut self, target: &LoadTarget, now: Duration) {
        self.entries
            .retain(|other, entry| !covers(target, other) || entry.phase != Phase::Unloading);
        self.note(now);
    }

    pub(super) fn restart(&mut self, now: Duration) {
        self.entries.clear();
        self.as_of = OrderNumber::default();
        self.instance += 1;
        self.note(now);
    }

    /// Whether a load has ended; `None` where it no longer stands.
    pub(super) fn is_loaded(&self, target: &LoadTarget, generation: u64) -> Option<bool> {
        let entry = self.entries.get(target)?;
        let stands = entry.generation == generation && entry.phase != Phase::Unloading;
        stands.then_some(entry.phase == Phase::Loaded)
    }

    /// The load on which a call for `name` would run.
    pub(super) fn residency(&self, name: &str) -> Option<Residency> {
        let (target, entry) = self
            .entries
            .iter()
            .find(|(target, entry)| entry.phase == Phase::Loaded && target.name() == name)?;
        Some(Residency {
            target: target.clone(),
            generation: entry.generation,
        })
    }

    /// Whether the load on which a call runs still stands.
    pub(super) fn holds(&self, residency: &Residency) -> bool {
        self.is_loaded(&residency.target, residency.generation) == Some(true)
    }

    pub(super) fn used_mb(&self) -> SizeMb {
        self.entries.values().map(|entry| entry.size_mb).sum()
    }

    pub(super) fn loaded(&self) -> Vec<LoadTarget> {
        let loaded = self.residents(Phase::Loaded);
        loaded.into_iter().map(|resident| resident.target).collect()
    }

    pub(super) fn report(&mut self, now: Duration, lag: Duration) -> EngineReport {
        self.reports += 1;
        let mut report = self.history.read(now, lag).unwrap_or_default();
        report.report_sequence = self.reports;
        report.lag_ms = u64::try_from(lag.as_millis()).unwrap_or(u64::MAX);
        report
    }

    fn loads(&self, target: &LoadTarget) -> bool {
        self.entries
            .get(target)
            .is_some_and(|entry| entry.phase == Phase::Loaded)
    }

    fn tier(&self, model: &str) -> Tier {
        self.tiers.get(model).copied().unwrap_or(Tier::Remote)
    }

    fn residents(&self, phase: Phase) -> Vec<Resident> {
        self.entries
            .iter()
            .filter(|(_, entry)| entry.phase == phase)
            .map(|(target, entry)| Resident {
                target: target.clone(),
                size_mb: entry.size_mb,
            })
            .collect()
    }

    fn note(&mut self, now: Duration) {
        let current = self.current();
        self.history.set(now, current);
    }

    fn current(&self) -> EngineReport {
        EngineReport {
            as_of: self.as_of,
            memory_mb: self.memory_mb,
            used_mb: self.used_mb(),
            instance: self.instance,
            loaded: self.residents(Phase::Loaded),
            loading: self.residents(Phase::Loading),
            unloading: self.residents(Phase::Unloading),
            tiers: self.tiers.clone(),
            ..EngineReport::default()
        }
    }
}

/// Whether an order for `target` reaches `other`: itself, or an adapter of the model.
fn covers(target: &LoadTarget, other: &LoadTarget) -> bool {
    target == other || (target.adapter.is_none() && target.model == other.model)
}
