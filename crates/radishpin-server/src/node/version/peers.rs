//! Views and versions from other nodes: the first view where the platform cannot be read.

use crate::node::{
    Node,
    connection::{PeerError, PeerLink},
};
use radishpin_core::version::{StartDecision, decide_start};
use radishpin_protocol::{prelude::*, wire::FetchViewReply};
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// Time between two rounds of asking peers for their versions.
const HEAR_INTERVAL: Duration = Duration::from_secs(5);
/// Peers asked in one round; the next round goes on with the others.
const PEERS_PER_ROUND: usize = 32;

/// What the peers told a starting node.
#[derive(Debug, Default)]
struct Heard {
    /// Version of each peer that is not down; `None` where it did not answer.
    versions: BTreeMap<SocketAddr, Option<Version>>,
    /// Newest version that an agent has in force.
    floor: Version,
}

impl Node {
    /// Takes the first view from the peers if they let it; otherwise nothing changes.
    pub(super) async fn start_from_peers(self: &Arc<Self>) {
        let heard = self.ask_peers(self.peers.iter()).await;
        let StartDecision::FromPeer(address) = decide_start(false, &heard.versions, heard.floor)
        else {
            heard.log_wait();
            return;
        };
        let Some(peer) = self.peers.iter().find(|peer| peer.address() == address) else {
            return;
        };
        match peer.view().await {
            // Versions only grow at a peer, unless another life of it answers now.
            Ok(view) if heard.allows(address, view.version) => {
                log::info!(event = "view_from_peer", peer:% = address, version = view.version;
                    "the platform cannot be read; configuration taken from a peer");
                self.apply_view(&view);
            }
            Ok(_) => {}
            Err(cause) => log_failure(peer, &cause),
        }
    }

    /// Asks peers for their versions, for the status report, until the process ends.
    pub(in crate::node) async fn poll_peer_versions(self: Arc<Self>) {
        let mut first = 0;
        loop {
            let round = self.peers.iter().cycle().skip(first);
            let count = self.peers.len().min(PEERS_PER_ROUND);
            self.ask_peers(round.take(count)).await;
            first = (first + count).checked_rem(self.peers.len()).unwrap_or(0);
            Runtime::sleep(HEAR_INTERVAL.mul_f64(0.75 + self.client.random() / 2.0)).await;
        }
    }

    /// Newest version that an agent told this node to have in force.
    pub(in crate::node) fn agents_version(&self) -> Version {
        let links = self.links();
        let versions = links.values().map(|link| link.view_version());
        versions.max().unwrap_or_default()
    }

    async fn ask_peers(&self, peers: impl Iterator<Item = &Arc<PeerLink>>) -> Heard {
        let ask = |peer: &Arc<PeerLink>| {
            let peer = Arc::clone(peer);
            self.runtime.spawn(async move {
                let reply = peer.versions().await;
                (peer, reply)
            })
        };
        let asked: Vec<_> = peers.map(ask).collect();
        let mut heard = Heard::default();
        for answer in asked {
            let (peer, reply) = answer.await;
            if let Ok(reply) = &reply {
                self.note_peer(reply);
            }
            heard.note(&peer, reply);
        }
        heard
    }

    fn note_peer(&self, reply: &FetchViewReply) {
        // The list of peers may be the same at every node, and name this one.
        if reply.node != self.settings.name {
            let node = reply.node.clone();
            self.board.heard_node(node, reply.version, Instant::now());
        }
    }
}

impl Heard {
    fn note(&mut self, peer: &PeerLink, reply: Result<FetchViewReply, PeerError>) {
        let version = match reply {
            Ok(reply) => {
                self.floor = self.floor.max(reply.agents_version);
                Some(reply.version)
            }
            Err(PeerError::Down) => return,
            Err(cause) => {
                log_failure(peer, &cause);
                None
            }
        };
        self.versions.insert(peer.address(), version);
    }

    /// Tells operators why the node is not ready.
    fn log_wait(&self) {
        let silent = self.versions.values().filter(|v| v.is_none()).count();
        let newest = self.versions.values().flatten().max().copied();
        log::warn!(
            event = "start_waits",
            peers_up = self.versions.len(),
            peers_silent = silent,
            newest_version = newest.unwrap_or_default(),
            agents_version = self.floor;
            "the platform cannot be read, and no peer's configuration may be taken"
        );
    }

    /// Whether the rule holds for the version that the chosen peer sent in the end.
    fn allows(&self, chosen: SocketAddr, version: Version) -> bool {
        let mut versions = self.versions.clone();
        versions.insert(chosen, Some(version));
        decide_start(false, &versions, self.floor) == StartDecision::FromPeer(chosen)
    }
}

fn log_failure(peer: &PeerLink, cause: &PeerError) {
    log::debug!(event = "peer_failed", peer:% = peer.address(), cause:% = cause;
        "a peer did not tell its view");
}
