//! HTTP interface between a model engine and its agent.
//!
//! Completions are `POST /v1/completions` and `POST /v1/chat/completions` in the usual JSON;
//! orders are `POST /control/load` and `POST /control/unload` with an [`Order`] as the body;
//! `GET /control/report` returns an [`EngineReport`].

use crate::{AdapterId, AttemptId, Incarnation, ModelId, OrderSequence, SizeMb};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Header with the attempt as `REQUEST/ATTEMPT`, see [`parse_attempt`]; echoed on the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of stream events to skip when a stream is resumed.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Header with the priority, from 0 (lowest) to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of load orders.
pub const LOAD_PATH: &str = "/control/load";
/// Path of unload orders.
pub const UNLOAD_PATH: &str = "/control/unload";
/// Path of the engine's report.
pub const REPORT_PATH: &str = "/control/report";
/// Maximum number of output tokens if `max_tokens` is absent.
pub const DEFAULT_MAX_TOKENS: u32 = 16;
/// Data of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// What an order loads or unloads: a model, or an adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTarget {
    /// The model, or the one that the adapter belongs to.
    pub model: ModelId,
    /// The adapter; `None` if the target is the model itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

impl LoadTarget {
    /// Target that is a model.
    pub fn model(model: impl Into<ModelId>) -> Self {
        Self {
            model: model.into(),
            adapter: None,
        }
    }

    /// Target that is an adapter of `model`.
    pub fn adapter(adapter: impl Into<AdapterId>, model: impl Into<ModelId>) -> Self {
        Self {
            model: model.into(),
            adapter: Some(adapter.into()),
        }
    }

    /// Name that callers put into the `model` field of a request.
    pub fn name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }
}

/// Fencing token of an order; ordered by incarnation first, then by sequence.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OrderNumber {
    /// Incarnation of the agent that sent the order.
    pub incarnation: Incarnation,
    /// Number of the order within that incarnation.
    pub sequence: OrderSequence,
}

/// An order to load or unload; the engine responds once it is carried out or has failed.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// What to load or unload.
    pub target: LoadTarget,
    /// Accelerator memory that the target takes; ignored by unload orders.
    #[serde(default)]
    pub size_mb: SizeMb,
    /// Fencing token of the order.
    #[serde(flatten)]
    pub number: OrderNumber,
}

/// Fastest storage tier from which an engine can load a model, in order of speed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// The host's memory.
    Memory,
    /// A disk of the engine.
    Disk,
    /// Only the weight store.
    Remote,
}

/// What happened to a prompt prefix in an engine's cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    /// The prefix was stored.
    Stored,
    /// The prefix was evicted.
    Evicted,
}

/// A change of the prefix cache; events are delayed, and some are lost.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a gap in the numbers means lost events.
    pub sequence: u64,
    /// Name of the model or adapter that the prompt was sent to.
    pub model: String,
    /// Hash of the prompt prefix, see [`prefix_hash`].
    pub prefix_hash: u64,
    /// What happened to the prefix.
    pub change: CacheChange,
}

/// A model or adapter that takes accelerator memory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resident {
    /// The model or adapter.
    pub target: LoadTarget,
    /// Accelerator memory that the target takes.
    pub size_mb: SizeMb,
}

/// State of an engine at some earlier time; see [`Self::lag_ms`].
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of the report; a report of a later state has a greater number.
    pub report_sequence: u64,
    /// Identifies the engine process; a restart changes it.
    pub instance: u64,
    /// Maximum time by which the report lags behind the engine's state.
    pub lag_ms: u64,
    /// Number of the latest order whose effect the report includes; zero after an engine restart.
    pub as_of: OrderNumber,
    /// Total accelerator memory of the engine.
    pub memory_mb: SizeMb,
    /// Accelerator memory taken by models and adapters that are loaded or loading.
    pub used_mb: SizeMb,
    /// Models and adapters that are loaded.
    pub loaded: Vec<Resident>,
    /// Models and adapters that are being loaded.
    pub loading: Vec<Resident>,
    /// Models and adapters that are being unloaded and still take memory.
    pub unloading: Vec<Resident>,
    /// Storage tier of each model; a model that is not listed is [`Tier::Remote`].
    pub tiers: BTreeMap<ModelId, Tier>,
    /// Number of calls that are running.
    pub running: u32,
    /// Number of calls that wait for a slot in the batch.
    pub queued: u32,
    /// Cache events since the previous report.
    pub cache_events: Vec<CacheEvent>,
}

/// Why an engine refuses a request, with the HTTP status of the response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorKind {
    /// The model or adapter is not loaded (409); the call did not run.
    ModelNotLoaded,
    /// The order carries an older number than one seen before (409).
    StaleOrder,
    /// A later unload or a restart of the engine cancelled the load (409).
    Superseded,
    /// The weights could not be read (503).
    LoadFailed,
    /// The engine accepts no calls at present (503); the call did not run.
    Refused,
    /// The model was unloaded or the engine restarted during the call (500); the call ran in part.
    Interrupted,
    /// The request is malformed (400); the call did not run.
    BadRequest,
    /// No such path (404).
    UnknownPath,
}

impl EngineErrorKind {
    /// HTTP status of the response.
    pub const fn status(self) -> u16 {
        match self {
            Self::ModelNotLoaded | Self::StaleOrder | Self::Superseded => 409,
            Self::LoadFailed | Self::Refused => 503,
            Self::Interrupted => 500,
            Self::BadRequest => 400,
            Self::UnknownPath => 404,
        }
    }
}

/// JSON body of a response that refuses a request: `{"error": {"type": ..}}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineErrorBody {
    /// The error.
    pub error: EngineErrorDetail,
}

/// Inner part of [`EngineErrorBody`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineErrorDetail {
    /// Why the request was refused.
    #[serde(rename = "type")]
    pub kind: EngineErrorKind,
}

impl From<EngineErrorKind> for EngineErrorBody {
    fn from(kind: EngineErrorKind) -> Self {
        Self {
            error: EngineErrorDetail { kind },
        }
    }
}

/// The fields of a completion request that determine where and how it runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of the model or adapter to run.
    pub model: String,
    /// Prompt of a text completion; `None` in a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<Value>,
    /// Messages of a chat completion; `None` in a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Value>,
    /// Maximum number of output tokens; `None` for [`DEFAULT_MAX_TOKENS`].
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the response is a stream of server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// Prompt or messages as one text; JSON values other than a string are serialized.
    pub fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Some(Value::String(text)), _) => text.clone(),
            (Some(value), _) | (None, Some(value)) => value.to_string(),
            (None, None) => String::new(),
        }
    }

    /// Maximum number of output tokens, [`DEFAULT_MAX_TOKENS`] if the request sets none.
    pub fn max_output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Length in bytes of the prompt prefix that [`prefix_hash`] covers.
pub const PREFIX_BYTES: usize = 64;

/// Hash of the first [`PREFIX_BYTES`] bytes of a prompt, see [`stable_hash`].
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    stable_hash(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// 64-bit FNV-1a hash; the same in all processes and releases.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Parses the value of [`REQUEST_ID_HEADER`]; `None` unless it is `REQUEST/ATTEMPT`.
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    let (request_id, number) = text.rsplit_once('/')?;
    let number = number.parse().ok()?;
    Some(AttemptId {
        request_id: request_id.to_owned(),
        number,
    })
}
