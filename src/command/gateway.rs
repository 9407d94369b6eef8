//! `radishpin gateway`: the role on an entry host of a platform with a table store.

use super::{CommandSpec, no_operands};
use crate::{
    CommandError,
    settings::{
        Values,
        common::{BOOT, ROLE_LOG_LEVEL},
    },
};

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "gateway",
    summary: "Take callers' requests on a platform with a table store.",
    usages: &["[FLAGS]"],
    settings: &[&BOOT, &ROLE_LOG_LEVEL],
    examples: &[
        "radishpin gateway --boot /etc/radishpin/boot.json",
        "radishpin gateway --boot /etc/radishpin/boot.json --log-level warn",
    ],
    notes: "",
    check: no_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    Ok(radishpin_gateway::run_gateway(values.text(&BOOT)?.into())?)
}
