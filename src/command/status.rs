//! `radishpin status`: to follow.

use super::CommandSpec;
use crate::{
    CommandError,
    settings::{
        Values,
        common::{JSON, LOG_LEVEL, SERVER, TIMEOUT, TOKEN},
    },
};

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "status",
    summary: "Show the state of the cluster.",
    usages: &["[FLAGS]"],
    settings: &[&SERVER, &TOKEN, &TIMEOUT, &JSON, &LOG_LEVEL],
    examples: &["RADISHPIN_TOKEN=0123456789abcdef radishpin status"],
    check: super::no_operands,
};

pub(super) fn run(_values: &Values) -> Result<(), CommandError> {
    Err(CommandError::Unavailable { command: SPEC.name })
}
