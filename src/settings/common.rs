//! Settings that several commands share.

use super::{Kind, Setting};
use radishpin_adapter::SETTINGS_PATH_VARIABLE;
use std::time::Duration;

/// Name of the node, or of the endpoint for an agent.
pub(crate) static NAME: Setting = Setting::required(
    "name",
    Kind::Name,
    "Name of this node, or of the endpoint beside this agent; unique in the cluster.",
)
.env("RADISHPIN_NAME");

/// Availability zone that the process runs in.
pub(crate) static AVAILABILITY_ZONE: Setting = Setting::required(
    "availability-zone",
    Kind::Name,
    "Availability zone that the process runs in.",
)
.env("RADISHPIN_AVAILABILITY_ZONE");

/// Host that the process runs on, by its name in the platform's host list.
pub(crate) static HOST: Setting = Setting::required(
    "host",
    Kind::Name,
    "Host that the process runs on, as the platform's host list names it.",
)
.env("RADISHPIN_HOST");

/// HTTP address of the platform's services.
pub(crate) static PLATFORM: Setting = Setting::required(
    "platform",
    Kind::Address,
    "HTTP address of the platform's table service, object store and host list.",
)
.env("RADISHPIN_PLATFORM");

/// Token with which nodes and agents authenticate to each other.
pub(crate) static INTERNAL_TOKEN: Setting = Setting::required(
    "internal-token-file",
    Kind::Token,
    "File with the token that nodes and agents present to each other; the variable holds the token itself.",
)
.env("RADISHPIN_INTERNAL_TOKEN");

/// Token with which operators authenticate to a node.
pub(crate) static TOKEN: Setting = Setting::required(
    "token-file",
    Kind::Token,
    "File with the operators' token; the variable holds the token itself.",
)
.env("RADISHPIN_TOKEN");

/// Number of worker threads.
pub(crate) static THREADS: Setting = Setting::with_default(
    "threads",
    Kind::Number {
        min: 1,
        max: 256,
        unit: "threads",
    },
    "4",
    "Worker threads.",
)
.env("RADISHPIN_THREADS");

/// Longest time to wait for running calls when the process stops.
pub(crate) static DRAIN_TIMEOUT: Setting = Setting::with_default(
    "drain-timeout",
    Kind::Duration {
        min: Duration::ZERO,
        max: Duration::from_secs(3_600),
    },
    "30s",
    "Longest time to wait for running calls to finish when the process is asked to stop.",
)
.env("RADISHPIN_DRAIN_TIMEOUT");

/// File with the settings that the platform gives to a gateway or sidecar.
pub(crate) static BOOT: Setting = Setting::required(
    "boot",
    Kind::File,
    "File with the settings that the platform gives to this process.",
)
.env(SETTINGS_PATH_VARIABLE);

/// Port on which a gateway or sidecar serves its metrics.
pub(crate) static METRICS_PORT: Setting = Setting::with_default(
    "metrics-port",
    Kind::Number {
        min: 1,
        max: 65_535,
        unit: "port",
    },
    "9464",
    "Port on which metrics are served as text, at any path.",
)
.env("RADISHPIN_METRICS_PORT");

/// Log level of a role that logs to standard output.
pub(crate) static ROLE_LOG_LEVEL: Setting = Setting::with_default(
    "log-level",
    Kind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
    "info",
    "Least severe level that is logged, to standard output.",
)
.env("RADISHPIN_LOG_LEVEL");

/// Log level of a command that logs to standard error.
pub(crate) static LOG_LEVEL: Setting = Setting::with_default(
    "log-level",
    Kind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
    "info",
    "Least severe level that is logged, to standard error.",
)
.env("RADISHPIN_LOG_LEVEL");

/// Address of the operators' API that a command calls.
pub(crate) static SERVER: Setting = Setting::with_default(
    "server",
    Kind::Address,
    "127.0.0.1:8081",
    "Address of a node's operators' API.",
)
.env("RADISHPIN_SERVER");

/// Timeout of a call to the operators' API, including the response body.
pub(crate) static TIMEOUT: Setting = Setting::with_default(
    "timeout",
    Kind::Duration {
        min: Duration::from_millis(100),
        max: Duration::from_secs(600),
    },
    "15s",
    "Longest time to wait for the operators' API.",
)
.env("RADISHPIN_TIMEOUT");

/// Whether to print JSON instead of text for people.
pub(crate) static JSON: Setting = Setting::optional(
    "json",
    Kind::Switch,
    "Print JSON for scripts instead of a table.",
);

/// Seed of the stand-ins' random number generators.
pub(crate) static SEED: Setting = Setting::with_default(
    "seed",
    Kind::Number {
        min: 0,
        max: u64::MAX,
        unit: "as a seed",
    },
    "1",
    "Seed of the stand-ins' random choices.",
)
.env("RADISHPIN_SEED");

/// Document version that a change is conditional on.
pub(crate) static IF_VERSION: Setting = Setting::optional(
    "if-version",
    Kind::Number {
        min: 1,
        max: u64::MAX,
        unit: "as a version",
    },
    "Version of the document that you last read; the change is refused if the current version differs.",
);
