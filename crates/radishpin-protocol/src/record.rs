//! Durable records, stored as JSON values of rows in the platform's table.
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
//! Rows under `lease/`, `call/` and `history/` are not part of the view.

use crate::{
    AvailabilityZone, EndpointId, HostId, Incarnation, ModelId, ProfileId, ServiceId, SizeMb,
    StopId, UnixMs, Version,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Key of the row that every commit to the view writes, so that its version is the view's.
pub const HEAD_KEY: &str = "head";
/// Key prefix of one row per kind of record; its version is that of the kind's last change.
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
/// Key prefix of calls with an idempotency key.
pub const CALL_PREFIX: &str = "call/";
/// Key prefix of earlier versions of profile documents.
pub const HISTORY_PREFIX: &str = "history/";
/// Key prefixes of the rows that make up the view.
pub const VIEW_PREFIXES: [&str; 6] = [
    PROFILE_PREFIX,
    SERVICE_PREFIX,
    MODEL_PREFIX,
    ADAPTER_PREFIX,
    ENDPOINT_PREFIX,
    STOP_PREFIX,
];

/// Value of the head rows; their versions are those of the view and of each kind of record.
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
    /// Whether its endpoints load models.
    pub kind: ServiceKind,
    /// Name of the profile assigned to the service.
    pub profile: ProfileId,
}

/// Whether the endpoints of a service load models.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ServiceKind {
    /// Its endpoints are runners, which load models.
    Models,
    /// Its endpoints load no models; callers reach them under `/services/NAME/`.
    Plain,
}

/// A model, and the grants of endpoints to load it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct ModelRecord {
    /// Service whose runners may load the model.
    pub service: ServiceId,
    /// Accelerator memory that one replica takes.
    pub size_mb: SizeMb,
    /// Target number of replicas; never less than the number of `grants`.
    pub replicas: u32,
    /// Endpoints that may have a replica loaded.
    pub grants: BTreeMap<EndpointId, Grant>,
}

/// Permission for one endpoint to load one model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
pub struct Grant {
    /// Whether the endpoint may load the model or must unload it.
    pub state: GrantState,
    /// Version of the view that the change to this state was based on.
    pub since_version: Version,
}

/// State of a grant; in both states the grant counts as a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum GrantState {
    /// The endpoint may load the model at any time.
    Held,
    /// The endpoint must unload the model and confirm that it did.
    Revoking,
}

/// An adapter of a model.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct AdapterRecord {
    /// Name of the model that the adapter extends.
    pub model: ModelId,
    /// Accelerator memory that the adapter takes in addition to a replica of its model.
    pub size_mb: SizeMb,
}

/// An endpoint, registered by its agent with a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct EndpointRecord {
    /// Host on which the endpoint and its agent run.
    pub host: HostId,
    /// Availability zone of that host.
    pub availability_zone: AvailabilityZone,
    /// Address (IP and port) on which the agent listens.
    pub agent_address: String,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Accelerator memory of the endpoint; 0 for a plain service.
    pub memory_mb: SizeMb,
    /// Maximum number of calls that the endpoint runs at once.
    pub concurrency: u32,
    /// Incarnation of the agent; increases with every restart.
    pub incarnation: Incarnation,
}

/// A planned stop of a host or an availability zone, entered by an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StopRecord {
    /// Id of the stop.
    pub id: StopId,
    /// Host or availability zone that stops.
    pub target: StopTarget,
    /// Start of the maintenance window.
    pub from_unix_ms: UnixMs,
    /// End of the maintenance window, exclusive.
    pub to_unix_ms: UnixMs,
}

/// The part of the system that a planned stop takes out of service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopTarget {
    /// One host.
    Host(HostId),
    /// All hosts of an availability zone.
    AvailabilityZone(AvailabilityZone),
}
