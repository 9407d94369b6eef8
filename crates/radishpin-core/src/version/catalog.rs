//! One version of the cluster's configuration: routes, services and the models that they serve.

use super::Customers;
use crate::request::Tier;
use radishpin_protocol::prelude::*;
use std::sync::Arc;

/// Whether a route's requests may run more than once, and whether their response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestSemantics {
    /// A request may run more than once.
    Idempotent,
    /// A request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; a request runs at most once.
    Stream,
    /// The response is a stream of events, which another endpoint can resume after a given event.
    ResumableStream,
}

impl RequestSemantics {
    /// Whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }

    /// Whether a request may be retried when the outcome of the last attempt is unknown.
    pub fn is_retryable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// One target of a route, with the share of requests that it gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Split {
    /// Service that gets the share.
    pub service: ServiceId,
    /// Share relative to the sum of the weights of the route's splits.
    pub weight: u32,
}

/// A rule that maps requests to services.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in logs and metrics.
    pub name: String,
    /// Path prefix that requests must match; starts and ends with a slash.
    pub prefix: String,
    /// Decides about retries, and whether responses are streams.
    pub semantics: RequestSemantics,
    /// Longest time until the response is complete.
    pub timeout: Duration,
    /// Latency within which a response counts as on time; for streams, that of the first event.
    pub target_latency: Duration,
    /// How long callers wait for the first event of a response, and then for each next one, before
    /// they disconnect.
    pub event_timeout: Duration,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u8,
    /// Number of endpoints to which one request may be sent.
    pub max_attempts: u32,
    /// Services between which the requests are divided; never empty.
    pub splits: Vec<Split>,
    /// Whether requests need no customer's key.
    pub is_public: bool,
}

impl Route {
    /// Chooses the service for a request by `random`, in proportion to the weights of the splits.
    ///
    /// Returns the first service if all weights are 0, and `None` if there are no splits.
    pub fn service(&self, random: u64) -> Option<&ServiceId> {
        let total: u64 = self
            .splits
            .iter()
            .map(|split| u64::from(split.weight))
            .sum();
        let Some(mut offset) = random.checked_rem(total) else {
            return self.splits.first().map(|split| &split.service);
        };
        for split in &self.splits {
            let weight = u64::from(split.weight);
            if offset < weight {
                return Some(&split.service);
            }
            offset -= weight;
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
    /// Load time from the weight store, at full speed.
    pub load_remote: Duration,
    /// Load time from the endpoint's disk.
    pub load_disk: Duration,
    /// Load time from the endpoint's host memory.
    pub load_memory: Duration,
}

impl ModelSpec {
    /// Load time from the tier where the weights are, at full speed.
    pub fn load_time(&self, tier: Tier) -> Duration {
        match tier {
            Tier::Memory => self.load_memory,
            Tier::Disk => self.load_disk,
            Tier::Remote => self.load_remote,
        }
    }
}

/// Properties that all model engines of a service share.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Number of requests that an engine runs concurrently.
    pub slots: u32,
    /// Capacity of an engine's KV cache, in tokens.
    pub kv_cache_tokens: u64,
    /// Accelerator memory of an engine for weights and adapters.
    pub memory_mb: SizeMb,
    /// Number of adapters that an engine can hold.
    pub adapter_slots: usize,
    /// Loads per second that the weight store allows to all engines together.
    pub store_loads_per_s: f64,
    /// Models that the engines can load.
    pub models: BTreeMap<ModelId, ModelSpec>,
}

/// A service: a group of endpoints that serve the same requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Number of connections that one endpoint accepts from all callers together.
    pub connection_limit: u32,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineSpec>,
}

/// Limits on the size and the duration of what callers send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request's head.
    pub head_bytes: usize,
    /// Maximum size of a request's body.
    pub body_bytes: usize,
    /// Longest time in which a caller may send a request's head.
    pub head_timeout: Duration,
    /// How long a connection may be idle.
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

/// One version of the cluster's configuration, after validation.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Catalog {
    /// Version of the configuration; a newer one has a greater version.
    pub version: u64,
    /// Routes of each virtual host, longest prefix first.
    pub routes: BTreeMap<String, Vec<Arc<Route>>>,
    /// Services that routes refer to, by ID.
    pub services: BTreeMap<ServiceId, Arc<Service>>,
    /// Limits for all callers.
    pub limits: CallerLimits,
    /// Customers whose keys requests must carry; `None` if requests need no key.
    pub customers: Option<Customers>,
}

impl Catalog {
    /// Adds a route to a virtual host and keeps the routes sorted, longest prefix first.
    pub fn add_route(&mut self, virtual_host: String, route: Route) {
        let routes = self.routes.entry(virtual_host).or_default();
        let stays_before = |other: &Arc<Route>| other.prefix.len() >= route.prefix.len();
        let index = routes
            .iter()
            .take_while(|other| stays_before(other))
            .count();
        routes.insert(index, Arc::new(route));
    }

    /// Finds the route with the longest prefix that matches `path`.
    pub fn route(&self, virtual_host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.routes.get(virtual_host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }
}
