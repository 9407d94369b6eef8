//! `radishpin try`: the whole system in one process, over real loopback sockets.

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
    "127.0.0.1:8080",
    "Address of the first node's callers' listener; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

/// Settings of `radishpin try`.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrySettings {
    /// Address of the first node's callers' listener; port 0 takes a free one.
    pub(super) listen: SocketAddr,
    /// Seed of the stand-ins' random choices.
    pub(super) seed: u64,
    /// Worker threads.
    pub(super) threads: usize,
}

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "try",
    summary: "Run nodes, agents and stand-ins in one process, with a seeded service to call.",
    usages: &["[FLAGS]"],
    settings: &[&LISTEN, &SEED, &THREADS, &LOG_LEVEL],
    examples: &[
        "radishpin try",
        "radishpin try --listen 127.0.0.1:0 --seed 7",
    ],
    notes: "",
    check: no_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(try_settings(values)?)
}

/// Runs everything until it is told to stop. To be wired to the server and stand-in crates.
fn start(settings: TrySettings) -> Result<(), CommandError> {
    log::debug!(listen:% = settings.listen, seed = settings.seed, threads = settings.threads; "start");
    Err(CommandError::Unavailable { command: SPEC.name })
}

fn try_settings(values: &Values) -> Result<TrySettings, Vec<Fault>> {
    Ok(TrySettings {
        listen: values.address(&LISTEN)?,
        seed: values.number(&SEED)?,
        threads: values.number(&THREADS)?,
    })
}
