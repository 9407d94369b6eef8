//! Durable records, as rows of the platform's table hold them (JSON values).
//!
//! | key | value |
//! |---|---|
//! | `head` | [`HeadRecord`], written by every commit that changes the view |
//! | `head/KIND` | [`HeadRecord`], written by every commit that changes a row under `KIND/` |
//! | `profile/NAME` | [`crate::Profile`] |
//! | `service/NAME` | [`ServiceRecord`] |
//! | `model/NAME` | [`ModelRecord`] |
//! | `adapter/NAME` | [`AdapterRecord`] |
//! | `endpoint/NAME` | [`EndpointRecord`] |
//! | `stop/NAME` | [`StopRecord`] |
//!
//! Rows under `lease/`, `call/` and `history/` are no part of the view.

use crate::{
    AvailabilityZone, EndpointId, HostId, Incarnation, ModelId, ProfileId, ServiceId, SizeMb,
    StopId, UnixMs, Version,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the row that every commit of the view writes.
pub const HEAD_KEY: &str = "head";
/// Key prefix of the rows whose versions are those of the last changes of each kind of row.
pub const HEAD_KIND_PREFIX: &str = "head/";
/// Key prefix of profiles.
pub const PROFILE_PREFIX: &str = "profile/";
/// Key prefix of services.
pub const SERVICE_PREFIX: &str = "service/";
/// Key prefix of models.
pub const MODEL_PREFIX: &str = "model/";
/// Key prefix of adapters.
pub const ADAPTER_PREFIX: &str = "adapter/";
/// Key prefix of endpoints.
pub const ENDPOINT_PREFIX: &str = "endpoint/";
/// Key prefix of planned stops.
pub const STOP_PREFIX: &str = "stop/";
/// Key prefix of shard leases.
pub const LEASE_PREFIX: &str = "lease/";
/// Key prefix of keyed calls.
pub const CALL_PREFIX: &str = "call/";
/// Key prefix of earlier profile documents.
pub const HISTORY_PREFIX: &str = "history/";
/// Prefixes whose rows make up the view.
pub const VIEW_PREFIXES: [&str; 6] = [
    PROFILE_PREFIX,
    SERVICE_PREFIX,
    MODEL_PREFIX,
    ADAPTER_PREFIX,
    ENDPOINT_PREFIX,
    STOP_PREFIX,
];

/// The row whose version is the version of the view.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HeadRecord {
    /// Operation id of the commit that wrote the row.
    pub operation: String,
}

/// A service: a group of endpoints that share one profile.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ServiceRecord {
    /// What its endpoints do.
    pub kind: ServiceKind,
    /// The profile that it picked.
    pub profile: ProfileId,
}

/// What the endpoints of a service do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Its endpoints are runners, which load models.
    Models,
    /// Its endpoints are plain services behind `/services/NAME/`.
    Plain,
}

/// A model and the grants to load it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ModelRecord {
    /// The service whose runners may load it.
    pub service: ServiceId,
    /// Accelerator memory of one replica.
    pub size_mb: SizeMb,
    /// Replicas decided for it; never fewer than `grants` has entries.
    pub replicas: u32,
    /// Which endpoints may have a replica loaded.
    pub grants: BTreeMap<EndpointId, Grant>,
}

/// Leave for one endpoint to load one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Whether it may still be used.
    pub state: GrantState,
    /// Version of the head when it got this state.
    pub since_version: Version,
}

/// State of a grant; both states count as a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantState {
    /// The endpoint may load the model at any time.
    Held,
    /// The endpoint must unload the model and confirm it.
    Revoking,
}

/// An adapter on top of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterRecord {
    /// The model that it extends.
    pub model: ModelId,
    /// Accelerator memory that it takes beside a replica of its model.
    pub size_mb: SizeMb,
}

/// An endpoint, registered by its agent with a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The host of the endpoint and its agent.
    pub host: HostId,
    /// The availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Address (IP and port) at which the agent listens.
    pub agent_address: String,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// Accelerator memory; 0 for a plain service.
    pub memory_mb: SizeMb,
    /// Calls that the endpoint works on at once.
    pub concurrency: u32,
    /// Life of the agent; grows with every restart.
    pub incarnation: Incarnation,
}

/// A planned stop, marked by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopRecord {
    /// Id of the stop.
    pub id: StopId,
    /// What stops.
    pub target: StopTarget,
    /// Start of the window.
    pub from_unix_ms: UnixMs,
    /// End of the window.
    pub to_unix_ms: UnixMs,
}

/// What a planned stop takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One host.
    Host(HostId),
    /// A whole availability zone.
    AvailabilityZone(AvailabilityZone),
}
