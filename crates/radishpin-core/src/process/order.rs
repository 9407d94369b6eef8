//! Load and unload orders from an agent to its endpoint, their fencing tokens, and the endpoint's
//! reports.

use radishpin_protocol::{OrderSequence, prelude::*};

/// Name of a model that does not exist, used for orders that only advance the fencing token.
///
/// Unloading it has no effect on memory, but an endpoint that checks fencing tokens refuses every
/// order with an older token afterwards.
pub const FENCE_MODEL: &str = "radishpin-fence";

/// Default for the longest time after sending in which an order can still take effect.
pub const DEFAULT_ORDER_LIFE: Duration = Duration::from_secs(30);

/// The model or adapter that an order loads or unloads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A replica of a model.
    Model(ModelId),
    /// An adapter that is loaded on top of a replica of its base model.
    Adapter {
        /// The base model.
        model: ModelId,
        /// The adapter on top of it.
        adapter: AdapterId,
    },
}

impl Target {
    /// The model itself, or the base model of the adapter.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Model(model) | Self::Adapter { model, .. } => model,
        }
    }
}

/// Fencing token of an order, ordered by incarnation first: it increases with every order and with
/// every incarnation of the agent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber {
    /// Incarnation of the agent process that issued the order.
    pub incarnation: Incarnation,
    /// Sequence number of the order within the incarnation, starting at 1.
    pub sequence: OrderSequence,
}

/// The operation that an order requests; both are idempotent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Loads the target; no effect if it is already loaded.
    Load,
    /// Unloads the target; no effect if it is not loaded.
    Unload,
}

/// A load or unload order to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// Fencing token.
    pub number: OrderNumber,
    /// Load or unload.
    pub kind: OrderKind,
    /// The model or adapter to load or unload.
    pub target: Target,
    /// Accelerator memory that the target occupies when loaded.
    pub size_mb: SizeMb,
}

/// How the endpoint treats an order whose fencing token is older than one that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It executes the order.
    Ignored {
        /// Longest time after sending in which an order can still take effect.
        order_life: Duration,
    },
}

/// The outcome of an order, as far as the agent knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderOutcome {
    /// The endpoint executed the order.
    Done,
    /// The endpoint did not execute the order and never will.
    Failed,
    /// No response: the order may have taken effect, or may do so later.
    Unknown,
}

/// The endpoint's report of what its memory contains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineReport {
    /// Sequence number of the report, in the order in which the agent requested the reports.
    pub sequence: u64,
    /// Identifier of the endpoint's process, which changes with every restart.
    pub instance: u64,
    /// Earliest time at which the reported state can have been sampled, since the start of the
    /// agent: the time of the agent's request minus the lag that the endpoint states for its
    /// reports.
    pub sampled_after: Duration,
    /// Newest order that the endpoint has processed since its start, including failed ones.
    /// Ignored if the endpoint does not check fencing tokens.
    pub as_of: OrderNumber,
    /// Loaded targets with their memory.
    pub loaded: BTreeMap<Target, SizeMb>,
    /// Targets that are being loaded, with their memory.
    pub loading: BTreeMap<Target, SizeMb>,
    /// Targets that are being unloaded, with the memory that they still occupy.
    pub unloading: BTreeMap<Target, SizeMb>,
}
