//! Settings of `radishpin load`.

use super::faults::{self, FaultKind};
use crate::{
    command::{CommandSpec, reject_operands},
    settings::{
        Fault, Kind, Setting, Values,
        common::{JSON, LOG_LEVEL, THREADS},
    },
};
use std::{net::SocketAddr, time::Duration};

const PERCENT: Kind = Kind::Number {
    min: 0,
    max: 100,
    unit: "percent",
};

static TARGET: Setting = Setting::with_default(
    "target",
    Kind::Addresses,
    "127.0.0.1:8080",
    "Addresses of nodes' callers' listeners, called in turn.",
);

static EMBEDDED: Setting = Setting::optional(
    "embedded",
    Kind::Switch,
    "Start the system of `radishpin try` in this process and take its addresses for --target, \
     --direct and --journal.",
);

static INSTANT: Setting = Setting::optional(
    "instant",
    Kind::Switch,
    "With --embedded: engines that take no time, so that what lies before them is measured.",
);

static FAULTS: Setting = Setting::optional(
    "faults",
    Kind::Names,
    "With --embedded: faults to bring about at random while the load runs, or all.",
);

static FAULT_EVERY: Setting = Setting::with_default(
    "fault-every",
    Kind::Duration {
        min: Duration::from_millis(10),
        max: Duration::from_secs(3_600),
    },
    "500ms",
    "Time between two faults.",
);

static RATE: Setting = Setting::optional(
    "rate",
    Kind::Number {
        min: 1,
        max: 1_000_000,
        unit: "requests a second",
    },
    "Open loop: random (Poisson) arrivals at this mean rate, whatever the answers take.",
);

static CONCURRENCY: Setting = Setting::with_default(
    "concurrency",
    Kind::Number {
        min: 1,
        max: 20_000,
        unit: "callers",
    },
    "16",
    "Closed loop: callers that each send the next request after the last answer; with --rate, \
     the most requests on their way at once.",
);

static DURATION: Setting = Setting::with_default(
    "duration",
    Kind::Duration {
        min: Duration::from_millis(10),
        max: Duration::from_secs(86_400),
    },
    "10s",
    "Time in which requests are sent, for each address.",
);

static REQUESTS: Setting = Setting::optional(
    "requests",
    Kind::Number {
        min: 1,
        max: u64::MAX,
        unit: "requests",
    },
    "Most requests for each address, without retries; as many as fit the duration where not given.",
);

static MODELS: Setting = Setting::optional(
    "models",
    Kind::Names,
    "Models and adapters to call, the most called first; all of GET /v1/models where not given.",
);

static SKEW_PERCENT: Setting = Setting::with_default(
    "skew-percent",
    Kind::Number {
        min: 0,
        max: 1_000,
        unit: "percent",
    },
    "100",
    "Exponent of the Zipf law by which models are picked, times 100; 0 picks all alike.",
);

static STREAM_PERCENT: Setting = Setting::with_default(
    "stream-percent",
    PERCENT,
    "50",
    "Share of the completions that are asked for as a stream.",
);

static MAX_TOKENS: Setting = Setting::with_default(
    "max-tokens",
    Kind::Number {
        min: 1,
        max: 10_000,
        unit: "tokens",
    },
    "16",
    "Tokens that each completion asks for.",
);

static SERVICES: Setting = Setting::optional(
    "services",
    Kind::Names,
    "Plain services to call, each call with an Idempotency-Key of its own.",
);

static SERVICE_PERCENT: Setting = Setting::with_default(
    "service-percent",
    PERCENT,
    "20",
    "Share of the requests that go to --services, where given.",
);

static KEY_RETRIES: Setting = Setting::with_default(
    "key-retries",
    Kind::Number {
        min: 0,
        max: 10,
        unit: "times",
    },
    "1",
    "Times that a service call without a known outcome is sent again with the same key.",
);

static DEADLINE: Setting = Setting::optional(
    "deadline",
    Kind::Duration {
        min: Duration::from_millis(1),
        max: Duration::from_secs(3_600),
    },
    "Deadline that each request states; the profile's patience where not given.",
);

static WAIT: Setting = Setting::with_default(
    "wait",
    Kind::Duration {
        min: Duration::from_millis(100),
        max: Duration::from_secs(3_600),
    },
    "60s",
    "Time after which a request without a whole answer counts as dropped.",
);

static SEED: Setting = Setting::with_default(
    "seed",
    Kind::Number {
        min: 0,
        max: u64::MAX,
        unit: "as a seed",
    },
    "1",
    "Seed of arrivals and of what is called.",
);

static DIRECT: Setting = Setting::optional(
    "direct",
    Kind::Address,
    "Address of a stand-in engine that gets the same load first, without --services; what the \
     target adds to it is reported.",
);

static JOURNAL: Setting = Setting::optional(
    "journal",
    Kind::Addresses,
    "Addresses of the stand-in engines and services, against whose journals the answers are checked.",
);

static PROCESS: Setting = Setting::optional(
    "process",
    Kind::Number {
        min: 1,
        max: u32::MAX as u64,
        unit: "as a process id",
    },
    "Process whose processor time is read, for requests a second per core.",
);

/// Settings of `radishpin load`.
#[derive(Clone, Debug)]
pub(super) struct LoadSettings {
    pub(super) targets: Vec<SocketAddr>,
    pub(super) embedded: bool,
    pub(super) instant: bool,
    pub(super) faults: Vec<FaultKind>,
    pub(super) fault_every: Duration,
    pub(super) direct: Option<SocketAddr>,
    pub(super) journals: Vec<SocketAddr>,
    pub(super) process: Option<u64>,
    pub(super) rate_per_second: Option<u64>,
    pub(super) concurrency: usize,
    pub(super) duration: Duration,
    pub(super) requests: Option<u64>,
    pub(super) models: Vec<String>,
    pub(super) services: Vec<String>,
    pub(super) skew_percent: u32,
    pub(super) stream_percent: u32,
    pub(super) service_percent: u32,
    pub(super) max_tokens: u32,
    pub(super) key_retries: u32,
    pub(super) deadline: Option<Duration>,
    pub(super) wait: Duration,
    pub(super) seed: u64,
    pub(super) threads: usize,
}

impl LoadSettings {
    /// Takes the checked values.
    ///
    /// # Errors
    /// A setting is missing; checked values have them all.
    pub(super) fn new(values: &Values) -> Result<Self, Vec<Fault>> {
        Ok(Self {
            targets: values.addresses(&TARGET),
            embedded: values.switch(&EMBEDDED),
            instant: values.switch(&INSTANT),
            faults: faults::named(&values.names(&FAULTS)),
            fault_every: values.duration(&FAULT_EVERY)?,
            direct: values.optional_address(&DIRECT),
            journals: values.addresses(&JOURNAL),
            process: values.optional_number(&PROCESS),
            rate_per_second: values.optional_number(&RATE),
            concurrency: values.number(&CONCURRENCY)?,
            duration: values.duration(&DURATION)?,
            requests: values.optional_number(&REQUESTS),
            models: values.names(&MODELS),
            services: values.names(&SERVICES),
            skew_percent: values.number(&SKEW_PERCENT)?,
            stream_percent: values.number(&STREAM_PERCENT)?,
            service_percent: values.number(&SERVICE_PERCENT)?,
            max_tokens: values.number(&MAX_TOKENS)?,
            key_retries: values.number(&KEY_RETRIES)?,
            deadline: values.optional_duration(&DEADLINE),
            wait: values.duration(&WAIT)?,
            seed: values.number(&SEED)?,
            threads: values.number(&THREADS)?,
        })
    }
}

/// Declaration of the command.
pub(in crate::command) static SPEC: CommandSpec = CommandSpec {
    name: "load",
    summary: "Send load, measure latency, and check what came of every request.",
    usages: &["[FLAGS]"],
    settings: &[
        &TARGET,
        &EMBEDDED,
        &INSTANT,
        &FAULTS,
        &FAULT_EVERY,
        &RATE,
        &CONCURRENCY,
        &DURATION,
        &REQUESTS,
        &MODELS,
        &SKEW_PERCENT,
        &STREAM_PERCENT,
        &MAX_TOKENS,
        &SERVICES,
        &SERVICE_PERCENT,
        &KEY_RETRIES,
        &DEADLINE,
        &WAIT,
        &SEED,
        &DIRECT,
        &JOURNAL,
        &PROCESS,
        &THREADS,
        &JSON,
        &LOG_LEVEL,
    ],
    examples: &[
        "radishpin load --concurrency 64 --duration 5s",
        "radishpin load --embedded --instant --concurrency 64 --stream-percent 0",
        "radishpin load --embedded --services booking --faults all --rate 200 --duration 30s",
        "radishpin load --rate 2000 --services bookings --journal 127.0.0.1:7001,127.0.0.1:7002",
        "radishpin load --models m1 --stream-percent 0 --direct 127.0.0.1:7001 --json",
    ],
    notes: "Answers are compared with what the stand-in engines answer to the prompt, so the tool\n\
            measures a system before stand-ins. Exit code 1 if a promise was broken: a request\n\
            dropped or cut short, an answer to another caller, a keyed call run twice, or a\n\
            request run that was answered \"not run\".\n",
    check,
};

fn check(values: &Values) -> Vec<Fault> {
    let mut found = reject_operands(values);
    let unknown = values.names(&FAULTS);
    let unknown = unknown.iter().filter(|name| !faults::is_name(name));
    found.extend(unknown.map(|name| Fault::NotAllowed {
        setting: format!("--{}", FAULTS.flag),
        value: name.clone(),
        allowed: faults::allowed(),
    }));
    if !values.switch(&EMBEDDED) {
        let only_embedded = [&INSTANT, &FAULTS].into_iter();
        let given = only_embedded.filter(|setting| values.is_given(setting));
        found.extend(given.map(|setting| Fault::Contradiction {
            setting: setting.label(),
            value: "given".to_owned(),
            allowed: "with --embedded".to_owned(),
        }));
    }
    found
}
