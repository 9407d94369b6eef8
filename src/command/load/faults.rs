//! Faults of an embedded system, brought about at random while the load runs.

use radishpin_local::LocalCluster;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use radishpin_standin::{EngineFaults, Faults, Outage, PlainServiceFaults};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Stream of the seeded generator that no caller uses.
const RANDOM_STREAM: u64 = u64::MAX;
/// Calls that a counted fault strikes.
const STRIKES: u32 = 3;
/// Word for every fault.
const ALL: &str = "all";

/// A kind of fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum FaultKind {
    /// An engine's answers break off.
    BreakAnswers,
    /// An engine runs calls and never answers.
    LoseAnswers,
    /// An engine answers another request.
    CrossAnswers,
    /// An engine refuses calls for a while.
    RefuseCalls,
    /// An engine's loads fail.
    FailLoads,
    /// An engine restarts with an empty memory.
    RestartEngine,
    /// A plain service runs calls and never answers, or breaks off.
    LoseReplies,
    /// The platform answers nothing for a while.
    PlatformOutage,
    /// The platform's replies to commits are lost.
    LoseCommits,
    /// An agent dies, and a successor starts.
    KillAgent,
    /// A node other than the callers' dies, and starts again.
    KillNode,
}

impl FaultKind {
    /// Every kind with its name.
    const NAMED: [(Self, &'static str); 11] = [
        (Self::BreakAnswers, "break-answers"),
        (Self::LoseAnswers, "lose-answers"),
        (Self::CrossAnswers, "cross-answers"),
        (Self::RefuseCalls, "refuse-calls"),
        (Self::FailLoads, "fail-loads"),
        (Self::RestartEngine, "restart-engine"),
        (Self::LoseReplies, "lose-replies"),
        (Self::PlatformOutage, "platform-outage"),
        (Self::LoseCommits, "lose-commits"),
        (Self::KillAgent, "kill-agent"),
        (Self::KillNode, "kill-node"),
    ];

    fn name(self) -> &'static str {
        let named = Self::NAMED.iter().find(|(kind, _)| *kind == self);
        named.map_or("", |(_, name)| name)
    }
}

/// Whether this names a fault, or all.
pub(super) fn is_name(name: &str) -> bool {
    name == ALL || FaultKind::NAMED.iter().any(|(_, known)| *known == name)
}

/// The names that are known, for messages.
pub(super) fn allowed() -> String {
    let names: Vec<&str> = FaultKind::NAMED.iter().map(|(_, name)| *name).collect();
    format!("{ALL}, {}", names.join(", "))
}

/// The kinds with these names.
pub(super) fn named(names: &[String]) -> Vec<FaultKind> {
    let wanted = |known: &str| names.iter().any(|name| name == ALL || name == known);
    let kinds = FaultKind::NAMED.iter().filter(|(_, known)| wanted(known));
    kinds.map(|(kind, _)| *kind).collect()
}

/// Brings faults about, one at a time, each mended before the next.
#[derive(Debug)]
pub(super) struct FaultInjector {
    kinds: Vec<FaultKind>,
    every: Duration,
    random: ChaCha8Rng,
    counts: BTreeMap<&'static str, u64>,
}

impl FaultInjector {
    /// An injector that has done nothing.
    pub(super) fn new(kinds: &[FaultKind], every: Duration, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(RANDOM_STREAM);
        Self {
            kinds: kinds.to_vec(),
            every,
            random,
            counts: BTreeMap::new(),
        }
    }

    /// How often each fault was brought about.
    pub(super) fn counts(&self) -> BTreeMap<&'static str, u64> {
        self.counts.clone()
    }

    /// Brings faults about until it is dropped.
    pub(super) async fn run(&mut self, cluster: &mut LocalCluster) {
        loop {
            Runtime::sleep(self.every / 2).await;
            let Some(kind) = self.pick_kind() else {
                return std::future::pending().await;
            };
            log::info!(fault = kind.name(); "fault");
            self.strike(kind, cluster).await;
            *self.counts.entry(kind.name()).or_default() += 1;
        }
    }

    fn pick_kind(&mut self) -> Option<FaultKind> {
        match self.kinds.len() {
            0 => None,
            count => Some(self.kinds[self.random.random_range(0..count)]),
        }
    }

    async fn strike(&mut self, kind: FaultKind, cluster: &mut LocalCluster) {
        match kind {
            FaultKind::BreakAnswers => self.change_engine(cluster, |f| f.break_replies += STRIKES),
            FaultKind::LoseAnswers => self.change_engine(cluster, |f| f.lose_replies += 1),
            FaultKind::CrossAnswers => self.change_engine(cluster, |f| f.cross_answers += STRIKES),
            FaultKind::FailLoads => self.change_engine(cluster, |f| f.fail_loads += 1),
            FaultKind::RefuseCalls => {
                self.change_engine(cluster, |f| f.refuse = true);
                Runtime::sleep(self.every / 2).await;
                mend_engines(cluster);
            }
            FaultKind::RestartEngine => self.restart_engine(cluster),
            FaultKind::LoseReplies => self.change_service(cluster),
            FaultKind::PlatformOutage => {
                cluster
                    .platform
                    .change_faults(|f| f.outage = Outage::Silent);
                Runtime::sleep(self.every / 2).await;
                cluster.platform.set_faults(Faults::default());
            }
            FaultKind::LoseCommits => {
                let lose = |f: &mut Faults| f.lose_commit_replies += STRIKES;
                cluster.platform.change_faults(lose);
            }
            FaultKind::KillAgent => self.kill_agent(cluster).await,
            FaultKind::KillNode => self.kill_node(cluster).await,
        }
    }

    fn change_engine(&mut self, cluster: &LocalCluster, change: impl FnOnce(&mut EngineFaults)) {
        let engines: Vec<_> = cluster
            .agents
            .values()
            .filter_map(|a| a.engine.as_ref())
            .collect();
        if !engines.is_empty() {
            engines[self.random.random_range(0..engines.len())].change_faults(change);
        }
    }

    fn restart_engine(&mut self, cluster: &LocalCluster) {
        let engines: Vec<_> = cluster
            .agents
            .values()
            .filter_map(|a| a.engine.as_ref())
            .collect();
        if !engines.is_empty() {
            engines[self.random.random_range(0..engines.len())].restart();
        }
    }

    fn change_service(&mut self, cluster: &LocalCluster) {
        let services: Vec<_> = cluster
            .agents
            .values()
            .filter_map(|a| a.plain.as_ref())
            .collect();
        if !services.is_empty() {
            let service = services[self.random.random_range(0..services.len())];
            service.set_faults(PlainServiceFaults {
                lose_replies: 1,
                break_replies: 1,
                ..PlainServiceFaults::default()
            });
        }
    }

    async fn kill_agent(&mut self, cluster: &mut LocalCluster) {
        let names: Vec<EndpointId> = cluster.agents.keys().cloned().collect();
        if names.is_empty() {
            return;
        }
        let name = &names[self.random.random_range(0..names.len())];
        cluster.kill_agent(name);
        Runtime::sleep(self.every / 2).await;
        start_agent(cluster, name).await;
    }

    /// The first node is the callers', and a caller's connection does not outlive its node.
    async fn kill_node(&mut self, cluster: &mut LocalCluster) {
        let count = cluster.plan.nodes.len();
        if count < 2 {
            return;
        }
        let index = self.random.random_range(1..count);
        let Some(name) = cluster.nodes.keys().nth(index).cloned() else {
            return;
        };
        cluster.kill_node(&name);
        Runtime::sleep(self.every / 2).await;
        if let Err(error) = cluster.start_node(index).await {
            log::warn!(node = name.as_str(), error:%; "the node did not start again");
        }
    }

    /// Ends all faults, and starts what was killed.
    pub(super) async fn mend(&self, cluster: &mut LocalCluster) {
        mend_engines(cluster);
        cluster.platform.set_faults(Faults::default());
        for agent in cluster.agents.values() {
            if let Some(service) = &agent.plain {
                service.set_faults(PlainServiceFaults::default());
            }
        }
        let dead: Vec<EndpointId> = cluster
            .agents
            .iter()
            .filter(|(_, agent)| agent.running.is_none())
            .map(|(name, _)| name.clone())
            .collect();
        for name in dead {
            start_agent(cluster, &name).await;
        }
    }
}

async fn start_agent(cluster: &mut LocalCluster, name: &str) {
    if let Err(error) = cluster.start_agent(name).await {
        log::warn!(endpoint = name, error:%; "the agent did not start again");
    }
}

fn mend_engines(cluster: &LocalCluster) {
    for engine in cluster.agents.values().filter_map(|a| a.engine.as_ref()) {
        engine.set_faults(EngineFaults::default());
    }
}
