//! What an embedded system consists of.

use radishpin_protocol::{
    PROFILE_FORMAT, Profile, ServiceKind, WorkloadClass, engine::Tier, prelude::*,
};
use radishpin_server::Fencing;
use radishpin_standin::{EngineSettings, WeightStoreSettings};
use std::net::SocketAddr;

/// Endpoints and what they serve, nodes, and the speeds of the stand-ins.
#[derive(Clone, Debug)]
pub struct ClusterPlan {
    /// Address for callers of the first node; port 0 takes a free one. Other nodes take free ones.
    pub listen: SocketAddr,
    /// Seed of the stand-ins' random choices.
    pub seed: u64,
    /// Availability zone of each node.
    pub nodes: Vec<AvailabilityZone>,
    /// Profiles by name.
    pub profiles: BTreeMap<ProfileName, Profile>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServicePlan>,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelPlan>,
    /// Endpoints by name.
    pub endpoints: BTreeMap<EndpointId, EndpointPlan>,
    /// The weight store.
    pub weight_store: WeightStoreSettings,
    /// Time between two reads of the head row.
    pub poll_interval: Duration,
    /// Time before a planned stop at which its endpoints take no new work.
    pub stop_lead: Duration,
    /// Time that running work gets at a stop.
    pub drain_timeout: Duration,
}

type ProfileName = String;

/// A service and the profile that it picks.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    /// What its endpoints do.
    pub kind: ServiceKind,
    /// Name of its profile.
    pub profile: ProfileName,
}

/// A model and its adapters.
#[derive(Clone, Debug)]
pub struct ModelPlan {
    /// The service that serves it.
    pub service: ServiceId,
    /// Accelerator memory.
    pub size_mb: SizeMb,
    /// Adapters and their sizes.
    pub adapters: BTreeMap<AdapterId, SizeMb>,
}

/// An endpoint and its stand-in.
#[derive(Clone, Debug)]
pub struct EndpointPlan {
    /// Its host.
    pub host: HostId,
    /// Availability zone of the host.
    pub availability_zone: AvailabilityZone,
    /// The service that it belongs to.
    pub service: ServiceId,
    /// Whether it checks fencing numbers.
    pub fencing: Fencing,
    /// Calls that it works on at once.
    pub concurrency: u32,
    /// Calls that may wait at its agent.
    pub queue_places: u32,
    /// The engine; `None` for a plain service.
    pub engine: Option<EnginePlan>,
    /// Time of a call at a plain service.
    pub service_time: Duration,
}

/// The speeds and memory of an engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    /// Settings of the stand-in.
    pub settings: EngineSettings,
}

impl ClusterPlan {
    /// A small cage: three availability zones with a node each, four runners of a drafting
    /// service, and two endpoints of a booking service whose calls may run once only.
    pub fn small(listen: SocketAddr, seed: u64) -> Self {
        let zones = ["gondar", "bahir-dar", "lalibela"];
        Self {
            listen,
            seed,
            nodes: zones.map(str::to_owned).to_vec(),
            profiles: small_profiles(),
            services: small_services(),
            models: small_models(),
            endpoints: small_endpoints(&zones),
            weight_store: WeightStoreSettings {
                model_load: Duration::from_millis(400),
                ..WeightStoreSettings::default()
            },
            poll_interval: Duration::from_millis(250),
            stop_lead: Duration::from_secs(30),
            drain_timeout: Duration::from_secs(10),
        }
    }
}

fn small_profiles() -> BTreeMap<ProfileName, Profile> {
    let drafting = Profile {
        format: PROFILE_FORMAT,
        min_loaded: 0,
        max_replicas: 2,
        idle_unload_ms: 60_000,
        patience_ms: 10_000,
        priority: 7,
        class: WorkloadClass::Interactive,
        idempotent: true,
    };
    let booking = Profile {
        max_replicas: 0,
        idempotent: false,
        ..drafting.clone()
    };
    BTreeMap::from([
        ("drafting".to_owned(), drafting),
        ("booking".to_owned(), booking),
    ])
}

fn small_services() -> BTreeMap<ServiceId, ServicePlan> {
    let service = |kind, profile: &str| ServicePlan {
        kind,
        profile: profile.to_owned(),
    };
    BTreeMap::from([
        (
            "drafting".to_owned(),
            service(ServiceKind::Models, "drafting"),
        ),
        ("booking".to_owned(), service(ServiceKind::Plain, "booking")),
    ])
}

fn small_models() -> BTreeMap<ModelId, ModelPlan> {
    let model = |size_mb, adapters: &[&str]| ModelPlan {
        service: "drafting".to_owned(),
        size_mb,
        adapters: adapters
            .iter()
            .map(|name| ((*name).to_owned(), 200))
            .collect(),
    };
    BTreeMap::from([
        (
            "repair-notes".to_owned(),
            model(8_000, &["repair-notes-amharic"]),
        ),
        ("season-summary".to_owned(), model(14_000, &[])),
        (
            "log-tags".to_owned(),
            model(4_000, &["log-tags-simien", "log-tags-lalibela"]),
        ),
    ])
}

fn small_endpoints(zones: &[&str; 3]) -> BTreeMap<EndpointId, EndpointPlan> {
    let runner = |number: usize, zone: &str| EndpointPlan {
        host: format!("host-runner-{number}"),
        availability_zone: zone.to_owned(),
        service: "drafting".to_owned(),
        fencing: Fencing::Checked,
        concurrency: 16,
        queue_places: 256,
        engine: Some(EnginePlan {
            settings: EngineSettings {
                memory_mb: 24_000,
                tiers: BTreeMap::from([("log-tags".to_owned(), Tier::Disk)]),
                ..EngineSettings::default()
            },
        }),
        service_time: Duration::ZERO,
    };
    let plain = |number: usize, zone: &str| EndpointPlan {
        host: format!("host-booking-{number}"),
        availability_zone: zone.to_owned(),
        service: "booking".to_owned(),
        fencing: Fencing::Ignored,
        concurrency: 8,
        queue_places: 64,
        engine: None,
        service_time: Duration::from_millis(20),
    };
    let mut endpoints = BTreeMap::new();
    for (index, zone) in [zones[0], zones[1], zones[2], zones[0]].iter().enumerate() {
        endpoints.insert(format!("runner-{}", index + 1), runner(index + 1, zone));
    }
    for (index, zone) in [zones[0], zones[1]].iter().enumerate() {
        endpoints.insert(format!("booking-{}", index + 1), plain(index + 1, zone));
    }
    endpoints
}
