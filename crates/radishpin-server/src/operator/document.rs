//! JSON documents of the operators' API, as the node writes and the command line reads them.

use radishpin_protocol::{
    AvailabilityZone, EndpointId, Grant, HostId, Incarnation, ModelId, NodeId, Profile, ProfileId,
    ServiceId, ServiceKind, SizeMb, StopId, StopRecord, StopTarget, UnixMs, Version,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where an answer's data was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// In the platform's table: what is accepted.
    Platform,
    /// In the node's view, because the platform does not answer: what is in force at the node.
    View,
}

/// A profile with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileEntry {
    /// Name.
    pub name: ProfileId,
    /// Version to present in `If-Match`.
    pub version: Version,
    /// The document.
    pub profile: Profile,
    /// Services that picked it.
    pub services: Vec<ServiceId>,
    /// Where it was read.
    pub source: Source,
}

/// Answer of `GET /v1/profiles`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileList {
    /// All profiles.
    pub profiles: Vec<ProfileEntry>,
}

/// An earlier document of a profile with the version that it had.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version that it had.
    pub version: Version,
    /// The document.
    pub profile: Profile,
}

/// Answer of `GET /v1/profiles/NAME/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileHistory {
    /// Earlier documents, oldest first.
    pub history: Vec<HistoryEntry>,
}

/// Body of `PUT /v1/services/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceChange {
    /// The profile that the service picks.
    pub profile: ProfileId,
    /// What its endpoints do; needed for a new service, fixed for an old one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
}

/// A service with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name.
    pub name: ServiceId,
    /// Version to present in `If-Match`.
    pub version: Version,
    /// What its endpoints do.
    pub kind: ServiceKind,
    /// The profile that it picked.
    pub profile: ProfileId,
    /// Where it was read.
    pub source: Source,
}

/// Body of `POST /v1/stops`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopPlan {
    /// Id that the operator chose, so that a repeated order plans one stop only.
    pub id: StopId,
    /// What stops.
    pub target: StopTarget,
    /// Start of the window.
    pub from_unix_ms: UnixMs,
    /// End of the window.
    pub to_unix_ms: UnixMs,
}

impl From<StopPlan> for StopRecord {
    fn from(plan: StopPlan) -> Self {
        Self {
            id: plan.id,
            target: plan.target,
            from_unix_ms: plan.from_unix_ms,
            to_unix_ms: plan.to_unix_ms,
        }
    }
}

/// Where a planned stop stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopPhase {
    /// Its window has not opened.
    Planned,
    /// Its window is open.
    Open,
    /// Its window is over.
    Over,
}

/// A planned stop with what it will cost.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEntry {
    /// The stop.
    #[serde(flatten)]
    pub stop: StopRecord,
    /// Version of its row.
    pub version: Version,
    /// Where it stands.
    pub phase: StopPhase,
    /// What will be refused during the window as things stand.
    pub warnings: Vec<String>,
}

/// Answer of `GET /v1/stops`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopList {
    /// All stops.
    pub stops: Vec<StopEntry>,
}

/// Answer to a change that is durable.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version at which it was accepted.
    pub version: Version,
    /// What the operator should know.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<String>,
}

/// Answer of `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node that answers.
    pub node: NodeId,
    /// Version of the view in force at the node.
    pub view_version: Version,
    /// Versions in force at other processes, as last heard by this node.
    pub processes: Vec<ProcessStatus>,
    /// Endpoints.
    pub endpoints: Vec<EndpointStatus>,
    /// Models with their grants.
    pub models: Vec<ModelStatus>,
    /// Services.
    pub services: Vec<ServiceStatus>,
    /// Planned stops.
    pub stops: Vec<StopEntry>,
}

/// What a process is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize
)]
#[serde(rename_all = "snake_case")]
pub enum ProcessKind {
    /// A node.
    Node,
    /// An agent.
    Agent,
}

/// The version in force at a process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// What it is.
    pub kind: ProcessKind,
    /// Its name.
    pub name: String,
    /// Version in force.
    pub version: Version,
    /// Age of the word.
    pub heard_ms_ago: u64,
}

/// An endpoint: its record, and what its agent last reported to this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name.
    pub name: EndpointId,
    /// Host.
    pub host: HostId,
    /// Availability zone.
    pub availability_zone: AvailabilityZone,
    /// Service.
    pub service: ServiceId,
    /// Address at which the agent listens.
    pub agent_address: String,
    /// Accelerator memory.
    pub memory_mb: SizeMb,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Last report; absent where this node has heard none.
    pub report: Option<EndpointReport>,
}

/// The last report of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Age of the report.
    pub heard_ms_ago: u64,
    /// Whether the endpoint takes no new work.
    pub leaving: bool,
    /// Calls at work.
    pub running: u32,
    /// Calls that wait.
    pub queued: u32,
    /// Accelerator memory in use or reserved.
    pub memory_used_mb: SizeMb,
    /// Replicas.
    pub replicas: Vec<ReplicaStatus>,
}

/// A replica at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Model.
    pub model: ModelId,
    /// Its state in `snake_case`, such as `loaded`.
    pub state: String,
    /// Adapters loaded on it.
    pub adapters: Vec<String>,
}

/// A model with its grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Name.
    pub name: ModelId,
    /// Service.
    pub service: ServiceId,
    /// Accelerator memory of a replica.
    pub size_mb: SizeMb,
    /// Replicas decided for it.
    pub replicas: u32,
    /// Grants.
    pub grants: BTreeMap<EndpointId, Grant>,
}

/// A service with its profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name.
    pub name: ServiceId,
    /// Version to present in `If-Match` when it picks another profile.
    pub version: Version,
    /// What its endpoints do.
    pub kind: ServiceKind,
    /// The profile that it picked.
    pub profile: ProfileId,
}
