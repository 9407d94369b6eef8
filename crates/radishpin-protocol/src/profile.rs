//! The profile document: how a class of model is kept ready and how patiently its callers wait.

use crate::{DocumentError, read_document};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};
use std::{ops::RangeInclusive, time::Duration};

/// The format number that a profile document states in `format`.
pub const PROFILE_FORMAT: u32 = 1;

const REPLICAS: RangeInclusive<u32> = 0..=1_000;
const PATIENCE_MS: RangeInclusive<u64> = 10..=3_600_000;
const IDLE_UNLOAD_MS: RangeInclusive<u64> = 100..=86_400_000;
const PRIORITY: RangeInclusive<u32> = 0..=9;

/// What kind of waiting a service's callers do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkloadClass {
    /// Somebody waits for the answer.
    Interactive,
    /// The answer may come later; idle accelerator hours weigh more than waiting.
    Deferrable,
}

/// A named profile, as operators write it.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Profile {
    /// Format of the document, [`PROFILE_FORMAT`].
    pub format: u32,
    /// Replicas kept loaded even when idle.
    pub min_loaded: u32,
    /// Replicas that a model may have at most.
    pub max_replicas: u32,
    /// Idle time before a replica beyond `min_loaded` is unloaded.
    pub idle_unload_ms: u64,
    /// How long a caller waits for the start of its answer.
    pub patience_ms: u64,
    /// Priority from 0 (lowest) to 9.
    pub priority: u32,
    /// What kind of waiting callers do.
    pub class: WorkloadClass,
    /// Whether a call may be repeated without harm.
    pub idempotent: bool,
}

quick_error! {
    /// Why a profile document is refused.
    #[derive(Clone, Debug, PartialEq, Eq)]
    #[allow(missing_docs)]
    pub enum ProfileError {
        /// The document cannot be read as a profile.
        Malformed(fault: DocumentError) {
            display("{fault}; see `radishpin profile set --help` for a whole document")
            source(fault)
            from()
        }
        /// A field lies outside its range.
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
    /// Reads and checks a profile document; every fault names the path of its field.
    ///
    /// # Errors
    /// All faults found: one where the text is malformed, else one for each field out of range.
    pub fn parse(text: &str) -> Result<Self, Vec<ProfileError>> {
        let profile: Self = read_document(text).map_err(|fault| vec![fault.into()])?;
        let faults = profile.faults();
        if faults.is_empty() {
            Ok(profile)
        } else {
            Err(faults)
        }
    }

    /// How long a caller waits for the start of its answer.
    pub fn patience(&self) -> Duration {
        Duration::from_millis(self.patience_ms)
    }

    fn faults(&self) -> Vec<ProfileError> {
        let format = PROFILE_FORMAT..=PROFILE_FORMAT;
        let mut faults: Vec<ProfileError> = [
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
            faults.push(ProfileError::Contradiction {
                path: "min_loaded",
                cause,
            });
        }
        faults
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
