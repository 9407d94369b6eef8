//! `radishpin node`: serves callers and operators on an entry host.

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    role::{platform_client, run_until_stop_signal},
    settings::{
        Fault, Kind, Setting, Values,
        common::{
            AVAILABILITY_ZONE, DRAIN_TIMEOUT, HOST, INTERNAL_TOKEN, LOG_LEVEL, NAME, PLATFORM,
            THREADS, TOKEN,
        },
    },
};
use radishpin_http::{ServerLimits, Shutdown};
use radishpin_runtime::Runtime;
use radishpin_server::{Node, NodeSettings};
use std::time::Duration;

static LISTEN: Setting = Setting::with_default(
    "listen",
    Kind::Address,
    "0.0.0.0:8080",
    "Address of the callers' listener; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

static OPERATOR_LISTEN: Setting = Setting::with_default(
    "operator-listen",
    Kind::Address,
    "127.0.0.1:8081",
    "Address of the operators' listener.",
)
.env("RADISHPIN_OPERATOR_LISTEN");

static PEER_LISTEN: Setting = Setting::with_default(
    "peer-listen",
    Kind::Address,
    "0.0.0.0:8082",
    "Address of the listener for other nodes.",
)
.env("RADISHPIN_PEER_LISTEN");

static PEERS: Setting = Setting::optional(
    "peers",
    Kind::Addresses,
    "Peer addresses of the other nodes, to start from while the platform is down.",
)
.env("RADISHPIN_PEERS");

static HEAD_LIMIT: Setting = Setting::with_default(
    "head-limit-bytes",
    Kind::Number {
        min: 1_024,
        max: 8_191,
        unit: "bytes",
    },
    "8191",
    "Largest size of the head of a caller's request.",
)
.env("RADISHPIN_HEAD_LIMIT_BYTES");

static BODY_LIMIT: Setting = Setting::with_default(
    "body-limit-bytes",
    Kind::Number {
        min: 1_024,
        max: 1_073_741_824,
        unit: "bytes",
    },
    "8388608",
    "Largest size of the body of a caller's request.",
)
.env("RADISHPIN_BODY_LIMIT_BYTES");

static CONNECTION_LIMIT: Setting = Setting::with_default(
    "connection-limit",
    Kind::Number {
        min: 1,
        max: 1_000_000,
        unit: "connections",
    },
    "10000",
    "Largest number of open connections of callers.",
)
.env("RADISHPIN_CONNECTION_LIMIT");

const CALLER_TIMEOUT_RANGE: Kind = Kind::Duration {
    min: Duration::from_millis(100),
    max: Duration::from_secs(3_600),
};

static HEAD_TIMEOUT: Setting = Setting::with_default(
    "head-timeout",
    CALLER_TIMEOUT_RANGE,
    "10s",
    "Timeout for receiving the head of a caller's request.",
)
.env("RADISHPIN_HEAD_TIMEOUT");

static BODY_TIMEOUT: Setting = Setting::with_default(
    "body-timeout",
    CALLER_TIMEOUT_RANGE,
    "30s",
    "Timeout for receiving the body of a caller's request.",
)
.env("RADISHPIN_BODY_TIMEOUT");

static IDLE_TIMEOUT: Setting = Setting::with_default(
    "idle-timeout",
    CALLER_TIMEOUT_RANGE,
    "75s",
    "Time that a caller's connection may be idle between requests.",
)
.env("RADISHPIN_IDLE_TIMEOUT");

static WRITE_TIMEOUT: Setting = Setting::with_default(
    "write-timeout",
    CALLER_TIMEOUT_RANGE,
    "30s",
    "Timeout for one write to a caller.",
)
.env("RADISHPIN_WRITE_TIMEOUT");

static POLL_INTERVAL: Setting = Setting::with_default(
    "poll-interval",
    Kind::Duration {
        min: Duration::from_millis(100),
        max: Duration::from_secs(10),
    },
    "2s",
    "Interval between reads of the platform's head row, which shows whether rows have changed.",
)
.env("RADISHPIN_POLL_INTERVAL");

static STOP_LEAD: Setting = Setting::with_default(
    "stop-lead",
    Kind::Duration {
        min: Duration::from_secs(1),
        max: Duration::from_secs(3_600),
    },
    "30s",
    "Time before a planned stop from which its endpoints accept no new work.",
)
.env("RADISHPIN_STOP_LEAD");

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "node",
    summary: "Run the node of an entry host: serves callers' requests and operators' orders.",
    usages: &["[FLAGS]"],
    settings: &[
        &NAME,
        &AVAILABILITY_ZONE,
        &HOST,
        &LISTEN,
        &OPERATOR_LISTEN,
        &PEER_LISTEN,
        &PEERS,
        &PLATFORM,
        &TOKEN,
        &INTERNAL_TOKEN,
        &THREADS,
        &HEAD_LIMIT,
        &BODY_LIMIT,
        &CONNECTION_LIMIT,
        &HEAD_TIMEOUT,
        &BODY_TIMEOUT,
        &IDLE_TIMEOUT,
        &WRITE_TIMEOUT,
        &DRAIN_TIMEOUT,
        &POLL_INTERVAL,
        &STOP_LEAD,
        &LOG_LEVEL,
    ],
    examples: &[
        "RADISHPIN_TOKEN=0123456789abcdef RADISHPIN_INTERNAL_TOKEN=fedcba9876543210 \
         radishpin node --name node-1 --availability-zone gondar --host host-1 --platform 127.0.0.1:9000",
    ],
    notes: "",
    check: reject_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(node_settings(values)?)
}

/// Runs the node until a stop signal arrives, then drains it.
fn start(settings: NodeSettings) -> Result<(), CommandError> {
    let runtime = Runtime::start(settings.threads)?;
    let platform = platform_client(settings.platform)?;
    smol::block_on(async {
        let shutdown = Shutdown::default();
        let running = Node::start(settings, runtime, platform, shutdown.clone()).await?;
        let ready = format!(
            "{}\noperators http://{}",
            running.address, running.operator_address
        );
        run_until_stop_signal(&ready, shutdown, running.stopped()).await
    })
}

fn node_settings(values: &Values) -> Result<NodeSettings, Vec<Fault>> {
    Ok(NodeSettings {
        name: values.text(&NAME)?,
        availability_zone: values.text(&AVAILABILITY_ZONE)?,
        host: values.text(&HOST)?,
        listen: values.address(&LISTEN)?,
        operator_listen: values.address(&OPERATOR_LISTEN)?,
        peer_listen: values.address(&PEER_LISTEN)?,
        peers: values.addresses(&PEERS),
        platform: values.address(&PLATFORM)?,
        token: values.token(&TOKEN)?,
        internal_token: values.token(&INTERNAL_TOKEN)?,
        threads: values.number(&THREADS)?,
        limits: ServerLimits {
            head_bytes: values.number(&HEAD_LIMIT)?,
            body_bytes: values.number(&BODY_LIMIT)?,
            head_timeout: values.duration(&HEAD_TIMEOUT)?,
            body_timeout: values.duration(&BODY_TIMEOUT)?,
            idle_timeout: values.duration(&IDLE_TIMEOUT)?,
            write_timeout: values.duration(&WRITE_TIMEOUT)?,
            connections: values.number(&CONNECTION_LIMIT)?,
        },
        drain_timeout: values.duration(&DRAIN_TIMEOUT)?,
        poll_interval: values.duration(&POLL_INTERVAL)?,
        stop_lead: values.duration(&STOP_LEAD)?,
    })
}
