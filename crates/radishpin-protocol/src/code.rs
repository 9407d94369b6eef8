//! Numbered result codes: one for every way in which a request is not served.
//!
//! `docs/RESULT_CODES.md` lists them for callers and operators; a test keeps both equal.

use serde::{Deserialize, Serialize};

/// Whether a request may have run at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// Proven: it did not run and never will.
    No,
    /// It may have run.
    Unknown,
}

impl Ran {
    /// The word that answers and the docs use.
    pub const fn name(self) -> &'static str {
        match self {
            Self::No => "no",
            Self::Unknown => "unknown",
        }
    }
}

macro_rules! result_codes {
    ($(
        #[doc = $cause:literal]
        $name:ident = $number:literal, $snake:literal, $status:literal, $ran:ident,
            caller: $help:literal,
            operator: $operator_help:literal;
    )*) => {
        /// Why a request or an operator's order was not carried out.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = $cause] $name,)*
        }

        impl ResultCode {
            /// Every code, in ascending order of number.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The number that callers and the table in the docs use.
            pub const fn number(self) -> u32 {
                match self { $(Self::$name => $number),* }
            }

            /// The name in `snake_case`, also the label of its counter.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $snake),* }
            }

            /// HTTP status of the answer.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// What the code says about whether the request ran.
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran),* }
            }

            /// What the caller can do.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help),* }
            }

            /// What happened.
            pub const fn cause(self) -> &'static str {
                match self { $(Self::$name => $cause.trim_ascii()),* }
            }

            /// What the operator can do.
            pub const fn operator_help(self) -> &'static str {
                match self { $(Self::$name => $operator_help),* }
            }

            /// The code with this number.
            pub fn from_number(number: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

result_codes! {
    /// The request is not well-formed HTTP.
    MalformedRequest = 1001, "malformed_request", 400, No,
        caller: "Send a well-formed HTTP/1.1 request with one Host header and one body length.",
        operator: "Find the client by the request id or peer in the logs.";
    /// The request's head is larger than allowed.
    HeadTooLarge = 1002, "head_too_large", 431, No,
        caller: "Send fewer or shorter headers.",
        operator: "Raise --head-limit-bytes if callers need it.";
    /// The request's body is larger than allowed.
    BodyTooLarge = 1003, "body_too_large", 413, No,
        caller: "Send a smaller body.",
        operator: "Raise --body-limit-bytes if callers need it.";
    /// The caller sent its request too slowly.
    SlowRequest = 1004, "slow_request", 408, No,
        caller: "Send the whole request sooner.",
        operator: "Look at the callers' network; raise --head-timeout or --body-timeout if they need it.";
    /// No model or adapter has this name.
    UnknownModel = 1005, "unknown_model", 404, No,
        caller: "List the models with GET /v1/models.",
        operator: "Check that the model or adapter is registered: `radishpin status`.";
    /// No plain service has this name.
    UnknownService = 1006, "unknown_service", 404, No,
        caller: "Check the name behind /services/.",
        operator: "Check that the service exists and is a plain one: `radishpin status`.";
    /// A field or header of the request is missing or wrong.
    InvalidField = 1007, "invalid_field", 400, No,
        caller: "Correct the field that the reason names.",
        operator: "Nothing, unless many callers send it: then a client was changed.";
    /// The path does not take this method.
    MethodNotAllowed = 1008, "method_not_allowed", 405, No,
        caller: "Use the method that the path takes.",
        operator: "Nothing.";
    /// No such path.
    UnknownPath = 1009, "unknown_path", 404, No,
        caller: "Check the path.",
        operator: "Nothing; callers' listeners never serve the operators' API.";
    /// The Idempotency-Key was used with a different request.
    KeyReused = 1010, "key_reused", 422, No,
        caller: "Use a new Idempotency-Key for a new request.",
        operator: "Tell the client's maintainers: a key must belong to one request.";
    /// The deadline cannot be met, by estimate.
    DeadlineUnreachable = 2001, "deadline_unreachable", 503, No,
        caller: "Retry after the stated time, or allow more time.",
        operator: "Look at queues and loads in `radishpin status`; raise patience or replicas in the profile.";
    /// The queue is full.
    QueueFull = 2002, "queue_full", 429, No,
        caller: "Retry after the stated time.",
        operator: "Look at load per endpoint; add endpoints, or raise max_replicas in the profile.";
    /// The service already uses its share of the queue.
    ServiceLimit = 2003, "service_limit", 429, No,
        caller: "Retry after the stated time, or send fewer requests at once.",
        operator: "Look which service sends the burst; add endpoints for it if it is wanted.";
    /// No endpoint can serve the request now.
    NoEndpoint = 2004, "no_endpoint", 503, No,
        caller: "Retry after the stated time.",
        operator: "Check hosts, agents and planned stops in `radishpin status`.";
    /// The node is shutting down.
    Draining = 2005, "draining", 503, No,
        caller: "Retry at once; the balancer picks another node.",
        operator: "Nothing during a restart; the balancer should have stopped sending.";
    /// The deadline passed while the request waited.
    DeadlinePassed = 2006, "deadline_passed", 504, No,
        caller: "Retry after the stated time, or allow more time.",
        operator: "Look at queues and loads in `radishpin status`; raise patience or replicas in the profile.";
    /// No retry is left in the budget.
    RetryBudgetSpent = 2007, "retry_budget_spent", 503, No,
        caller: "Retry after the stated time.",
        operator: "Look why first attempts fail: endpoints lost, leaving or refusing.";
    /// The model could not be loaded.
    LoadFailed = 2008, "load_failed", 503, No,
        caller: "Retry after the stated time.",
        operator: "Look at the agent's log and at the weight store.";
    /// The endpoint is leaving and takes no new work.
    EndpointLeaving = 2009, "endpoint_leaving", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing during a planned stop; if it lasts, check that another endpoint has a grant.";
    /// The endpoint has no grant for the model.
    NotGranted = 2010, "not_granted", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing if it is brief: the grant has moved. If it lasts, compare versions in `radishpin status`.";
    /// The endpoint has no memory for the model.
    NoMemory = 2011, "no_memory", 503, No,
        caller: "Retry after the stated time.",
        operator: "Compare sizes of models with memory of endpoints; lower min_loaded or add endpoints.";
    /// The attempt was tombstoned before it started.
    Tombstoned = 2012, "tombstoned", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing; a node gave the attempt up in time.";
    /// The same attempt arrived before; it is not started twice.
    DuplicateAttempt = 2013, "duplicate_attempt", 409, Unknown,
        caller: "Wait for the answer to the earlier attempt.",
        operator: "Look for a lossy link between nodes and agents.";
    /// Whether the request ran is not known.
    OutcomeUnknown = 3001, "outcome_unknown", 502, Unknown,
        caller: "Check at the service before you send it again, or send it again with the same Idempotency-Key.",
        operator: "Look which endpoint or agent was lost, and check at the service what ran.";
    /// The deadline passed after the request was started.
    DeadlinePassedStarted = 3002, "deadline_passed_started", 504, Unknown,
        caller: "Check at the service before you send it again, or send it again with the same Idempotency-Key.",
        operator: "Look at the endpoint's service time; raise patience in the profile.";
    /// The Idempotency-Key cannot be checked while the platform is down.
    KeyUnchecked = 3003, "key_unchecked", 503, Unknown,
        caller: "Send it again with the same Idempotency-Key after the stated time.",
        operator: "Restore the platform's table service.";
    /// A call with the same Idempotency-Key has no known outcome yet.
    KeyInProgress = 3004, "key_in_progress", 409, Unknown,
        caller: "Send it again with the same Idempotency-Key after the stated time.",
        operator: "Nothing if it is brief; if it lasts, the first call's node was lost: check at the service.";
    /// The endpoint's answer broke off.
    AnswerBroken = 3005, "answer_broken", 502, Unknown,
        caller: "Check at the service before you send it again.",
        operator: "Look at the endpoint's log; it closed its answer early.";
    /// The endpoint answered another request.
    AnswerCrossed = 3006, "answer_crossed", 502, Unknown,
        caller: "Check at the service before you send it again.",
        operator: "Take the endpoint out of service and report it to its vendor.";
    /// The order carries no token.
    TokenMissing = 4001, "token_missing", 401, No,
        caller: "Set the token by RADISHPIN_TOKEN or --token-file.",
        operator: "Set the token where the order is given.";
    /// The order carries a wrong token.
    TokenWrong = 4002, "token_wrong", 403, No,
        caller: "Check the token.",
        operator: "Compare the tokens of the operator and the nodes; look for strangers if it repeats.";
    /// Another operator changed it first.
    VersionConflict = 4003, "version_conflict", 409, No,
        caller: "Read the current version and decide again.",
        operator: "Show the current version, and repeat the change if it is still wanted.";
    /// The document is not valid.
    DocumentInvalid = 4004, "document_invalid", 422, No,
        caller: "Correct the fields that the reason names.",
        operator: "Check the document offline with `radishpin check profile FILE`.";
    /// A service still uses the profile.
    ProfileInUse = 4005, "profile_in_use", 409, No,
        caller: "Let the services pick another profile first.",
        operator: "`radishpin profile assign SERVICE PROFILE` for each service that the reason names.";
    /// No profile has this name.
    UnknownProfile = 4006, "unknown_profile", 404, No,
        caller: "List the profiles with `radishpin profile list`.",
        operator: "Check the name with `radishpin profile list`.";
    /// No planned stop has this id.
    UnknownStop = 4007, "unknown_stop", 404, No,
        caller: "List the stops with `radishpin stop list`.",
        operator: "Check the id with `radishpin stop list`; it may have been cancelled already.";
    /// Whether the change was accepted is not known.
    ChangeUnknown = 4008, "change_unknown", 503, Unknown,
        caller: "Read the document again to see whether the change is there.",
        operator: "Show the document, and repeat the change only if it is not there.";
    /// The process is not ready yet.
    NotReady = 5001, "not_ready", 503, No,
        caller: "Retry after the stated time.",
        operator: "Wait until /readyz answers 200; if it lasts, check the platform.";
    /// The platform cannot be reached.
    PlatformDown = 5002, "platform_down", 503, No,
        caller: "Retry after the stated time.",
        operator: "Restore the platform; see docs/operators/store-outage.md.";
    /// A fault inside radishpin.
    Internal = 5003, "internal", 500, Unknown,
        caller: "Report it with the request id.",
        operator: "Find the request id in the logs and report a bug.";
}
