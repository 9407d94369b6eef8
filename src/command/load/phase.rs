//! The load on some addresses.

use super::{
    driver::Drive, plan::Planner, processor::Processor, recorder::Claims, report::PhaseReport,
    settings::LoadSettings,
};
use crate::CommandError;
use hdrhistogram::CreationError;
use radishpin_http::Client;
use radishpin_runtime::Runtime;
use std::{net::SocketAddr, sync::Arc, time::Instant};

/// The load on some addresses, called in turn.
#[derive(Debug)]
pub(super) struct Phase {
    pub(super) settings: Arc<LoadSettings>,
    pub(super) client: Client,
    pub(super) models: Arc<Vec<String>>,
    pub(super) run_id: String,
    pub(super) addresses: Vec<SocketAddr>,
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

    /// The address that a caller or an arrival calls.
    pub(super) fn address(&self, number: u64) -> Option<SocketAddr> {
        let count = self.addresses.len() as u64;
        let index = number.checked_rem(count)?;
        usize::try_from(index)
            .ok()
            .and_then(|index| self.addresses.get(index).copied())
    }

    /// Sends the load and waits for every answer.
    ///
    /// # Errors
    /// The measured process is not there, or the histograms' range is not valid.
    pub(super) async fn run(self, runtime: &Runtime) -> Result<Finished, CommandError> {
        let addresses = self.addresses.clone();
        let rate = self.settings.rate_per_second;
        let before = self.settings.process.map(Processor::read).transpose()?;
        let started = Instant::now();
        let drive = Arc::new(Drive::new(self).map_err(bad_range)?);
        match rate {
            Some(rate) => drive.open(runtime, rate).await,
            None => drive.closed(runtime).await,
        }
        let took = started.elapsed();
        let processor = before.map(Processor::elapsed).transpose()?;
        let record = drive.recorder.finish().map_err(bad_range)?;
        Ok(Finished {
            report: PhaseReport::new(addresses, took, processor, &record),
            claims: record.claims,
        })
    }
}

fn bad_range(error: CreationError) -> CommandError {
    CommandError::Load {
        cause: format!("latencies cannot be recorded: {error}"),
    }
}
