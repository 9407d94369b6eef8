//! One run of the tool: phases, faults, and the check against the journals.

use super::{
    call::call,
    embedded::Embedded,
    journal::Truth,
    models,
    phase::{Finished, Phase},
    plan::{Ask, Planned},
    report::{Added, Report},
    settings::LoadSettings,
};
use crate::CommandError;
use radishpin_http::{Client, ClientLimits};
use radishpin_runtime::Runtime;
use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

/// Connections kept for each address; more callers at once open more.
const IDLE_CONNECTIONS: usize = 4_096;
/// Time to connect, long enough for a burst of callers at the start.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

/// One run of the tool.
pub(super) struct Session {
    runtime: Runtime,
    client: Client,
    settings: LoadSettings,
    run_id: String,
}

impl Session {
    /// A run that has sent nothing.
    pub(super) fn new(runtime: Runtime, settings: LoadSettings) -> Self {
        let limits = ClientLimits {
            idle_connections: IDLE_CONNECTIONS,
            connect_timeout: CONNECT_TIMEOUT,
            ..ClientLimits::default()
        };
        Self {
            client: Client::new(limits),
            run_id: run_id(settings.seed),
            runtime,
            settings,
        }
    }

    /// Runs all phases, in a system of its own where asked for.
    ///
    /// # Errors
    /// The system cannot start, or an address does not answer.
    pub(super) async fn run(mut self) -> Result<Report, CommandError> {
        if !self.settings.embedded {
            return self.measure(&mut None).await;
        }
        let embedded = Embedded::start(&self.runtime, &self.settings).await?;
        embedded.fill_in(&mut self.settings);
        if self.settings.instant {
            self.warm_up().await?;
            self.settings.direct = embedded.engine();
        }
        let mut embedded = Some(embedded);
        let report = self.measure(&mut embedded).await;
        if let Some(embedded) = embedded {
            embedded.stop().await;
        }
        report
    }

    /// Runs the direct phase where asked for, then the phase through the targets.
    async fn measure(&self, embedded: &mut Option<Embedded>) -> Result<Report, CommandError> {
        let models = models::to_call(&self.client, &self.settings).await?;
        let direct = match self.settings.direct {
            Some(address) => Some(self.phase("d", &[address], false, &models).await?),
            None => None,
        };
        let targets = &self.settings.targets;
        let through = self.phase("t", targets, true, &models);
        let target = match embedded {
            Some(embedded) => embedded.trouble(through).await?,
            None => through.await?,
        };
        let truth = match self.settings.journals.as_slice() {
            [] => None,
            journals => Some(Truth::read(&self.client, journals, &target.claims).await?),
        };
        let direct = direct.map(|direct| direct.report);
        Ok(Report {
            run_id: self.run_id.clone(),
            added: direct
                .as_ref()
                .map(|direct| Added::between(direct, &target.report)),
            target: target.report,
            direct,
            faults: embedded.as_ref().map(Embedded::fault_counts),
            truth,
        })
    }

    async fn phase(
        &self,
        name: &str,
        addresses: &[SocketAddr],
        services: bool,
        models: &Arc<Vec<String>>,
    ) -> Result<Finished, CommandError> {
        let phase = Phase {
            settings: Arc::new(self.settings.clone()),
            client: self.client.clone(),
            models: Arc::clone(models),
            run_id: format!("{}-{name}", self.run_id),
            addresses: addresses.to_vec(),
            services,
        };
        phase.run(&self.runtime).await
    }

    /// Loads every model by calling it once, so that no phase measures loads.
    async fn warm_up(&self) -> Result<(), CommandError> {
        let models = models::to_call(&self.client, &self.settings).await?;
        for model in models.iter() {
            for address in &self.settings.targets {
                let planned = Planned {
                    ask: Ask::Completion {
                        model: model.clone(),
                        stream: false,
                    },
                    marker: format!("{}-w", self.run_id),
                };
                let now = Instant::now();
                call(&self.client, *address, &self.settings, &planned, now).await;
            }
        }
        Ok(())
    }
}

/// Differs from run to run, so that keys and prompts of an earlier run never meet this one's.
fn run_id(seed: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = since_epoch.unwrap_or_default().as_millis();
    format!("{seed}-{unix_ms:x}")
}
