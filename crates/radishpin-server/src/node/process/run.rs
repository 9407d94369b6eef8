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

/// Longest time for releasing the leases on shutdown.
const LEASE_RELEASE_TIMEOUT: Duration = Duration::from_secs(1);

impl Node {
    /// Starts a node; it serves until `shutdown` begins.
    ///
    /// # Errors
    /// A listening address is in use or does not belong to this host.
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
            status_cache: Arc::clone(&self.board),
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
    let bound_address = listener.local_addr().map_err(failed)?;
    Ok((listener, bound_address))
}

/// A running node; dropping it stops the node immediately.
#[derive(Debug)]
pub struct RunningNode {
    /// State of the node, for tests and tools that run it in the same process.
    pub node: Arc<Node>,
    /// Bound address of the callers' listener.
    pub address: SocketAddr,
    /// Bound address of the operators' listener.
    pub operator_address: SocketAddr,
    /// Bound address of the listener for other nodes.
    pub peer_address: SocketAddr,
    tasks: Vec<Task<()>>,
    servers: Vec<Task<io::Result<()>>>,
}

impl RunningNode {
    /// Waits until shutdown begins, drains running requests within the drain timeout, and releases
    /// the leases.
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
            log::warn!(event = "drain_timeout";
                "requests still running at the end of the drain timeout");
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
