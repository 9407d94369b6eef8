//! Numbered result codes: one for each reason why a request is not served.
//!
//! `docs/RESULT_CODES.md` lists them for callers and operators; a test keeps that table current.

use serde::{Deserialize, Serialize};

/// Whether a request may have run at an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// It is proven that the request did not run and never will.
    No,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// The value in error responses and in the docs.
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
        /// Why a request of a caller or an operator was not carried out.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ResultCode {
            $(#[doc = $cause] $name,)*
        }

        impl ResultCode {
            /// Every code, in ascending order of number.
            pub const ALL: &[Self] = &[$(Self::$name),*];

            /// The number in error responses and in the docs.
            pub const fn number(self) -> u32 {
                match self { $(Self::$name => $number),* }
            }

            /// The name in `snake_case`, also used as a metric label.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => $snake),* }
            }

            /// HTTP status of the error response.
            pub const fn status(self) -> u16 {
                match self { $(Self::$name => $status),* }
            }

            /// Whether a request that gets this code may have run.
            pub const fn ran(self) -> Ran {
                match self { $(Self::$name => Ran::$ran),* }
            }

            /// What the caller can do; sent with the error response.
            pub const fn help(self) -> &'static str {
                match self { $(Self::$name => $help),* }
            }

            /// What happened, as listed in the docs.
            pub const fn cause(self) -> &'static str {
                match self { $(Self::$name => $cause.trim_ascii()),* }
            }

            /// What the operator can do, as listed in the docs.
            pub const fn operator_help(self) -> &'static str {
                match self { $(Self::$name => $operator_help),* }
            }

            /// The code with this number; `None` if there is none.
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
        operator: "Find the client by the request id or peer address in the logs.";
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
        operator: "Check the callers' network; raise --head-timeout or --body-timeout if callers need it.";
    /// No model or adapter has this name.
    UnknownModel = 1005, "unknown_model", 404, No,
        caller: "List the models with GET /v1/models.",
        operator: "Check that the model or adapter is registered: `radishpin status`.";
    /// No plain service has this name.
    UnknownService = 1006, "unknown_service", 404, No,
        caller: "Check the name behind /services/.",
        operator: "Check that the service exists and is of kind plain: `radishpin status`.";
    /// A field or header of the request is missing or invalid.
    InvalidField = 1007, "invalid_field", 400, No,
        caller: "Correct the field that the reason names.",
        operator: "Nothing, unless many requests fail so: then check which client was changed.";
    /// The path does not support this method.
    MethodNotAllowed = 1008, "method_not_allowed", 405, No,
        caller: "Use the method that the path takes.",
        operator: "Nothing.";
    /// The path does not exist.
    UnknownPath = 1009, "unknown_path", 404, No,
        caller: "Check the path.",
        operator: "Nothing; the listeners for callers never serve the operators' API.";
    /// The Idempotency-Key was used with a different request.
    KeyReused = 1010, "key_reused", 422, No,
        caller: "Use a new Idempotency-Key for a new request.",
        operator: "Tell the client's maintainers to use a key for one request only.";
    /// The estimated time to serve the request exceeds its deadline.
    DeadlineUnreachable = 2001, "deadline_unreachable", 503, No,
        caller: "Retry after the stated time, or allow more time.",
        operator: "Check queues and loads in `radishpin status`; raise patience_ms or the replicas in the profile.";
    /// The queue is full.
    QueueFull = 2002, "queue_full", 429, No,
        caller: "Retry after the stated time.",
        operator: "Check the load per endpoint; add endpoints, or raise max_replicas in the profile.";
    /// The service already uses its share of the queue.
    ServiceLimit = 2003, "service_limit", 429, No,
        caller: "Retry after the stated time, or send fewer requests at once.",
        operator: "Find the service that receives the burst; add endpoints for it if the load is expected.";
    /// No endpoint can serve the request now.
    NoEndpoint = 2004, "no_endpoint", 503, No,
        caller: "Retry after the stated time.",
        operator: "Check hosts, agents and planned stops in `radishpin status`.";
    /// The node is shutting down.
    Draining = 2005, "draining", 503, No,
        caller: "Retry at once; the balancer picks another node.",
        operator: "Nothing during a restart; the load balancer should have stopped sending requests to the node.";
    /// The deadline passed while the request waited.
    DeadlinePassed = 2006, "deadline_passed", 504, No,
        caller: "Retry after the stated time, or allow more time.",
        operator: "Check queues and loads in `radishpin status`; raise patience_ms or the replicas in the profile.";
    /// The retry budget is exhausted.
    RetryBudgetSpent = 2007, "retry_budget_spent", 503, No,
        caller: "Retry after the stated time.",
        operator: "Find out why first attempts fail: endpoints may be lost, leaving or refusing requests.";
    /// The model could not be loaded.
    LoadFailed = 2008, "load_failed", 503, No,
        caller: "Retry after the stated time.",
        operator: "Check the agent's log and the weight store.";
    /// The endpoint is leaving service and accepts no new requests.
    EndpointLeaving = 2009, "endpoint_leaving", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing during a planned stop; if it persists, check that another endpoint has a grant.";
    /// The endpoint has no grant for the model.
    NotGranted = 2010, "not_granted", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing if it is brief: the grant has moved to another endpoint. If it persists, compare versions in `radishpin status`.";
    /// The endpoint does not have enough memory for the model.
    NoMemory = 2011, "no_memory", 503, No,
        caller: "Retry after the stated time.",
        operator: "Compare the sizes of the models with the memory of the endpoints; lower min_loaded or add endpoints.";
    /// The attempt was cancelled by a tombstone before it started.
    Tombstoned = 2012, "tombstoned", 503, No,
        caller: "Retry after the stated time.",
        operator: "Nothing; a node cancelled the attempt before it could run.";
    /// The same attempt was received before; it is not started again.
    DuplicateAttempt = 2013, "duplicate_attempt", 409, Unknown,
        caller: "Wait for the answer to the earlier attempt.",
        operator: "Check for a lossy link between nodes and agents.";
    /// It is not known whether the request ran.
    OutcomeUnknown = 3001, "outcome_unknown", 502, Unknown,
        caller: "Check at the service before you send it again, or send it again with the same Idempotency-Key.",
        operator: "Find out which endpoint or agent was lost, and check at the service what ran.";
    /// The deadline passed after the request was started.
    DeadlinePassedStarted = 3002, "deadline_passed_started", 504, Unknown,
        caller: "Check at the service before you send it again, or send it again with the same Idempotency-Key.",
        operator: "Check the endpoint's service time; raise patience_ms in the profile.";
    /// The Idempotency-Key cannot be checked while the platform is down.
    KeyUnchecked = 3003, "key_unchecked", 503, Unknown,
        caller: "Send it again with the same Idempotency-Key after the stated time.",
        operator: "Restore the platform's table service.";
    /// A call with the same Idempotency-Key has no known outcome yet.
    KeyInProgress = 3004, "key_in_progress", 409, Unknown,
        caller: "Send it again with the same Idempotency-Key after the stated time.",
        operator: "Nothing if it is brief; if it persists, the node of the first call was lost: check at the service what ran.";
    /// The endpoint's response ended before it was complete.
    AnswerBroken = 3005, "answer_broken", 502, Unknown,
        caller: "Check at the service before you send it again.",
        operator: "Check the endpoint's log; it ended its response early.";
    /// The endpoint returned the response to a different request.
    AnswerCrossed = 3006, "answer_crossed", 502, Unknown,
        caller: "Check at the service before you send it again.",
        operator: "Take the endpoint out of service and report it to its vendor.";
    /// The operator's request carries no token.
    TokenMissing = 4001, "token_missing", 401, No,
        caller: "Set the token by RADISHPIN_TOKEN or --token-file.",
        operator: "Set the token for the command or client that sends the request.";
    /// The operator's request carries a wrong token.
    TokenWrong = 4002, "token_wrong", 403, No,
        caller: "Check the token.",
        operator: "Compare the tokens of the operator and the nodes; look for unauthorized clients if it repeats.";
    /// Another change was made first, so the given version is no longer current.
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
        operator: "Run `radishpin profile assign SERVICE PROFILE` for each service that the reason names.";
    /// No profile has this name.
    UnknownProfile = 4006, "unknown_profile", 404, No,
        caller: "List the profiles with `radishpin profile list`.",
        operator: "Check the name with `radishpin profile list`.";
    /// No planned stop has this id.
    UnknownStop = 4007, "unknown_stop", 404, No,
        caller: "List the stops with `radishpin stop list`.",
        operator: "Check the id with `radishpin stop list`; it may have been cancelled already.";
    /// It is not known whether the change was accepted.
    ChangeUnknown = 4008, "change_unknown", 503, Unknown,
        caller: "Read the document again to see whether the change is there.",
        operator: "Show the document, and repeat the change only if it is not there.";
    /// The process is not ready yet.
    NotReady = 5001, "not_ready", 503, No,
        caller: "Retry after the stated time.",
        operator: "Wait until /readyz returns 200; if it persists, check the platform.";
    /// The platform cannot be reached.
    PlatformDown = 5002, "platform_down", 503, No,
        caller: "Retry after the stated time.",
        operator: "Restore the platform; see docs/operators/store-outage.md.";
    /// An internal error in radishpin.
    Internal = 5003, "internal", 500, Unknown,
        caller: "Report it with the request id.",
        operator: "Find the request id in the logs and report a bug.";
}
