//! `radishpin load`: sends load, measures latency, and checks what came of every request.

mod answer;
mod call;
mod driver;
mod embedded;
mod events;
mod faults;
mod fetch;
mod journal;
mod models;
mod outcome;
mod phase;
mod plan;
mod processor;
mod recorder;
mod report;
mod session;
mod settings;
mod table;

pub(super) use settings::SPEC;

use crate::{
    CommandError,
    output::print_document,
    settings::{Values, common::JSON},
};
use radishpin_runtime::Runtime;
use session::Session;
use settings::LoadSettings;

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let settings = LoadSettings::new(values)?;
    let runtime = Runtime::start(settings.threads)?;
    let report = smol::block_on(Session::new(runtime, settings).run())?;
    print_document(values.switch(&JSON), &report, || table::report(&report))?;
    match report.broken_promises() {
        promises if promises.is_empty() => Ok(()),
        promises => Err(CommandError::GuaranteeViolated {
            text: format!("broken promises: {}", promises.join(", ")),
        }),
    }
}
