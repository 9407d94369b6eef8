//! What a planned stop needs beforehand: replacements, and when new work and streams must leave.
//!
//! A plan is worked out anew from the present situation whenever something changes, so a cancelled
//! or overlapping stop needs no plan of its own: the next plan simply differs.

use radishpin_protocol::{WorkloadClass, prelude::*};

/// Time from a leaving sign until no node sends new work to the endpoint any more.
const SPREAD: Duration = Duration::from_secs(3);
/// Time that a stream needs to be resumed elsewhere.
const MOVE_TIME: Duration = Duration::from_secs(2);
/// Longest time that work may take to drain; longer streams are resumed elsewhere.
const DRAIN_MAX: Duration = Duration::from_secs(60);
/// Load times are planned with half as much again in hand.
const LOAD_MARGIN_DIVISOR: u32 = 2;

/// An endpoint, as planning sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopEndpoint {
    /// Its host.
    pub host: HostId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Accelerator memory.
    pub memory_mb: SizeMb,
    /// Accelerator memory that is neither used nor reserved.
    pub free_mb: SizeMb,
    /// Whether it may take replacements: not suspected, not leaving, in no stop that overlaps.
    pub usable: bool,
}

/// A model with a grant at an endpoint that stops.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopModel {
    /// The model.
    pub model: ModelId,
    /// The service whose endpoints may load it.
    pub service: ServiceId,
    /// Class of the service's profile.
    pub class: WorkloadClass,
    /// How long the service's callers wait.
    pub patience: Duration,
    /// Accelerator memory of a replica.
    pub size_mb: SizeMb,
    /// Its grants, and whether the replica is loaded.
    pub grants: BTreeMap<EndpointId, bool>,
    /// Replicas that it may have at most.
    pub max_replicas: u32,
    /// Expected time of a load.
    pub load_time: Duration,
    /// Longest time that a call or stream of it is expected to take.
    pub stream_time: Duration,
}

/// Everything that a plan depends on; times since the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopSituation {
    /// The present.
    pub now: Duration,
    /// Start of the window.
    pub from: Duration,
    /// Endpoints that stop.
    pub stopping: BTreeSet<EndpointId>,
    /// All endpoints.
    pub endpoints: BTreeMap<EndpointId, StopEndpoint>,
    /// Models with a grant at an endpoint that stops.
    pub models: Vec<StopModel>,
    /// Loads that the weight store serves at once at full speed.
    pub parallel_loads: u32,
}

/// Whether a replacement is loaded ahead of the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadAhead {
    /// Load it: its callers cannot wait for a load.
    Load,
    /// Grant it only: it is loaded when a caller comes.
    GrantOnly,
}

/// A grant that moves to an endpoint that stays.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The model.
    pub model: ModelId,
    /// The endpoint that stops.
    pub from: EndpointId,
    /// The endpoint that takes over.
    pub to: EndpointId,
    /// Whether it is loaded ahead.
    pub load: LoadAhead,
    /// Whether the new grant may come before the old one is given up, within the replicas that
    /// the profile allows.
    pub surge: bool,
    /// When to grant it.
    pub start_at: Duration,
}

/// What a planned stop will cost all the same.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopWarning {
    /// The last loaded replica moves and the profile allows no second: callers wait this long.
    LastReplica {
        /// The model.
        model: ModelId,
        /// Time without a loaded replica.
        gap: Duration,
    },
    /// No endpoint that stays has the memory.
    TooLittleMemory {
        /// The model.
        model: ModelId,
        /// Memory needed.
        size_mb: SizeMb,
        /// Whether its requests will be refused in the window: no grant is left elsewhere.
        refused: bool,
    },
    /// The replacement cannot be loaded before the window.
    TooShortNotice {
        /// The model.
        model: ModelId,
        /// Time that is missing.
        missing: Duration,
    },
    /// No endpoint of the service stays: its requests will be refused in the window.
    LastEndpoint {
        /// The service.
        service: ServiceId,
    },
}

/// What to do for a planned stop, and when.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Grants that move, in order of `start_at`.
    pub replacements: Vec<Replacement>,
    /// When the first of them starts; `refuse_new_at` where none moves.
    pub start_at: Duration,
    /// When the endpoints that stop take no new work any more.
    pub refuse_new_at: Duration,
    /// When streams that still run are resumed elsewhere.
    pub streams_moved_by: Duration,
    /// What it will cost all the same.
    pub warnings: Vec<StopWarning>,
}

/// Plans a stop.
pub fn plan_stop(situation: &StopSituation) -> StopPlan {
    let mut planner = Planner::new(situation);
    planner.warn_last_endpoints();
    for model in planner.models_in_order() {
        planner.plan_model(model);
    }
    planner.finish()
}

struct Planner<'a> {
    situation: &'a StopSituation,
    refuse_new_at: Duration,
    free_mb: BTreeMap<&'a EndpointId, SizeMb>,
    // Start of the earliest load planned so far on each place at the weight store.
    lanes: Vec<Duration>,
    replacements: Vec<Replacement>,
    warnings: BTreeSet<StopWarning>,
}

impl<'a> Planner<'a> {
    fn new(situation: &'a StopSituation) -> Self {
        let longest = situation.models.iter().map(|model| model.stream_time).max();
        let drain = longest.unwrap_or_default().min(DRAIN_MAX);
        let ahead = SPREAD + drain + MOVE_TIME;
        let refuse_new_at = situation.from.saturating_sub(ahead).max(situation.now);
        let grants: usize = situation.models.iter().map(|m| m.grants.len()).sum();
        let places = (situation.parallel_loads as usize).clamp(1, grants.max(1));
        let staying = situation
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.usable && !situation.stopping.contains(*id));
        Self {
            situation,
            refuse_new_at,
            free_mb: staying
                .map(|(id, endpoint)| (id, endpoint.free_mb))
                .collect(),
            lanes: vec![refuse_new_at; places],
            replacements: Vec::new(),
            warnings: BTreeSet::new(),
        }
    }

    /// Loads are planned backwards from the window: those that can wait come last before it, so
    /// that they idle for the shortest time.
    fn models_in_order(&self) -> Vec<&'a StopModel> {
        let mut models: Vec<&StopModel> = self.situation.models.iter().collect();
        models.sort_by_key(|model| (std::cmp::Reverse(model.class), &model.model));
        models
    }

    fn plan_model(&mut self, model: &'a StopModel) {
        let stopping = &self.situation.stopping;
        let leaving = model.grants.iter().filter(|(id, _)| stopping.contains(*id));
        let mut taken: BTreeSet<&EndpointId> = model.grants.keys().collect();
        let mut replicas = model.grants.len();
        for (from, loaded) in leaving {
            let load = load_ahead(model, *loaded);
            let Some(to) = self.place(model, load, &taken) else {
                self.warn_no_memory(model);
                continue;
            };
            taken.insert(to);
            let surge = replicas < model.max_replicas as usize;
            replicas += usize::from(surge);
            self.warn_gap(model, load, surge);
            let start_at = self.schedule(model, load);
            self.replacements.push(Replacement {
                model: model.model.clone(),
                from: from.clone(),
                to: to.clone(),
                load,
                surge,
                start_at,
            });
        }
    }

    /// The endpoint with a host and zone that the model is not at yet, then the most free memory.
    fn place(
        &mut self,
        model: &StopModel,
        load: LoadAhead,
        taken: &BTreeSet<&EndpointId>,
    ) -> Option<&'a EndpointId> {
        let endpoints = &self.situation.endpoints;
        let remaining: Vec<&StopEndpoint> = taken
            .iter()
            .filter(|id| self.free_mb.contains_key(**id))
            .filter_map(|id| endpoints.get(*id))
            .collect();
        let fits = |id: &EndpointId, free_mb: SizeMb| {
            let endpoint = &endpoints[id];
            let room_mb = match load {
                LoadAhead::Load => free_mb,
                LoadAhead::GrantOnly => endpoint.memory_mb,
            };
            endpoint.service == model.service && room_mb >= model.size_mb
        };
        let spread = |id: &EndpointId| {
            let endpoint = &endpoints[id];
            let new_host = remaining.iter().all(|r| r.host != endpoint.host);
            let new_zone = remaining
                .iter()
                .all(|r| r.availability_zone != endpoint.availability_zone);
            (new_host, new_zone)
        };
        let (to, free_mb) = self
            .free_mb
            .iter_mut()
            .filter(|(id, free_mb)| !taken.contains(**id) && fits(id, **free_mb))
            .max_by_key(|(id, free_mb)| (spread(id), **free_mb))?;
        if load == LoadAhead::Load {
            *free_mb -= model.size_mb;
        }
        Some(*to)
    }

    /// Takes the place at the weight store that is free for longest before the window.
    fn schedule(&mut self, model: &StopModel, load: LoadAhead) -> Duration {
        if load == LoadAhead::GrantOnly {
            return self
                .refuse_new_at
                .saturating_sub(SPREAD)
                .max(self.situation.now);
        }
        let margin = model.load_time / LOAD_MARGIN_DIVISOR;
        let needed = model.load_time.saturating_add(margin);
        let Some(lane) = self.lanes.iter_mut().max() else {
            return self.situation.now;
        };
        let now = self.situation.now;
        let available = lane.saturating_sub(now);
        *lane = lane.saturating_sub(needed).max(now);
        if available < needed {
            let missing = needed - available;
            let model = model.model.clone();
            self.warnings
                .insert(StopWarning::TooShortNotice { model, missing });
        }
        *lane
    }

    fn warn_no_memory(&mut self, model: &StopModel) {
        let refused = !self.stays_granted(model);
        self.warnings.insert(StopWarning::TooLittleMemory {
            model: model.model.clone(),
            size_mb: model.size_mb,
            refused,
        });
    }

    fn warn_gap(&mut self, model: &StopModel, load: LoadAhead, surge: bool) {
        let stays_loaded = model
            .grants
            .iter()
            .any(|(id, loaded)| *loaded && self.free_mb.contains_key(id));
        if load == LoadAhead::Load && !surge && !stays_loaded {
            self.warnings.insert(StopWarning::LastReplica {
                model: model.model.clone(),
                gap: model.load_time,
            });
        }
    }

    fn warn_last_endpoints(&mut self) {
        for id in &self.situation.stopping {
            let Some(stopping) = self.situation.endpoints.get(id) else {
                continue;
            };
            let service = &stopping.service;
            let of_service = |id: &&EndpointId| self.situation.endpoints[*id].service == *service;
            if !self.free_mb.keys().any(of_service) {
                let service = service.clone();
                self.warnings.insert(StopWarning::LastEndpoint { service });
            }
        }
    }

    fn stays_granted(&self, model: &StopModel) -> bool {
        model.grants.keys().any(|id| self.free_mb.contains_key(id))
    }

    fn finish(mut self) -> StopPlan {
        self.replacements
            .sort_by(|a, b| (a.start_at, &a.model).cmp(&(b.start_at, &b.model)));
        let first = self.replacements.first();
        let moved_by = self.situation.from.saturating_sub(MOVE_TIME);
        StopPlan {
            start_at: first.map_or(self.refuse_new_at, |r| r.start_at),
            refuse_new_at: self.refuse_new_at,
            streams_moved_by: moved_by.max(self.refuse_new_at),
            replacements: self.replacements,
            warnings: self.warnings.into_iter().collect(),
        }
    }
}

/// Interactive callers find a loaded replica; deferrable ones where they cannot wait for a load.
fn load_ahead(model: &StopModel, loaded: bool) -> LoadAhead {
    let waits_for_load =
        model.class == WorkloadClass::Deferrable && model.load_time <= model.patience;
    if loaded && !waits_for_load {
        LoadAhead::Load
    } else {
        LoadAhead::GrantOnly
    }
}
