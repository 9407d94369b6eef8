//! What gateways and sidecars tell each other.

use crate::request::Tier;
use radishpin_protocol::{UnixMs, prelude::*};
use serde::{Deserialize, Serialize};

/// Why a gateway wants a model loaded; the first reasons go first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum DemandReason {
    /// Callers wait for it.
    Waiting,
    /// Its replicas have too much load.
    Replica,
    /// No endpoint has a copy of its weights nearer than the weight store.
    Prefetch,
}

/// What a gateway wants loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The model.
    pub model: ModelId,
    /// The adapter, where one is wanted.
    pub adapter: Option<AdapterId>,
    /// Why.
    pub reason: DemandReason,
    /// Callers that wait for it at this gateway.
    pub waiting: u32,
}

/// How a gateway uses a model that the engine holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelUsage {
    /// Requests a second for the model at this gateway over the last seconds, wherever they went.
    pub per_s: f32,
    /// Requests a second that would find no replica if this one was unloaded.
    pub loss_per_s: f32,
    /// Requests of this gateway at this engine.
    pub active: u32,
    /// Whether the load on the model needs this replica.
    pub keep: bool,
    /// Adapters that these requests use.
    pub adapters: BTreeSet<AdapterId>,
}

/// A gateway's report to a sidecar.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayReport {
    /// The gateway.
    pub gateway: NodeId,
    /// Life of the gateway's process.
    pub incarnation: Incarnation,
    /// Grows with each report of that life.
    pub sequence: u64,
    /// The endpoint that the gateway takes the engine for.
    pub endpoint: EndpointId,
    /// Engines of the service.
    pub engines: u32,
    /// Life of the sidecar whose status the gateway saw last.
    pub seen_incarnation: Incarnation,
    /// Version of that status.
    pub seen_version: u64,
    /// Its use of the models that the engine holds.
    pub usage: BTreeMap<ModelId, ModelUsage>,
    /// What it wants loaded.
    pub demands: Vec<Demand>,
}

/// A model that an engine holds.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelStatus {
    /// Its adapters there.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether it is about to be unloaded and takes no new requests.
    pub leaving: bool,
    /// Requests a second for it, over all gateways.
    pub per_s: f32,
}

/// A load in progress.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadStatus {
    /// The model.
    pub model: ModelId,
    /// Where its weights come from.
    pub tier: Tier,
    /// Time until it serves, by estimate, in milliseconds.
    pub remaining_ms: u64,
}

/// A sidecar's status, for gateways.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Life of the sidecar's process.
    pub incarnation: Incarnation,
    /// Grows with each change that gateways should hear of at once.
    pub version: u64,
    /// Whether the engine answers.
    pub engine_up: bool,
    /// The engine's id, where it has told it; the platform's list may still hold an earlier one.
    pub engine_id: Option<EndpointId>,
    /// Unix time of the engine's start in milliseconds.
    pub engine_started_unix_ms: UnixMs,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait at the engine.
    pub waiting: u32,
    /// Models that it holds.
    pub models: BTreeMap<ModelId, ModelStatus>,
    /// The load in progress.
    pub loading: Option<LoadStatus>,
    /// Whether the engine carries out an order on a model.
    pub busy: bool,
    /// Models that callers wait for here, next one first.
    pub queue: Vec<ModelId>,
    /// Time until one more load could begin, by estimate, in milliseconds.
    pub queue_ms: u64,
    /// Time to make room for one more model, by estimate, in milliseconds.
    pub room_ms: u64,
    /// Models whose weights lie in the host's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights lie on the host's disk.
    pub on_disk: BTreeSet<ModelId>,
    /// Gateways that the sidecar hears from.
    pub gateways: u32,
}

impl Status {
    /// Where the weights of a model are nearest to the engine.
    pub fn tier(&self, model: &str) -> Tier {
        if self.in_memory.contains(model) {
            Tier::Memory
        } else if self.on_disk.contains(model) {
            Tier::Disk
        } else {
            Tier::Remote
        }
    }
}
