//! Types that most modules of radishpin import.

pub use crate::{
    AdapterId, AgentView, AttemptId, AttemptNumber, AvailabilityZone, ClusterView, EndpointId,
    HostId, Incarnation, ModelId, NodeId, Profile, ProfileId, Ran, RequestId, ResultCode,
    ServiceId, SizeMb, SoftwareVersion, Version,
};
pub use std::{
    collections::{BTreeMap, BTreeSet},
    time::Duration,
};
