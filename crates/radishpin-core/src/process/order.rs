//! Orders that an agent gives its endpoint, their numbers and the endpoint's reports.

use radishpin_protocol::{OrderSequence, prelude::*};

/// Name of a model that no endpoint has.
///
/// Unloading it changes nothing but tells an endpoint that checks fencing numbers the number of
/// the order, so that the endpoint refuses every older one from then on.
pub const FENCE_MODEL: &str = "radishpin-fence";

/// Longest time that an order can still take effect after it was sent, unless set otherwise.
pub const DEFAULT_ORDER_LIFE: Duration = Duration::from_secs(30);

/// What an order loads or unloads.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Target {
    /// A replica of a model.
    Model(ModelId),
    /// An adapter on top of a replica.
    Adapter {
        /// The model that it extends.
        model: ModelId,
        /// The adapter.
        adapter: AdapterId,
    },
}

impl Target {
    /// The model that is loaded, or that the adapter extends.
    pub fn model(&self) -> &ModelId {
        match self {
            Self::Model(model) | Self::Adapter { model, .. } => model,
        }
    }
}

/// Fencing number of an order: grows with every order and with every incarnation.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct OrderNumber {
    /// Life of the agent that gave the order.
    pub incarnation: Incarnation,
    /// Number of the order within the incarnation, from 1.
    pub sequence: OrderSequence,
}

/// What an order does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderKind {
    /// Loads the target; no effect where it is loaded.
    Load,
    /// Unloads the target; no effect where it is absent.
    Unload,
}

/// An order to the endpoint.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Order {
    /// Fencing number.
    pub number: OrderNumber,
    /// What it does.
    pub kind: OrderKind,
    /// What it is about.
    pub target: Target,
    /// Accelerator memory of the target.
    pub size_mb: SizeMb,
}

/// What the endpoint does with an order whose number is older than one that it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out.
    Ignored {
        /// Longest time that an order can still take effect after it was sent.
        order_life: Duration,
    },
}

/// What became of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum OrderOutcome {
    /// The endpoint carried it out.
    Done,
    /// The endpoint said that it did not carry it out and never will.
    Failed,
    /// No answer: it may take effect at any time.
    Unknown,
}

/// What the endpoint says of its memory.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct EngineReport {
    /// Number of the report, in the order in which the agent asked for them.
    pub sequence: u64,
    /// Identity of the life of the endpoint's process; any other value is another life.
    pub instance: u64,
    /// Time since the start of the agent before which the state was certainly not taken: when
    /// the agent asked, less the stated lag of the endpoint's reports.
    pub sampled_after: Duration,
    /// Newest order that the endpoint has acted on in this life, failed ones included.
    /// Not read where the endpoint ignores fencing numbers.
    pub as_of: OrderNumber,
    /// What is loaded, with its memory.
    pub loaded: BTreeMap<Target, SizeMb>,
    /// What is being loaded, with its memory.
    pub loading: BTreeMap<Target, SizeMb>,
    /// What is being unloaded and still takes memory.
    pub unloading: BTreeMap<Target, SizeMb>,
}
