//! State of the specification: one platform table, two nodes, three endpoints with their agents.

use radishpin_core::{
    mutation::Mutation,
    process::{
        EngineReport, Fencing, Order, OrderNumber, ReplicaLedger, ReplicaState, Standing, Target,
    },
    version::Confirmation,
};
use radishpin_protocol::{
    ModelRecord, PROFILE_FORMAT, ServiceKind, ServiceRecord, WorkloadClass, prelude::*,
};
use std::sync::Arc;

pub const MODELS: [&str; 2] = ["a", "b"];
pub const ENDPOINTS: [&str; 3] = ["e1", "e2", "e3"];
pub const SIZE_MB: SizeMb = 1;
pub const MEMORY_MB: SizeMb = 1;
/// One tick of the specification's clock; an order lives for one.
pub const TICK: Duration = Duration::from_secs(1);

/// What a run may do and which rule it breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Setting {
    pub fencing: Fencing,
    /// Whether an endpoint's highest number outlives its process.
    pub numbers_survive: bool,
    /// Whether a successor can start only once its predecessor has ended.
    pub exclusive_address: bool,
    pub broken: Option<Broken>,
}

/// A rule that is broken on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Broken {
    /// One inside radishpin-core.
    Core(Mutation),
    /// A commit that does not depend on the row of the profile.
    ForgetProfileRow,
    /// A commit that does not depend on the rows of the endpoints.
    ForgetEndpointRows,
    /// A commit that does not depend on the row that it replaces.
    ForgetModelRow,
    /// A successor that numbers its orders like its predecessor.
    ReuseIncarnation,
    /// A node that starts with its peer's view whatever the agents have in force.
    StartBelowFloor,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row<T> {
    pub version: Version,
    pub value: T,
}

/// The rows of the platform's table, also as a snapshot that a node has in force.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    pub head: Version,
    pub models: [Row<ModelRecord>; 2],
    pub profiles: [Row<u32>; 2],
    pub endpoints: [Row<Registration>; 3],
    /// What the agent of each endpoint is told under these rows.
    pub agent_views: [AgentView; 3],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Registration {
    pub incarnation: Incarnation,
    /// Which of the endpoint's hosts, one after the other, it is on.
    pub host: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Heard {
    pub incarnation: Incarnation,
    pub view_version: Version,
    pub released: BTreeSet<ModelId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// The view in force; `None` while it starts.
    pub view: Option<Arc<Table>>,
    /// The newest word of each agent.
    pub heard: [Heard; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    pub ledger: ReplicaLedger,
    /// Highest version that was ever in force.
    pub peak: Version,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Engine {
    pub loaded: BTreeSet<Target>,
    /// Highest number that it remembers.
    pub highest: OrderNumber,
    pub as_of: OrderNumber,
    pub instance: u64,
    /// Grows with every change, so that reports can be put in order.
    pub changes: u64,
}

/// An order on its way.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Flight {
    pub order: Order,
    pub sent_at: u32,
}

/// An endpoint's host: the engine, its agents (the newest last) and the orders between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Site {
    pub engine: Engine,
    pub agents: Vec<Arc<Agent>>,
    pub flights: Vec<Flight>,
    pub late: Option<EngineReport>,
    pub lost_hosts: u8,
    pub standing: Standing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct World {
    pub setting: Setting,
    pub table: Arc<Table>,
    pub platform_up: bool,
    pub nodes: [Node; 2],
    pub sites: [Arc<Site>; 3],
    pub now: u32,
    pub faults_left: u8,
    pub changes_left: u8,
    /// A safety property that a step, rather than a state, has violated.
    pub alarm: Option<&'static str>,
}

pub fn target(model: usize) -> Target {
    Target::Model(MODELS[model].to_owned())
}

pub fn profile(model: usize, max_replicas: u32) -> Profile {
    Profile {
        format: PROFILE_FORMAT,
        // One replica of the first model stays loaded, so that its endpoint has no room.
        min_loaded: u32::from(model == 0).min(max_replicas),
        max_replicas,
        idle_unload_ms: 86_400_000,
        patience_ms: 1_000,
        priority: 5,
        class: WorkloadClass::Interactive,
        idempotent: true,
    }
}

impl Table {
    /// Works out what agents are told, after a commit.
    pub fn update_agent_views(&mut self) {
        let mut view = ClusterView {
            version: self.head,
            ..ClusterView::default()
        };
        for (index, id) in MODELS.into_iter().enumerate() {
            let service = ServiceRecord {
                kind: ServiceKind::Models,
                profile: id.to_owned(),
            };
            let profile = profile(index, self.profiles[index].value);
            view.profiles.insert(id.to_owned(), profile);
            view.services.insert(id.to_owned(), service);
            let record = self.models[index].value.clone();
            view.models.insert(id.to_owned(), record);
        }
        self.agent_views = ENDPOINTS.map(|id| view.for_agent(id));
    }

    pub const fn agent_view(&self, site: usize) -> &AgentView {
        &self.agent_views[site]
    }
}

impl Heard {
    pub fn confirmation(&self) -> Confirmation {
        Confirmation {
            incarnation: self.incarnation,
            view_version: self.view_version,
            released: self.released.clone(),
        }
    }
}

impl Site {
    pub fn agent(&self, index: usize) -> Option<&Agent> {
        self.agents.get(index).map(Arc::as_ref)
    }

    pub fn newest(&self) -> Option<&Agent> {
        self.agents.last().map(Arc::as_ref)
    }
}

impl World {
    /// Time at an endpoint's agents: ticks, and a little for every change at the endpoint.
    pub fn clock(&self, site: usize) -> Duration {
        let changes = match self.setting.fencing {
            Fencing::Checked => 0,
            Fencing::Ignored { .. } => self.sites[site].engine.changes,
        };
        TICK * self.now + Duration::from_nanos(2 * changes)
    }

    pub fn report(&self, site: usize) -> EngineReport {
        let engine = &self.sites[site].engine;
        let loaded = engine.loaded.iter();
        EngineReport {
            sequence: engine.changes + u64::from(self.now),
            instance: engine.instance,
            asked_at: self.clock(site) + Duration::from_nanos(1),
            as_of: engine.as_of,
            loaded: loaded.map(|target| (target.clone(), SIZE_MB)).collect(),
            loading: BTreeMap::new(),
            unloading: BTreeMap::new(),
        }
    }

    /// Memory of an endpoint that is free, and that of idle replicas that may be unloaded.
    pub fn room_mb(&self, site: usize) -> (SizeMb, SizeMb) {
        let Some(agent) = self.sites[site].newest() else {
            return (0, 0);
        };
        let view = self.table.agent_view(site);
        let replicas = agent.ledger.replicas();
        let idle = replicas.iter().filter(|(target, replica)| {
            let grant = view.grants.get(target.model());
            let kept = grant.is_some_and(|grant| grant.keep_loaded);
            replica.state == ReplicaState::Loaded && !kept
        });
        let idle_mb = idle.map(|(_, replica)| replica.size_mb).sum();
        (agent.ledger.memory_free_mb(), idle_mb)
    }

    /// The first safety property that the state violates.
    pub fn violation(&self) -> Option<&'static str> {
        self.alarm
            .or_else(|| self.replicas_violation())
            .or_else(|| self.sites.iter().find_map(|site| site.violation()))
    }

    fn replicas_violation(&self) -> Option<&'static str> {
        for (index, row) in self.table.models.iter().enumerate() {
            let decided = row.value.replicas as usize;
            let target = target(index);
            let holds = |site: &&Arc<Site>| site.engine.loaded.contains(&target);
            if row.value.grants.len() > decided {
                return Some("more grants than replicas decided");
            }
            if self.sites.iter().filter(holds).count() > decided {
                return Some("more replicas loaded than decided");
            }
        }
        None
    }
}

impl Site {
    fn violation(&self) -> Option<&'static str> {
        let loaded_mb = SizeMb::try_from(self.engine.loaded.len()).unwrap_or(SizeMb::MAX) * SIZE_MB;
        if loaded_mb > MEMORY_MB {
            return Some("memory overcommitted");
        }
        if self
            .agents
            .iter()
            .any(|agent| agent.ledger.view_version() < agent.peak)
        {
            return Some("the view in force at an agent fell");
        }
        let ledger = &self.newest()?.ledger;
        let replicas = ledger.replicas();
        let unknown = |target: &Target| !replicas.contains_key(target);
        let trusted = ledger.memory_free_mb() > 0 || !replicas.is_empty();
        if trusted && self.engine.loaded.iter().any(unknown) {
            return Some("a loaded replica is not in the ledger of the newest agent");
        }
        None
    }
}
