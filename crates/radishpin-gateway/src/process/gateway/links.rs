//! Links to the sidecars of the listed engines.

use super::Gateway;
use crate::connection::{SharedJob, run_link, run_shared_link};
use futures_lite::future;
use radishpin_core::process::choose_holders;
use radishpin_protocol::prelude::*;
use smol::Task;
use std::{net::SocketAddr, sync::Arc};

/// Most requests about shared state that wait for one sidecar.
const SHARED_JOBS_MAX: usize = 256;

/// A task that exchanges reports, statuses and shared state with a sidecar; it is cancelled when this
/// is dropped.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) sidecar: SocketAddr,
    pub(super) shared: async_channel::Sender<SharedJob>,
    _task: Task<()>,
}

impl Link {
    fn start(gateway: &Arc<Gateway>, endpoint: EndpointId, sidecar: SocketAddr) -> Self {
        let (shared, jobs) = async_channel::bounded(SHARED_JOBS_MAX);
        let statuses = run_link(Arc::clone(gateway), endpoint, sidecar);
        let sharing = run_shared_link(gateway.runtime.clone(), sidecar, jobs);
        let task = async {
            future::zip(statuses, sharing).await;
        };
        Self {
            sidecar,
            shared,
            _task: gateway.runtime.spawn(task),
        }
    }
}

impl Gateway {
    /// Opens links to the sidecars of new engines, and closes those of engines that were removed or
    /// have another address.
    pub(super) fn update_links(self: &Arc<Self>) {
        let port = self.settings.lock().internal_port;
        let fleet = self.fleet.lock();
        let engines = fleet.engines();
        let sidecars: BTreeMap<EndpointId, SocketAddr> = engines
            .map(|(id, entry)| (id.clone(), SocketAddr::new(entry.address.ip(), port)))
            .collect();
        drop(fleet);
        let mut links = self.links.lock();
        links.retain(|id, link| sidecars.get(id) == Some(&link.sidecar));
        self.demand_events
            .lock()
            .retain(|id, _| sidecars.contains_key(id));
        for (id, sidecar) in sidecars {
            let start = || Link::start(self, id.clone(), sidecar);
            links.entry(id.clone()).or_insert_with(start);
        }
    }

    /// The holders of the fact with this key, each with the queue of requests to it, the first one
    /// first.
    pub(super) fn holders(
        &self,
        key: &str,
        count: usize,
    ) -> Vec<(SocketAddr, async_channel::Sender<SharedJob>)> {
        let links = self.links.lock();
        let sidecars = links.values().map(|link| (link.sidecar, link));
        let holders = choose_holders(key, sidecars, count).into_iter();
        holders
            .map(|link| (link.sidecar, link.shared.clone()))
            .collect()
    }
}
