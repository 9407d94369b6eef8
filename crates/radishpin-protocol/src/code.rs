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

macro_rules! result_codes {
    ($($(#[$doc:meta])* $name:ident = $number:literal, $snake:literal, $status:literal, $ran:ident, $help:literal;)*) => {
        /// Why a request or an operator's order was not carried out.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
        pub enum ResultCode {
            $($(#[$doc])* $name,)*
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

            /// The code with this number.
            pub fn from_number(number: u32) -> Option<Self> {
                Self::ALL.iter().copied().find(|code| code.number() == number)
            }
        }
    };
}

result_codes! {
    /// The request is not well-formed HTTP.
    MalformedRequest = 1001, "malformed_request", 400, No, "Send a well-formed HTTP/1.1 request with one Host header and one body length.";
    /// The request's head is larger than allowed.
    HeadTooLarge = 1002, "head_too_large", 431, No, "Send fewer or shorter headers.";
    /// The request's body is larger than allowed.
    BodyTooLarge = 1003, "body_too_large", 413, No, "Send a smaller body.";
    /// The caller sent its request too slowly.
    SlowRequest = 1004, "slow_request", 408, No, "Send the whole request sooner.";
    /// No model or adapter has this name.
    UnknownModel = 1005, "unknown_model", 404, No, "List the models with GET /v1/models.";
    /// No plain service has this name.
    UnknownService = 1006, "unknown_service", 404, No, "Check the name behind /services/.";
    /// A field or header of the request is missing or wrong.
    InvalidField = 1007, "invalid_field", 400, No, "Correct the field that the reason names.";
    /// The path does not take this method.
    MethodNotAllowed = 1008, "method_not_allowed", 405, No, "Use the method that the path takes.";
    /// No such path.
    UnknownPath = 1009, "unknown_path", 404, No, "Check the path.";
    /// The Idempotency-Key was used with a different request.
    KeyReused = 1010, "key_reused", 422, No, "Use a new Idempotency-Key for a new request.";
    /// The deadline cannot be met, by estimate.
    DeadlineUnreachable = 2001, "deadline_unreachable", 503, No, "Retry after the stated time, or allow more time.";
    /// The queue is full.
    QueueFull = 2002, "queue_full", 429, No, "Retry after the stated time.";
    /// The service already uses its share of the queue.
    ServiceLimit = 2003, "service_limit", 429, No, "Retry after the stated time, or send fewer requests at once.";
    /// No endpoint can serve the request now.
    NoEndpoint = 2004, "no_endpoint", 503, No, "Retry after the stated time.";
    /// The node is shutting down.
    Draining = 2005, "draining", 503, No, "Retry at once; the balancer picks another node.";
    /// The deadline passed while the request waited.
    DeadlinePassed = 2006, "deadline_passed", 504, No, "Retry after the stated time, or allow more time.";
    /// No retry is left in the budget.
    RetryBudgetSpent = 2007, "retry_budget_spent", 503, No, "Retry after the stated time.";
    /// The model could not be loaded.
    LoadFailed = 2008, "load_failed", 503, No, "Retry after the stated time.";
    /// The endpoint is leaving and takes no new work.
    EndpointLeaving = 2009, "endpoint_leaving", 503, No, "Retry after the stated time.";
    /// The endpoint has no grant for the model.
    NotGranted = 2010, "not_granted", 503, No, "Retry after the stated time.";
    /// The endpoint has no memory for the model.
    NoMemory = 2011, "no_memory", 503, No, "Retry after the stated time.";
    /// The attempt was tombstoned before it started.
    Tombstoned = 2012, "tombstoned", 503, No, "Retry after the stated time.";
    /// The same attempt arrived before; it is not started twice.
    DuplicateAttempt = 2013, "duplicate_attempt", 409, Unknown, "Wait for the answer to the earlier attempt.";
    /// Whether the request ran is not known.
    OutcomeUnknown = 3001, "outcome_unknown", 502, Unknown, "Check at the service before you send it again, or send it again with the same Idempotency-Key.";
    /// The deadline passed after the request was started.
    DeadlinePassedStarted = 3002, "deadline_passed_started", 504, Unknown, "Check at the service before you send it again, or send it again with the same Idempotency-Key.";
    /// The Idempotency-Key cannot be checked while the platform is down.
    KeyUnchecked = 3003, "key_unchecked", 503, Unknown, "Send it again with the same Idempotency-Key after the stated time.";
    /// A call with the same Idempotency-Key has no known outcome yet.
    KeyInProgress = 3004, "key_in_progress", 409, Unknown, "Send it again with the same Idempotency-Key after the stated time.";
    /// The endpoint's answer broke off.
    AnswerBroken = 3005, "answer_broken", 502, Unknown, "Check at the service before you send it again.";
    /// The endpoint answered another request.
    AnswerCrossed = 3006, "answer_crossed", 502, Unknown, "Check at the service before you send it again.";
    /// The order carries no token.
    TokenMissing = 4001, "token_missing", 401, No, "Set the token by RADISHPIN_TOKEN or --token-file.";
    /// The order carries a wrong token.
    TokenWrong = 4002, "token_wrong", 403, No, "Check the token.";
    /// Another operator changed it first.
    VersionConflict = 4003, "version_conflict", 409, No, "Read the current version and decide again.";
    /// The document is not valid.
    DocumentInvalid = 4004, "document_invalid", 422, No, "Correct the fields that the reason names.";
    /// A service still uses the profile.
    ProfileInUse = 4005, "profile_in_use", 409, No, "Let the services pick another profile first.";
    /// No profile has this name.
    UnknownProfile = 4006, "unknown_profile", 404, No, "List the profiles with `radishpin profile list`.";
    /// No planned stop has this id.
    UnknownStop = 4007, "unknown_stop", 404, No, "List the stops with `radishpin stop list`.";
    /// Whether the change was accepted is not known.
    ChangeUnknown = 4008, "change_unknown", 503, Unknown, "Read the document again to see whether the change is there.";
    /// The process is not ready yet.
    NotReady = 5001, "not_ready", 503, No, "Retry after the stated time.";
    /// The platform cannot be reached.
    PlatformDown = 5002, "platform_down", 503, No, "Retry after the stated time.";
    /// A fault inside radishpin.
    Internal = 5003, "internal", 500, Unknown, "Report it with the request id.";
}
