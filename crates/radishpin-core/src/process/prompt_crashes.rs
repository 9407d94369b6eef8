//! Which prompt parts crash engines, as far as gateways and sidecars have told each other.
//!
//! A part may crash each engine that generates an answer for it, so requests with such a part must
//! not go from engine to engine. A crash is held against all parts that the engine was serving, and
//! the table below sorts out which of them is to blame: a part whose request was answered elsewhere is
//! cleared, and of the others those that explain the most crashes are refused.
//!
//! Processes merge each other's tables. A record is only ever added or cleared, so the order in which
//! tables are merged does not matter; what is refused follows from the records alone.

use crate::request::{PromptPartId, SharedParts};
use radishpin_protocol::prelude::*;
use serde::{Deserialize, Serialize};

/// Crashes without any answered request after which requests with a part are refused.
pub const CRASHES_TO_REFUSE: usize = 3;
/// Time after which a crash is forgotten.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Largest number of parts that are kept; beyond it those with the fewest crashes are dropped.
pub const PARTS_MAX: usize = 256;
/// Largest number of crashes that are kept of one part; beyond it the oldest are dropped.
pub const CRASHES_PER_PART_MAX: usize = 8;
/// Crashes within this time of each other may have one cause, such as the loss of a rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);

/// Shortest time from the last crash or trial to the next trial.
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(1);

/// Id of the crash of one engine, the same at all gateways that saw it.
pub type CrashId = u64;

/// A crash that is held against a prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartCrash {
    /// The crash.
    pub crash: CrashId,
    /// Time since the crash, in milliseconds.
    pub age_ms: u64,
    /// Whether the part is known not to have caused it.
    pub cleared: bool,
}

/// All crashes that are held against one prompt part.
#[derive(Clone, Debug, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct PartCrashes {
    /// The part.
    pub part: PromptPartId,
    /// The crashes while engines served the part.
    pub crashes: Vec<PartCrash>,
}

/// Whether a request may be sent to an engine, as far as its prompt is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PromptVerdict {
    /// It may.
    Allowed,
    /// It may not, unless it is granted as a trial.
    Refused {
        /// The refused part whose next trial is the latest.
        part: PromptPartId,
        /// Time until that trial; zero if it is due.
        trial_in: Duration,
    },
}

/// Crashes by prompt part.
#[derive(Clone, Debug, Default)]
pub struct PromptCrashes {
    parts: BTreeMap<PromptPartId, BTreeMap<CrashId, Crash>>,
    /// Version with which each part changed last.
    changed: BTreeMap<PromptPartId, u64>,
    /// Parts that are refused, as they follow from `parts`.
    refused: BTreeSet<PromptPartId>,
    /// When this process last granted or requested a trial of a refused part.
    trials: BTreeMap<PromptPartId, Duration>,
    version: u64,
}

#[derive(Clone, Copy, Debug)]
struct Crash {
    at: Duration,
    cleared: bool,
}

impl PromptCrashes {
    /// Adds what another process knows, or what this one saw; returns whether that was news.
    pub fn merge(&mut self, received: Vec<PartCrashes>, now: Duration) -> bool {
        let before = self.parts.clone();
        for entry in received.into_iter().take(PARTS_MAX) {
            let crashes = self.parts.entry(entry.part).or_default();
            for received in entry.crashes.into_iter().take(CRASHES_PER_PART_MAX) {
                merge_crash(crashes, received, now);
            }
        }
        self.expire(now);
        self.drop_excess();
        self.note_changes(&before)
    }

    /// Records what differs from `before`, and returns whether anything does.
    fn note_changes(&mut self, before: &BTreeMap<PromptPartId, BTreeMap<CrashId, Crash>>) -> bool {
        let flags = |crashes: &BTreeMap<CrashId, Crash>| -> Vec<(CrashId, bool)> {
            let crashes = crashes.iter();
            crashes.map(|(id, crash)| (*id, crash.cleared)).collect()
        };
        let changed = self.parts.iter().filter(|(part, crashes)| {
            let known = before.get(part);
            known.is_none_or(|known| flags(known) != flags(crashes))
        });
        let changed: Vec<PromptPartId> = changed.map(|(part, _)| *part).collect();
        let any_gone = before.keys().any(|part| !self.parts.contains_key(part));
        if changed.is_empty() && !any_gone {
            return false;
        }
        self.version += 1;
        let version = self.version;
        self.changed
            .extend(changed.into_iter().map(|part| (part, version)));
        let Self {
            parts,
            changed,
            trials,
            ..
        } = self;
        changed.retain(|part, _| parts.contains_key(part));
        trials.retain(|part, _| parts.contains_key(part));
        self.refused = refused_parts(&self.parts);
        true
    }

    /// Clears a part one of whose requests was answered; returns what to tell other processes, `None`
    /// if nothing was held against it.
    pub fn clear(&mut self, part: PromptPartId, now: Duration) -> Option<PartCrashes> {
        let crashes = self.parts.get_mut(&part)?;
        if crashes.values().all(|crash| crash.cleared) {
            return None;
        }
        for crash in crashes.values_mut() {
            crash.cleared = true;
        }
        let message = message(part, crashes, now);
        self.version += 1;
        self.changed.insert(part, self.version);
        self.trials.remove(&part);
        self.refused = refused_parts(&self.parts);
        Some(message)
    }

    /// Whether a request whose prompt has these parts may be sent to an engine.
    pub fn verdict(&self, parts: &SharedParts, now: Duration) -> PromptVerdict {
        let refused = parts.ids().filter(|part| self.refused.contains(part));
        let trials = refused.filter_map(|part| {
            let crashes = self.parts.get(&part)?;
            let trial_at = self.trial_at(part, crashes, parts);
            Some((trial_at.saturating_sub(now), part))
        });
        match trials.max() {
            None => PromptVerdict::Allowed,
            Some((trial_in, part)) => PromptVerdict::Refused { part, trial_in },
        }
    }

    /// Grants one request with a refused part, to find out whether it is still to be refused. `false`
    /// if none is due, or the parts are not refused here.
    pub fn grant_trial(&mut self, parts: &SharedParts, now: Duration) -> bool {
        match self.verdict(parts, now) {
            PromptVerdict::Refused { trial_in, .. } if trial_in.is_zero() => {
                let Self {
                    parts: known,
                    trials,
                    ..
                } = self;
                let tried = parts.ids().filter(|part| known.contains_key(part));
                trials.extend(tried.map(|part| (part, now)));
                true
            }
            PromptVerdict::Refused { .. } | PromptVerdict::Allowed => false,
        }
    }

    /// When a request with these parts, of which `part` is refused, may be tried.
    fn trial_at(
        &self,
        part: PromptPartId,
        crashes: &BTreeMap<CrashId, Crash>,
        parts: &SharedParts,
    ) -> Duration {
        let last_crash = held(crashes).map(|(_, crash)| crash.at).max();
        let last_trial = self.trials.get(&part).copied().unwrap_or_default();
        let delay = match self.may_be_innocent(part, crashes, parts) {
            true => TRIAL_DELAY_MIN,
            false => trial_delay(occasions(crashes)),
        };
        last_crash.unwrap_or_default().max(last_trial) + delay
    }

    /// Whether another part, which this request lacks, explains the crashes that are held against
    /// `part`, but for too few to refuse it: then the request tells which of the two is to blame.
    fn may_be_innocent(
        &self,
        part: PromptPartId,
        crashes: &BTreeMap<CrashId, Crash>,
        parts: &SharedParts,
    ) -> bool {
        self.parts.iter().any(|(other, other_crashes)| {
            let other_held: BTreeSet<CrashId> = held(other_crashes).map(|(id, _)| id).collect();
            let unexplained = held(crashes).filter(|(id, _)| !other_held.contains(id));
            *other != part
                && !parts.contains(*other)
                && other_held.len() >= CRASHES_TO_REFUSE
                && unexplained.count() < CRASHES_TO_REFUSE
        })
    }

    /// Parts that are refused.
    pub fn refused(&self) -> &BTreeSet<PromptPartId> {
        &self.refused
    }

    /// Parts against which more than one crash is held.
    pub fn suspects(&self) -> impl Iterator<Item = PromptPartId> {
        let parts = self.parts.iter();
        let suspects = parts.filter(|(_, crashes)| held(crashes).count() > 1);
        suspects.map(|(part, _)| *part)
    }

    /// Number of crashes that are held against a part.
    pub fn count(&self, part: PromptPartId) -> usize {
        self.parts
            .get(&part)
            .map_or(0, |crashes| held(crashes).count())
    }

    /// What changed after this version and concerns other processes: parts that are suspected for more
    /// than one crash, and parts that were cleared.
    pub fn messages_since(&self, version: u64, now: Duration) -> Vec<PartCrashes> {
        let changed = self.changed.iter().filter(|(_, at)| **at > version);
        let messages = changed.filter_map(|(part, _)| {
            let crashes = self.parts.get(part)?;
            let held = held(crashes).count();
            let is_news = held > 1 || held < crashes.len();
            is_news.then(|| message(*part, crashes, now))
        });
        messages.collect()
    }

    /// Increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of parts that are kept.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        for crashes in self.parts.values_mut() {
            crashes.retain(|_, crash| now.saturating_sub(crash.at) < CRASH_LIFETIME);
        }
        self.parts.retain(|_, crashes| !crashes.is_empty());
    }

    fn drop_excess(&mut self) {
        for crashes in self.parts.values_mut() {
            while crashes.len() > CRASHES_PER_PART_MAX {
                let first = crashes
                    .iter()
                    .min_by_key(|(id, crash)| (!crash.cleared, crash.at, **id));
                let Some(id) = first.map(|(id, _)| *id) else {
                    break;
                };
                crashes.remove(&id);
            }
        }
        if self.parts.len() <= PARTS_MAX {
            return;
        }
        let mut ranked: Vec<(usize, Duration, PromptPartId)> = self
            .parts
            .iter()
            .map(|(part, crashes)| {
                let last = crashes.values().map(|crash| crash.at).max();
                (held(crashes).count(), last.unwrap_or_default(), *part)
            })
            .collect();
        ranked.sort_unstable();
        for (_, _, part) in &ranked[..self.parts.len() - PARTS_MAX] {
            self.parts.remove(part);
        }
    }
}

fn merge_crash(crashes: &mut BTreeMap<CrashId, Crash>, received: PartCrash, now: Duration) {
    let age = Duration::from_millis(received.age_ms);
    if age >= CRASH_LIFETIME {
        return;
    }
    let at = now.saturating_sub(age);
    let crash = crashes.entry(received.crash).or_insert(Crash {
        at,
        cleared: received.cleared,
    });
    crash.at = crash.at.min(at);
    crash.cleared |= received.cleared;
}

fn message(part: PromptPartId, crashes: &BTreeMap<CrashId, Crash>, now: Duration) -> PartCrashes {
    let crashes = crashes.iter().map(|(id, crash)| PartCrash {
        crash: *id,
        age_ms: u64::try_from(now.saturating_sub(crash.at).as_millis()).unwrap_or(u64::MAX),
        cleared: crash.cleared,
    });
    PartCrashes {
        part,
        crashes: crashes.collect(),
    }
}

/// Crashes that are held against a part.
fn held(crashes: &BTreeMap<CrashId, Crash>) -> impl Iterator<Item = (CrashId, Crash)> {
    let crashes = crashes.iter().map(|(id, crash)| (*id, *crash));
    crashes.filter(|(_, crash)| !crash.cleared)
}

/// Parts to refuse: those with the most crashes, then those with the most that these do not explain,
/// and so on, so that no part is refused for crashes that it was only served beside.
fn refused_parts(
    parts: &BTreeMap<PromptPartId, BTreeMap<CrashId, Crash>>,
) -> BTreeSet<PromptPartId> {
    let mut unexplained: BTreeMap<PromptPartId, BTreeSet<CrashId>> = parts
        .iter()
        .map(|(part, crashes)| (*part, held(crashes).map(|(id, _)| id).collect()))
        .collect();
    let mut refused = BTreeSet::new();
    loop {
        unexplained.retain(|_, crashes| crashes.len() >= CRASHES_TO_REFUSE);
        let Some(most) = unexplained.values().map(BTreeSet::len).max() else {
            return refused;
        };
        let worst: Vec<PromptPartId> = unexplained
            .iter()
            .filter(|(_, crashes)| crashes.len() == most)
            .map(|(part, _)| *part)
            .collect();
        let explained: BTreeSet<CrashId> = worst
            .iter()
            .filter_map(|part| unexplained.remove(part))
            .flatten()
            .collect();
        refused.extend(worst);
        for crashes in unexplained.values_mut() {
            crashes.retain(|id| !explained.contains(id));
        }
    }
}

/// Number of times at which crashes are held against a part, where those of one time may have one cause.
fn occasions(crashes: &BTreeMap<CrashId, Crash>) -> usize {
    let mut times: Vec<Duration> = held(crashes).map(|(_, crash)| crash.at).collect();
    times.sort_unstable();
    let mut began_at: Option<Duration> = None;
    let mut count = 0;
    for at in times {
        if began_at.is_none_or(|began_at| at - began_at >= COMMON_CAUSE_WINDOW) {
            began_at = Some(at);
            count += 1;
        }
    }
    count
}

/// Time from the last crash or trial to the next trial. The more often engines crashed, the less
/// likely the part was only served beside the cause, and a trial costs an engine.
fn trial_delay(occasions: usize) -> Duration {
    match occasions {
        0..=2 => TRIAL_DELAY_MIN,
        3..=4 => Duration::from_secs(30),
        _ => Duration::from_secs(600),
    }
}
