//! Starting, faulting and stopping an embedded system.

use crate::{
    ClusterPlan, EndpointPlan, LocalError,
    seed::{node_name, seed_platform},
};
use radishpin_http::{ServerLimits, Shutdown};
use radishpin_platform::Platform;
use radishpin_protocol::{ServiceKind, prelude::*};
use radishpin_runtime::{IsolatedRuntime, Runtime};
use radishpin_server::{
    Agent, AgentSettings, Node, NodeSettings, RunningAgent, RunningNode, Token,
};
use radishpin_standin::{Engine, MemoryPlatform, PlainService, PlainServiceSettings, WeightStore};
use smol::{Task, net::TcpListener};
use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
};

/// Token between nodes and agents of an embedded system.
const INTERNAL_TOKEN: &str = "local-internal-token";
/// Token of its operators.
const OPERATOR_TOKEN: &str = "local-operator-token";
/// Longest life of an order to a stand-in.
const ORDER_LIFE: Duration = Duration::from_secs(10);
/// Tasks of one node or agent that run at once.
const PARALLEL: usize = 4;
/// Time between two looks at whether the system is ready.
const READY_LOOK: Duration = Duration::from_millis(20);

/// Time between two looks at whether a killed predecessor has let its address go.
const RELEASE_LOOK: Duration = Duration::from_millis(10);
/// Looks before the address counts as held.
const RELEASE_LOOKS: u32 = 200;

/// A running embedded system; dropping it stops it at once.
#[derive(Debug)]
pub struct LocalCluster {
    /// What it was started from.
    pub plan: ClusterPlan,
    /// The executor of all its parts.
    pub runtime: Runtime,
    /// The stand-in platform.
    pub platform: MemoryPlatform,
    /// The stand-in weight store.
    pub weight_store: WeightStore,
    /// Nodes that run, by name.
    pub nodes: BTreeMap<NodeId, LocalNode>,
    /// Endpoints with their agents, by endpoint.
    pub agents: BTreeMap<EndpointId, LocalAgent>,
    /// Addresses for peers of all nodes that ever ran; a successor takes its predecessor's.
    peer_addresses: BTreeMap<NodeId, SocketAddr>,
    standin_stop: Shutdown,
    standins: Vec<Task<io::Result<()>>>,
}

/// An endpoint and its agent.
#[derive(Debug)]
pub struct LocalAgent {
    /// Settings of the agent, for starting a successor.
    pub settings: AgentSettings,
    /// The engine; `None` for a plain service.
    pub engine: Option<Engine>,
    /// The plain service; `None` for an engine.
    pub plain: Option<PlainService>,
    /// The agent, while it runs.
    pub running: Option<RunningAgent>,
    stop: Shutdown,
    process: Option<IsolatedRuntime>,
}

/// A node.
#[derive(Debug)]
pub struct LocalNode {
    /// The node.
    pub running: RunningNode,
    stop: Shutdown,
    process: IsolatedRuntime,
}

impl LocalAgent {
    /// Asks the agent to stop without waiting for its end: it refuses new work from now on.
    pub fn begin_stop(&self) {
        self.stop.begin();
    }
}

impl LocalCluster {
    /// Starts stand-ins, agents and nodes.
    ///
    /// # Errors
    /// An address cannot be taken, or the plan cannot be written as records.
    pub async fn start(plan: ClusterPlan, runtime: Runtime) -> Result<Self, LocalError> {
        let platform = MemoryPlatform::new(plan.seed);
        seed_platform(&platform, &plan)?;
        let weight_store = WeightStore::new(plan.weight_store);
        let mut cluster = Self {
            runtime,
            platform,
            weight_store,
            nodes: BTreeMap::new(),
            agents: BTreeMap::new(),
            peer_addresses: BTreeMap::new(),
            standin_stop: Shutdown::default(),
            standins: Vec::new(),
            plan,
        };
        for (name, endpoint) in cluster.plan.endpoints.clone() {
            cluster.add_endpoint(&name, &endpoint).await?;
        }
        for index in 0..cluster.plan.nodes.len() {
            cluster.start_node(index).await?;
        }
        Ok(cluster)
    }

    /// Waits until every node has the same view with a grant for every model that may have one
    /// and a word from every agent.
    pub async fn ready(&self) {
        while !self.is_ready() {
            Runtime::sleep(READY_LOOK).await;
        }
    }

    /// Addresses for callers, in order of the nodes' names.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.nodes
            .values()
            .map(|node| node.running.address)
            .collect()
    }

    /// Token that the operators' API asks for.
    pub const fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Starts the node with this index in the plan.
    ///
    /// # Errors
    /// An address cannot be taken.
    pub async fn start_node(&mut self, index: usize) -> Result<(), LocalError> {
        let name = node_name(index);
        let listen = if index == 0 {
            self.plan.listen
        } else {
            loopback()
        };
        let known = self.peer_addresses.get(&name);
        let peer_listen = known.copied().unwrap_or_else(loopback);
        released(peer_listen).await;
        let others = self.peer_addresses.iter();
        let others = others
            .filter(|(other, _)| **other != name)
            .map(|(_, address)| *address);
        let settings = NodeSettings {
            name: name.clone(),
            availability_zone: self.plan.nodes[index].clone(),
            host: name.clone(),
            listen,
            operator_listen: loopback(),
            peer_listen,
            peers: others.collect(),
            platform: loopback(),
            token: Token::new(OPERATOR_TOKEN)?,
            internal_token: Token::new(INTERNAL_TOKEN)?,
            threads: 1,
            limits: ServerLimits::default(),
            drain_timeout: self.plan.drain_timeout,
            poll_interval: self.plan.poll_interval,
            stop_lead: self.plan.stop_lead,
        };
        let stop = Shutdown::default();
        let process = IsolatedRuntime::new(&self.runtime, PARALLEL);
        let running =
            Node::start(settings, process.handle(), self.platform(), stop.clone()).await?;
        self.peer_addresses
            .insert(name.clone(), running.peer_address);
        let node = LocalNode {
            running,
            stop,
            process,
        };
        self.nodes.insert(name, node);
        Ok(())
    }

    /// Kills a node: nothing of it goes on.
    pub fn kill_node(&mut self, name: &str) {
        self.nodes.remove(name);
    }

    /// Pauses a node, as a frozen host does; `false` lets it go on.
    pub fn pause_node(&mut self, name: &str, paused: bool) {
        if let Some(node) = self.nodes.get_mut(name) {
            pause(&mut node.process, paused);
        }
    }

    /// Pauses an agent, as a frozen host does; `false` lets it go on.
    pub fn pause_agent(&mut self, endpoint: &str, paused: bool) {
        let agent = self.agents.get_mut(endpoint);
        if let Some(process) = agent.and_then(|agent| agent.process.as_mut()) {
            pause(process, paused);
        }
    }

    /// Kills the agent of an endpoint; the endpoint goes on.
    pub fn kill_agent(&mut self, endpoint: &str) {
        if let Some(agent) = self.agents.get_mut(endpoint) {
            agent.running = None;
            agent.process = None;
        }
    }

    /// Starts a new agent for an endpoint, at the address of its predecessor; a killed one needs
    /// a moment to let go of it.
    ///
    /// # Errors
    /// The address cannot be taken, as where the predecessor still holds it.
    pub async fn start_agent(&mut self, endpoint: &str) -> Result<(), LocalError> {
        let platform = self.platform();
        let process = IsolatedRuntime::new(&self.runtime, PARALLEL);
        if let Some(agent) = self.agents.get_mut(endpoint) {
            agent.stop = Shutdown::default();
            let settings = agent.settings.clone();
            released(settings.listen).await;
            let stop = agent.stop.clone();
            let running = Agent::start(settings, process.handle(), platform, stop).await?;
            agent.running = Some(running);
            agent.process = Some(process);
        }
        Ok(())
    }

    /// Stops an agent in good order: it refuses new work and ends what runs.
    pub async fn stop_agent(&mut self, endpoint: &str) {
        if let Some(agent) = self.agents.get_mut(endpoint) {
            agent.stop.begin();
            if let Some(running) = agent.running.take() {
                running.stopped().await;
            }
            agent.process = None;
        }
    }

    /// Stops everything in good order: nodes drain, then agents, then the stand-ins.
    pub async fn stop(mut self) {
        for node in self.nodes.values() {
            node.stop.begin();
        }
        for node in std::mem::take(&mut self.nodes).into_values() {
            node.running.stopped().await;
        }
        for endpoint in self.agents.keys().cloned().collect::<Vec<_>>() {
            self.stop_agent(&endpoint).await;
        }
        self.standin_stop.begin();
        for standin in self.standins {
            if let Err(cause) = standin.await {
                log::warn!(event = "standin_failed", cause:% = cause; "a stand-in's listener failed");
            }
        }
    }

    async fn add_endpoint(&mut self, name: &str, plan: &EndpointPlan) -> Result<(), LocalError> {
        let listener = TcpListener::bind(loopback()).await?;
        let endpoint = listener.local_addr()?;
        let runtime = self.runtime.clone();
        let stop = self.standin_stop.clone();
        let (engine, plain) = match &plan.engine {
            Some(engine_plan) => {
                let seed = self.plan.seed.wrapping_add(self.agents.len() as u64);
                let settings = engine_plan.settings.clone();
                let engine = Engine::new(settings, self.weight_store.clone(), seed);
                let served = engine.clone();
                let serve = async move { served.serve(runtime, listener, stop).await };
                self.standins.push(self.runtime.spawn(serve));
                (Some(engine), None)
            }
            None => {
                let plain = PlainService::new(PlainServiceSettings {
                    name: name.to_owned(),
                    service_time: plan.service_time,
                });
                let served = plain.clone();
                let serve = async move { served.serve(runtime, listener, stop).await };
                self.standins.push(self.runtime.spawn(serve));
                (None, Some(plain))
            }
        };
        let agent = LocalAgent {
            settings: self.agent_settings(name, plan, endpoint)?,
            engine,
            plain,
            running: None,
            stop: Shutdown::default(),
            process: None,
        };
        self.agents.insert(name.to_owned(), agent);
        self.start_agent(name).await?;
        // A successor takes the same address.
        if let Some(agent) = self.agents.get_mut(name)
            && let Some(running) = &agent.running
        {
            agent.settings.listen = running.address;
        }
        Ok(())
    }

    fn agent_settings(
        &self,
        name: &str,
        plan: &EndpointPlan,
        endpoint: SocketAddr,
    ) -> Result<AgentSettings, LocalError> {
        let kind = match plan.engine {
            Some(_) => ServiceKind::Models,
            None => ServiceKind::Plain,
        };
        let memory_mb = plan
            .engine
            .as_ref()
            .map_or(0, |engine| engine.settings.memory_mb);
        Ok(AgentSettings {
            name: name.to_owned(),
            availability_zone: plan.availability_zone.clone(),
            host: plan.host.clone(),
            listen: loopback(),
            metrics_listen: Some(loopback()),
            endpoint,
            service: plan.service.clone(),
            kind,
            memory_mb,
            concurrency: plan.concurrency,
            fencing: plan.fencing,
            platform: loopback(),
            internal_token: Token::new(INTERNAL_TOKEN)?,
            threads: 1,
            queue_places: plan.queue_places,
            order_life: ORDER_LIFE,
            drain_timeout: self.plan.drain_timeout,
        })
    }

    fn platform(&self) -> Arc<dyn Platform> {
        Arc::new(self.platform.clone())
    }

    fn is_ready(&self) -> bool {
        let agents = self
            .agents
            .values()
            .filter_map(|agent| agent.running.as_ref());
        let registered: Vec<_> = agents.map(|running| &running.agent).collect();
        self.nodes.values().all(|local| {
            let node = &local.running.node;
            let view = node.current_view();
            let granted = view
                .models
                .values()
                .all(|model| model.grants.len() == model.replicas as usize);
            let heard = registered
                .iter()
                .all(|agent| agent.incarnation() > 0 && agent.view_version() >= view.version);
            let complete = view.endpoints.len() == self.agents.len();
            complete && granted && heard && node.all_agents_synced()
        })
    }
}

fn pause(process: &mut IsolatedRuntime, paused: bool) {
    if paused {
        process.pause();
    } else {
        process.resume();
    }
}

/// Waits until nobody listens at the address: the sockets of a killed process are closed a
/// little later. What still holds it then fails the start.
async fn released(address: SocketAddr) {
    for _ in 0..RELEASE_LOOKS {
        if TcpListener::bind(address).await.is_ok() {
            return;
        }
        Runtime::sleep(RELEASE_LOOK).await;
    }
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}
