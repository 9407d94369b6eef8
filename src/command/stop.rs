//! `radishpin stop`: plans, lists and cancels planned stops.

pub(super) mod table;

use super::{CommandSpec, operand_fault};
use crate::{
    CommandError,
    client::{ApiRequest, OperatorClient},
    output::{print_document, time_text},
    settings::{
        Fault, Kind, Setting, Values,
        common::{JSON, LOG_LEVEL, SERVER, TIMEOUT, TOKEN},
    },
};
use http_types::Method;
use radishpin_protocol::{StopTarget, UnixMs};
use radishpin_server::operator::{
    document::{Accepted, StopList, StopPlan},
    is_name,
};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::time::{SystemTime, UNIX_EPOCH};

const ACTIONS: &str = "plan, list, cancel ID";

// These settings have no environment variables: `RADISHPIN_HOST`, set for a role on a host, must
// never make `stop plan` target that host.
static HOST: Setting = Setting::optional("host", Kind::Name, "For plan: host to stop.");

static AVAILABILITY_ZONE: Setting = Setting::optional(
    "availability-zone",
    Kind::Name,
    "For plan: availability zone to stop.",
);

static FROM: Setting = Setting::optional("from", Kind::Time, "For plan: start of the window.");

static TO: Setting = Setting::optional("to", Kind::Time, "For plan: end of the window.");

static ID: Setting = Setting::optional(
    "id",
    Kind::Name,
    "For plan: id of the stop; generated if not given.",
);

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "stop",
    summary: "Plan, list and cancel planned stops of hosts and availability zones.",
    usages: &[
        "plan --host NAME|--availability-zone NAME --from TIME --to TIME [--id NAME] [FLAGS]",
        "list [FLAGS]",
        "cancel ID [FLAGS]",
    ],
    settings: &[
        &HOST,
        &AVAILABILITY_ZONE,
        &FROM,
        &TO,
        &ID,
        &JSON,
        &SERVER,
        &TOKEN,
        &TIMEOUT,
        &LOG_LEVEL,
    ],
    examples: &[
        "RADISHPIN_TOKEN=0123456789abcdef radishpin stop plan --host host-2 --from +10m --to +40m",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin stop plan --availability-zone gondar \
         --from 2030-01-31T04:00:00Z --to 2030-01-31T06:00:00Z --id window-31",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin stop list --json",
        "RADISHPIN_TOKEN=0123456789abcdef radishpin stop cancel window-31",
    ],
    notes: "",
    check,
};

/// Action that the operands select.
#[derive(Clone, Copy, Debug)]
enum Action<'a> {
    Plan,
    List,
    Cancel { id: &'a str },
}

fn action(operands: &[String]) -> Result<Action<'_>, Fault> {
    let operands: Vec<&str> = operands.iter().map(String::as_str).collect();
    match operands.as_slice() {
        ["plan"] => Ok(Action::Plan),
        ["list"] => Ok(Action::List),
        ["cancel", id] if is_name(id) => Ok(Action::Cancel { id }),
        _ => Err(operand_fault(&operands, ACTIONS)),
    }
}

fn check(values: &Values) -> Vec<Fault> {
    match action(values.operands()) {
        Ok(Action::Plan) => plan_faults(values),
        Ok(_) => Vec::new(),
        Err(fault) => vec![fault],
    }
}

fn plan_faults(values: &Values) -> Vec<Fault> {
    let mut faults: Vec<Fault> = [&FROM, &TO]
        .into_iter()
        .filter(|setting| !values.is_given(setting))
        .map(|setting| Fault::Missing {
            setting: setting.label(),
            allowed: setting.kind.allowed(),
        })
        .collect();
    let one_target = "exactly one of --host and --availability-zone";
    match (values.is_given(&HOST), values.is_given(&AVAILABILITY_ZONE)) {
        (false, false) => faults.push(Fault::Missing {
            setting: HOST.label(),
            allowed: one_target.to_owned(),
        }),
        (true, true) => faults.push(Fault::Contradiction {
            setting: HOST.label(),
            value: values.optional_text(&HOST).unwrap_or_default().to_owned(),
            allowed: one_target.to_owned(),
        }),
        _ => {}
    }
    if let Some((from_unix_ms, to_unix_ms)) = window(values, now_unix_ms())
        && to_unix_ms <= from_unix_ms
    {
        faults.push(Fault::Contradiction {
            setting: TO.label(),
            value: time_text(to_unix_ms),
            allowed: format!("after --from, {}", time_text(from_unix_ms)),
        });
    }
    faults
}

fn window(values: &Values, now_unix_ms: UnixMs) -> Option<(UnixMs, UnixMs)> {
    let from = values.optional_time(&FROM)?;
    let to = values.optional_time(&TO)?;
    Some((from.resolve(now_unix_ms), to.resolve(now_unix_ms)))
}

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    let client = OperatorClient::new(values)?;
    let json = values.switch(&JSON);
    match action(values.operands()).map_err(|fault| vec![fault])? {
        Action::Plan => plan(&client, json, &stop_plan(values)?),
        Action::List => {
            let list: StopList = client.send(&ApiRequest::get("/v1/stops"))?;
            print_document(json, &list, || table::stops(&list.stops))
        }
        Action::Cancel { id } => {
            let outcome_hint = "see `radishpin stop list`".to_owned();
            let order = ApiRequest::change(Method::Delete, format!("/v1/stops/{id}"), outcome_hint);
            let accepted: Accepted = client.send(&order)?;
            print_document(json, &accepted, || {
                format!("{id} cancelled at version {}", accepted.version)
            })
        }
    }
}

fn plan(client: &OperatorClient, json: bool, plan: &StopPlan) -> Result<(), CommandError> {
    let outcome_hint = format!("see `radishpin stop list` for {}", plan.id);
    let order =
        ApiRequest::change(Method::Post, "/v1/stops".to_owned(), outcome_hint).with_body(plan)?;
    let accepted: Accepted = client.send(&order)?;
    print_document(json, &accepted, || plan_summary(plan, &accepted))
}

fn plan_summary(plan: &StopPlan, accepted: &Accepted) -> String {
    let mut text = format!(
        "{} planned from {} to {} at version {}",
        plan.id,
        time_text(plan.from_unix_ms),
        time_text(plan.to_unix_ms),
        accepted.version
    );
    for warning in &accepted.warnings {
        text.push_str("\nwarning: ");
        text.push_str(warning);
    }
    text
}

fn stop_plan(values: &Values) -> Result<StopPlan, CommandError> {
    let target = match values.optional_text(&HOST) {
        Some(host) => StopTarget::Host(host.to_owned()),
        None => StopTarget::AvailabilityZone(values.text(&AVAILABILITY_ZONE)?),
    };
    let window = window(values, now_unix_ms());
    let (from_unix_ms, to_unix_ms) = window.ok_or_else(|| plan_faults(values))?;
    let id = values.optional_text(&ID).map(ToOwned::to_owned);
    Ok(StopPlan {
        id: id.unwrap_or_else(new_id),
        target,
        from_unix_ms,
        to_unix_ms,
    })
}

fn new_id() -> String {
    let id: u32 = SmallRng::from_os_rng().random();
    format!("stop-{id:08x}")
}

fn now_unix_ms() -> UnixMs {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let millis = since_epoch.unwrap_or_default().as_millis();
    UnixMs::try_from(millis).unwrap_or(UnixMs::MAX)
}
