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
        let Some(most) = unexplained.values().map(BTreeSet::len).max() else {
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

/// Suspects with this number of crashes: the requests, or the prompt parts if there is no request.
fn most_suspicious(
    unexplained: &BTreeMap<Suspect, BTreeSet<CrashKey>>,
    most: usize,
) -> Vec<Suspect> {
    let worst = unexplained
        .iter()
        .filter(|(_, crashes)| crashes.len() == most)
        .map(|(suspect, _)| *suspect);
    let (requests, parts): (Vec<Suspect>, Vec<Suspect>) =
        worst.partition(|suspect| matches!(suspect, Suspect::Request(_)));
    match requests.is_empty() {
        true => parts,
        false => requests,
    }
}
