//! Links to the sidecars of the listed engines.

use super::Gateway;
use crate::connection::{OriginJob, run_link, run_origin_link};
use futures_lite::future;
use radishpin_protocol::prelude::*;
use smol::Task;
use std::{net::SocketAddr, sync::Arc};

/// Most requests about origins of streams that wait for one sidecar.
const ORIGIN_JOBS_MAX: usize = 256;

/// A task that exchanges reports, statuses and origins of streams with a sidecar; it is cancelled
/// when this is dropped.
#[derive(Debug)]
pub(super) struct Link {
    pub(super) sidecar: SocketAddr,
    pub(super) origins: async_channel::Sender<OriginJob>,
    _task: Task<()>,
}

impl Link {
    fn start(gateway: &Arc<Gateway>, endpoint: EndpointId, sidecar: SocketAddr) -> Self {
        let (origins, jobs) = async_channel::bounded(ORIGIN_JOBS_MAX);
        let statuses = run_link(Arc::clone(gateway), endpoint, sidecar);
        let copies = run_origin_link(gateway.runtime.clone(), sidecar, jobs);
        let task = async {
            future::zip(statuses, copies).await;
        };
        Self {
            sidecar,
            origins,
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
}
