//! `radishpin gateway`: serves callers on an entry host of a platform with a table store.

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    settings::{
        Values,
        common::{BOOT, METRICS_PORT, ROLE_LOG_LEVEL},
    },
};

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "gateway",
    summary: "Serve callers' requests on a platform with a table store.",
    usages: &["[FLAGS]"],
    settings: &[&BOOT, &METRICS_PORT, &ROLE_LOG_LEVEL],
    examples: &[
        "radishpin gateway --boot /etc/radishpin/boot.json",
        "radishpin gateway --boot /etc/radishpin/boot.json --metrics-port 9464 --log-level warn",
    ],
    notes: "Limits that the settings file gives under `limits`; without them nothing is bounded:\n\
            \x20 memory_mb             Memory of the host; bounds connections, and bodies that are kept at the same\n\
            \x20                       time.\n\
            \x20 file_descriptors      Descriptors of the process; bounds connections.\n\
            \x20 body_bytes_per_s_min  Slowest average rate of a request's body, in bytes a second, once the\n\
            \x20                       idle time of callers has passed; 0 for none. Default: 256.\n\
            A caller that reads nothing of its response for `bounds.response_stall_ms` (60000, or the idle\n\
            timeout if that is longer) is closed.",
    check: reject_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let metrics_port = values.number(&METRICS_PORT)?;
    let boot = values.text(&BOOT)?;
    Ok(radishpin_gateway::run_gateway(boot.into(), metrics_port)?)
}
