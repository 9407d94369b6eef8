//! A whole system in this process, to be loaded.

use super::{
    faults::{FaultInjector, FaultKind},
    settings::LoadSettings,
};
use crate::CommandError;
use futures_lite::future::or;
use radishpin_local::{ClusterPlan, EndpointPlan, LocalCluster};
use radishpin_runtime::Runtime;
use radishpin_standin::EngineSettings;
use std::{
    future::Future,
    net::{Ipv4Addr, SocketAddr},
    time::Duration,
};

/// Calls at once and places of an endpoint that takes no time, so that nothing waits for one.
const INSTANT_PLACES: u32 = 4_096;

/// A whole system in this process.
#[derive(Debug)]
pub(super) struct Embedded {
    cluster: LocalCluster,
    injector: FaultInjector,
}

impl Embedded {
    /// Starts the system and waits until it is ready.
    ///
    /// # Errors
    /// It cannot start.
    pub(super) async fn start(
        runtime: &Runtime,
        settings: &LoadSettings,
    ) -> Result<Self, CommandError> {
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let mut plan = ClusterPlan::small(listen, settings.seed);
        if settings.instant {
            plan.endpoints.values_mut().for_each(make_instant);
        }
        let cluster = LocalCluster::start(plan, runtime.clone()).await?;
        cluster.ready().await;
        Ok(Self {
            cluster,
            injector: FaultInjector::new(&settings.faults, settings.fault_every, settings.seed),
        })
    }

    /// Puts the system's addresses into the settings.
    pub(super) fn fill_in(&self, settings: &mut LoadSettings) {
        settings.targets = self.cluster.addresses();
        if settings.faults.contains(&FaultKind::KillNode) {
            settings.targets.truncate(1);
        }
        let agents = self.cluster.agents.values();
        settings.journals = agents.map(|agent| agent.settings.endpoint).collect();
        settings.process = Some(u64::from(std::process::id()));
    }

    /// Address of the engine that has most models loaded, to be called directly.
    pub(super) fn engine(&self) -> Option<SocketAddr> {
        let agents = self.cluster.agents.values();
        let engines = agents.filter_map(|agent| Some((agent.engine.as_ref()?, agent)));
        let most = engines.max_by_key(|(engine, _)| engine.loaded().len());
        most.map(|(_, agent)| agent.settings.endpoint)
    }

    /// Brings faults about while `work` runs.
    pub(super) async fn trouble<T>(&mut self, work: impl Future<Output = T>) -> T {
        let Self { cluster, injector } = self;
        let trouble = async {
            injector.run(cluster).await;
            std::future::pending().await
        };
        let result = or(work, trouble).await;
        self.injector.mend(&mut self.cluster).await;
        result
    }

    /// How often each fault was brought about.
    pub(super) fn fault_counts(&self) -> std::collections::BTreeMap<&'static str, u64> {
        self.injector.counts()
    }

    /// Stops the system in good order.
    pub(super) async fn stop(self) {
        self.cluster.stop().await;
    }
}

fn make_instant(endpoint: &mut EndpointPlan) {
    endpoint.concurrency = INSTANT_PLACES;
    endpoint.queue_places = INSTANT_PLACES;
    endpoint.service_time = Duration::ZERO;
    if let Some(engine) = &mut endpoint.engine {
        engine.settings = EngineSettings {
            memory_mb: engine.settings.memory_mb,
            tiers: engine.settings.tiers.clone(),
            concurrency: INSTANT_PLACES,
            ..EngineSettings::instant()
        };
    }
}
