//! The profile document: how many replicas of a model stay loaded, and how long callers wait.

use crate::{DocumentError, read_document};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{ops::RangeInclusive, time::Duration};

/// The only supported value of a profile document's `format` field.
pub const PROFILE_FORMAT: u32 = 1;

const REPLICAS: RangeInclusive<u32> = 0..=1_000;
const PATIENCE_MS: RangeInclusive<u64> = 10..=3_600_000;
const IDLE_UNLOAD_MS: RangeInclusive<u64> = 100..=86_400_000;
const PRIORITY: RangeInclusive<u32> = 0..=9;

/// Whether callers of a service wait for their answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadClass {
    /// A caller waits for the answer; latency matters.
    Interactive,
    /// The answer may come later; saving idle accelerator time matters more than latency.
    Deferrable,
}

/// A profile document, as written by operators.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Format of the document; must be [`PROFILE_FORMAT`].
    pub format: u32,
    /// Number of replicas of a model that stay loaded even when idle.
    pub min_loaded: u32,
    /// Maximum number of replicas of a model.
    pub max_replicas: u32,
    /// Idle time after which a replica in excess of `min_loaded` is unloaded.
    pub idle_unload_ms: u64,
    /// Time that a caller waits for the start of its answer.
    pub patience_ms: u64,
    /// Priority of the service's calls, from 0 (lowest) to 9.
    pub priority: u32,
    /// Whether callers wait for their answers.
    pub class: WorkloadClass,
    /// Whether a call may be retried after it may have run.
    pub idempotent: bool,
}

quick_error! {
    /// Why a profile document was rejected.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum ProfileError {
        /// The text could not be parsed as a profile.
        Malformed(error: DocumentError) {
            display("{error}; see `radishpin profile set --help` for a whole document")
            source(error)
            from()
        }
        /// A field is outside its allowed range.
        OutOfRange { path: &'static str, value: u64, min: u64, max: u64 } {
            display("{path}: {value} is outside {min} to {max}")
        }
        /// Two fields contradict each other.
        Contradiction { path: &'static str, cause: &'static str } {
            display("{path}: {cause}")
        }
    }
}

impl Profile {
    /// Parses and validates a profile document.
    ///
    /// # Errors
    /// One error if the text is malformed, otherwise every failed check; each names its field.
    pub fn parse(text: &str) -> Result<Self, Vec<ProfileError>> {
        let profile: Self = read_document(text).map_err(|error| vec![error.into()])?;
        let errors = profile.validation_errors();
        if errors.is_empty() {
            Ok(profile)
        } else {
            Err(errors)
        }
    }

    /// [`Self::patience_ms`] as a duration.
    pub fn patience(&self) -> Duration {
        Duration::from_millis(self.patience_ms)
    }

    fn validation_errors(&self) -> Vec<ProfileError> {
        let format = PROFILE_FORMAT..=PROFILE_FORMAT;
        let mut errors: Vec<ProfileError> = [
            out_of_range("format", u64::from(self.format), &widen(&format)),
            out_of_range("min_loaded", u64::from(self.min_loaded), &widen(&REPLICAS)),
            out_of_range(
                "max_replicas",
                u64::from(self.max_replicas),
                &widen(&REPLICAS),
            ),
            out_of_range("idle_unload_ms", self.idle_unload_ms, &IDLE_UNLOAD_MS),
            out_of_range("patience_ms", self.patience_ms, &PATIENCE_MS),
            out_of_range("priority", u64::from(self.priority), &widen(&PRIORITY)),
        ]
        .into_iter()
        .flatten()
        .collect();
        if self.min_loaded > self.max_replicas {
            let cause = "must not exceed max_replicas";
            errors.push(ProfileError::Contradiction {
                path: "min_loaded",
                cause,
            });
        }
        errors
    }
}

fn widen(range: &RangeInclusive<u32>) -> RangeInclusive<u64> {
    u64::from(*range.start())..=u64::from(*range.end())
}

fn out_of_range(
    path: &'static str,
    value: u64,
    range: &RangeInclusive<u64>,
) -> Option<ProfileError> {
    if range.contains(&value) {
        return None;
    }
    Some(ProfileError::OutOfRange {
        path,
        value,
        min: *range.start(),
        max: *range.end(),
    })
}
