//! Versions and views of other nodes; a starting node takes its first view from one of them if the
//! platform cannot be read.

use crate::node::{
    Node,
    connection::{PeerError, PeerLink},
};
use radishpin_core::version::{StartDecision, decide_start};
use radishpin_protocol::{prelude::*, wire::FetchViewReply};
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// Mean time between two rounds of asking peers for their versions.
const PEER_POLL_INTERVAL: Duration = Duration::from_secs(5);
/// Largest number of peers asked in one round; the next round continues with the others.
const PEERS_PER_ROUND: usize = 32;

/// Versions that peers returned in one round.
#[derive(Debug, Default)]
struct PeerVersions {
    /// Version of each peer that is not known to be down; `None` if it did not answer.
    versions: BTreeMap<SocketAddr, Option<Version>>,
    /// Newest version that an agent has reported to any of the peers; an older view must not be
    /// applied.
    newest_agent_version: Version,
}

impl Node {
    /// Applies a peer's view as the first one if the answers of all peers allow it.
    ///
    /// See [`decide_start`] for the rule. Otherwise the node stays without a view.
    pub(super) async fn start_from_peers(self: &Arc<Self>) {
        let peer_versions = self.query_peers(self.peers.iter()).await;
        let StartDecision::FromPeer(address) = decide_start(
            false,
            &peer_versions.versions,
            peer_versions.newest_agent_version,
        ) else {
            peer_versions.log_start_delay();
            return;
        };
        let Some(peer) = self.peers.iter().find(|peer| peer.address() == address) else {
            return;
        };
        match peer.fetch_view().await {
            // The version may have grown since the query, or fallen if the peer has restarted.
            Ok(view) if peer_versions.permits_start_from(address, view.version) => {
                log::info!(event = "view_from_peer", peer:% = address, version = view.version;
                    "cannot read the platform; configuration taken from a peer");
                self.apply_view(&view);
            }
            Ok(_) => {}
            Err(cause) => log_failure(peer, &cause),
        }
    }

    /// Polls the peers' versions for the status report until the process ends.
    pub(in crate::node) async fn poll_peer_versions(self: Arc<Self>) {
        let mut first = 0;
        loop {
            let round = self.peers.iter().cycle().skip(first);
            let count = self.peers.len().min(PEERS_PER_ROUND);
            self.query_peers(round.take(count)).await;
            first = (first + count).checked_rem(self.peers.len()).unwrap_or(0);
            Runtime::sleep(PEER_POLL_INTERVAL.mul_f64(0.75 + self.client.random() / 2.0)).await;
        }
    }

    /// Newest version that an agent has reported to this node as applied.
    pub(in crate::node) fn agents_version(&self) -> Version {
        let links = self.links();
        let versions = links.values().map(|link| link.view_version());
        versions.max().unwrap_or_default()
    }

    async fn query_peers(&self, peers: impl Iterator<Item = &Arc<PeerLink>>) -> PeerVersions {
        let query = |peer: &Arc<PeerLink>| {
            let peer = Arc::clone(peer);
            self.runtime.spawn(async move {
                let reply = peer.fetch_versions().await;
                (peer, reply)
            })
        };
        let queries: Vec<_> = peers.map(query).collect();
        let mut peer_versions = PeerVersions::default();
        for answer in queries {
            let (peer, reply) = answer.await;
            if let Ok(reply) = &reply {
                self.record_peer(reply);
            }
            peer_versions.record(&peer, reply);
        }
        peer_versions
    }

    fn record_peer(&self, reply: &FetchViewReply) {
        // All nodes may be configured with the same list of peers, which then includes this node.
        if reply.node != self.settings.name {
            let node = reply.node.clone();
            self.board
                .record_node_version(node, reply.version, Instant::now());
        }
    }
}

impl PeerVersions {
    fn record(&mut self, peer: &PeerLink, reply: Result<FetchViewReply, PeerError>) {
        let version = match reply {
            Ok(reply) => {
                self.newest_agent_version = self.newest_agent_version.max(reply.agents_version);
                Some(reply.version)
            }
            Err(PeerError::ConnectionRefused) => return,
            Err(cause) => {
                log_failure(peer, &cause);
                None
            }
        };
        self.versions.insert(peer.address(), version);
    }

    /// Logs why the node is not ready.
    fn log_start_delay(&self) {
        let silent = self.versions.values().filter(|v| v.is_none()).count();
        let newest = self.versions.values().flatten().max().copied();
        log::warn!(
            event = "start_waits",
            peers_up = self.versions.len(),
            peers_silent = silent,
            newest_version = newest.unwrap_or_default(),
            agents_version = self.newest_agent_version;
            "not ready: cannot read the platform, and no peer's configuration is safe to use"
        );
    }

    /// Whether the node may still start from the chosen peer, given the version of the view it sent.
    fn permits_start_from(&self, chosen: SocketAddr, version: Version) -> bool {
        let mut versions = self.versions.clone();
        versions.insert(chosen, Some(version));
        decide_start(false, &versions, self.newest_agent_version) == StartDecision::FromPeer(chosen)
    }
}

fn log_failure(peer: &PeerLink, cause: &PeerError) {
    log::debug!(event = "peer_failed", peer:% = peer.address(), cause:% = cause;
        "cannot get a peer's version or view");
}
