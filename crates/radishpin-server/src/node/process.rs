//! What lives as long as the node's process.

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
    clock::Clock, operator::StatusBoard, platform::platform_client, settings::NodeSettings,
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

/// Retries that a node may make beyond a tenth of its requests.
const NODE_RETRY_BURST: u32 = 50;
/// Retries that a service may cause beyond a tenth of its requests.
const SERVICE_RETRY_BURST: u32 = 20;

/// When a caller may come back, to this node or another.
const RETRY_ELSEWHERE: Duration = Duration::from_secs(1);

/// Links to agents by endpoint.
pub(super) type Links = BTreeMap<EndpointId, Arc<AgentLink>>;

/// A node.
#[derive(Debug)]
pub struct Node {
    pub(super) settings: NodeSettings,
    pub(super) runtime: Runtime,
    pub(super) clock: Clock,
    pub(super) metrics: NodeMetrics,
    pub(super) shutdown: Shutdown,
    /// Client of the platform.
    pub(super) client: PlatformClient,
    view: Mutex<Arc<ClusterView>>,
    links: Mutex<Arc<Links>>,
    /// Links to other nodes.
    pub(super) peers: Vec<Arc<PeerLink>>,
    /// Notified when the view or what is known of an endpoint has changed.
    pub(super) routes_changed: Event,
    /// Notified when models want grants.
    pub(super) planning_requested: Event,
    /// Models that calls wait for without an endpoint that can serve them.
    pub(super) models_awaiting_endpoint: Mutex<BTreeSet<ModelId>>,
    /// Endpoints that refused to load a model for lack of memory, and when.
    pub(super) memory_refusals: Mutex<BTreeMap<(ModelId, EndpointId), Duration>>,
    /// Notified when the head row should be read at once.
    pub(super) view_poll_requested: Event,
    /// Notified when heartbeats should be sent at once.
    pub(super) heartbeats_requested: Event,
    /// What is known of hosts and endpoints.
    pub(super) members: Arc<Mutex<Membership>>,
    /// Hosts of nodes, by the host list.
    pub(super) node_hosts: Mutex<BTreeSet<HostId>>,
    pub(super) leases: Leases,
    pub(super) board: Arc<StatusBoard>,
    retries: Mutex<RetryBudgets>,
    has_view: AtomicBool,
    boot_id: u64,
    last_request: AtomicU64,
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
            last_request: AtomicU64::new(0),
            settings,
        }
    }

    /// The view in force.
    pub(super) fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.lock())
    }

    /// Whether a view is in force.
    pub(super) fn has_view(&self) -> bool {
        self.has_view.load(Ordering::Acquire)
    }

    /// The view in force.
    pub fn current_view(&self) -> Arc<ClusterView> {
        self.view()
    }

    /// Whether the endpoint gets new work, as far as this node knows.
    pub fn is_usable(&self, endpoint: &str) -> bool {
        let links = self.links();
        let Some(link) = links.get(endpoint) else {
            return false;
        };
        let now = self.clock.now();
        let members = self.members.lock();
        members.member_state(endpoint, &link.record().host, now) == MemberState::Usable
    }

    /// Whether every agent that this node sends heartbeats to has answered one under the view in
    /// force.
    pub fn all_agents_synced(&self) -> bool {
        let version = self.view().version;
        let links = self.links();
        let mut heard = links
            .values()
            .filter(|link| self.sends_heartbeats_to(link.endpoint()));
        heard.all(|link| link.view_version() >= version)
    }

    /// The links to agents.
    pub(super) fn links(&self) -> Arc<Links> {
        Arc::clone(&self.links.lock())
    }

    /// Puts a newer view and its links in force; `false` where it is not newer.
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

    /// An id that no other request of any node has.
    pub(super) fn next_request_id(&self) -> RequestId {
        let number = self.last_request.fetch_add(1, Ordering::Relaxed);
        format!("{}-{:016x}-{number}", self.settings.name, self.boot_id)
    }

    /// A random word for a decision.
    pub(super) fn random(&self) -> u64 {
        rand::random()
    }

    /// Counts a request in the retry budgets.
    pub(super) fn count_request(&self, service: &str) {
        self.retries.lock().record_request(service);
    }

    /// Takes a retry out of the budgets.
    pub(super) fn take_retry(&self, service: &str) -> bool {
        self.retries.lock().try_take(service)
    }
}

/// Counts a request while it is being served.
#[derive(Debug)]
pub(super) struct RunningGuard {
    node: Arc<Node>,
}

impl Node {
    /// Counts a request as running until the guard is dropped.
    pub(super) fn count_running(self: &Arc<Self>) -> RunningGuard {
        self.metrics.requests.inc();
        self.metrics.running.inc();
        RunningGuard {
            node: Arc::clone(self),
        }
    }

    /// Whether requests can be served.
    ///
    /// # Errors
    /// The node has no configuration yet, or is stopping.
    pub(super) fn check_ready(&self) -> Result<(), Refusal> {
        if self.shutdown.has_begun() {
            let reason = "the node is stopping";
            return Err(Refusal::new(ResultCode::Draining, reason).after(RETRY_ELSEWHERE));
        }
        if !self.has_view() {
            let reason = "the node has no configuration yet";
            return Err(Refusal::new(ResultCode::NotReady, reason).after(RETRY_ELSEWHERE));
        }
        Ok(())
    }
}

impl Drop for RunningGuard {
    fn drop(&mut self) {
        self.node.metrics.running.dec();
    }
}
