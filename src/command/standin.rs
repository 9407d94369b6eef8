//! `radishpin standin`: stand-ins for the platform, engines and weight store, for tests.

use super::{CommandSpec, no_operands};
use crate::{
    CommandError,
    settings::{
        Fault, Kind, Setting, Values,
        common::{LOG_LEVEL, SEED, THREADS},
    },
};
use std::net::SocketAddr;

static LISTEN: Setting = Setting::with_default(
    "listen",
    Kind::Address,
    "127.0.0.1:9000",
    "Address of the stand-in platform; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

/// Settings of `radishpin standin`.
#[derive(Clone, Copy, Debug)]
pub(super) struct StandinSettings {
    /// Address of the stand-in platform; port 0 takes a free one.
    pub(super) listen: SocketAddr,
    /// Seed of the stand-ins' random choices.
    pub(super) seed: u64,
    /// Worker threads.
    pub(super) threads: usize,
}

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "standin",
    summary: "Serve stand-ins for the platform and its neighbours, for tests and measurements.",
    usages: &["[FLAGS]"],
    settings: &[&LISTEN, &SEED, &THREADS, &LOG_LEVEL],
    examples: &["radishpin standin --listen 127.0.0.1:9000 --seed 7"],
    notes: "",
    check: no_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(standin_settings(values)?)
}

/// Serves the stand-ins until it is told to stop. To be wired to the stand-in crate.
fn start(settings: StandinSettings) -> Result<(), CommandError> {
    log::debug!(listen:% = settings.listen, seed = settings.seed, threads = settings.threads; "start");
    Err(CommandError::Unavailable { command: SPEC.name })
}

fn standin_settings(values: &Values) -> Result<StandinSettings, Vec<Fault>> {
    Ok(StandinSettings {
        listen: values.address(&LISTEN)?,
        seed: values.number(&SEED)?,
        threads: values.number(&THREADS)?,
    })
}
