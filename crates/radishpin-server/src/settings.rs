//! Settings of the roles, already parsed and checked by the binary.

use crate::Token;
use radishpin_http::ServerLimits;
use radishpin_protocol::{AvailabilityZone, EndpointId, HostId, NodeId, ServiceId, SizeMb};
use std::{net::SocketAddr, time::Duration};

pub use radishpin_protocol::ServiceKind;

/// Settings of a node.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node, unique among nodes.
    pub name: NodeId,
    /// Availability zone that the node runs in.
    pub availability_zone: AvailabilityZone,
    /// Host that the node runs on, as the platform's host list names it.
    pub host: HostId,
    /// Address of the callers' listener.
    pub listen: SocketAddr,
    /// Address of the operators' listener.
    pub operator_listen: SocketAddr,
    /// Address of the listener for other nodes.
    pub peer_listen: SocketAddr,
    /// Addresses at which other nodes listen for their peers; its own does no harm.
    pub peers: Vec<SocketAddr>,
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// Token that operators present.
    pub token: Token,
    /// Token that the system's own processes present to each other.
    pub internal_token: Token,
    /// Worker threads.
    pub threads: usize,
    /// Bounds on callers' connections and requests.
    pub limits: ServerLimits,
    /// Longest time that running requests get when the node stops.
    pub drain_timeout: Duration,
    /// Time between two reads of the head row.
    pub poll_interval: Duration,
    /// Time before a planned stop at which its endpoints take no new work.
    pub stop_lead: Duration,
}

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the endpoint beside the agent, unique among endpoints.
    pub name: EndpointId,
    /// Availability zone that the endpoint runs in.
    pub availability_zone: AvailabilityZone,
    /// Host of the endpoint, as the platform's host list names it.
    pub host: HostId,
    /// Address of the listener for nodes.
    pub listen: SocketAddr,
    /// Address of the HTTP listener for metrics, health and readiness; `None` for no listener.
    pub metrics_listen: Option<SocketAddr>,
    /// HTTP address of the model engine or plain service.
    pub endpoint: SocketAddr,
    /// Service that the endpoint belongs to.
    pub service: ServiceId,
    /// What the endpoint does.
    pub kind: ServiceKind,
    /// Accelerator memory of the endpoint; 0 for a plain service.
    pub memory_mb: SizeMb,
    /// Calls that the endpoint works on at once.
    pub concurrency: u32,
    /// Whether the endpoint checks fencing numbers.
    pub fencing: Fencing,
    /// HTTP address of the platform.
    pub platform: SocketAddr,
    /// Token that the system's own processes present to each other.
    pub internal_token: Token,
    /// Worker threads.
    pub threads: usize,
    /// Calls that may wait for the endpoint at once.
    pub queue_places: u32,
    /// Longest time after which an order sent to the endpoint may still take effect.
    pub order_life: Duration,
    /// Longest time that running calls get when the agent stops.
    pub drain_timeout: Duration,
}

/// What an endpoint does with an order that carries an old fencing number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fencing {
    /// It refuses the order.
    Checked,
    /// It carries the order out.
    Ignored,
}
