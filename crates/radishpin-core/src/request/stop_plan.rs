//! Plans a stop of endpoints: replacement grants, and when to refuse new work and move streams.
//!
//! A plan is recomputed from the current state whenever something changes. A cancelled or an
//! overlapping stop therefore needs no special handling: the next plan accounts for it.

use radishpin_protocol::{WorkloadClass, prelude::*};

/// Time until every node knows of a new grant, or of a leaving endpoint that gets no new work.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);
/// Time that it takes to resume a stream at another endpoint.
const STREAM_RESUME_TIME: Duration = Duration::from_secs(2);
/// Longest time allowed for work to drain; longer streams are resumed at other endpoints.
const DRAIN_MAX: Duration = Duration::from_secs(60);
/// Half of the expected load time is added as a margin.
const LOAD_MARGIN_DIVISOR: u32 = 2;

/// What a plan needs to know about an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopEndpoint {
    /// Host that it runs on; replacements prefer another host.
    pub host: HostId,
    /// Availability zone of the host; replacements prefer another zone.
    pub availability_zone: AvailabilityZone,
    /// The service that it belongs to; only models of this service move to it.
    pub service: ServiceId,
    /// Total accelerator memory.
    pub memory_mb: SizeMb,
    /// Accelerator memory that is neither used nor reserved.
    pub free_mb: SizeMb,
    /// Whether it may take replacements: not suspected, not leaving, in no overlapping stop.
    pub usable: bool,
}

/// A model with a grant at a stopping endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopModel {
    /// ID of the model.
    pub model: ModelId,
    /// The service whose endpoints may load it.
    pub service: ServiceId,
    /// WorkloadClass in the service's profile; decides whether replicas are loaded ahead.
    pub class: WorkloadClass,
    /// How long the service's callers wait for the start of an answer, by its profile.
    pub patience: Duration,
    /// Accelerator memory that one replica needs.
    pub size_mb: SizeMb,
    /// Endpoints that hold a grant for it, and whether each has it loaded.
    pub grants: BTreeMap<EndpointId, bool>,
    /// Highest number of replicas that the profile allows.
    pub max_replicas: u32,
    /// Expected duration of a load.
    pub load_time: Duration,
    /// Longest expected duration of a call or stream.
    pub stream_time: Duration,
}

/// Everything that a plan depends on; times count from the start of the process.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPlanInput {
    /// Current time; nothing is planned before it.
    pub now: Duration,
    /// Start of the stop window, from which the endpoints may be down.
    pub from: Duration,
    /// Endpoints that are down during the window.
    pub stopping: BTreeSet<EndpointId>,
    /// All endpoints, including the stopping ones.
    pub endpoints: BTreeMap<EndpointId, StopEndpoint>,
    /// Models with a grant at a stopping endpoint.
    pub models: Vec<StopModel>,
    /// Loads that the weight store can serve in parallel at full speed.
    pub parallel_loads: u32,
}

/// Whether a replacement replica is loaded before the window.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LoadAhead {
    /// Load it in advance, because its callers cannot wait for a load.
    Load,
    /// Only grant it; the first call starts the load.
    GrantOnly,
}

/// A grant that moves from a stopping endpoint to one that stays up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Replacement {
    /// The model granted.
    pub model: ModelId,
    /// The stopping endpoint.
    pub from: EndpointId,
    /// The endpoint that receives the new grant.
    pub to: EndpointId,
    /// Whether the replica is loaded before the window.
    pub load: LoadAhead,
    /// Whether the new grant may precede the release of the old one without exceeding
    /// [`StopModel::max_replicas`].
    pub surge: bool,
    /// When to grant the model at `to`.
    pub start_at: Duration,
}

/// An effect on callers that the plan cannot avoid.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum StopWarning {
    /// The only loaded replica moves and the profile allows no second one: callers wait for a load.
    LastReplica {
        /// The model that moves.
        model: ModelId,
        /// Time without a loaded replica: the expected duration of a load.
        gap: Duration,
    },
    /// No endpoint that stays up has enough free memory.
    TooLittleMemory {
        /// The model that cannot move.
        model: ModelId,
        /// Accelerator memory that its replica needs.
        size_mb: SizeMb,
        /// Whether its requests are refused during the window, because no other grant is left.
        refused: bool,
    },
    /// The replacement cannot be loaded before new work is refused.
    TooShortNotice {
        /// The model that is loaded too late.
        model: ModelId,
        /// Time by which the load with its margin exceeds the time left.
        missing: Duration,
    },
    /// No endpoint of the service stays up: its requests are refused during the window.
    LastEndpoint {
        /// The service left without endpoints.
        service: ServiceId,
    },
}

/// Actions for a planned stop with their times.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Grants that move, sorted by `start_at`.
    pub replacements: Vec<Replacement>,
    /// When the first replacement starts; `refuse_new_at` if there is none.
    pub start_at: Duration,
    /// From when the stopping endpoints refuse new work.
    pub refuse_new_at: Duration,
    /// When the streams that still run are resumed at other endpoints.
    pub resume_streams_at: Duration,
    /// Effects on callers that remain, without duplicates.
    pub warnings: Vec<StopWarning>,
}

/// Plans a stop; the same input always gives the same plan.
pub fn plan_stop(input: &StopPlanInput) -> StopPlan {
    let mut planner = Planner::new(input);
    planner.warn_last_endpoints();
    for model in planner.models_in_scheduling_order() {
        planner.plan_model(model);
    }
    planner.finish()
}

struct Planner<'a> {
    input: &'a StopPlanInput,
    refuse_new_at: Duration,
    free_mb: BTreeMap<&'a EndpointId, SizeMb>,
    // For each parallel load of the weight store: start of the earliest load scheduled so far.
    load_slots: Vec<Duration>,
    replacements: Vec<Replacement>,
    warnings: BTreeSet<StopWarning>,
}

impl<'a> Planner<'a> {
    fn new(input: &'a StopPlanInput) -> Self {
        let longest = input.models.iter().map(|model| model.stream_time).max();
        let drain = longest.unwrap_or_default().min(DRAIN_MAX);
        let lead_time = PROPAGATION_TIME + drain + STREAM_RESUME_TIME;
        let refuse_new_at = input.from.saturating_sub(lead_time).max(input.now);
        let grants: usize = input.models.iter().map(|m| m.grants.len()).sum();
        let slots = (input.parallel_loads as usize).clamp(1, grants.max(1));
        let staying = input
            .endpoints
            .iter()
            .filter(|(id, endpoint)| endpoint.usable && !input.stopping.contains(*id));
        Self {
            input,
            refuse_new_at,
            free_mb: staying
                .map(|(id, endpoint)| (id, endpoint.free_mb))
                .collect(),
            load_slots: vec![refuse_new_at; slots],
            replacements: Vec::new(),
            warnings: BTreeSet::new(),
        }
    }

    /// Models in the order in which their loads are scheduled, deferrable ones first.
    ///
    /// Loads are scheduled backwards from the time when new work is refused. The first one
    /// scheduled is therefore the last one to run, and its replica idles for the shortest time.
    fn models_in_scheduling_order(&self) -> Vec<&'a StopModel> {
        let mut models: Vec<&StopModel> = self.input.models.iter().collect();
        models.sort_by_key(|model| (std::cmp::Reverse(model.class), &model.model));
        models
    }

    fn plan_model(&mut self, model: &'a StopModel) {
        let stopping = &self.input.stopping;
        let moving = model.grants.iter().filter(|(id, _)| stopping.contains(*id));
        let mut occupied: BTreeSet<&EndpointId> = model.grants.keys().collect();
        let mut replicas = model.grants.len();
        for (from, loaded) in moving {
            let load = load_ahead(model, *loaded);
            let Some(to) = self.choose_target(model, load, &occupied) else {
                self.warn_no_memory(model);
                continue;
            };
            occupied.insert(to);
            let surge = replicas < model.max_replicas as usize;
            replicas += usize::from(surge);
            self.warn_last_replica(model, load, surge);
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

    /// Chooses the endpoint for a replacement and reserves memory for a load; `None` if none fits.
    ///
    /// Prefers a host and then a zone without a replica of the model, then the most free memory.
    fn choose_target(
        &mut self,
        model: &StopModel,
        load: LoadAhead,
        occupied: &BTreeSet<&EndpointId>,
    ) -> Option<&'a EndpointId> {
        let endpoints = &self.input.endpoints;
        let other_replicas: Vec<&StopEndpoint> = occupied
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
        let separation = |id: &EndpointId| {
            let endpoint = &endpoints[id];
            let new_host = other_replicas.iter().all(|r| r.host != endpoint.host);
            let new_zone = other_replicas
                .iter()
                .all(|r| r.availability_zone != endpoint.availability_zone);
            (new_host, new_zone)
        };
        let (to, free_mb) = self
            .free_mb
            .iter_mut()
            .filter(|(id, free_mb)| !occupied.contains(**id) && fits(id, **free_mb))
            .max_by_key(|(id, free_mb)| (separation(id), **free_mb))?;
        if load == LoadAhead::Load {
            *free_mb -= model.size_mb;
        }
        Some(*to)
    }

    /// Schedules a load as late as the weight store permits and returns when to grant it.
    ///
    /// Grants without a load need only the time until every node knows them.
    fn schedule(&mut self, model: &StopModel, load: LoadAhead) -> Duration {
        if load == LoadAhead::GrantOnly {
            return self
                .refuse_new_at
                .saturating_sub(PROPAGATION_TIME)
                .max(self.input.now);
        }
        let margin = model.load_time / LOAD_MARGIN_DIVISOR;
        let needed = model.load_time.saturating_add(margin);
        let Some(slot) = self.load_slots.iter_mut().max() else {
            return self.input.now;
        };
        let now = self.input.now;
        let available = slot.saturating_sub(now);
        *slot = slot.saturating_sub(needed).max(now);
        if available < needed {
            let missing = needed - available;
            let model = model.model.clone();
            self.warnings
                .insert(StopWarning::TooShortNotice { model, missing });
        }
        *slot
    }

    fn warn_no_memory(&mut self, model: &StopModel) {
        let refused = !self.stays_granted(model);
        self.warnings.insert(StopWarning::TooLittleMemory {
            model: model.model.clone(),
            size_mb: model.size_mb,
            refused,
        });
    }

    /// Warns if the model has no loaded replica while this one moves.
    fn warn_last_replica(&mut self, model: &StopModel, load: LoadAhead, surge: bool) {
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
        for id in &self.input.stopping {
            let Some(stopping) = self.input.endpoints.get(id) else {
                continue;
            };
            let service = &stopping.service;
            let same_service = |id: &&EndpointId| self.input.endpoints[*id].service == *service;
            if !self.free_mb.keys().any(same_service) {
                let service = service.clone();
                self.warnings.insert(StopWarning::LastEndpoint { service });
            }
        }
    }

    /// Whether the model keeps a grant at an endpoint that stays up.
    fn stays_granted(&self, model: &StopModel) -> bool {
        model.grants.keys().any(|id| self.free_mb.contains_key(id))
    }

    fn finish(mut self) -> StopPlan {
        self.replacements
            .sort_by(|a, b| (a.start_at, &a.model).cmp(&(b.start_at, &b.model)));
        let first = self.replacements.first();
        let resume_at = self.input.from.saturating_sub(STREAM_RESUME_TIME);
        StopPlan {
            start_at: first.map_or(self.refuse_new_at, |r| r.start_at),
            refuse_new_at: self.refuse_new_at,
            resume_streams_at: resume_at.max(self.refuse_new_at),
            replacements: self.replacements,
            warnings: self.warnings.into_iter().collect(),
        }
    }
}

/// Loads the replacement of a loaded replica in advance unless its callers can wait for a load.
///
/// Only callers of a deferrable service can, and only if the load fits into their patience.
fn load_ahead(model: &StopModel, loaded: bool) -> LoadAhead {
    let can_wait_for_load =
        model.class == WorkloadClass::Deferrable && model.load_time <= model.patience;
    if loaded && !can_wait_for_load {
        LoadAhead::Load
    } else {
        LoadAhead::GrantOnly
    }
}
