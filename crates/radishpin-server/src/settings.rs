//! Settings of the roles, already read and checked.

use radishpin_protocol::{
    AvailabilityZone, EndpointId, HostId, NodeId, ServiceId, ServiceKind, SizeMb,
};
use std::{fmt, net::SocketAddr, sync::Arc, time::Duration};
use subtle::ConstantTimeEq;

/// A secret that proves that a caller may give orders.
#[derive(Clone)]
pub struct Token(Arc<str>);

impl Token {
    /// Wraps a secret.
    pub fn new(secret: &str) -> Self {
        Self(secret.into())
    }

    /// Compares in time that does not depend on where the two differ.
    pub fn matches(&self, presented: &str) -> bool {
        self.0.as_bytes().ct_eq(presented.as_bytes()).into()
    }

    /// The secret, for the header of a call.
    pub fn expose(&self) -> &str {
        &self.0
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(redacted)")
    }
}

/// Whether an endpoint refuses an order whose number is older than one it has seen.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum OrderCheck {
    /// It refuses old orders.
    Checked,
    /// It carries out every order.
    Ignored,
}

/// Settings of `radishpin node`.
#[derive(Clone, Debug)]
pub struct NodeSettings {
    /// Name of the node.
    pub name: NodeId,
    /// Its host.
    pub host: HostId,
    /// Its availability zone.
    pub availability_zone: AvailabilityZone,
    /// Address for callers.
    pub listen: SocketAddr,
    /// Address for operators.
    pub operator_listen: SocketAddr,
    /// Address for other nodes.
    pub peer_listen: SocketAddr,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Token that operators present.
    pub operator_token: Token,
    /// Token between nodes and agents.
    pub internal_token: Token,
    /// Worker threads.
    pub threads: usize,
    /// Largest body of a caller's request.
    pub body_limit_bytes: usize,
    /// Time that running requests get when the node stops.
    pub drain_timeout: Duration,
    /// Time between reads of the head row.
    pub poll_interval: Duration,
}

/// Settings of `radishpin agent`.
#[derive(Clone, Debug)]
pub struct AgentSettings {
    /// Name of the endpoint.
    pub endpoint: EndpointId,
    /// Host of the agent and its endpoint.
    pub host: HostId,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// Address for nodes.
    pub listen: SocketAddr,
    /// Address of the endpoint: a model engine or a plain service.
    pub endpoint_address: SocketAddr,
    /// The service that the endpoint belongs to.
    pub service: ServiceId,
    /// What the endpoint does.
    pub kind: ServiceKind,
    /// Accelerator memory; 0 for a plain service.
    pub memory_mb: SizeMb,
    /// Calls that the endpoint works on at once.
    pub concurrency: u32,
    /// Whether the endpoint refuses old orders.
    pub order_check: OrderCheck,
    /// Longest time that an order may still take effect after it was sent.
    pub order_life: Duration,
    /// Address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// Token between nodes and agents.
    pub internal_token: Token,
    /// Worker threads.
    pub threads: usize,
    /// Calls that may wait at the agent.
    pub queue_places: usize,
    /// Time that running calls get when the agent stops.
    pub drain_timeout: Duration,
}
