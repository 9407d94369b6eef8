//! What lives as long as the node's process.

mod error;
mod metrics;
mod route;
mod run;

pub use error::NodeError;

use super::connection::AgentLink;
use crate::{clock::Clock, settings::NodeSettings};
use event_listener::Event;
use metrics::NodeMetrics;
use parking_lot::Mutex;
use radishpin_core::request::RetryBudgets;
use radishpin_http::Shutdown;
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
    view: Mutex<Arc<ClusterView>>,
    links: Mutex<Arc<Links>>,
    /// Notified when the view or what is known of an endpoint has changed.
    pub(super) routes_changed: Event,
    /// Notified when models want grants.
    pub(super) control_wanted: Event,
    /// Models that calls wait for without an endpoint that can serve them.
    pub(super) unmet: Mutex<BTreeSet<ModelId>>,
    retries: Mutex<RetryBudgets>,
    has_view: AtomicBool,
    boot_id: u64,
    last_request: AtomicU64,
}

impl Node {
    fn new(settings: NodeSettings, runtime: Runtime, shutdown: Shutdown) -> Self {
        Self {
            settings,
            runtime,
            clock: Clock::start(),
            metrics: NodeMetrics::new(),
            shutdown,
            view: Mutex::default(),
            links: Mutex::default(),
            routes_changed: Event::new(),
            control_wanted: Event::new(),
            unmet: Mutex::default(),
            retries: Mutex::new(RetryBudgets::new(NODE_RETRY_BURST, SERVICE_RETRY_BURST)),
            has_view: AtomicBool::new(false),
            boot_id: rand::random(),
            last_request: AtomicU64::new(0),
        }
    }

    /// The view in force.
    pub(super) fn view(&self) -> Arc<ClusterView> {
        Arc::clone(&self.view.lock())
    }

    /// The links to agents.
    pub(super) fn links(&self) -> Arc<Links> {
        Arc::clone(&self.links.lock())
    }

    /// Puts a newer view and its links in force; `false` where it is not newer.
    pub(super) fn put_view(&self, view: ClusterView, links: Links) -> bool {
        let mut current = self.view.lock();
        let first = !self.has_view.swap(true, Ordering::AcqRel);
        if view.version <= current.version && !first {
            return false;
        }
        self.metrics.view_version.set(i64::try_from(view.version).unwrap_or(i64::MAX));
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
