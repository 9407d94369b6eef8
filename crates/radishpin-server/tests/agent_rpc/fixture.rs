//! One agent with a stand-in endpoint, and helpers to call it.

use radishpin_http::Shutdown;
use radishpin_protocol::{
    ServiceKind,
    prelude::*,
    wire::{ExecuteReply, ExecuteRequest, agent_client::AgentClient, execute_reply::Frame},
};
use radishpin_runtime::Runtime;
use radishpin_server::{Agent, AgentSettings, Channel, Fencing, RunningAgent, Token};
use radishpin_standin::{
    Engine, EngineSettings, Journal, MemoryPlatform, PlainService, PlainServiceSettings,
    WeightStore, WeightStoreSettings,
};
use smol::{Task, net::TcpListener};
use std::{
    fmt, io,
    net::{Ipv4Addr, SocketAddr},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};
use tonic::Status;

pub const TOKEN: &str = "internal-token-of-tests";
const MEMORY_MB: SizeMb = 24_000;
/// Timeout for conditions that must hold eventually; it only keeps a failing test from hanging.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// A registered agent and its endpoint; dropping it stops both.
pub struct Fixture {
    pub runtime: Runtime,
    pub running: RunningAgent,
    pub journal: Journal,
    next_id: AtomicU64,
    _standin: Task<io::Result<()>>,
}

impl Fixture {
    /// Starts an agent with a plain service.
    pub fn plain() -> Self {
        let service = PlainService::new(PlainServiceSettings {
            name: "booking".to_owned(),
            service_time: Duration::ZERO,
        });
        let journal = service.journal().clone();
        Self::start(ServiceKind::Plain, 0, journal, |runtime, listener| {
            let service_runtime = runtime.clone();
            runtime.spawn(async move {
                service
                    .serve(service_runtime, listener, Shutdown::default())
                    .await
            })
        })
    }

    /// Starts an agent with a model engine.
    pub fn engine() -> Self {
        let settings = EngineSettings {
            memory_mb: MEMORY_MB,
            first_token: Duration::from_millis(1),
            token: Duration::from_millis(1),
            ..EngineSettings::default()
        };
        let store = WeightStore::new(WeightStoreSettings {
            model_load: Duration::from_millis(5),
            ..WeightStoreSettings::default()
        });
        let engine = Engine::new(settings, store, 5);
        let journal = engine.journal().clone();
        Self::start(
            ServiceKind::Models,
            MEMORY_MB,
            journal,
            |runtime, listener| {
                let service_runtime = runtime.clone();
                runtime.spawn(async move {
                    engine
                        .serve(service_runtime, listener, Shutdown::default())
                        .await
                })
            },
        )
    }

    fn start(
        kind: ServiceKind,
        memory_mb: SizeMb,
        journal: Journal,
        serve: impl FnOnce(&Runtime, TcpListener) -> Task<io::Result<()>>,
    ) -> Self {
        let runtime = Runtime::start(2).unwrap();
        smol::block_on(async {
            let listener = TcpListener::bind(loopback()).await.unwrap();
            let settings = settings(kind, memory_mb, listener.local_addr().unwrap());
            let standin = serve(&runtime, listener);
            let platform = Arc::new(MemoryPlatform::new(5));
            let stop = Shutdown::default();
            let running = Agent::start(settings, runtime.clone(), platform, stop)
                .await
                .unwrap();
            let fixture = Self {
                runtime,
                running,
                journal,
                next_id: AtomicU64::new(1),
                _standin: standin,
            };
            fixture.wait_until(|agent| agent.incarnation() > 0).await;
            fixture
        })
    }

    /// Waits until the condition holds; panics after the timeout.
    pub async fn wait_until(&self, mut holds: impl FnMut(&Agent) -> bool) {
        let wait = async {
            while !holds(&self.running.agent) {
                Runtime::sleep(Duration::from_millis(5)).await;
            }
        };
        assert!(
            radishpin_runtime::timeout(WAIT_TIMEOUT, wait)
                .await
                .is_some()
        );
    }

    /// A connection with the internal token, as a node uses it.
    pub fn channel(&self) -> Channel {
        let token = Token::new(TOKEN).unwrap();
        Channel::new(self.runtime.clone(), self.running.address, &token)
    }

    /// A connection whose calls carry no token.
    pub fn channel_without_token(&self) -> Channel {
        Channel::without_token(self.runtime.clone(), self.running.address)
    }

    /// A request ID that no earlier call has used.
    pub fn unique_id(&self) -> String {
        format!("id-{}", self.next_id.fetch_add(1, Ordering::Relaxed))
    }

    /// An attempt that the plain service accepts.
    pub fn valid_attempt(&self) -> ExecuteRequest {
        ExecuteRequest {
            request_id: self.unique_id(),
            attempt: 1,
            service: "booking".to_owned(),
            method: "POST".to_owned(),
            path: "/appointments".to_owned(),
            body: b"nine".to_vec(),
            remaining_ms: 60_000,
            incarnation: self.running.agent.incarnation(),
            ..ExecuteRequest::default()
        }
    }

    /// Runs an attempt over a node's connection and waits for its end.
    pub async fn execute(&self, request: ExecuteRequest) -> Result<AttemptResult, Status> {
        execute_over(self.channel(), request).await
    }

    /// Asserts that a valid attempt succeeds and runs exactly once.
    pub async fn assert_serves(&self) {
        let request = self.valid_attempt();
        let id = request.request_id.clone();
        let result = self.execute(request).await.unwrap();
        assert!(matches!(result, AttemptResult::Answered(200)), "{result:?}");
        assert_eq!(self.journal.runs_of(&id).len(), 1);
    }
}

/// Result of an attempt, as seen by a node.
#[derive(Debug)]
pub enum AttemptResult {
    /// The response is complete and has this status.
    Answered(u32),
    /// Refused with this code; `not_run` if the agent guarantees that the attempt never runs.
    Refused { code: ResultCode, not_run: bool },
    /// The stream ended without an end frame or a refusal.
    Truncated,
}

impl fmt::Display for AttemptResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered(status) => write!(f, "answered {status}"),
            Self::Refused { code, not_run } => write!(f, "{code:?} not_run={not_run}"),
            Self::Truncated => f.write_str("truncated"),
        }
    }
}

/// Runs an attempt over the given connection and waits for its end.
pub async fn execute_over(
    channel: Channel,
    request: ExecuteRequest,
) -> Result<AttemptResult, Status> {
    let mut client = AgentClient::new(channel);
    let mut frames = client.execute(request).await?.into_inner();
    let mut status = 0;
    while let Some(ExecuteReply { frame, .. }) = frames.message().await? {
        match frame {
            Some(Frame::Head(head)) => status = head.status,
            Some(Frame::End(_)) => return Ok(AttemptResult::Answered(status)),
            Some(Frame::Refusal(refusal)) => {
                return Ok(AttemptResult::Refused {
                    code: ResultCode::from_number(refusal.code).unwrap(),
                    not_run: refusal.not_run,
                });
            }
            Some(Frame::Started(_) | Frame::Chunk(_)) | None => {}
        }
    }
    Ok(AttemptResult::Truncated)
}

fn settings(kind: ServiceKind, memory_mb: SizeMb, endpoint: SocketAddr) -> AgentSettings {
    AgentSettings {
        name: "endpoint-1".to_owned(),
        availability_zone: "gondar".to_owned(),
        host: "host-1".to_owned(),
        listen: loopback(),
        metrics_listen: None,
        endpoint,
        service: "booking".to_owned(),
        kind,
        memory_mb,
        concurrency: 4,
        fencing: Fencing::Checked,
        platform: loopback(),
        internal_token: Token::new(TOKEN).unwrap(),
        threads: 2,
        queue_places: 16,
        order_life: Duration::from_secs(10),
        drain_timeout: Duration::from_secs(1),
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
