//! Messages between gateways and sidecars.

use crate::request::Tier;
use radishpin_protocol::{UnixMs, prelude::*};
use serde::{Deserialize, Serialize};

/// Why a gateway wants a model loaded, by descending priority.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum DemandReason {
    /// Callers are waiting for the model.
    Waiting,
    /// The existing replicas are overloaded.
    Replica,
    /// No endpoint has a local copy of the weights; they are only in the weight store.
    Prefetch,
}

/// A gateway's request to have a model or adapter loaded.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct Demand {
    /// The model to load, or the base model of the adapter.
    pub model: ModelId,
    /// The adapter to load; `None` if only the model is requested.
    pub adapter: Option<AdapterId>,
    /// Determines the priority of the load.
    pub reason: DemandReason,
    /// Number of callers that wait for it at this gateway.
    pub waiting: u32,
}

/// A gateway's use of a model that is loaded in the engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelUsage {
    /// Recent requests per second for the model at this gateway, regardless of the endpoint that
    /// served them.
    pub per_s: f32,
    /// Estimated requests per second that would find no replica if this one were unloaded; small if
    /// other replicas are loaded.
    pub loss_per_s: f32,
    /// Number of this gateway's requests for the model that are active at this engine.
    pub active: u32,
    /// Whether this replica is needed to handle the request load on the model.
    pub keep: bool,
    /// Adapters that the active requests use.
    pub adapters: BTreeSet<AdapterId>,
}

/// A gateway's report to a sidecar: its demands and its use of the engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct GatewayReport {
    /// Node id of the gateway.
    pub gateway: NodeId,
    /// Incarnation of the gateway process.
    pub incarnation: Incarnation,
    /// Increases with each report of the same incarnation.
    pub sequence: u64,
    /// The endpoint that the gateway believes the engine to be.
    pub endpoint: EndpointId,
    /// Number of engines of the service, as far as the gateway knows.
    pub engines: u32,
    /// Incarnation of the sidecar whose status the gateway received last; 0 before the first.
    pub seen_incarnation: Incarnation,
    /// Version of that status, which acknowledges its announcements.
    pub seen_version: u64,
    /// The gateway's use of each model that is loaded in the engine.
    pub usage: BTreeMap<ModelId, ModelUsage>,
    /// Models and adapters that the gateway wants loaded.
    pub demands: Vec<Demand>,
}

/// The status of a model that is loaded in an engine.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct ModelStatus {
    /// Adapters that are loaded for it.
    pub adapters: BTreeSet<AdapterId>,
    /// Whether it is draining before its unload; gateways must not send new requests.
    pub leaving: bool,
    /// Recent requests per second for it, summed over all gateways.
    pub per_s: f32,
}

/// A load in progress at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LoadStatus {
    /// The model that is being loaded.
    pub model: ModelId,
    /// The tier from which its weights are loaded.
    pub tier: Tier,
    /// Estimated time until it is loaded, in milliseconds.
    pub remaining_ms: u64,
}

/// A sidecar's status, which it sends to gateways.
#[derive(Clone, Debug, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Status {
    /// Incarnation of the sidecar process.
    pub incarnation: Incarnation,
    /// Increases with each change that gateways must receive immediately.
    pub version: u64,
    /// Whether the engine responds; if not, the fields about the engine have default values.
    pub engine_up: bool,
    /// The id that the engine reports of itself, if known. The platform's list may still contain an
    /// earlier one.
    pub engine_id: Option<EndpointId>,
    /// Start of the engine's process as Unix time in milliseconds.
    pub engine_started_unix_ms: UnixMs,
    /// Number of running requests.
    pub running: u32,
    /// Number of requests queued at the engine.
    pub waiting: u32,
    /// Loaded models.
    pub models: BTreeMap<ModelId, ModelStatus>,
    /// The load in progress, if any.
    pub loading: Option<LoadStatus>,
    /// Whether the engine is loading or unloading a model.
    pub busy: bool,
    /// Models that callers wait for at this engine, in the order in which they will be loaded.
    pub queue: Vec<ModelId>,
    /// Estimated time until one more load could start, in milliseconds.
    pub queue_ms: u64,
    /// Estimated cost of making room for one more model, in milliseconds; includes a penalty for
    /// the requests that the evicted model would lose.
    pub room_ms: u64,
    /// Models whose weights are cached in the host's memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are cached on the host's disk.
    pub on_disk: BTreeSet<ModelId>,
    /// Number of gateways that have sent a recent report.
    pub gateways: u32,
}

impl Status {
    /// The fastest tier from which the engine can load a model.
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
