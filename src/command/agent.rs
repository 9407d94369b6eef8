//! `radishpin agent`: manages one endpoint and is the only sender of orders to it.

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    role::{platform_client, run_until_stop_signal},
    settings::{
        Fault, Kind, Setting, Values,
        common::{
            AVAILABILITY_ZONE, DRAIN_TIMEOUT, HOST, INTERNAL_TOKEN, LOG_LEVEL, NAME, PLATFORM,
            THREADS,
        },
    },
};
use radishpin_http::Shutdown;
use radishpin_protocol::ServiceKind;
use radishpin_runtime::Runtime;
use radishpin_server::{Agent, AgentSettings, Fencing};
use std::time::Duration;

const MODELS: &str = "models";
const PLAIN: &str = "plain";
const CHECKED: &str = "checked";
const IGNORED: &str = "ignored";

static LISTEN: Setting = Setting::required(
    "listen",
    Kind::Address,
    "Address of the listener that nodes connect to; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

static METRICS_LISTEN: Setting = Setting::optional(
    "metrics-listen",
    Kind::Address,
    "Address of the HTTP listener for /metrics, /healthz and /readyz; none is opened without it.",
)
.env("RADISHPIN_METRICS_LISTEN");

static ENDPOINT: Setting = Setting::required(
    "endpoint",
    Kind::Address,
    "HTTP address of the model engine or plain service that the agent manages.",
)
.env("RADISHPIN_ENDPOINT");

static SERVICE: Setting = Setting::required(
    "service",
    Kind::Name,
    "Service that the endpoint belongs to.",
)
.env("RADISHPIN_SERVICE");

static KIND: Setting = Setting::with_default(
    "kind",
    Kind::Choice(&[MODELS, PLAIN]),
    MODELS,
    "What the endpoint does: run models, or answer as a plain service.",
)
.env("RADISHPIN_KIND");

static MEMORY: Setting = Setting::with_default(
    "memory-mb",
    Kind::Number {
        min: 0,
        max: 16_777_216,
        unit: "MiB",
    },
    "0",
    "Accelerator memory of the endpoint; 0 for a plain service only.",
)
.env("RADISHPIN_MEMORY_MB");

static CONCURRENCY: Setting = Setting::with_default(
    "concurrency",
    Kind::Number {
        min: 1,
        max: 10_000,
        unit: "calls",
    },
    "8",
    "Calls that the endpoint processes concurrently.",
)
.env("RADISHPIN_CONCURRENCY");

static FENCING: Setting = Setting::with_default(
    "fencing",
    Kind::Choice(&[CHECKED, IGNORED]),
    IGNORED,
    "Whether the endpoint refuses an order with an outdated fencing token.",
)
.env("RADISHPIN_FENCING");

static QUEUE_PLACES: Setting = Setting::with_default(
    "queue-places",
    Kind::Number {
        min: 0,
        max: 100_000,
        unit: "calls",
    },
    "256",
    "Largest number of calls queued for the endpoint.",
)
.env("RADISHPIN_QUEUE_PLACES");

static ORDER_LIFE: Setting = Setting::with_default(
    "order-life",
    Kind::Duration {
        min: Duration::from_millis(100),
        max: Duration::from_secs(3_600),
    },
    "30s",
    "Longest time after which an order sent to the endpoint may still take effect.",
)
.env("RADISHPIN_ORDER_LIFE");

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "agent",
    summary: "Run the agent of an endpoint: the only sender of orders to it.",
    usages: &["[FLAGS]"],
    settings: &[
        &NAME,
        &AVAILABILITY_ZONE,
        &HOST,
        &LISTEN,
        &METRICS_LISTEN,
        &ENDPOINT,
        &SERVICE,
        &KIND,
        &MEMORY,
        &CONCURRENCY,
        &FENCING,
        &PLATFORM,
        &INTERNAL_TOKEN,
        &THREADS,
        &QUEUE_PLACES,
        &ORDER_LIFE,
        &DRAIN_TIMEOUT,
        &LOG_LEVEL,
    ],
    examples: &[
        "RADISHPIN_INTERNAL_TOKEN=fedcba9876543210 radishpin agent --name runner-1 \
         --availability-zone gondar --host host-2 --listen 127.0.0.1:8090 --endpoint 127.0.0.1:7000 --service drafting \
         --memory-mb 40960 --platform 127.0.0.1:9000",
        "RADISHPIN_INTERNAL_TOKEN=fedcba9876543210 radishpin agent --name booking-1 \
         --availability-zone recife-a --host host-3 --listen 127.0.0.1:8090 --endpoint 127.0.0.1:7001 --service booking \
         --kind plain --platform 127.0.0.1:9000",
    ],
    notes: "",
    check,
};

fn check(values: &Values) -> Vec<Fault> {
    let mut faults = reject_operands(values);
    // The agent registers this address in the table, so nodes on other hosts must be able to
    // connect to it.
    if let Ok(address) = values.address(&LISTEN)
        && address.ip().is_unspecified()
    {
        faults.push(Fault::NotAllowed {
            setting: LISTEN.label(),
            value: address.to_string(),
            allowed: "an address of this host that nodes can connect to, not an unspecified one"
                .into(),
        });
    }
    let kind = values.optional_text(&KIND);
    let memory_mb = values.optional_number(&MEMORY);
    match (kind, memory_mb) {
        (Some(MODELS), Some(0)) => faults.push(Fault::Contradiction {
            setting: MEMORY.label(),
            value: "0".into(),
            allowed: "1 to 16777216 MiB with --kind models".into(),
        }),
        (Some(PLAIN), Some(memory_mb)) if memory_mb > 0 => faults.push(Fault::Contradiction {
            setting: MEMORY.label(),
            value: memory_mb.to_string(),
            allowed: "0 with --kind plain".into(),
        }),
        _ => {}
    }
    faults
}

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(agent_settings(values)?)
}

/// Runs the agent until a stop signal arrives, then drains it.
fn start(settings: AgentSettings) -> Result<(), CommandError> {
    let runtime = Runtime::start(settings.threads)?;
    let platform = platform_client(settings.platform)?;
    smol::block_on(async {
        let shutdown = Shutdown::default();
        let running = Agent::start(settings, runtime, platform, shutdown.clone()).await?;
        let ready = match running.metrics_address {
            Some(metrics) => format!(
                "{}
metrics http://{metrics}",
                running.address
            ),
            None => running.address.to_string(),
        };
        run_until_stop_signal(&ready, shutdown, running.stopped()).await
    })
}

fn agent_settings(values: &Values) -> Result<AgentSettings, Vec<Fault>> {
    let kind = match values.optional_text(&KIND) {
        Some(PLAIN) => ServiceKind::Plain,
        _ => ServiceKind::Models,
    };
    let fencing = match values.optional_text(&FENCING) {
        Some(CHECKED) => Fencing::Checked,
        _ => Fencing::Ignored,
    };
    Ok(AgentSettings {
        name: values.text(&NAME)?,
        availability_zone: values.text(&AVAILABILITY_ZONE)?,
        host: values.text(&HOST)?,
        listen: values.address(&LISTEN)?,
        metrics_listen: values.optional_address(&METRICS_LISTEN),
        endpoint: values.address(&ENDPOINT)?,
        service: values.text(&SERVICE)?,
        kind,
        memory_mb: values.number(&MEMORY)?,
        concurrency: values.number(&CONCURRENCY)?,
        fencing,
        platform: values.address(&PLATFORM)?,
        internal_token: values.token(&INTERNAL_TOKEN)?,
        threads: values.number(&THREADS)?,
        queue_places: values.number(&QUEUE_PLACES)?,
        order_life: values.duration(&ORDER_LIFE)?,
        drain_timeout: values.duration(&DRAIN_TIMEOUT)?,
    })
}
