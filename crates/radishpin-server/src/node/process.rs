//! The node's state for the lifetime of the process.

mod error;
mod metrics;
mod route;
mod run;

pub use error::NodeError;
pub use run::RunningNode;

use super::{
    connection::{AgentLink, PeerLink},
    request::Refusal,
    version::Leases,
};
use crate::{
    clock::Clock, operator::StatusCache, platform::platform_client, settings::NodeSettings,
};
use event_listener::Event;
use metrics::NodeMetrics;
use parking_lot::Mutex;
use radishpin_core::{
    process::{MemberState, Membership},
    request::RetryBudgets,
};
use radishpin_http::Shutdown;
use radishpin_platform::{Platform, PlatformClient};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use std::sync::{
    Arc,
    atomic::{AtomicBool, AtomicU64, Ordering},
};

/// Retries that a node may make in addition to a tenth of its requests.
const NODE_RETRY_BURST: u32 = 50;
/// Retries for one service in addition to a tenth of its requests.
const SERVICE_RETRY_BURST: u32 = 20;

/// Retry-after hint of a node that is not ready or is draining; the caller may use another node.
const NOT_READY_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Links to agents, by endpoint.
pub(super) type Links = BTreeMap<EndpointId, Arc<AgentLink>>;

/// State of a node, shared by its request handlers and background tasks.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: NodeSettings,
    pub(super) runtime: Runtime,
    pub(super) clock: Clock,
    pub(super) metrics: NodeMetrics,
    pub(super) shutdown: Shutdown,
    /// Client for the platform, shared by all background tasks.
    pub(super) client: PlatformClient,
    view: Mutex<Arc<ClusterView>>,
    links: Mutex<Arc<Links>>,
    /// Links to the peers from the settings, which may include this node.
    pub(super) peers: Vec<Arc<PeerLink>>,
    /// Notified when the view or the reported state of an endpoint changes.
    pub(super) routes_changed: Event,
    /// Notified when grants should be planned without waiting for the next round.
    pub(super) planning_requested: Event,
    /// Models with waiting calls that no endpoint can serve yet.
    pub(super) models_awaiting_endpoint: Mutex<BTreeSet<ModelId>>,
    /// Time of the last load that an endpoint refused for lack of memory, by model and endpoint.
    pub(super) memory_refusals: Mutex<BTreeMap<(ModelId, EndpointId), Duration>>,
    /// Notified when the head row should be read without waiting for the next poll.
    pub(super) view_poll_requested: Event,
    /// Notified when heartbeats should be sent without waiting for the next round.
    pub(super) heartbeats_requested: Event,
    /// Observed states of hosts and endpoints.
    pub(super) members: Arc<Mutex<Membership>>,
    /// Hosts that run a node, according to the host list.
    pub(super) node_hosts: Mutex<BTreeSet<HostId>>,
    pub(super) leases: Leases,
    pub(super) board: Arc<StatusCache>,
    retries: Mutex<RetryBudgets>,
    has_view: AtomicBool,
    boot_id: u64,
    next_request_number: AtomicU64,
}

impl Node {
    fn new(
        settings: NodeSettings,
        runtime: Runtime,
        platform: Arc<dyn Platform>,
        shutdown: Shutdown,
    ) -> Self {
        let boot_id: u64 = rand::random();
        let metrics = NodeMetrics::new();
        let client = platform_client(platform, &metrics.registry);
        let token = &settings.internal_token;
        let peer_link = |address: &_| Arc::new(PeerLink::new(runtime.clone(), *address, token));
        let peers = settings.peers.iter().map(peer_link).collect();
        Self {
            peers,
            runtime,
            clock: Clock::start(),
            metrics,
            shutdown,
            client,
            view: Mutex::default(),
            links: Mutex::default(),
            routes_changed: Event::new(),
            planning_requested: Event::new(),
            models_awaiting_endpoint: Mutex::default(),
            memory_refusals: Mutex::default(),
            view_poll_requested: Event::new(),
            heartbeats_requested: Event::new(),
            members: Arc::default(),
            node_hosts: Mutex::default(),
            leases: Leases::new(format!("{}/{boot_id:016x}", settings.host)),
            board: Arc::default(),
            retries: Mutex::new(RetryBudgets::new(NODE_RETRY_BURST, SERVICE_RETRY_BURST)),
            has_view: AtomicBool::new(false),
            boot_id,
            next_request_number: AtomicU64::new(0),
            settings,
        }
    }

    /// The current view; empty if [`Self::has_view`] is `false`.
    pub(super) fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.lock())
    }

    /// Whether the node has received a view since its start.
    pub(super) fn has_view(&self) -> bool {
        self.has_view.load(Ordering::Acquire)
    }

    /// The view that requests are routed by; empty until the node has received one.
    pub fn current_view(&self) -> Arc<ClusterView> {
        self.view()
    }

    /// Whether this node sees the endpoint as usable; `false` if the view does not contain it.
    pub fn is_usable(&self, endpoint: &str) -> bool {
        let links = self.links();
        let Some(link) = links.get(endpoint) else {
            return false;
        };
        let now = self.clock.now();
        let members = self.members.lock();
        members.member_state(endpoint, &link.record().host, now) == MemberState::Usable
    }

    /// Whether every agent that this node sends heartbeats to has confirmed the current view.
    pub fn all_agents_synced(&self) -> bool {
        let version = self.view().version;
        let links = self.links();
        let mut targets = links
            .values()
            .filter(|link| self.sends_heartbeats_to(link.endpoint()));
        targets.all(|link| link.view_version() >= version)
    }

    /// Links to the agents of the current view.
    pub(super) fn links(&self) -> Arc<Links> {
        Arc::clone(&self.links.lock())
    }

    /// Replaces the current view and links; `false` if `view` is not newer and not the first.
    pub(super) fn install_view(&self, view: ClusterView, links: Links) -> bool {
        let mut current = self.view.lock();
        let first = !self.has_view.swap(true, Ordering::AcqRel);
        if view.version <= current.version && !first {
            return false;
        }
        self.metrics
            .view_version
            .set(i64::try_from(view.version).unwrap_or(i64::MAX));
        *self.links.lock() = Arc::new(links);
        *current = Arc::new(view);
        drop(current);
        self.routes_changed.notify(usize::MAX);
        true
    }

    /// A request ID that is unique across all nodes and their restarts.
    pub(super) fn next_request_id(&self) -> RequestId {
        let number = self.next_request_number.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{number}", self.settings.name, self.boot_id)
    }

    /// A random number for load balancing and jitter.
    pub(super) fn random(&self) -> u64 {
        rand::random()
    }

    /// Adds a request to the retry budgets of the node and the service.
    pub(super) fn count_request(&self, service: &str) {
        self.retries.lock().record_request(service);
    }

    /// Takes a retry from both budgets; `false` if either is used up.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        self.retries.lock().try_take(service)
    }
}

/// Counts a request as running until dropped.
#[derive(Debug)]
pub(super) struct RunningGuard {
    node: Arc<Node>,
}

impl Node {
    /// Counts a new request, and counts it as running until the guard is dropped.
    pub(super) fn count_running(self: &Arc<Self>) -> RunningGuard {
        self.metrics.requests.inc();
        self.metrics.running.inc();
        RunningGuard {
            node: Arc::clone(self),
        }
    }

    /// Checks that requests can be served.
    ///
    /// # Errors
    /// The node has no configuration yet, or is stopping.
    pub(super) fn check_ready(&self) -> Result<(), Refusal> {
        if self.shutdown.has_begun() {
            let reason = "the node is stopping";
            return Err(
                Refusal::new(ResultCode::Draining, reason).with_retry_after(NOT_READY_RETRY_AFTER)
            );
        }
        if !self.has_view() {
            let reason = "the node has no configuration yet";
            return Err(
                Refusal::new(ResultCode::NotReady, reason).with_retry_after(NOT_READY_RETRY_AFTER)
            );
        }
        Ok(())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node.metrics.running.dec();
    }
}
