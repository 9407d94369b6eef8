//! Which suspects are refused, as it follows from the crashes that are held against all of them.

use super::{
    CRASHES_TO_REFUSE,
    record::{CrashKey, Crashes, held},
};
use crate::process::{CrashId, Suspect};
use radishpin_protocol::prelude::*;

/// Suspects to refuse: those with the most crashes, then those with the most that these do not explain,
/// and so on, so that none is refused for crashes that it was only served beside. Of a request and the
/// parts of its prompt that explain as many crashes, the request is refused, as others share the parts.
pub(super) fn refused_suspects(suspects: &BTreeMap<Suspect, Crashes>) -> BTreeSet<Suspect> {
    let mut unexplained: BTreeMap<Suspect, BTreeSet<CrashKey>> = suspects
        .iter()
        .map(|(suspect, crashes)| (*suspect, held(crashes).map(|(key, _)| key).collect()))
        .collect();
    let mut refused = BTreeSet::new();
    loop {
        unexplained.retain(|_, crashes| crashes.len() >= CRASHES_TO_REFUSE);
        let Some(most) = unexplained.values().map(weight).max() else {
            return refused;
        };
        let worst = most_suspicious(&unexplained, most);
        let explained: BTreeSet<CrashId> = worst
            .iter()
            .filter_map(|suspect| unexplained.remove(suspect))
            .flatten()
            .map(|(id, _)| id)
            .collect();
        refused.extend(worst);
        for crashes in unexplained.values_mut() {
            crashes.retain(|(id, _)| !explained.contains(id));
        }
    }
}

/// What suspects are compared by: runs of endpoints that crashed, and then crashes. Where an endpoint's start is
/// not known, its crashes under a request are told apart, and those under a prompt part are not.
type Weight = (usize, usize);

fn weight(crashes: &BTreeSet<CrashKey>) -> Weight {
    let runs: BTreeSet<CrashId> = crashes.iter().map(|(id, _)| *id).collect();
    (runs.len(), crashes.len())
}

/// Suspects of this weight: the requests, or the prompt parts if there is no request.
fn most_suspicious(
    unexplained: &BTreeMap<Suspect, BTreeSet<CrashKey>>,
    most: Weight,
) -> Vec<Suspect> {
    let worst = unexplained
        .iter()
        .filter(|(_, crashes)| weight(crashes) == most)
        .map(|(suspect, _)| *suspect);
    let (requests, parts): (Vec<Suspect>, Vec<Suspect>) =
        worst.partition(|suspect| matches!(suspect, Suspect::Request(_)));
    match requests.is_empty() {
        true => parts,
        false => requests,
    }
}
