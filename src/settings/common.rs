//! Settings that several commands share.

use super::{Kind, Setting};
use radishpin_adapter::SETTINGS_PATH_VARIABLE;
use std::time::Duration;

/// Name of the node or endpoint.
pub(crate) static NAME: Setting = Setting::required(
    "name",
    Kind::Name,
    "Name of this node, or of the endpoint beside this agent; unique in the cluster.",
)
.env("RADISHPIN_NAME");

/// Availability zone of the process.
pub(crate) static AVAILABILITY_ZONE: Setting = Setting::required(
    "availability-zone",
    Kind::Name,
    "Availability zone that the process runs in.",
)
.env("RADISHPIN_AVAILABILITY_ZONE");

/// Host of the process.
pub(crate) static HOST: Setting = Setting::required(
    "host",
    Kind::Name,
    "Host that the process runs on, as the platform's host list names it.",
)
.env("RADISHPIN_HOST");

/// Address of the platform.
pub(crate) static PLATFORM: Setting = Setting::required(
    "platform",
    Kind::Address,
    "HTTP address of the platform's table service, object store and host list.",
)
.env("RADISHPIN_PLATFORM");

/// Token of the system's own processes.
pub(crate) static INTERNAL_TOKEN: Setting = Setting::required(
    "internal-token-file",
    Kind::Token,
    "File with the token that nodes and agents present to each other; the variable holds the token itself.",
)
.env("RADISHPIN_INTERNAL_TOKEN");

/// Token of the operators.
pub(crate) static TOKEN: Setting = Setting::required(
    "token-file",
    Kind::Token,
    "File with the operators' token; the variable holds the token itself.",
)
.env("RADISHPIN_TOKEN");

/// Worker threads.
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

/// Time for running work when the process stops.
pub(crate) static DRAIN_TIMEOUT: Setting = Setting::with_default(
    "drain-timeout",
    Kind::Duration {
        min: Duration::ZERO,
        max: Duration::from_secs(3_600),
    },
    "30s",
    "Longest time that running calls get when the process is told to stop.",
)
.env("RADISHPIN_DRAIN_TIMEOUT");

/// File with what a process learns from its platform.
pub(crate) static BOOT: Setting = Setting::required(
    "boot",
    Kind::File,
    "File with the settings that the platform gives to this process.",
)
.env(SETTINGS_PATH_VARIABLE);

/// Port on which a role of the platform serves its metrics.
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

/// Level of the logs of a role that logs to standard output.
pub(crate) static ROLE_LOG_LEVEL: Setting = Setting::with_default(
    "log-level",
    Kind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
    "info",
    "Least severe level that is logged, to standard output.",
)
.env("RADISHPIN_LOG_LEVEL");

/// Level of the logs.
pub(crate) static LOG_LEVEL: Setting = Setting::with_default(
    "log-level",
    Kind::Choice(&["off", "error", "warn", "info", "debug", "trace"]),
    "info",
    "Least severe level that is logged, to standard error.",
)
.env("RADISHPIN_LOG_LEVEL");

/// Address of a node's operators' API.
pub(crate) static SERVER: Setting = Setting::with_default(
    "server",
    Kind::Address,
    "127.0.0.1:8081",
    "Address of a node's operators' API.",
)
.env("RADISHPIN_SERVER");

/// Time for a call to the operators' API.
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

/// Output for scripts.
pub(crate) static JSON: Setting = Setting::optional(
    "json",
    Kind::Switch,
    "Print JSON for scripts instead of a table.",
);

/// Seed of the stand-ins.
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

/// Version that a change is conditional on.
pub(crate) static IF_VERSION: Setting = Setting::optional(
    "if-version",
    Kind::Number {
        min: 1,
        max: u64::MAX,
        unit: "as a version",
    },
    "Version of the document that you saw; the change is refused if another one stands.",
);
