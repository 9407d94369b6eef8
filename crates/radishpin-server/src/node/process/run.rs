//! Starting and stopping a node.

use super::{Node, NodeError};
use crate::{
    node::connection::{CallersApi, PeerService},
    operator::{OperatorApi, OperatorContext, Table, ViewSource, operator_limits},
    rpc::serve_rpc,
    settings::NodeSettings,
};
use radishpin_http::{Server, Shutdown};
use radishpin_platform::{Platform, PlatformClient};
use radishpin_protocol::{prelude::*, wire::peer_server::PeerServer};
use radishpin_runtime::{Runtime, timeout};
use smol::{Task, net::TcpListener};
use std::{io, net::SocketAddr, sync::Arc, time::SystemTime};

/// Time for giving the leases back.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl Node {
    /// Starts a node; it serves until `shutdown` begins.
    ///
    /// # Errors
    /// A listening address cannot be taken.
    pub async fn start(
        settings: NodeSettings,
        runtime: Runtime,
        platform: Arc<dyn Platform>,
        shutdown: Shutdown,
    ) -> Result<RunningNode, NodeError> {
        let (callers, address) = listen(settings.listen).await?;
        let (operators, operator_address) = listen(settings.operator_listen).await?;
        let (peers, peer_address) = listen(settings.peer_listen).await?;
        let node = Arc::new(Self::new(settings, runtime.clone(), platform, shutdown));
        let client = node.client.clone();
        let tasks = vec![
            runtime.spawn(Arc::clone(&node).serve_peers(peers)),
            runtime.spawn(Arc::clone(&node).poll_peer_versions()),
            runtime.spawn(Arc::clone(&node).poll_views(client.clone())),
            runtime.spawn(Arc::clone(&node).poll_hosts(client.clone())),
            runtime.spawn(Arc::clone(&node).send_heartbeats()),
            runtime.spawn(Arc::clone(&node).maintain_leases(client.clone())),
            runtime.spawn(Arc::clone(&node).control_grants(client.clone())),
            runtime.spawn(Arc::clone(&node).sweep_rows(client.clone())),
        ];
        let servers = vec![
            runtime.spawn(Arc::clone(&node).serve_callers(callers)),
            runtime.spawn(Arc::clone(&node).serve_operators(operators, client.clone())),
        ];
        Ok(RunningNode {
            node,
            address,
            operator_address,
            peer_address,
            tasks,
            servers,
        })
    }

    async fn serve_callers(self: Arc<Self>, listener: TcpListener) -> io::Result<()> {
        let handler = Arc::new(CallersApi::new(Arc::clone(&self)));
        let limits = self.settings.limits;
        let shutdown = self.shutdown.clone();
        Server::serve(self.runtime.clone(), listener, handler, limits, shutdown).await
    }

    async fn serve_peers(self: Arc<Self>, listener: TcpListener) {
        let service = PeerServer::new(PeerService::new(Arc::clone(&self)));
        let shutdown = self.shutdown.clone();
        serve_rpc(self.runtime.clone(), listener, service, shutdown).await;
    }

    async fn serve_operators(
        self: Arc<Self>,
        listener: TcpListener,
        client: PlatformClient,
    ) -> io::Result<()> {
        let node = Arc::clone(&self);
        let view: ViewSource = Arc::new(move || node.view());
        let context = OperatorContext {
            node: self.settings.name.clone(),
            token: self.settings.token.clone(),
            view,
            table: Table::new(client),
            board: Arc::clone(&self.board),
            clock: SystemTime::now,
        };
        let handler =
            OperatorApi::new(context, &self.metrics.registry).map_err(io::Error::other)?;
        let shutdown = self.shutdown.clone();
        let limits = operator_limits();
        Server::serve(
            self.runtime.clone(),
            listener,
            Arc::new(handler),
            limits,
            shutdown,
        )
        .await
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), NodeError> {
    let failed = |cause| NodeError::Listen(address, cause);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let taken = listener.local_addr().map_err(failed)?;
    Ok((listener, taken))
}

/// A node that runs; dropping it stops it at once.
#[derive(Debug)]
pub struct RunningNode {
    /// The node.
    pub node: Arc<Node>,
    /// Address for callers.
    pub address: SocketAddr,
    /// Address for operators.
    pub operator_address: SocketAddr,
    /// Address for other nodes.
    pub peer_address: SocketAddr,
    tasks: Vec<Task<()>>,
    servers: Vec<Task<io::Result<()>>>,
}

impl RunningNode {
    /// Waits until the stop has begun and running requests have ended, or the time for them is
    /// over.
    pub async fn stopped(self) {
        self.node.shutdown.begun().await;
        let drain_timeout = self.node.settings.drain_timeout;
        let drained = async {
            for server in self.servers {
                if let Err(cause) = server.await {
                    log::error!(event = "listener_failed", cause:% = cause; "a listener failed");
                }
            }
        };
        if timeout(drain_timeout, drained).await.is_none() {
            log::warn!(event = "drain_timeout"; "requests still ran when their time was over");
        }
        for task in self.tasks {
            task.cancel().await;
        }
        timeout(
            LEASE_RELEASE_TIMEOUT,
            self.node.release_leases(&self.node.client),
        )
        .await;
    }
}
