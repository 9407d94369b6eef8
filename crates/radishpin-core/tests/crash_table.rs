//! Prompt parts and requests that crash endpoints: which are refused, cleared, tried and forgotten.

use radishpin_core::{
    process::{
        CRASH_LIFETIME, CRASHES_PER_SUSPECT_MAX, CrashId, CrashRecord, CrashTable, CrashVerdict,
        EndpointVariant, SUSPECTS_MAX, Suspect, SuspectCrashes, Suspects,
    },
    request::PromptPartId,
};
use rand::{Rng, SeedableRng, rngs::SmallRng, seq::SliceRandom};
use std::{collections::BTreeSet, time::Duration};

const FIRST: PromptPartId = 0xaa;
const BAD: PromptPartId = 0xbad;
const SOUND: PromptPartId = 0x50;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// Variant of the endpoints in tests where there is only one.
const VARIANT: EndpointVariant = 0;

fn prompt(parts: &[PromptPartId]) -> Suspects {
    Suspects::new(&parts.iter().copied().collect(), None, VARIANT)
}

fn held(part: PromptPartId, crash: CrashId) -> SuspectCrashes {
    let crash = CrashRecord {
        crash,
        ..CrashRecord::default()
    };
    SuspectCrashes {
        suspect: Suspect::PromptPart(part),
        crashes: vec![crash],
    }
}

/// Holds a crash against these parts.
fn crash(crashes: &mut CrashTable, id: CrashId, parts: &[PromptPartId], now: Duration) {
    let messages = parts.iter().map(|part| held(*part, id)).collect();
    crashes.merge(messages, now);
}

fn is_refused(crashes: &CrashTable, parts: &[PromptPartId], now: Duration) -> bool {
    crashes.verdict(&prompt(parts), now) != CrashVerdict::Allowed
}

#[test]
fn a_part_is_refused_after_three_crashes_and_not_after_one_that_is_told_thrice() {
    let mut crashes = CrashTable::default();
    for _ in 0..3 {
        crash(&mut crashes, 1, &[BAD], at(1));
    }
    assert!(!is_refused(&crashes, &[BAD], at(1)));
    crash(&mut crashes, 2, &[BAD], at(2));
    crash(&mut crashes, 3, &[BAD], at(3));
    assert!(is_refused(&crashes, &[SOUND, BAD], at(3)));
    assert!(!is_refused(&crashes, &[SOUND], at(3)));
}

#[test]
fn a_part_whose_request_was_answered_is_cleared_for_all() {
    let mut crashes = CrashTable::default();
    let mut other = CrashTable::default();
    for id in 1..=3 {
        crash(&mut crashes, id, &[FIRST], at(id));
        crash(&mut other, id, &[FIRST], at(id));
    }
    let message = crashes.clear_part(FIRST, at(4)).unwrap();
    assert!(!is_refused(&crashes, &[FIRST], at(4)));
    assert!(
        crashes.clear_part(FIRST, at(4)).is_none(),
        "nothing is left"
    );
    assert!(other.merge(vec![message], at(4)));
    assert!(!is_refused(&other, &[FIRST], at(4)));
    crash(&mut crashes, 3, &[FIRST], at(5));
    assert!(!is_refused(&crashes, &[FIRST], at(5)), "crash 3 is cleared");
}

/// A rare sound part was served beside the bad one in two of its crashes, and in another engine's.
#[test]
fn crashes_that_a_refused_part_explains_are_not_held_against_others() {
    let mut crashes = CrashTable::default();
    crash(&mut crashes, 1, &[BAD, SOUND], at(1));
    crash(&mut crashes, 2, &[BAD, SOUND], at(2));
    crash(&mut crashes, 3, &[SOUND], at(3));
    assert!(is_refused(&crashes, &[SOUND], at(3)), "it may be the cause");
    crash(&mut crashes, 4, &[BAD], at(4));
    assert!(is_refused(&crashes, &[BAD], at(4)));
    assert_eq!(trial_in(&crashes, &[SOUND], at(4)), Some(Duration::ZERO));
    crash(&mut crashes, 7, &[BAD], at(4));
    assert!(!is_refused(&crashes, &[SOUND], at(4)));
    crash(&mut crashes, 5, &[SOUND], at(5));
    crash(&mut crashes, 6, &[SOUND], at(6));
    assert!(is_refused(&crashes, &[SOUND], at(6)), "three of its own");
}

/// What one gateway saw of crashes arrives before what another saw, and engines crash for other
/// reasons too. The part that all requests share is refused first.
#[test]
fn a_part_that_crashes_engines_is_refused_once_the_part_beside_it_is_cleared() {
    let mut crashes = CrashTable::default();
    for id in 1..=5 {
        crash(&mut crashes, id, &[FIRST], at(id));
    }
    for id in 1..=3 {
        crash(&mut crashes, id, &[BAD], at(id));
    }
    assert!(is_refused(&crashes, &[FIRST, SOUND], at(5)));
    assert_eq!(trial_in(&crashes, &[FIRST, SOUND], at(5)), Some(at(1)));
    assert_eq!(trial_in(&crashes, &[FIRST, BAD], at(5)), Some(at(600)));
    crashes.clear_part(FIRST, at(7));
    assert!(!is_refused(&crashes, &[FIRST, SOUND], at(7)));
    assert!(is_refused(&crashes, &[FIRST, BAD], at(7)));
}

fn trial_in(crashes: &CrashTable, parts: &[PromptPartId], now: Duration) -> Option<Duration> {
    match crashes.verdict(&prompt(parts), now) {
        CrashVerdict::Allowed => None,
        CrashVerdict::Refused { trial_in, .. } => Some(trial_in),
    }
}

/// Engines of one rack are lost together, with requests of one part on all of them.
#[test]
fn a_part_is_tried_soon_after_engines_crashed_together() {
    let mut crashes = CrashTable::default();
    for id in 1..=8 {
        crash(&mut crashes, id, &[SOUND], at(1));
    }
    assert_eq!(trial_in(&crashes, &[SOUND], at(1)), Some(at(1)));
    assert!(!crashes.grant_trial(&prompt(&[SOUND]), at(1)));
    assert!(crashes.grant_trial(&prompt(&[SOUND]), at(2)));
    assert!(!crashes.grant_trial(&prompt(&[SOUND]), at(2)), "one trial");
    assert!(crashes.grant_trial(&prompt(&[SOUND]), at(3)));
}

#[test]
fn a_part_that_crashed_engines_again_and_again_is_tried_ever_less_often() {
    let mut crashes = CrashTable::default();
    let delays = (1..=6).map(|id| {
        let now = at(id * 10);
        crash(&mut crashes, id, &[BAD], now);
        trial_in(&crashes, &[BAD], now)
    });
    let delays: Vec<_> = delays.collect();
    let expected = [None, None, Some(30), Some(30), Some(600), Some(600)];
    assert_eq!(delays, expected.map(|seconds| seconds.map(at)));
}

/// Both parts were in all crashes, so a request with one of them tells which is to blame.
#[test]
fn a_request_that_lacks_one_of_two_suspects_is_tried_soon() {
    let mut crashes = CrashTable::default();
    for id in 1..=3 {
        crash(&mut crashes, id, &[FIRST, BAD], at(id));
    }
    assert_eq!(trial_in(&crashes, &[FIRST, SOUND], at(3)), Some(at(1)));
    assert_eq!(trial_in(&crashes, &[FIRST, BAD], at(3)), Some(at(30)));
    assert!(crashes.grant_trial(&prompt(&[FIRST, SOUND]), at(4)));
    crashes.clear_part(FIRST, at(5));
    assert_eq!(trial_in(&crashes, &[FIRST, SOUND], at(5)), None);
    assert_eq!(trial_in(&crashes, &[FIRST, BAD], at(5)), Some(at(28)));
}

#[test]
fn a_crash_is_forgotten_after_its_lifetime_whatever_others_say_of_its_age() {
    let mut crashes = CrashTable::default();
    for id in 1..=3 {
        crash(&mut crashes, id, &[BAD], at(0));
    }
    let message = crashes.messages_since(0, CRASH_LIFETIME - at(1));
    assert!(!crashes.merge(message.clone(), CRASH_LIFETIME - at(1)));
    assert!(crashes.merge(Vec::new(), CRASH_LIFETIME));
    assert!(crashes.is_empty());
    let mut huge = held(BAD, 1);
    huge.crashes[0].age_ms = u64::MAX;
    assert!(!crashes.merge(vec![huge], at(1)), "it is too old");
}

#[test]
fn parts_with_few_crashes_make_room_and_the_table_stays_bounded() {
    let mut crashes = CrashTable::default();
    for id in 1..=3 {
        crash(&mut crashes, id, &[BAD], at(1));
    }
    for n in 0..4 * SUSPECTS_MAX as u64 {
        crash(&mut crashes, 100 + n, &[1_000_000 + n], at(2));
    }
    for id in 0..100 {
        crash(&mut crashes, 10_000 + id, &[BAD], at(3));
    }
    assert_eq!(crashes.len(), SUSPECTS_MAX);
    assert!(is_refused(&crashes, &[BAD], at(3)));
    let messages = crashes.messages_since(0, at(3));
    assert_eq!(messages.len(), 1, "parts with one crash concern nobody yet");
    let longest = messages.iter().map(|entry| entry.crashes.len()).max();
    assert_eq!(longest, Some(CRASHES_PER_SUSPECT_MAX));
    assert!(!crashes.merge(messages, at(3)), "what it knows is no news");
    let parts: Vec<PromptPartId> = (0..SUSPECTS_MAX as u64).map(|n| 2_000_000 + n).collect();
    for id in 0..20 {
        crash(&mut crashes, 10_000 + id, &parts, at(3));
    }
    let messages = crashes.messages_since(0, at(3));
    let bytes = serde_json::to_vec(&messages).unwrap().len();
    assert!(
        (SUSPECTS_MAX..=256 * 1024).contains(&bytes),
        "{bytes} bytes"
    );
}

#[test]
fn a_process_that_has_seen_a_version_gets_only_what_changed_since() {
    let mut crashes = CrashTable::default();
    crash(&mut crashes, 1, &[BAD, FIRST], at(1));
    crash(&mut crashes, 2, &[BAD, FIRST], at(2));
    let seen = crashes.version();
    assert_eq!(crashes.messages_since(0, at(2)).len(), 2);
    assert_eq!(crashes.messages_since(seen, at(2)), Vec::new());
    crash(&mut crashes, 3, &[BAD, SOUND], at(3));
    let parts = |version| {
        let messages = crashes.messages_since(version, at(3)).into_iter();
        messages.map(|entry| entry.suspect.id()).collect::<Vec<_>>()
    };
    assert_eq!(parts(seen), [BAD], "the other one has one crash");
    assert_eq!(parts(crashes.version()), Vec::<PromptPartId>::new());
    crashes.clear_part(FIRST, at(3));
    let cleared = crashes.messages_since(seen + 1, at(3));
    assert_eq!(cleared.len(), 1);
    assert!(cleared[0].crashes.iter().all(|crash| crash.cleared));
}

/// Random crashes and clearings reach three tables in different orders, some of them twice.
#[test]
fn tables_that_merged_the_same_messages_agree() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut source = CrashTable::default();
        let mut messages = Vec::new();
        for _ in 0..30 {
            let part = random.random_range(0..6);
            if random.random_ratio(1, 4) {
                messages.extend(source.clear_part(part, at(1)));
            } else {
                let message = held(part, random.random_range(0..8));
                source.merge(vec![message.clone()], at(1));
                messages.push(message);
            }
        }
        let tables = (0..3).map(|_| {
            let mut order = messages.clone();
            order.extend_from_slice(&messages[..10]);
            order.shuffle(&mut random);
            let mut table = CrashTable::default();
            for message in order {
                table.merge(vec![message], at(2));
            }
            table
        });
        let mut tables: Vec<CrashTable> = tables.collect();
        for _ in 0..2 {
            for n in 0..3 {
                let known = tables[n].messages_since(0, at(3));
                tables[(n + 1) % 3].merge(known, at(3));
            }
        }
        let refused = tables.iter().map(|table| table.refused().clone());
        let refused: BTreeSet<_> = refused.collect();
        assert_eq!(refused.len(), 1, "seed {seed}: {refused:?}");
    }
}
