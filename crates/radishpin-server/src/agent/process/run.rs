//! Start, drain and stop of an agent.

use super::{Agent, AgentError};
use crate::{
    agent::connection::{AgentService, StatusApi},
    platform::platform_client,
    rpc::serve_rpc,
    settings::AgentSettings,
};
use radishpin_http::{Server, Shutdown};
use radishpin_platform::Platform;
use radishpin_protocol::{prelude::*, wire::agent_server::AgentServer};
use radishpin_runtime::{Runtime, timeout};
use smol::{Task, net::TcpListener};
use std::{net::SocketAddr, sync::Arc};

/// Maximum size of a message from a node.
const MESSAGE_BYTES_MAX: usize = 64 * 1024 * 1024;
/// Interval at which the drain checks whether running calls have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(10);

impl Agent {
    /// Binds the listening address, which fails while an earlier agent still runs, then registers
    /// the endpoint and serves until `shutdown` begins.
    ///
    /// # Errors
    /// A listening address cannot be bound.
    pub async fn start(
        settings: AgentSettings,
        runtime: Runtime,
        platform: Arc<dyn Platform>,
        shutdown: Shutdown,
    ) -> Result<RunningAgent, AgentError> {
        let (listener, address) = listen(settings.listen).await?;
        let metrics = match settings.metrics_listen {
            Some(address) => Some(listen(address).await?),
            None => None,
        };
        let agent = Arc::new(Self::new(settings, runtime.clone(), shutdown.clone()));
        let client = platform_client(platform, &agent.metrics.registry);
        let service = AgentServer::new(AgentService::new(Arc::clone(&agent)))
            .max_decoding_message_size(MESSAGE_BYTES_MAX);
        let mut tasks = vec![
            runtime.spawn(serve_rpc(runtime.clone(), listener, service, shutdown)),
            runtime.spawn(Arc::clone(&agent).poll_reports()),
            runtime.spawn(Arc::clone(&agent).run_housekeeping()),
        ];
        let mut metrics_address = None;
        if let Some((listener, address)) = metrics {
            metrics_address = Some(address);
            tasks.push(runtime.spawn(Arc::clone(&agent).serve_status(listener)));
        }
        let registering_agent = Arc::clone(&agent);
        let registration = runtime.spawn(async move {
            registering_agent
                .register(&client, &address.to_string())
                .await
        });
        Ok(RunningAgent {
            agent,
            address,
            metrics_address,
            tasks,
            registration,
        })
    }

    /// Serves metrics, health and readiness until the task is cancelled, so that calls that end
    /// while the agent drains are still visible.
    async fn serve_status(self: Arc<Self>, listener: TcpListener) {
        let runtime = self.runtime.clone();
        let handler = Arc::new(StatusApi::new(self));
        let limits = StatusApi::limits();
        let result = Server::serve(runtime, listener, handler, limits, Shutdown::default()).await;
        if let Err(cause) = result {
            log::error!(event = "listener_failed", cause:% = cause; "the metrics listener failed");
        }
    }
}

async fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), AgentError> {
    let failed = |cause| AgentError::Listen(address, cause);
    let listener = TcpListener::bind(address).await.map_err(failed)?;
    let bound_address = listener.local_addr().map_err(failed)?;
    Ok((listener, bound_address))
}

/// A running agent; dropping it stops the agent without draining.
#[derive(Debug)]
pub struct RunningAgent {
    /// Shared with the agent's tasks.
    pub agent: Arc<Agent>,
    /// Bound address of the listener for nodes.
    pub address: SocketAddr,
    /// Bound address of the status API; `None` if it is not configured.
    pub metrics_address: Option<SocketAddr>,
    tasks: Vec<Task<()>>,
    registration: Task<()>,
}

impl RunningAgent {
    /// Waits for the shutdown to begin, then drains running calls for at most the drain timeout and
    /// stops all tasks.
    pub async fn stopped(self) {
        let agent = &self.agent;
        agent.shutdown.begun().await;
        agent.slots.clear_queue();
        let idle = async {
            while !agent.slots.is_idle() {
                Runtime::sleep(DRAIN_POLL_INTERVAL).await;
            }
        };
        if timeout(agent.settings.drain_timeout, idle).await.is_none() {
            log::warn!(event = "drain_timeout";
                "calls were still running when the drain timeout passed");
        }
        for task in self.tasks {
            task.cancel().await;
        }
        self.registration.cancel().await;
    }
}
