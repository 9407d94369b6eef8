//! Errors of [`crate::PlatformClient`].

use crate::PlatformError;
use quick_error::quick_error;
use std::time::Duration;

/// Id of one commit, by which its outcome can be settled later.
pub type OperationId = String;

quick_error! {
    /// Why an attempt of a call failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum Cause {
        /// The platform returned an error, or its response was lost.
        Platform(error: PlatformError) {
            display("{error}")
            source(error)
        }
        /// No response within `ClientSettings::attempt_timeout`.
        Timeout {
            display("no answer from the platform in time")
        }
        /// The circuit breaker is open, so the call was not sent.
        BreakerOpen {
            display("the platform has not answered for a while; calls are held back")
        }
        /// The client's rate limiter has no slot before the call times out.
        Paced {
            display("too many calls wait for the platform's rate limit")
        }
        /// The operation was abandoned by `PlatformClient::settle` before it took effect.
        Abandoned {
            display("the operation was abandoned and never took effect")
        }
    }
}

impl Cause {
    /// Name in `snake_case`, used as a metric label.
    pub const fn name(&self) -> &'static str {
        match self {
            Self::Platform(PlatformError::Unavailable(_)) => "unavailable",
            Self::Platform(PlatformError::RateLimited) => "rate_limited",
            Self::Platform(PlatformError::Unknown(_)) => "unknown",
            Self::Timeout => "timeout",
            Self::BreakerOpen => "breaker_open",
            Self::Paced => "paced",
            Self::Abandoned => "abandoned",
        }
    }
}

quick_error! {
    /// Why a call through the client failed.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum CallError {
        /// The call had no effect and will have none later.
        Refused { cause: Cause, retry_after: Duration } {
            display("{cause}; the call had no effect, retry after {} ms", retry_after.as_millis())
            source(cause)
        }
        /// The call may have taken effect, or may do so later. For a commit with an operation id,
        /// `PlatformClient::settle` determines the outcome; the id is empty for other calls.
        Unknown { operation: OperationId, cause: Cause } {
            display("{cause}; whether operation {operation} took effect is unknown")
            source(cause)
        }
    }
}
