//! A model engine in virtual time: three models in memory, copies on disk, one order at a time.

use super::simulation::{model_id, model_spec};
use radishpin_core::{
    process::{Action, ActionOutcome, EndpointReport, HeldModel},
    request::Tier,
};
use radishpin_protocol::prelude::*;
use std::collections::VecDeque;

const MODELS_IN_HOST_MEMORY: usize = 2;
const MODELS_MAX: usize = 3;
/// Time that an unload takes once the model's requests have ended.
const UNLOAD_TIME: Duration = Duration::from_millis(50);

/// What an order began.
pub enum OrderEnd {
    Load(Tier),
    Other,
}

struct Load {
    model: usize,
    tier: Tier,
    /// Time that it takes at full speed.
    left: Duration,
}

pub struct Engine {
    /// Loaded models with their running requests.
    models: BTreeMap<usize, u32>,
    on_disk: BTreeSet<usize>,
    /// Newest last.
    in_memory: VecDeque<usize>,
    sequence: u64,
    load: Option<Load>,
    unload: Option<(usize, Duration)>,
}

impl Engine {
    pub fn new() -> Self {
        Self {
            models: BTreeMap::new(),
            on_disk: BTreeSet::new(),
            in_memory: VecDeque::new(),
            sequence: 0,
            load: None,
            unload: None,
        }
    }

    pub fn place(&mut self, model: usize) {
        if self.models.len() < MODELS_MAX {
            self.models.insert(model, 0);
            self.on_disk.insert(model);
        }
    }

    pub fn copy_to_disk(&mut self, model: usize) {
        self.on_disk.insert(model);
    }

    pub fn loaded(&self) -> impl Iterator<Item = usize> {
        self.models.keys().copied()
    }

    pub fn loads_from_store(&self) -> bool {
        let load = self.load.as_ref();
        load.is_some_and(|load| load.tier == Tier::Remote)
    }

    /// Passes time; loads from the weight store get a share of its speed.
    pub fn advance(&mut self, time: Duration, store_share: f64) {
        if let Some(load) = &mut self.load {
            let passed = match load.tier {
                Tier::Remote => time.mul_f64(store_share),
                Tier::Disk | Tier::Memory => time,
            };
            load.left = load.left.saturating_sub(passed);
            if load.left.is_zero() {
                let model = load.model;
                self.load = None;
                self.end_load(model);
            }
        }
        if let Some((model, left)) = &mut self.unload
            && self.models.get(model).is_none_or(|running| *running == 0)
        {
            *left = left.saturating_sub(time);
            if left.is_zero() {
                let model = *model;
                self.unload = None;
                self.models.remove(&model);
            }
        }
    }

    fn end_load(&mut self, model: usize) {
        self.models.insert(model, 0);
        self.on_disk.insert(model);
        self.in_memory.retain(|kept| *kept != model);
        self.in_memory.push_back(model);
        if self.in_memory.len() > MODELS_IN_HOST_MEMORY {
            self.in_memory.pop_front();
        }
    }

    pub fn report(&self) -> EndpointReport {
        let models = self
            .models
            .keys()
            .map(|model| (model_id(*model), HeldModel::default()));
        EndpointReport {
            models: models.collect(),
            busy: self.load.is_some() || self.unload.is_some(),
            sequence: self.sequence,
            waiting: 0,
            running: self.models.values().sum(),
            started_unix_ms: 1,
            in_memory: self
                .in_memory
                .iter()
                .map(|model| model_id(*model))
                .collect(),
            on_disk: self.on_disk.iter().map(|model| model_id(*model)).collect(),
            arriving_adapters: BTreeSet::new(),
        }
    }

    pub fn order(&mut self, action: &Action, sequence: u64) -> (ActionOutcome, OrderEnd) {
        if self.load.is_some() || self.unload.is_some() || sequence != self.sequence {
            return (ActionOutcome::Refused, OrderEnd::Other);
        }
        self.sequence += 1;
        match action {
            Action::Load(model) => {
                let model = model_number(model);
                assert!(
                    self.models.len() < MODELS_MAX,
                    "an engine is asked for more than it holds"
                );
                let tier = self.tier(model);
                let left = model_spec().load_time(tier);
                self.load = Some(Load { model, tier, left });
                (ActionOutcome::Accepted, OrderEnd::Load(tier))
            }
            Action::Unload(model) => {
                self.unload = Some((model_number(model), UNLOAD_TIME));
                (ActionOutcome::Accepted, OrderEnd::Other)
            }
            Action::LoadAdapter(..) | Action::UnloadAdapter(..) => {
                (ActionOutcome::Unneeded, OrderEnd::Other)
            }
        }
    }

    fn tier(&self, model: usize) -> Tier {
        if self.in_memory.contains(&model) {
            Tier::Memory
        } else if self.on_disk.contains(&model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }

    /// Begins a request; false if the engine has not loaded its model or is unloading it.
    pub fn begin_request(&mut self, model: usize) -> bool {
        let is_leaving = self
            .unload
            .as_ref()
            .is_some_and(|(leaving, _)| *leaving == model);
        match self.models.get_mut(&model) {
            Some(running) if !is_leaving => {
                *running += 1;
                true
            }
            _ => false,
        }
    }

    pub fn end_request(&mut self, model: usize) {
        if let Some(running) = self.models.get_mut(&model) {
            *running = running.saturating_sub(1);
        }
    }
}

fn model_number(id: &str) -> usize {
    id[1..].parse().expect("ids are numbers")
}
