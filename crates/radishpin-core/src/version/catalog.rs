//! One accepted configuration of the cluster: routes, services and the models that they serve.

use crate::request::Tier;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Whether a request of a route may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSemantics {
    /// It may run more than once.
    Idempotent,
    /// It runs at most once.
    NonIdempotent,
    /// The answer is a stream of events; it runs at most once.
    Stream,
    /// The answer is a stream of events that another endpoint may resume after a given event.
    ResumableStream,
}

impl RequestSemantics {
    /// Whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request with an unknown outcome may be sent again.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Where the share goes.
    pub service: ServiceId,
    /// Its weight among the splits of the route.
    pub weight: u32,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name for logs and metrics.
    pub name: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub semantics: RequestSemantics,
    /// Longest time to a whole answer.
    pub timeout: Duration,
    /// Time within which an answer is on time; for streams, the first event.
    pub target_latency: Duration,
    /// How long callers wait for the first of the answer, and then between its events, before they
    /// leave.
    pub event_timeout: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// Endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Where the requests go; never empty.
    pub splits: Vec<Split>,
}

impl Route {
    /// The service for a request, spread over the splits by `random`.
    pub fn service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let Some(mut point) = random.checked_rem(total) else {
            return self.splits.first().map(|split| &split.service);
        };
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if point < weight {
                return Some(&split.service);
            }
            point -= weight;
        }
        None
    }
}

/// A model that a service offers.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Accelerator memory that its weights take, rounded up.
    pub weights_mb: SizeMb,
    /// Accelerator memory that one of its adapters takes, rounded up.
    pub adapter_mb: SizeMb,
    /// Load from the weight store, at full speed.
    pub load_remote: Duration,
    /// Load from the endpoint's disk.
    pub load_disk: Duration,
    /// Load from the endpoint's host memory.
    pub load_memory: Duration,
}

impl ModelSpec {
    /// Time of a load from where the weights are, at full speed.
    pub fn load_time(&self, tier: Tier) -> Duration {
        match tier {
            Tier::Memory => self.load_memory,
            Tier::Disk => self.load_disk,
            Tier::Remote => self.load_remote,
        }
    }
}

/// What the model engines of a service have in common.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that an engine runs at once.
    pub slots: u32,
    /// Tokens that an engine's KV cache holds.
    pub kv_cache_tokens: u64,
    /// Accelerator memory for weights and adapters.
    pub memory_mb: SizeMb,
    /// Adapters that an engine holds at most.
    pub adapter_slots: usize,
    /// Loads a second that the weight store allows over all engines.
    pub store_loads_per_s: f64,
    /// The models.
    pub models: BTreeMap<ModelId, ModelSpec>,
}

/// A service: a class of endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Present where the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: usize,
    /// Longest time to send a head.
    pub head_timeout: Duration,
    /// Longest idle time of a connection.
    pub idle_timeout: Duration,
}

impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            head_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// One accepted configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Its version; versions only grow.
    pub version: u64,
    /// Routes of each virtual host, longest prefix first.
    pub routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Limits of callers.
    pub limits: CallerLimits,
}

impl Catalog {
    /// Adds a route of a virtual host, keeping the longest prefix first.
    pub fn add_route(&mut self, virtual_host: String, route: Route) {
        let routes = self.routes.entry(virtual_host).or_default();
        let longer = |other: &Arc<Route>| other.prefix.len() >= route.prefix.len();
        let place = routes.iter().take_while(|other| longer(other)).count();
        routes.insert(place, Arc::new(route));
    }

    /// The route with the longest prefix of `path`.
    pub fn route(&self, virtual_host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(virtual_host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
