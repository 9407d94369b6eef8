//! `radishpin load`: sends load, measures latency, and checks what came of every request.

mod answer;
mod call;
mod driver;
mod events;
mod journal;
mod models;
mod outcome;
mod phase;
mod plan;
mod processor;
mod recorder;
mod report;
mod settings;
mod table;

pub(super) use settings::SPEC;

use crate::{
    CommandError,
    output::print_document,
    settings::{Values, common::JSON},
};
use journal::Truth;
use phase::Phase;
use processor::Processor;
use radishpin_http::{Client, ClientLimits};
use radishpin_runtime::Runtime;
use report::{Added, Report};
use settings::LoadSettings;
use std::{
    sync::Arc,
    time::{Duration, SystemTime, UNIX_EPOCH},
};

/// Connections kept for each address; more callers at once open more.
const IDLE_CONNECTIONS: usize = 4_096;
/// Time to connect, long enough for a burst of callers at the start.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let settings = LoadSettings::new(values)?;
    let runtime = Runtime::start(settings.threads)?;
    let report = smol::block_on(measure(&runtime, settings))?;
    print_document(values.switch(&JSON), &report, || table::report(&report))?;
    match report.broken_promises() {
        promises if promises.is_empty() => Ok(()),
        promises => Err(CommandError::Promise {
            text: format!("broken promises: {}", promises.join(", ")),
        }),
    }
}

/// Runs the direct phase where asked for, then the phase through the target.
async fn measure(runtime: &Runtime, settings: LoadSettings) -> Result<Report, CommandError> {
    let client = Client::new(ClientLimits {
        idle_connections: IDLE_CONNECTIONS,
        connect_timeout: CONNECT_TIMEOUT,
        ..ClientLimits::default()
    });
    let models = models::to_call(&client, &settings).await?;
    let run_id = run_id(settings.seed);
    let settings = Arc::new(settings);
    let phase = |name: &str, address, services| Phase {
        settings: Arc::clone(&settings),
        client: client.clone(),
        models: Arc::clone(&models),
        run_id: format!("{run_id}-{name}"),
        address,
        services,
    };
    let direct = match settings.direct {
        Some(address) => Some(phase("d", address, false).run(runtime).await),
        None => None,
    };
    let before = settings.process.map(Processor::read).transpose()?;
    let target = phase("t", settings.target, true).run(runtime).await;
    let processor = before.map(Processor::elapsed).transpose()?;
    let truth = match settings.journals.as_slice() {
        [] => None,
        journals => Some(Truth::read(&client, journals, &target.claims).await?),
    };
    Ok(Report {
        run_id,
        added: direct
            .as_ref()
            .map(|direct| Added::between(&direct.report, &target.report)),
        requests_per_core_second: processor
            .map(|processor| report::per_second(target.report.sent, processor)),
        target: target.report,
        direct: direct.map(|direct| direct.report),
        truth,
    })
}

/// Differs from run to run, so that keys and prompts of an earlier run never meet this one's.
fn run_id(seed: u64) -> String {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let unix_ms = since_epoch.unwrap_or_default().as_millis();
    format!("{seed}-{unix_ms:x}")
}
