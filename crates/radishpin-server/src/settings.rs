//! Settings of nodes and agents, already parsed and validated by the binary.

use crate::Token;
use radishpin_http::ServerLimits;
use radishpin_protocol::{AvailabilityZone, EndpointId, HostId, NodeId, ServiceId, SizeMb};
use std::{net::SocketAddr, time::Duration};

pub use radishpin_protocol::ServiceKind;

/// Settings of one node; they stay the same until the process ends.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique among nodes.
    pub name: NodeId,
    /// Availability zone that the node runs in.
    pub availability_zone: AvailabilityZone,
    /// Host that the node runs on, by its name in the platform's host list.
    pub host: HostId,
    /// Address of the HTTP listener for callers.
    pub listen: SocketAddr,
    /// Address of the HTTP listener for operators.
    pub operator_listen: SocketAddr,
    /// Address of the RPC listener for other nodes.
    pub peer_listen: SocketAddr,
    /// Peer addresses of the other nodes; the node's own address may be among them.
    pub peers: Vec<SocketAddr>,
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// Token that operators authenticate with.
    pub token: Token,
    /// Token that the system's own processes present to each other.
    pub internal_token: Token,
    /// Number of worker threads.
    pub threads: usize,
    /// Limits on callers' connections and requests.
    pub limits: ServerLimits,
    /// Longest time that running requests are given to end when the node stops.
    pub drain_timeout: Duration,
    /// Mean time between two reads of the head row, which holds the configuration's version.
    pub poll_interval: Duration,
    /// Time before a planned stop from which its endpoints get no new work.
    pub stop_lead: Duration,
}

/// Settings of one agent; they stay the same until the process ends.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the agent's endpoint, unique among endpoints.
    pub name: EndpointId,
    /// Availability zone that the endpoint runs in.
    pub availability_zone: AvailabilityZone,
    /// Host that the endpoint runs on, by its name in the platform's host list.
    pub host: HostId,
    /// Address of the RPC listener for nodes.
    pub listen: SocketAddr,
    /// Address of the HTTP listener for metrics, health and readiness; `None` if there is none.
    pub metrics_listen: Option<SocketAddr>,
    /// HTTP address of the model engine or plain service.
    pub endpoint: SocketAddr,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// Whether the endpoint is a model engine or a plain service.
    pub kind: ServiceKind,
    /// Accelerator memory of the endpoint; 0 for a plain service.
    pub memory_mb: SizeMb,
    /// Number of calls that the endpoint handles at once.
    pub concurrency: u32,
    /// Whether the endpoint checks the fencing tokens of orders.
    pub fencing: Fencing,
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// Token that the system's own processes present to each other.
    pub internal_token: Token,
    /// Number of worker threads.
    pub threads: usize,
    /// Number of calls that may be queued for the endpoint at once.
    pub queue_places: u32,
    /// Longest time after sending that an order to the endpoint may still take effect.
    pub order_life: Duration,
    /// Longest time that running calls are given to end when the agent stops.
    pub drain_timeout: Duration,
}

/// How an endpoint treats an order with an outdated fencing token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fencing {
    /// The endpoint refuses the order.
    Checked,
    /// The endpoint executes the order.
    Ignored,
}
