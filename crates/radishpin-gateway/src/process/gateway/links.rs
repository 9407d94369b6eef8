//! Links to the sidecars of the listed engines.

use super::Gateway;
use crate::connection::{SharedJob, run_demand_link, run_link, run_relay_link, run_shared_link};
use futures_lite::future;
use parking_lot::Mutex;
use radishpin_core::process::{
    DIRECT_LINKS_AGAIN, DIRECT_LINKS_MAX, Group, GroupKey, StatusLoad, choose_holders, groups,
};
use radishpin_protocol::{engine::stable_hash, prelude::*};
use smol::Task;
use std::{net::SocketAddr, sync::Arc};

/// Most requests about shared state that wait for one sidecar.
const SHARED_JOBS_MAX: usize = 256;

/// How a gateway gets the statuses of engines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Following {
    /// It follows each sidecar itself.
    Direct,
    /// It follows a relay of each group of engines.
    Relays,
}

/// Links to sidecars, and to the relays of their groups.
#[derive(Debug)]
pub(super) struct Links {
    following: Following,
    sidecars: BTreeMap<EndpointId, Link>,
    groups: BTreeMap<GroupKey, GroupLink>,
}

impl Default for Links {
    fn default() -> Self {
        Self {
            following: Following::Direct,
            sidecars: BTreeMap::new(),
            groups: BTreeMap::new(),
        }
    }
}

/// A task that sends demand to a sidecar, exchanges shared state with it and, without a relay, reports and
/// statuses; it is cancelled when this is dropped.
#[derive(Debug)]
struct Link {
    sidecar: SocketAddr,
    shared: async_channel::Sender<SharedJob>,
    _task: Task<()>,
}

impl Link {
    fn start(
        gateway: &Arc<Gateway>,
        endpoint: EndpointId,
        sidecar: SocketAddr,
        following: Following,
    ) -> Self {
        let (shared, jobs) = async_channel::bounded(SHARED_JOBS_MAX);
        let link_gateway = Arc::clone(gateway);
        let statuses = async move {
            match following {
                Following::Direct => run_link(link_gateway, endpoint, sidecar).await,
                Following::Relays => run_demand_link(link_gateway, endpoint, sidecar).await,
            }
        };
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

/// A task that follows the relay of a group; it is cancelled when this is dropped.
#[derive(Debug)]
struct GroupLink {
    group: Arc<Mutex<Group>>,
    _task: Task<()>,
}

impl GroupLink {
    fn start(gateway: &Arc<Gateway>, group: Group) -> Self {
        let group = Arc::new(Mutex::new(group));
        let following = run_relay_link(Arc::clone(gateway), Arc::clone(&group));
        Self {
            group,
            _task: gateway.runtime.spawn(following),
        }
    }
}

impl Links {
    /// Chooses how to follow this number of engines; links of the other kind end.
    fn choose_following(&mut self, engines: usize) {
        let following = match self.following {
            Following::Direct if engines > DIRECT_LINKS_MAX => Following::Relays,
            Following::Relays if engines <= DIRECT_LINKS_AGAIN => Following::Direct,
            unchanged => unchanged,
        };
        if following != self.following {
            log::info!(event = "following_changed", relays = following == Following::Relays, engines = engines; "sidecars are followed in another way");
            self.following = following;
            self.sidecars.clear();
            self.groups.clear();
        }
    }

    fn update_groups(&mut self, gateway: &Arc<Gateway>, groups: BTreeMap<GroupKey, Group>) {
        self.groups.retain(|key, _| groups.contains_key(key));
        for (key, group) in groups {
            match self.groups.get(&key) {
                Some(link) => *link.group.lock() = group,
                None => {
                    self.groups.insert(key, GroupLink::start(gateway, group));
                }
            }
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
        let groups = groups(fleet.engines(), port);
        drop(fleet);
        let addresses = sidecars.values().copied().collect();
        let mut links = self.links.lock();
        links.choose_following(sidecars.len());
        match links.following {
            Following::Direct => links.groups.clear(),
            Following::Relays => links.update_groups(self, groups),
        }
        links
            .sidecars
            .retain(|id, link| sidecars.get(id) == Some(&link.sidecar));
        self.demand_events
            .lock()
            .retain(|id, _| sidecars.contains_key(id));
        let following = links.following;
        for (id, sidecar) in sidecars {
            let start = || Link::start(self, id.clone(), sidecar, following);
            links.sidecars.entry(id.clone()).or_insert_with(start);
        }
        drop(links);
        self.announce_quotas(addresses);
    }

    /// Number by which gateways spread over the relays of a group.
    pub(crate) fn relay_preference(&self) -> usize {
        stable_hash(self.settings.lock().host.as_bytes()) as usize
    }

    pub(crate) fn record_status_load(&self, endpoint: &str, load: StatusLoad) {
        let now = self.clock.now();
        self.fleet.lock().update_status_load(endpoint, load, now);
    }

    pub(crate) fn seen_status(&self, endpoint: &str) -> (Incarnation, u64) {
        self.fleet.lock().seen_status(endpoint)
    }

    pub(crate) fn has_waiting_callers(&self, endpoint: &str) -> bool {
        self.fleet.lock().has_waiting_callers(endpoint)
    }

    pub(crate) fn has_leaving_model(&self, endpoint: &str) -> bool {
        self.fleet.lock().has_leaving_model(endpoint)
    }

    /// The queue of requests to a sidecar; `None` if it is not listed.
    pub(super) fn shared_link(
        &self,
        sidecar: SocketAddr,
    ) -> Option<async_channel::Sender<SharedJob>> {
        let links = self.links.lock();
        let mut all = links.sidecars.values();
        let link = all.find(|link| link.sidecar == sidecar)?;
        Some(link.shared.clone())
    }

    /// The holders of the fact with this key, each with the queue of requests to it, the first one
    /// first.
    pub(super) fn holders(
        &self,
        key: &str,
        count: usize,
    ) -> Vec<(SocketAddr, async_channel::Sender<SharedJob>)> {
        let links = self.links.lock();
        let sidecars = links.sidecars.values().map(|link| (link.sidecar, link));
        let holders = choose_holders(key, sidecars, count).into_iter();
        holders
            .map(|link| (link.sidecar, link.shared.clone()))
            .collect()
    }
}
