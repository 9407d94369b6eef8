//! Paths and JSON bodies of the platform's HTTP interface.

use crate::PlatformError;
use radishpin_protocol::Version;
use serde::{Deserialize, Serialize};

/// Path of [`crate::Platform::get`]; the body is a [`GetRequest`].
pub const GET_PATH: &str = "/table/get";
/// Path of [`crate::Platform::commit`]; the body is a [`crate::Commit`].
pub const COMMIT_PATH: &str = "/table/commit";
/// Path of [`crate::Platform::list`]; the body is a [`ListRequest`].
pub const LIST_PATH: &str = "/table/list";
/// Path prefix of objects, followed by the object's key.
pub const OBJECTS_PATH: &str = "/objects/";
/// Path of [`crate::Platform::hosts`].
pub const HOSTS_PATH: &str = "/hosts";

/// Body of a request to [`GET_PATH`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GetRequest {
    /// Key of the row.
    pub key: String,
}

/// Body of a request to [`LIST_PATH`].
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListRequest {
    /// Prefix that the keys of the listed rows start with.
    pub prefix: String,
    /// Only rows written after this table version are listed; 0 lists all rows.
    pub since: Version,
}

/// Body of an error response.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(tag = "error", rename_all = "snake_case")]
pub enum Failure {
    /// [`PlatformError::Unavailable`].
    Unavailable {
        /// Reason, as text for operators.
        cause: String,
    },
    /// [`PlatformError::RateLimited`].
    RateLimited,
    /// [`PlatformError::Unknown`].
    Unknown {
        /// Reason, as text for operators.
        cause: String,
    },
}

impl Failure {
    /// HTTP status that the error is sent with.
    pub const fn status(&self) -> u16 {
        match self {
            Self::Unavailable { .. } => 503,
            Self::RateLimited => 429,
            Self::Unknown { .. } => 504,
        }
    }
}

impl From<PlatformError> for Failure {
    fn from(error: PlatformError) -> Self {
        match error {
            PlatformError::Unavailable(cause) => Self::Unavailable { cause },
            PlatformError::RateLimited => Self::RateLimited,
            PlatformError::Unknown(cause) => Self::Unknown { cause },
        }
    }
}

impl From<Failure> for PlatformError {
    fn from(failure: Failure) -> Self {
        match failure {
            Failure::Unavailable { cause } => Self::Unavailable(cause),
            Failure::RateLimited => Self::RateLimited,
            Failure::Unknown { cause } => Self::Unknown(cause),
        }
    }
}
