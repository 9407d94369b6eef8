//! The whole system in one process: nodes, agents and stand-ins over real loopback sockets.

mod cluster;
mod error;
mod plan;
mod seed;

pub use cluster::{LocalAgent, LocalCluster, LocalNode};
pub use error::LocalError;
pub use plan::{ClusterPlan, EndpointPlan, EnginePlan, ModelPlan, ServicePlan};
pub use seed::seed_platform;
