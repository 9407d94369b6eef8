//! `radishpin profile`: shows and changes profiles, and assigns them to services.

mod table;

use super::{CommandSpec, operand_fault};
use crate::{
    CommandError,
    client::{ApiRequest, OperatorClient},
    output::print_document,
    settings::{
        Fault, Kind, Setting, Values,
        common::{IF_VERSION, JSON, LOG_LEVEL, SERVER, TIMEOUT, TOKEN},
    },
};
use http_types::Method;
use radishpin_protocol::{Profile, ServiceKind};
use radishpin_server::operator::{
    document::{Accepted, ProfileEntry, ProfileHistory, ProfileList, ServiceChange},
    is_name,
};
use std::fs;

const ACTIONS: &str = "list, show NAME, set NAME FILE, delete NAME, history NAME, \
                       assign SERVICE NAME";
const PLAIN: &str = "plain";

static KIND: Setting = Setting::optional(
    "kind",
    Kind::Choice(&["models", PLAIN]),
    "For assign: kind of the endpoints of a new service.",
);

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "profile",
    summary: "Show and change profiles, and assign them to services.",
    usages: &[
        "list [FLAGS]",
        "show NAME [FLAGS]",
        "set NAME FILE [--if-version N] [FLAGS]",
        "delete NAME --if-version N [FLAGS]",
        "history NAME [FLAGS]",
        "assign SERVICE NAME [--if-version N] [--kind WORD] [FLAGS]",
    ],
    settings: &[
        &IF_VERSION,
        &KIND,
        &JSON,
        &SERVER,
        &TOKEN,
        &TIMEOUT,
        &LOG_LEVEL,
    ],
    examples: &[
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile list",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile show interactive --json",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile set interactive interactive.json --if-version 41",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile delete interactive --if-version 42",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile history interactive",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin profile assign drafting interactive --if-version 17",
    ],
    notes: "A change takes the version that it replaces as --if-version; without it, the document must\n\
            not exist yet. A complete document:\n\
            \x20 {\"format\": 1, \"min_loaded\": 0, \"max_replicas\": 2, \"idle_unload_ms\": 600000,\n\
            \x20  \"patience_ms\": 8000, \"priority\": 5, \"class\": \"interactive\", \"idempotent\": true}\n",
    check,
};

/// Action that the operands select.
#[derive(Clone, Copy, Debug)]
enum Action<'a> {
    List,
    Show { name: &'a str },
    Set { name: &'a str, path: &'a str },
    Delete { name: &'a str },
    History { name: &'a str },
    Assign { service: &'a str, profile: &'a str },
}

fn action(operands: &[String]) -> Result<Action<'_>, Fault> {
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    let action = match operands.as_slice() {
        ["list"] => Action::List,
        ["show", name] => Action::Show {
            name: valid_name(name)?,
        },
        ["set", name, path] => Action::Set {
            name: valid_name(name)?,
            path,
        },
        ["delete", name] => Action::Delete {
            name: valid_name(name)?,
        },
        ["history", name] => Action::History {
            name: valid_name(name)?,
        },
        ["assign", service, profile] => Action::Assign {
            service: valid_name(service)?,
            profile: valid_name(profile)?,
        },
        _ => return Err(operand_fault(&operands, ACTIONS)),
    };
    Ok(action)
}

fn valid_name(name: &str) -> Result<&str, Fault> {
    if is_name(name) {
        return Ok(name);
    }
    Err(operand_fault(&[name], &Kind::Name.allowed()))
}

fn check(values: &Values) -> Vec<Fault> {
    match action(values.operands()) {
        Ok(Action::Delete { .. }) if !values.is_given(&IF_VERSION) => vec![Fault::Missing {
            setting: IF_VERSION.label(),
            allowed: IF_VERSION.kind.allowed(),
        }],
        Ok(_) => Vec::new(),
        Err(fault) => vec![fault],
    }
}

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let client = OperatorClient::new(values)?;
    let json = values.switch(&JSON);
    match action(values.operands()).map_err(|fault| vec![fault])? {
        Action::List => {
            let list: ProfileList = client.send(&ApiRequest::get("/v1/profiles"))?;
            print_document(json, &list, || table::list(&list))
        }
        Action::Show { name } => {
            let entry: ProfileEntry = client.send(&ApiRequest::get(profile_path(name)))?;
            print_document(json, &entry, || table::entry(&entry))
        }
        Action::History { name } => {
            let path = format!("{}/history", profile_path(name));
            let history: ProfileHistory = client.send(&ApiRequest::get(path))?;
            print_document(json, &history, || table::history(&history))
        }
        Action::Set { name, path } => {
            let order = profile_change(Method::Put, profile_path(name), name, values);
            send_change(&client, json, &order.with_body(&read_profile(path)?)?)
        }
        Action::Delete { name } => {
            let order = profile_change(Method::Delete, profile_path(name), name, values);
            send_change(&client, json, &order)
        }
        Action::Assign { service, profile } => {
            let document = ServiceChange {
                profile: profile.to_owned(),
                kind: values.optional_text(&KIND).map(service_kind),
            };
            let path = format!("/v1/services/{service}");
            let order = ApiRequest::change(Method::Put, path, "see `radishpin status`".to_owned())
                .if_match(values.optional_number(&IF_VERSION))
                .with_body(&document)?;
            send_change(&client, json, &order)
        }
    }
}

fn profile_change(method: Method, path: String, name: &str, values: &Values) -> ApiRequest {
    let outcome_hint = format!("see `radishpin profile show {name}`");
    ApiRequest::change(method, path, outcome_hint).if_match(values.optional_number(&IF_VERSION))
}

fn send_change(
    client: &OperatorClient,
    json: bool,
    order: &ApiRequest,
) -> Result<(), CommandError> {
    let accepted: Accepted = client.send(order)?;
    print_document(json, &accepted, || {
        format!("accepted at version {}", accepted.version)
    })
}

/// Reads a profile document and validates it, so that an invalid one is not sent.
fn read_profile(path: &str) -> Result<Profile, CommandError> {
    let text = fs::read_to_string(path).map_err(|cause| CommandError::File {
        path: path.to_owned(),
        cause,
    })?;
    Profile::parse(&text).map_err(|faults| CommandError::Document {
        lines: faults
            .iter()
            .map(|fault| format!("{path}: {fault}"))
            .collect(),
    })
}

fn service_kind(kind: &str) -> ServiceKind {
    match kind {
        PLAIN => ServiceKind::Plain,
        _ => ServiceKind::Models,
    }
}

fn profile_path(name: &str) -> String {
    format!("/v1/profiles/{name}")
}
