//! When a refused suspect may be tried, to find out whether endpoints still crash under it.

use super::{
    CRASH_LIFETIME_MAX, CRASHES_TO_REFUSE,
    record::{Crashes, held},
};
use crate::process::{CrashId, Suspect};
use radishpin_protocol::prelude::*;

/// Crashes within this time of each other may have one cause, such as the loss of a rack.
const COMMON_CAUSE_WINDOW: Duration = Duration::from_millis(500);
/// Shortest time from the last crash or trial to the next trial.
const TRIAL_DELAY_MIN: Duration = Duration::from_secs(1);
/// Time from the last crash to the second trial of a request.
const SECOND_TRIAL_DELAY: Duration = Duration::from_secs(600);
/// Time within which it is known whether an endpoint crashed under a trial.
const TRIAL_NEWS_DELAY_MAX: Duration = Duration::from_secs(6);
/// Shortest time between the trials of two requests, so that one does not suffer from the other.
pub(super) const REQUEST_TRIAL_INTERVAL: Duration = Duration::from_secs(1);

/// Trials of one suspect that this process has granted or asked for.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Trials {
    pub(super) last_at: Duration,
    pub(super) count: u32,
}

impl Trials {
    pub(super) fn add(&mut self, now: Duration) {
        self.last_at = now;
        self.count += 1;
    }

    /// Takes one back that was not used.
    pub(super) fn remove_one(&mut self) {
        self.count = self.count.saturating_sub(1);
    }
}

/// When a refused prompt part may be tried. `may_be_innocent` says whether something else explains its
/// crashes too.
pub(super) fn part_trial_at(crashes: &Crashes, trials: Trials, may_be_innocent: bool) -> Duration {
    let times = held(crashes).map(|(_, crash)| crash.at);
    let delay = match may_be_innocent {
        true => TRIAL_DELAY_MIN,
        false => part_trial_delay(occasions(times)),
    };
    last_crash_at(crashes).max(trials.last_at) + delay
}

/// When a refused request may be tried. Nobody gains from a trial but a request that only ran beside the
/// cause: it is answered at the first one.
pub(super) fn request_trial_at(crashes: &Crashes, trials: Trials) -> Duration {
    let failed = held(crashes).filter(|(_, crash)| crash.trial).count();
    let after_crash = match failed {
        0 => TRIAL_DELAY_MIN,
        1 => SECOND_TRIAL_DELAY,
        _ => CRASH_LIFETIME_MAX,
    };
    let after_trial = match trials.count {
        0 => TRIAL_DELAY_MIN,
        1 => TRIAL_NEWS_DELAY_MAX,
        _ => SECOND_TRIAL_DELAY,
    };
    (last_crash_at(crashes) + after_crash).max(trials.last_at + after_trial)
}

fn last_crash_at(crashes: &Crashes) -> Duration {
    let last = held(crashes).map(|(_, crash)| crash.at).max();
    last.unwrap_or_default()
}

/// Whether another suspect explains so many of the crashes that are held against one that this one may not
/// have caused any.
pub(super) fn explains(other: Suspect, other_crashes: &Crashes, crashes: &Crashes) -> bool {
    let explained: BTreeSet<CrashId> = held(other_crashes).map(|((id, _), _)| id).collect();
    let unexplained = held(crashes).filter(|((id, _), _)| !explained.contains(id));
    let unexplained = unexplained.map(|(_, crash)| crash.at);
    explained.len() >= CRASHES_TO_REFUSE
        && match other {
            Suspect::PromptPart(_) => unexplained.count() < CRASHES_TO_REFUSE,
            // One occasion may be the loss of a rack; a trial without the request is the next.
            Suspect::Request(_) => occasions(unexplained) <= 1,
        }
}

/// Number of occasions on which endpoints crashed; crashes of one occasion may have one cause.
fn occasions(crashed_at: impl Iterator<Item = Duration>) -> usize {
    let mut times: Vec<Duration> = crashed_at.collect();
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
fn part_trial_delay(occasions: usize) -> Duration {
    match occasions {
        0..=2 => TRIAL_DELAY_MIN,
        3..=4 => Duration::from_secs(30),
        _ => Duration::from_secs(600),
    }
}
