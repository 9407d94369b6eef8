//! Crashes that are held against one suspect, and how they are told.

use super::{CRASH_LIFETIME, CRASH_LIFETIME_MAX};
use crate::process::{CrashId, CrashRecord, EndpointVariant, Suspect, SuspectCrashes};
use radishpin_protocol::prelude::*;

/// Crashes of one run of an endpoint under one request within this time of each other are the same one,
/// seen by two gateways. Endpoints whose entry does not tell when they started crash twice in one run.
const SAME_CRASH_WINDOW: Duration = Duration::from_millis(400);

/// A crash of one run of an endpoint, and how many crashes of that run under the same suspect were known
/// before it.
pub(super) type CrashKey = (CrashId, u32);

/// Crashes that are held against one suspect, or were until it was cleared of them.
pub(super) type Crashes = BTreeMap<CrashKey, Crash>;

#[derive(Clone, Copy, Debug)]
pub(super) struct Crash {
    pub(super) at: Duration,
    pub(super) cleared: bool,
    pub(super) variant: EndpointVariant,
    pub(super) trial: bool,
}

pub(super) fn merge_crash(
    crashes: &mut Crashes,
    suspect: Suspect,
    received: CrashRecord,
    now: Duration,
) {
    let age = Duration::from_millis(received.age_ms);
    let lifetime = match suspect {
        Suspect::PromptPart(_) => CRASH_LIFETIME,
        Suspect::Request(_) => CRASH_LIFETIME_MAX,
    };
    if age >= lifetime {
        return;
    }
    let at = now.saturating_sub(age);
    let key = match suspect {
        Suspect::PromptPart(_) => (received.crash, 0),
        Suspect::Request(_) => request_crash_key(crashes, received.crash, at),
    };
    let crash = crashes.entry(key).or_insert(Crash {
        at,
        cleared: received.cleared,
        variant: received.variant,
        trial: received.trial,
    });
    crash.at = crash.at.min(at);
    crash.cleared |= received.cleared;
    crash.trial |= received.trial;
}

/// Key of a crash under a request: that of a known one, or a new one.
fn request_crash_key(crashes: &Crashes, id: CrashId, at: Duration) -> CrashKey {
    let of_run = crashes.range((id, 0)..=(id, u32::MAX));
    let known = of_run
        .clone()
        .find(|(_, crash)| crash.at.abs_diff(at) < SAME_CRASH_WINDOW);
    let next = of_run.last().map_or(0, |((_, number), _)| number + 1);
    known.map_or((id, next), |(key, _)| *key)
}

pub(super) fn message(suspect: Suspect, crashes: &Crashes, now: Duration) -> SuspectCrashes {
    let crashes = crashes.iter().map(|((id, _), crash)| CrashRecord {
        crash: *id,
        age_ms: u64::try_from(now.saturating_sub(crash.at).as_millis()).unwrap_or(u64::MAX),
        cleared: crash.cleared,
        variant: crash.variant,
        trial: crash.trial,
    });
    SuspectCrashes {
        suspect,
        crashes: crashes.collect(),
    }
}

/// Crashes that are held against a suspect.
pub(super) fn held(crashes: &Crashes) -> impl Iterator<Item = (CrashKey, Crash)> {
    let crashes = crashes.iter().map(|(key, crash)| (*key, *crash));
    crashes.filter(|(_, crash)| !crash.cleared)
}
