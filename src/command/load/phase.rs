//! The load on one address.

use super::{
    driver::Drive, plan::Planner, recorder::Claims, report::PhaseReport, settings::LoadSettings,
};
use radishpin_http::Client;
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// The load on one address.
#[derive(Debug)]
pub(super) struct Phase {
    pub(super) settings: Arc<LoadSettings>,
    pub(super) client: Client,
    pub(super) models: Arc<Vec<String>>,
    pub(super) run_id: String,
    pub(super) address: SocketAddr,
    /// Whether plain services are called too.
    pub(super) services: bool,
}

/// What came of a phase.
#[derive(Debug)]
pub(super) struct Finished {
    pub(super) report: PhaseReport,
    pub(super) claims: Claims,
}

impl Phase {
    /// Generator of requests for one caller.
    pub(super) fn planner(&self, number: u64) -> Planner {
        Planner::new(
            &self.settings,
            &self.models,
            self.services,
            &self.run_id,
            number,
        )
    }

    /// Sends the load and waits for every answer.
    pub(super) async fn run(self, runtime: &Runtime) -> Finished {
        let address = self.address;
        let rate = self.settings.rate_per_second;
        let started = Instant::now();
        let drive = Arc::new(Drive::new(self));
        match rate {
            Some(rate) => drive.open(runtime, rate).await,
            None => drive.closed(runtime).await,
        }
        let record = drive.recorder.finish();
        Finished {
            report: PhaseReport::new(address, started.elapsed(), &record),
            claims: record.claims,
        }
    }
}
