//! HTTP interface of a model engine, as its agent speaks it.
//!
//! Completions are `POST /v1/completions` and `POST /v1/chat/completions` in the usual JSON;
//! orders are `POST /control/load` and `POST /control/unload` with an [`Order`]; the state is
//! `GET /control/report`, an [`EngineReport`].

use crate::{AdapterId, AttemptId, Incarnation, ModelId, OrderSequence, SizeMb};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::collections::BTreeMap;

/// Header with the attempt as `REQUEST/ATTEMPT`; echoed on the response.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the number of stream events to skip.
pub const RESUME_OFFSET_HEADER: &str = "x-resume-offset";
/// Header with the priority, 0 (lowest) to 9.
pub const PRIORITY_HEADER: &str = "x-priority";
/// Path of text completions.
pub const COMPLETIONS_PATH: &str = "/v1/completions";
/// Path of chat completions.
pub const CHAT_COMPLETIONS_PATH: &str = "/v1/chat/completions";
/// Path of load orders.
pub const LOAD_PATH: &str = "/control/load";
/// Path of unload orders.
pub const UNLOAD_PATH: &str = "/control/unload";
/// Path of the report.
pub const REPORT_PATH: &str = "/control/report";
/// Tokens generated where `max_tokens` is absent.
pub const DEFAULT_MAX_TOKENS: u32 = 16;
/// Payload of the event that ends a stream.
pub const STREAM_END: &str = "[DONE]";

/// What an order loads or unloads: a model, or an adapter on top of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadTarget {
    /// The model.
    pub model: ModelId,
    /// The adapter; `None` for the model itself.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub adapter: Option<AdapterId>,
}

impl LoadTarget {
    /// The model itself.
    pub fn model(model: impl Into<ModelId>) -> Self {
        Self {
            model: model.into(),
            adapter: None,
        }
    }

    /// An adapter on top of a model.
    pub fn adapter(adapter: impl Into<AdapterId>, model: impl Into<ModelId>) -> Self {
        Self {
            model: model.into(),
            adapter: Some(adapter.into()),
        }
    }

    /// The name by which callers ask for it.
    pub fn name(&self) -> &str {
        self.adapter.as_deref().unwrap_or(&self.model)
    }
}

/// Fencing number of an order; a later incarnation is greater than any earlier one.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OrderNumber {
    /// Life of the agent that sent it.
    pub incarnation: Incarnation,
    /// Number within that life.
    pub sequence: OrderSequence,
}

/// An order to load or unload, answered when it is done.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Order {
    /// What to load or unload.
    pub target: LoadTarget,
    /// Accelerator memory that it takes; not used by unload orders.
    #[serde(default)]
    pub size_mb: SizeMb,
    /// The fencing number.
    #[serde(flatten)]
    pub number: OrderNumber,
}

/// Where an engine has a model's checkpoint, fastest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Tier {
    /// In the host's memory.
    Memory,
    /// On a disk of the engine.
    Disk,
    /// Only in the weight store.
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

/// A change of the prefix cache; published late, and some never.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct CacheEvent {
    /// Number of the event; a missing number is a lost event.
    pub sequence: u64,
    /// Name of the model or adapter.
    pub model: String,
    /// Hash of the prefix, see [`prefix_hash`].
    pub prefix_hash: u64,
    /// What happened.
    pub change: CacheChange,
}

/// A target that takes accelerator memory.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Resident {
    /// What it is.
    pub target: LoadTarget,
    /// Accelerator memory that it takes.
    pub size_mb: SizeMb,
}

/// State of an engine, some time ago.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineReport {
    /// Number of the report; a later state has a greater number.
    pub report_sequence: u64,
    /// Identity of the engine's present life; a restart changes it.
    pub instance: u64,
    /// Time by which the report lags behind the state at most.
    pub lag_ms: u64,
    /// Highest order whose effect the report shows; zero after a restart of the engine.
    pub as_of: OrderNumber,
    /// Accelerator memory.
    pub memory_mb: SizeMb,
    /// Accelerator memory of what is loaded or loading.
    pub used_mb: SizeMb,
    /// What is loaded.
    pub loaded: Vec<Resident>,
    /// What is loading.
    pub loading: Vec<Resident>,
    /// What is being unloaded and still takes memory.
    pub unloading: Vec<Resident>,
    /// Where checkpoints are; a model that is not listed is remote.
    pub tiers: BTreeMap<ModelId, Tier>,
    /// Calls that run.
    pub running: u32,
    /// Calls that wait for a place in the batch.
    pub queued: u32,
    /// Cache events since the previous report.
    pub cache_events: Vec<CacheEvent>,
}

/// Why an engine refuses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineErrorKind {
    /// The model or adapter is not loaded (409); the call did not run.
    ModelNotLoaded,
    /// The order carries an older number than one seen before (409).
    StaleOrder,
    /// The load ended without effect, as an unload or a restart overtook it (409).
    Superseded,
    /// The weights could not be read (503).
    LoadFailed,
    /// The engine takes no call now (503); the call did not run.
    Refused,
    /// The model was unloaded or the engine restarted during the call (500); it ran in part.
    Interrupted,
    /// The request is not understood (400); the call did not run.
    BadRequest,
    /// No such path (404).
    UnknownPath,
}

impl EngineErrorKind {
    /// HTTP status of the answer.
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

/// Body of a refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineErrorBody {
    /// The refusal.
    pub error: EngineErrorDetail,
}

/// Inner part of [`EngineErrorBody`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EngineErrorDetail {
    /// Why.
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

/// The fields of a completion request that decide where and how it runs.
#[derive(Clone, Debug, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct CompletionRequest {
    /// Name of a model or adapter.
    pub model: String,
    /// Prompt of a text completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prompt: Option<Value>,
    /// Messages of a chat completion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub messages: Option<Value>,
    /// Tokens to generate at most.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_tokens: Option<u32>,
    /// Whether the answer comes as server-sent events.
    #[serde(default)]
    pub stream: bool,
}

impl CompletionRequest {
    /// The text that the answer depends on.
    pub fn prompt_text(&self) -> String {
        match (&self.prompt, &self.messages) {
            (Some(Value::String(text)), _) => text.clone(),
            (Some(other), _) | (None, Some(other)) => other.to_string(),
            (None, None) => String::new(),
        }
    }

    /// Tokens to generate.
    pub fn max_output_tokens(&self) -> u32 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

/// Bytes of a prompt that count as its prefix.
pub const PREFIX_BYTES: usize = 64;

/// Hash of the first [`PREFIX_BYTES`] bytes of a prompt (64-bit FNV-1a), equal at every process.
pub fn prefix_hash(prompt: &str) -> u64 {
    let bytes = prompt.as_bytes();
    stable_hash(&bytes[..bytes.len().min(PREFIX_BYTES)])
}

/// 64-bit FNV-1a, equal at every process and in every release.
pub fn stable_hash(bytes: &[u8]) -> u64 {
    const OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    bytes.iter().fold(OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(*byte)).wrapping_mul(PRIME)
    })
}

/// Reads an attempt from the text of [`REQUEST_ID_HEADER`].
pub fn parse_attempt(text: &str) -> Option<AttemptId> {
    let (request_id, number) = text.rsplit_once('/')?;
    let number = number.parse().ok()?;
    Some(AttemptId {
        request_id: request_id.to_owned(),
        number,
    })
}
