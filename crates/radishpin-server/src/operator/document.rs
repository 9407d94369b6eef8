//! JSON documents of the operators' API, shared by the node and the command line.

use radishpin_protocol::{
    AvailabilityZone, EndpointId, Grant, HostId, Incarnation, ModelId, NodeId, Profile, ProfileId,
    ServiceId, ServiceKind, SizeMb, StopId, StopRecord, StopTarget, UnixMs, Version,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Where the data of a response was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The platform's table, which holds every accepted change.
    Platform,
    /// The node's current view, used while the platform is unavailable; it may be outdated.
    View,
}

/// A profile with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileEntry {
    /// Name, as in the path of the request.
    pub name: ProfileId,
    /// Version to send in `If-Match` when the document is changed.
    pub version: Version,
    /// The document at `version`.
    pub profile: Profile,
    /// Services that use the profile.
    pub services: Vec<ServiceId>,
    /// Where the entry was read.
    pub source: Source,
}

/// Response to `GET /v1/profiles`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileList {
    /// Profiles sorted by name, without unreadable rows.
    pub profiles: Vec<ProfileEntry>,
}

/// A replaced or deleted document of a profile, with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HistoryEntry {
    /// Version at which the document was current.
    pub version: Version,
    /// The replaced document.
    pub profile: Profile,
}

/// Response to `GET /v1/profiles/NAME/history`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProfileHistory {
    /// Replaced documents, oldest first.
    pub history: Vec<HistoryEntry>,
}

/// Body of `PUT /v1/services/NAME`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceChange {
    /// The profile that the service will use; it must exist.
    pub profile: ProfileId,
    /// Kind of the service's endpoints; required for a new service, unchangeable afterwards.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub kind: Option<ServiceKind>,
}

/// A service with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceEntry {
    /// Name, as in the path of the request.
    pub name: ServiceId,
    /// Version to send in `If-Match` when the document is changed.
    pub version: Version,
    /// Kind of the service's endpoints; it never changes.
    pub kind: ServiceKind,
    /// The profile that the service uses.
    pub profile: ProfileId,
    /// Where the entry was read.
    pub source: Source,
}

/// Body of `POST /v1/stops`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StopPlan {
    /// Id chosen by the operator, which makes the request idempotent.
    pub id: StopId,
    /// The host or availability zone that stops.
    pub target: StopTarget,
    /// Start of the stop window.
    pub from_unix_ms: UnixMs,
    /// End of the stop window; it must be in the future and after the start.
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

/// Phase of a planned stop, determined by the node's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum StopPhase {
    /// The window has not started.
    Planned,
    /// The window has started and has not ended.
    Open,
    /// The window has ended.
    Over,
}

/// A planned stop with its expected effects on callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopEntry {
    /// The stop as it was planned.
    #[serde(flatten)]
    pub stop: StopRecord,
    /// Version of the stop's row; 0 if the view holds none.
    pub version: Version,
    /// Phase at the time of the response.
    pub phase: StopPhase,
    /// Expected refusals, delays and lost replicas, given the current state of the cluster.
    pub warnings: Vec<String>,
}

/// Response to `GET /v1/stops`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StopList {
    /// Stops sorted by id, without unreadable rows.
    pub stops: Vec<StopEntry>,
}

/// Response to a change that is durable in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Accepted {
    /// Version at which the change was accepted.
    pub version: Version,
    /// Expected effects of a planned stop; empty for other changes.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub warnings: Vec<String>,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReport {
    /// The node that sent the response.
    pub node: NodeId,
    /// Version of the view that the node currently uses.
    pub view_version: Version,
    /// Versions of the view at other processes, as last reported to this node.
    pub processes: Vec<ProcessStatus>,
    /// Endpoints in the view, sorted by name.
    pub endpoints: Vec<EndpointStatus>,
    /// Models in the view, sorted by name.
    pub models: Vec<ModelStatus>,
    /// Services in the view, sorted by name.
    pub services: Vec<ServiceStatus>,
    /// Planned stops in the view, sorted by id.
    pub stops: Vec<StopEntry>,
}

/// Role of a process that reports its view version.
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
    /// A node other than the one that sent the response.
    Node,
    /// The agent of an endpoint, which reports to this node.
    Agent,
}

/// The version of the view that a process uses.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProcessStatus {
    /// Whether the process is a node or an agent.
    pub kind: ProcessKind,
    /// Name of the node, or of the agent's endpoint.
    pub name: String,
    /// Version of the view in use when the process reported it.
    pub version: Version,
    /// Milliseconds since the version was reported.
    pub heard_ms_ago: u64,
}

/// An endpoint's record with the latest report of its agent to this node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointStatus {
    /// Name, unique in the cluster.
    pub name: EndpointId,
    /// Host on which the endpoint runs.
    pub host: HostId,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Address at which the agent listens.
    pub agent_address: String,
    /// Accelerator memory of the endpoint in total.
    pub memory_mb: SizeMb,
    /// Incarnation of the agent, from the endpoint's record.
    pub incarnation: Incarnation,
    /// Latest report; `None` if this node has received none.
    pub report: Option<EndpointReport>,
}

/// The latest report of an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointReport {
    /// Milliseconds since the report was received.
    pub heard_ms_ago: u64,
    /// Whether the endpoint refuses new calls.
    pub leaving: bool,
    /// Calls being executed.
    pub running: u32,
    /// Calls waiting in the endpoint's queue.
    pub queued: u32,
    /// Accelerator memory in use or reserved.
    pub memory_used_mb: SizeMb,
    /// Replicas at the endpoint that the agent reported.
    pub replicas: Vec<ReplicaStatus>,
}

/// A replica at an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReplicaStatus {
    /// Model that the replica serves.
    pub model: ModelId,
    /// State in `snake_case`, such as `loaded`.
    pub state: String,
    /// Adapters loaded on the replica.
    pub adapters: Vec<String>,
}

/// A model with its grants.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelStatus {
    /// Name, unique in the cluster.
    pub name: ModelId,
    /// Service that the model belongs to.
    pub service: ServiceId,
    /// Accelerator memory that one replica needs.
    pub size_mb: SizeMb,
    /// Target number of replicas; at least the number of grants.
    pub replicas: u32,
    /// Grants of the model by endpoint.
    pub grants: BTreeMap<EndpointId, Grant>,
}

/// A service with its profile.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceStatus {
    /// Name, unique in the cluster.
    pub name: ServiceId,
    /// Version to send in `If-Match` when the service's profile is changed.
    pub version: Version,
    /// Kind of the service's endpoints; it never changes.
    pub kind: ServiceKind,
    /// The profile that the service uses.
    pub profile: ProfileId,
}
