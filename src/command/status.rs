//! `radishpin status`: shows the state of the cluster as reported by one node.

mod table;

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    client::{ApiRequest, OperatorClient},
    output::print_document,
    settings::{
        Values,
        common::{JSON, LOG_LEVEL, SERVER, TIMEOUT, TOKEN},
    },
};
use radishpin_server::operator::document::StatusReport;

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "status",
    summary: "Show endpoints, replicas, grants, planned stops and versions in force.",
    usages: &["[FLAGS]"],
    settings: &[&JSON, &SERVER, &TOKEN, &TIMEOUT, &LOG_LEVEL],
    examples: &[
        "RADISHPIN_TOKEN=0123456789abcdef radishpin status",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin status --server 127.0.0.1:8081 --json",
    ],
    notes: "",
    check: reject_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let client = OperatorClient::new(values)?;
    let report: StatusReport = client.send(&ApiRequest::get("/v1/status"))?;
    print_document(values.switch(&JSON), &report, || table::report(&report))
}
