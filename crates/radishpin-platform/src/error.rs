//! Why a call through the client failed.

use crate::PlatformError;
use quick_error::quick_error;
use std::time::Duration;

/// Id of one commit, by which an unknown outcome is settled.
pub type OperationId = String;

quick_error! {
    /// What stood in the way of a call.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum Cause {
        /// The platform refused, or its answer was lost.
        Platform(error: PlatformError) {
            display("{error}")
            source(error)
        }
        /// No answer within the time of one try.
        Timeout {
            display("no answer from the platform in time")
        }
        /// The breaker is open.
        BreakerOpen {
            display("the platform has not answered for a while; calls are held back")
        }
        /// The pace set by the platform's rate limit leaves no place in time.
        Paced {
            display("too many calls wait for the platform's rate limit")
        }
        /// The operation was abandoned earlier.
        Abandoned {
            display("the operation was abandoned and never took effect")
        }
    }
}

impl Cause {
    /// Name in `snake_case`, the label of its counter.
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
        /// It had no effect and never will.
        Refused { cause: Cause, retry_after: Duration } {
            display("{cause}; the call had no effect, retry after {} ms", retry_after.as_millis())
            source(cause)
        }
        /// It may have taken effect, or still may; `PlatformClient::settle` finds out.
        Unknown { operation: OperationId, cause: Cause } {
            display("{cause}; whether operation {operation} took effect is unknown")
            source(cause)
        }
    }
}
