//! State of the specification: one platform table, two nodes, three endpoints with their agents.

use radishpin_core::{
    mutation::Mutation,
    process::{
        EngineReport, Fencing, MemberState, Order, OrderNumber, ReplicaLedger, ReplicaState, Target,
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
/// One tick of the specification's clock, after which an order expires.
pub const TICK: Duration = Duration::from_secs(1);

/// Assumptions about endpoints and agents, and the rule that is broken, if any.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Setting {
    pub fencing: Fencing,
    /// Whether an endpoint remembers its highest order number over restarts.
    pub numbers_persist: bool,
    /// Whether an agent can start only after its predecessor has ended.
    pub exclusive_address: bool,
    pub broken_rule: Option<BrokenRule>,
}

/// A rule that is broken on purpose, to test that the violation is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum BrokenRule {
    /// A rule inside radishpin-core.
    Core(Mutation),
    /// Commits are not conditional on the row of the profile.
    OmitProfileCondition,
    /// Commits are not conditional on the rows of the endpoints.
    OmitEndpointConditions,
    /// Commits are not conditional on the model's row, which they replace.
    OmitModelCondition,
    /// A new agent gets the incarnation of its predecessor, so that their order numbers repeat.
    ReuseIncarnation,
    /// A node starts with its peer's view even if an agent uses a newer one.
    StartBelowMinVersion,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Row<T> {
    pub version: Version,
    pub value: T,
}

/// Rows of the platform's table, or a node's snapshot of them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Table {
    pub head: Version,
    pub models: [Row<ModelRecord>; 2],
    pub profiles: [Row<u32>; 2],
    pub endpoints: [Row<Registration>; 3],
    /// View for the agent of each endpoint, derived from the rows.
    pub agent_views: [AgentView; 3],
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Registration {
    pub incarnation: Incarnation,
    /// Number of hosts that the endpoint had lost when the agent registered.
    pub host: u8,
}

#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct LatestConfirmation {
    pub incarnation: Incarnation,
    pub view_version: Version,
    pub released: BTreeSet<ModelId>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    /// The node's current view; `None` while the node starts.
    pub view: Option<Arc<Table>>,
    /// Newest confirmation of each endpoint's agent; empty if it confirms nothing.
    pub latest_confirmations: [LatestConfirmation; 3],
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Agent {
    pub ledger: ReplicaLedger,
    /// Highest version that the agent ever used.
    pub max_view_version: Version,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Engine {
    pub loaded: BTreeSet<Target>,
    /// Highest order number that the engine remembers.
    pub highest_number: OrderNumber,
    pub as_of: OrderNumber,
    pub instance: u64,
    /// Incremented by every change, so that reports can be ordered.
    pub changes: u64,
}

/// An order that was sent and has not been delivered.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct InFlightOrder {
    pub order: Order,
    pub sent_at: u32,
}

/// One endpoint: its engine, its agents (newest last) and the orders in flight between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct EndpointState {
    pub engine: Engine,
    pub agents: Vec<Arc<Agent>>,
    pub in_flight: Vec<InFlightOrder>,
    pub delayed_report: Option<EngineReport>,
    pub lost_hosts: u8,
    pub standing: MemberState,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SystemState {
    pub setting: Setting,
    pub table: Arc<Table>,
    pub platform_up: bool,
    pub nodes: [Node; 2],
    pub endpoint_states: [Arc<EndpointState>; 3],
    pub now: u32,
    pub faults_left: u8,
    pub changes_left: u8,
    /// Safety property that was violated by a step and cannot be seen from the state.
    pub step_violation: Option<&'static str>,
}

pub fn target(model: usize) -> Target {
    Target::Model(MODELS[model].to_owned())
}

pub fn profile(model: usize, max_replicas: u32) -> Profile {
    Profile {
        format: PROFILE_FORMAT,
        // One replica of the first model stays loaded, so that its endpoint has no free memory.
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
    /// Derives the views of the agents after a commit.
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

    pub const fn agent_view(&self, endpoint: usize) -> &AgentView {
        &self.agent_views[endpoint]
    }
}

impl LatestConfirmation {
    pub fn confirmation(&self) -> Confirmation {
        Confirmation {
            incarnation: self.incarnation,
            view_version: self.view_version,
            released: self.released.clone(),
        }
    }
}

impl EndpointState {
    pub fn agent(&self, index: usize) -> Option<&Agent> {
        self.agents.get(index).map(Arc::as_ref)
    }

    pub fn newest_agent(&self) -> Option<&Agent> {
        self.agents.last().map(Arc::as_ref)
    }
}

impl SystemState {
    /// Time at an endpoint's agents: the ticks, plus 2 ns for every change if fencing numbers are
    /// ignored, as reports are then ordered by time.
    pub fn clock(&self, endpoint: usize) -> Duration {
        let changes = match self.setting.fencing {
            Fencing::Checked => 0,
            Fencing::Ignored { .. } => self.endpoint_states[endpoint].engine.changes,
        };
        TICK * self.now + Duration::from_nanos(2 * changes)
    }

    pub fn report(&self, endpoint: usize) -> EngineReport {
        let engine = &self.endpoint_states[endpoint].engine;
        let loaded = engine.loaded.iter();
        EngineReport {
            sequence: engine.changes + u64::from(self.now),
            instance: engine.instance,
            sampled_after: self.clock(endpoint) + Duration::from_nanos(1),
            as_of: engine.as_of,
            loaded: loaded.map(|target| (target.clone(), SIZE_MB)).collect(),
            loading: BTreeMap::new(),
            unloading: BTreeMap::new(),
        }
    }

    /// Free memory of an endpoint, and the memory of its replicas that may be unloaded.
    pub fn free_and_idle_mb(&self, endpoint: usize) -> (SizeMb, SizeMb) {
        let Some(agent) = self.endpoint_states[endpoint].newest_agent() else {
            return (0, 0);
        };
        let view = self.table.agent_view(endpoint);
        let replicas = agent.ledger.replicas();
        let idle = replicas.iter().filter(|(target, replica)| {
            let grant = view.grants.get(target.model());
            let keep_loaded = grant.is_some_and(|grant| grant.keep_loaded);
            replica.state == ReplicaState::Loaded && !keep_loaded
        });
        let idle_mb = idle.map(|(_, replica)| replica.size_mb).sum();
        (agent.ledger.memory_free_mb(), idle_mb)
    }

    /// Returns the first safety property that is violated.
    pub fn violation(&self) -> Option<&'static str> {
        self.step_violation
            .or_else(|| self.replicas_violation())
            .or_else(|| {
                self.endpoint_states
                    .iter()
                    .find_map(|endpoint| endpoint.violation())
            })
    }

    fn replicas_violation(&self) -> Option<&'static str> {
        for (index, row) in self.table.models.iter().enumerate() {
            let limit = row.value.replicas as usize;
            let target = target(index);
            let is_loaded =
                |endpoint: &&Arc<EndpointState>| endpoint.engine.loaded.contains(&target);
            if row.value.grants.len() > limit {
                return Some("more grants than the model's record allows");
            }
            if self.endpoint_states.iter().filter(is_loaded).count() > limit {
                return Some("more replicas loaded than the model's record allows");
            }
        }
        None
    }
}

impl EndpointState {
    fn violation(&self) -> Option<&'static str> {
        let loaded_mb = SizeMb::try_from(self.engine.loaded.len()).unwrap_or(SizeMb::MAX) * SIZE_MB;
        if loaded_mb > MEMORY_MB {
            return Some("memory overcommitted");
        }
        if self
            .agents
            .iter()
            .any(|agent| agent.ledger.view_version() < agent.max_view_version)
        {
            return Some("the view of an agent went back to an older version");
        }
        let ledger = &self.newest_agent()?.ledger;
        let replicas = ledger.replicas();
        let is_missing = |target: &Target| !replicas.contains_key(target);
        let contents_known = ledger.memory_free_mb() > 0 || !replicas.is_empty();
        if contents_known && self.engine.loaded.iter().any(is_missing) {
            return Some("a loaded replica is not in the ledger of the newest agent");
        }
        None
    }
}
