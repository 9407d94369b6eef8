//! Type aliases for ids and numbers that travel between processes.

/// Name of a model.
pub type ModelId = String;
/// Name of an adapter on top of a model.
pub type AdapterId = String;
/// Name of a service: a group of endpoints with one profile.
pub type ServiceId = String;
/// Name of a profile.
pub type ProfileId = String;
/// Name of an endpoint; a runner is an endpoint that runs models.
pub type EndpointId = String;
/// Name of a host.
pub type HostId = String;
/// Name of an availability zone.
pub type AvailabilityZone = String;
/// Name of a node.
pub type NodeId = String;
/// Name of a planned stop.
pub type StopId = String;
/// Id of one caller's request, taken from the caller or made by the node.
pub type RequestId = String;
/// Number of an attempt within its request, from 1.
pub type AttemptNumber = u32;
/// Version of a row, or of the whole table; grows with every commit.
pub type Version = u64;
/// Life of an agent process at its endpoint; grows with every restart.
pub type Incarnation = u64;
/// Number of an order within an incarnation; grows with every order.
pub type OrderSequence = u64;
/// Milliseconds since the Unix epoch, as operators write planned stops.
pub type UnixMs = u64;
/// Accelerator memory in mebibytes.
pub type SizeMb = u32;

/// One attempt of one request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The request.
    pub request_id: RequestId,
    /// The attempt within the request.
    pub number: AttemptNumber,
}

impl std::fmt::Display for AttemptId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/{}", self.request_id, self.number)
    }
}
