//! What crashes endpoints, as far as gateways and sidecars have told each other.
//!
//! A request may crash each endpoint that runs it, and so may a part of a prompt in whatever request, so
//! neither must go from endpoint to endpoint. A crash is held against all requests that the endpoint was
//! running and against all parts of their prompts, and the table below sorts out which of them is to
//! blame: a suspect that was answered elsewhere is cleared, and of the others those that explain the most
//! crashes are refused.
//!
//! Processes merge each other's tables. A record is only ever added or cleared, so the order in which
//! tables are merged does not matter; what is refused follows from the records alone.

mod record;
mod refused;
mod trial;

use super::{EndpointVariant, Suspect, SuspectCrashes, Suspects, UNKNOWN_VARIANT};
use crate::request::{PromptPartId, RequestFingerprint};
use radishpin_protocol::prelude::*;
use record::{Crash, CrashKey, Crashes, held, merge_crash, message};
use refused::refused_suspects;
use trial::{REQUEST_TRIAL_INTERVAL, Trials, explains, part_trial_at, request_trial_at};

/// Crashes without any answered request after which a suspect is refused.
pub const CRASHES_TO_REFUSE: usize = 3;
/// Time after which a crash is forgotten, unless a refused request caused it.
pub const CRASH_LIFETIME: Duration = Duration::from_secs(3_600);
/// Time after which a crash is forgotten that a refused request caused.
pub const CRASH_LIFETIME_MAX: Duration = Duration::from_secs(24 * 3_600);
/// Largest number of suspects of each kind that are kept; beyond it those with the fewest crashes are
/// dropped.
pub const SUSPECTS_MAX: usize = 256;
/// Largest number of crashes that are kept of one suspect; beyond it the oldest are dropped.
pub const CRASHES_PER_SUSPECT_MAX: usize = 8;

/// Whether a request may be sent to an endpoint, as far as crashes are concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashVerdict {
    /// It may.
    Allowed,
    /// It may not, unless it is granted as a trial.
    Refused {
        /// The suspect whose next trial is the latest.
        suspect: Suspect,
        /// Time until that trial; zero if it is due.
        trial_in: Duration,
    },
}

/// Crashes by suspect.
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    suspects: BTreeMap<Suspect, Crashes>,
    /// Version with which each suspect changed last.
    changed: BTreeMap<Suspect, u64>,
    /// Suspects that are refused, as they follow from `suspects`.
    refused: BTreeSet<Suspect>,
    /// Trials of refused suspects that this process granted or asked for.
    trials: BTreeMap<Suspect, Trials>,
    last_request_trial_at: Option<Duration>,
    version: u64,
}

impl CrashTable {
    /// Adds what another process knows, or what this one saw; returns whether that was news.
    pub fn merge(&mut self, received: Vec<SuspectCrashes>, now: Duration) -> bool {
        let before = self.suspects.clone();
        for entry in received.into_iter().take(2 * SUSPECTS_MAX) {
            let crashes = self.suspects.entry(entry.suspect).or_default();
            for received in entry.crashes.into_iter().take(CRASHES_PER_SUSPECT_MAX) {
                merge_crash(crashes, entry.suspect, received, now);
            }
        }
        self.expire(now);
        self.drop_excess();
        self.note_changes(&before)
    }

    /// Records what differs from `before`, and returns whether anything does.
    fn note_changes(&mut self, before: &BTreeMap<Suspect, Crashes>) -> bool {
        let flags = |crashes: &Crashes| -> Vec<(CrashKey, bool)> {
            let crashes = crashes.iter();
            crashes.map(|(key, crash)| (*key, crash.cleared)).collect()
        };
        let changed = self.suspects.iter().filter(|(suspect, crashes)| {
            let known = before.get(suspect);
            known.is_none_or(|known| flags(known) != flags(crashes))
        });
        let changed: Vec<Suspect> = changed.map(|(suspect, _)| *suspect).collect();
        let is_kept = |suspect| self.suspects.contains_key(suspect);
        if changed.is_empty() && before.keys().all(is_kept) {
            return false;
        }
        self.version += 1;
        let version = self.version;
        self.changed
            .extend(changed.into_iter().map(|suspect| (suspect, version)));
        let Self {
            suspects,
            changed,
            trials,
            ..
        } = self;
        changed.retain(|suspect, _| suspects.contains_key(suspect));
        trials.retain(|suspect, _| suspects.contains_key(suspect));
        self.refused = refused_suspects(&self.suspects);
        true
    }

    /// Clears a prompt part, a request with which was answered; returns what to tell other processes,
    /// `None` if nothing was held against it.
    pub fn clear_part(&mut self, part: PromptPartId, now: Duration) -> Option<SuspectCrashes> {
        self.clear(Suspect::PromptPart(part), |_| true, now)
    }

    /// Clears a request that an endpoint of this variant answered of its crashes at others of the variant;
    /// returns what to tell other processes, `None` if nothing was held against it there.
    pub fn clear_request(
        &mut self,
        fingerprint: RequestFingerprint,
        variant: EndpointVariant,
        now: Duration,
    ) -> Option<SuspectCrashes> {
        let of_variant = |crash: &Crash| crash.variant == variant;
        self.clear(Suspect::Request(fingerprint), of_variant, now)
    }

    fn clear(
        &mut self,
        suspect: Suspect,
        is_cleared: impl Fn(&Crash) -> bool,
        now: Duration,
    ) -> Option<SuspectCrashes> {
        let crashes = self.suspects.get_mut(&suspect)?;
        let held = crashes.values_mut().filter(|crash| !crash.cleared);
        let mut any_cleared = false;
        for crash in held.filter(|crash| is_cleared(crash)) {
            crash.cleared = true;
            any_cleared = true;
        }
        if !any_cleared {
            return None;
        }
        let message = message(suspect, crashes, now);
        self.version += 1;
        self.changed.insert(suspect, self.version);
        self.trials.remove(&suspect);
        self.refused = refused_suspects(&self.suspects);
        Some(message)
    }

    /// Whether a request with these suspects may be sent to an endpoint of their variant.
    pub fn verdict(&self, suspects: &Suspects, now: Duration) -> CrashVerdict {
        let variant = suspects.variant();
        let is_refused = |suspect| self.is_refused(suspect, variant);
        if !suspects.iter().any(is_refused) {
            return CrashVerdict::Allowed;
        }
        let judged = suspects
            .iter()
            .filter(|suspect| is_refused(*suspect) || self.has_own_trials(*suspect, variant));
        let trials = judged.filter_map(|suspect| {
            let trial_at = self.trial_at(suspect, suspects)?;
            Some((trial_at.saturating_sub(now), suspect))
        });
        match trials.max() {
            None => CrashVerdict::Allowed,
            Some((trial_in, suspect)) => CrashVerdict::Refused { suspect, trial_in },
        }
    }

    /// Whether a whole request crashed endpoints of a variant so often that it keeps to its own trials, even if
    /// a part of its prompt is refused in its place.
    fn has_own_trials(&self, suspect: Suspect, variant: EndpointVariant) -> bool {
        let Suspect::Request(_) = suspect else {
            return false;
        };
        let may_have_crashed = variant == UNKNOWN_VARIANT || self.has_crashed(suspect, variant);
        may_have_crashed && self.count(suspect) >= CRASHES_TO_REFUSE
    }

    /// Whether a suspect is refused at endpoints of a variant. A request is allowed at variants that it has
    /// not crashed.
    fn is_refused(&self, suspect: Suspect, variant: EndpointVariant) -> bool {
        self.refused.contains(&suspect)
            && match suspect {
                Suspect::PromptPart(_) => true,
                Suspect::Request(_) => self.has_crashed(suspect, variant),
            }
    }

    /// Whether a crash at an endpoint of a variant is held against a suspect.
    fn has_crashed(&self, suspect: Suspect, variant: EndpointVariant) -> bool {
        self.suspects.get(&suspect).is_some_and(|crashes| {
            let mut held = held(crashes);
            held.any(|(_, crash)| crash.variant == variant)
        })
    }

    /// Grants one request with a refused suspect, to find out whether it is still to be refused. `false`
    /// if none is due, or nothing of it is refused here.
    pub fn grant_trial(&mut self, suspects: &Suspects, now: Duration) -> bool {
        let CrashVerdict::Refused { suspect, trial_in } = self.verdict(suspects, now) else {
            return false;
        };
        if !trial_in.is_zero() {
            return false;
        }
        if matches!(suspect, Suspect::Request(_)) {
            let last_at = self.last_request_trial_at;
            if last_at.is_some_and(|at| now.saturating_sub(at) < REQUEST_TRIAL_INTERVAL) {
                return false;
            }
            self.last_request_trial_at = Some(now);
        }
        let known = suspects
            .iter()
            .filter(|suspect| self.suspects.contains_key(suspect));
        for suspect in known {
            self.trials.entry(suspect).or_default().add(now);
        }
        true
    }

    /// Takes back a trial that was granted and not used.
    pub fn return_trial(&mut self, suspects: &Suspects) {
        for suspect in suspects.iter() {
            if let Some(trials) = self.trials.get_mut(&suspect) {
                trials.remove_one();
            }
        }
    }

    /// When a request with these suspects, of which `suspect` is refused, may be tried.
    fn trial_at(&self, suspect: Suspect, suspects: &Suspects) -> Option<Duration> {
        let crashes = self.suspects.get(&suspect)?;
        let trials = self.trials.get(&suspect).copied().unwrap_or_default();
        Some(match suspect {
            Suspect::PromptPart(_) => {
                let may_be_innocent = self.may_be_innocent(suspect, crashes, suspects);
                part_trial_at(crashes, trials, may_be_innocent)
            }
            Suspect::Request(_) => request_trial_at(crashes, trials),
        })
    }

    /// Whether another suspect, which this request lacks, explains the crashes that are held against
    /// `suspect`: then the request tells which of the two is to blame.
    fn may_be_innocent(&self, suspect: Suspect, crashes: &Crashes, suspects: &Suspects) -> bool {
        self.suspects.iter().any(|(other, other_crashes)| {
            *other != suspect
                && !suspects.contains(*other)
                && explains(*other, other_crashes, crashes)
        })
    }

    /// Suspects that are refused.
    pub fn refused(&self) -> &BTreeSet<Suspect> {
        &self.refused
    }

    /// Whether a crash is held against any whole request.
    pub fn suspects_requests(&self) -> bool {
        let mut suspects = self.suspects.iter();
        suspects.any(|(suspect, crashes)| {
            matches!(suspect, Suspect::Request(_)) && held(crashes).next().is_some()
        })
    }

    /// Prompt parts against which more than one crash is held.
    pub fn suspected_parts(&self) -> impl Iterator<Item = PromptPartId> {
        let suspects = self.suspects.iter();
        suspects.filter_map(|(suspect, crashes)| match suspect {
            Suspect::PromptPart(part) if held(crashes).count() > 1 => Some(*part),
            Suspect::PromptPart(_) | Suspect::Request(_) => None,
        })
    }

    /// Number of crashes that are held against a suspect.
    pub fn count(&self, suspect: Suspect) -> usize {
        self.suspects
            .get(&suspect)
            .map_or(0, |crashes| held(crashes).count())
    }

    /// What changed after this version and concerns other processes: suspects of more than one crash, and
    /// those that were cleared.
    pub fn messages_since(&self, version: u64, now: Duration) -> Vec<SuspectCrashes> {
        let changed = self.changed.iter().filter(|(_, at)| **at > version);
        let messages = changed.filter_map(|(suspect, _)| {
            let crashes = self.suspects.get(suspect)?;
            let held = held(crashes).count();
            let is_news = held > 1 || held < crashes.len();
            is_news.then(|| message(*suspect, crashes, now))
        });
        messages.collect()
    }

    /// Increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Number of suspects that are kept.
    pub fn len(&self) -> usize {
        self.suspects.len()
    }

    /// Whether no crash is known.
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    fn expire(&mut self, now: Duration) {
        for (suspect, crashes) in &mut self.suspects {
            let lifetime = match suspect {
                Suspect::Request(_) if held(crashes).count() >= CRASHES_TO_REFUSE => {
                    CRASH_LIFETIME_MAX
                }
                Suspect::Request(_) | Suspect::PromptPart(_) => CRASH_LIFETIME,
            };
            crashes.retain(|_, crash| now.saturating_sub(crash.at) < lifetime);
        }
        self.suspects.retain(|_, crashes| !crashes.is_empty());
    }

    fn drop_excess(&mut self) {
        for crashes in self.suspects.values_mut() {
            while crashes.len() > CRASHES_PER_SUSPECT_MAX {
                let first = crashes
                    .iter()
                    .min_by_key(|(key, crash)| (!crash.cleared, crash.at, **key));
                let Some(key) = first.map(|(key, _)| *key) else {
                    break;
                };
                crashes.remove(&key);
            }
        }
        self.drop_excess_suspects(|suspect| matches!(suspect, Suspect::PromptPart(_)));
        self.drop_excess_suspects(|suspect| matches!(suspect, Suspect::Request(_)));
    }

    /// Drops the suspects of one kind with the fewest crashes until at most [`SUSPECTS_MAX`] are left.
    fn drop_excess_suspects(&mut self, is_of_kind: impl Fn(&Suspect) -> bool) {
        let of_kind = self
            .suspects
            .iter()
            .filter(|(suspect, _)| is_of_kind(suspect));
        let mut ranked: Vec<(usize, Duration, Suspect)> = of_kind
            .map(|(suspect, crashes)| {
                let last = crashes.values().map(|crash| crash.at).max();
                (held(crashes).count(), last.unwrap_or_default(), *suspect)
            })
            .collect();
        let excess = ranked.len().saturating_sub(SUSPECTS_MAX);
        ranked.sort_unstable();
        for (_, _, suspect) in &ranked[..excess] {
            self.suspects.remove(suspect);
        }
    }
}
