//! Requests that crash endpoints: which are refused, at which endpoints, and how often they are tried.

use radishpin_core::{
    process::{
        CRASH_LIFETIME, CRASH_LIFETIME_MAX, CrashId, CrashRecord, CrashTable, CrashVerdict,
        EndpointVariant, SUSPECTS_MAX, Suspect, SuspectCrashes, Suspects, endpoint_variant,
    },
    request::{PromptPartId, RequestFingerprint, SharedParts},
};
use std::time::Duration;

const BAD: RequestFingerprint = 0xbad;
const SOUND: RequestFingerprint = 0x50;
const PART: PromptPartId = 0xaa;
const V1: EndpointVariant = 1;
const V2: EndpointVariant = 2;
/// A request may be sent this often after its third crash, for as long as a day lasts.
const RETRIES_A_DAY_MAX: usize = 3;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn suspects(fingerprint: RequestFingerprint, variant: EndpointVariant) -> Suspects {
    Suspects::new(&SharedParts::default(), Some(fingerprint), variant)
}

fn with_part(fingerprint: RequestFingerprint) -> Suspects {
    Suspects::new(&[PART].into_iter().collect(), Some(fingerprint), V1)
}

fn held(suspect: Suspect, crash: CrashRecord) -> SuspectCrashes {
    SuspectCrashes {
        suspect,
        crashes: vec![crash],
    }
}

/// Holds a crash at endpoints of the first variant against these requests.
fn crash(table: &mut CrashTable, id: CrashId, requests: &[RequestFingerprint], now: Duration) {
    let record = CrashRecord {
        crash: id,
        variant: V1,
        ..CrashRecord::default()
    };
    let messages = requests
        .iter()
        .map(|request| held(Suspect::Request(*request), record));
    table.merge(messages.collect(), now);
}

/// Holds a crash at an endpoint of the first variant against a request and the part of its prompt.
fn crash_with_part(
    table: &mut CrashTable,
    id: CrashId,
    request: RequestFingerprint,
    trial: bool,
    now: Duration,
) {
    let record = CrashRecord {
        crash: id,
        variant: V1,
        trial,
        ..CrashRecord::default()
    };
    let suspects = [Suspect::Request(request), Suspect::PromptPart(PART)];
    let messages = suspects.map(|suspect| held(suspect, record));
    table.merge(messages.into(), now);
}

/// Time until the trial of a refused request; `None` if it is allowed.
fn trial_in(table: &CrashTable, suspects: &Suspects, now: Duration) -> Option<Duration> {
    match table.verdict(suspects, now) {
        CrashVerdict::Allowed => None,
        CrashVerdict::Refused { trial_in, .. } => Some(trial_in),
    }
}

#[test]
fn a_request_is_refused_after_three_crashes_and_another_one_is_not() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        assert_eq!(trial_in(&table, &suspects(BAD, V1), at(id)), None);
        crash(&mut table, id, &[BAD], at(id));
    }
    assert_eq!(trial_in(&table, &suspects(BAD, V1), at(3)), Some(at(1)));
    assert_eq!(trial_in(&table, &suspects(SOUND, V1), at(3)), None);
}

#[test]
fn a_request_that_crashed_one_variant_gets_a_chance_at_another_one() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD], at(id));
    }
    assert_eq!(trial_in(&table, &suspects(BAD, V2), at(3)), None);
    let record = CrashRecord {
        crash: 4,
        variant: V2,
        ..CrashRecord::default()
    };
    table.merge(vec![held(Suspect::Request(BAD), record)], at(4));
    assert!(trial_in(&table, &suspects(BAD, V2), at(4)).is_some());
    assert_ne!(
        endpoint_variant("a", Some("v1")),
        endpoint_variant("a", Some("v2"))
    );
    assert_ne!(
        endpoint_variant("a", Some("v1")),
        endpoint_variant("b", Some("v1"))
    );
}

/// One variant runs it well, so its answers must not send it back to the other one.
#[test]
fn an_answer_clears_a_request_at_the_variant_that_gave_it_alone() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD], at(id));
    }
    assert!(table.clear_request(BAD, V2, at(4)).is_none());
    assert!(trial_in(&table, &suspects(BAD, V1), at(4)).is_some());
    let message = table.clear_request(BAD, V1, at(5)).unwrap();
    assert!(message.crashes.iter().all(|crash| crash.cleared));
    assert_eq!(trial_in(&table, &suspects(BAD, V1), at(5)), None);
    assert!(
        table.clear_request(BAD, V1, at(5)).is_none(),
        "nothing is left"
    );
}

/// A caller sends a request that crashes every endpoint once a second, and each trial crashes one. It goes
/// on at the holder of the trials, and after an hour at one that has just started.
#[test]
fn a_request_that_crashes_endpoints_all_day_is_tried_three_times_at_most() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD], at(id));
    }
    let mut tried = 0;
    for second in 4..24 * 3_600 {
        let now = at(second);
        if second == 3_600 {
            let known = table.messages_since(0, now);
            table = CrashTable::default();
            table.merge(known, now);
        }
        if table.grant_trial(&suspects(BAD, V1), now) {
            tried += 1;
            let record = CrashRecord {
                crash: 100 + second,
                variant: V1,
                trial: true,
                ..CrashRecord::default()
            };
            table.merge(vec![held(Suspect::Request(BAD), record)], now + at(1));
        }
    }
    assert!((1..=RETRIES_A_DAY_MAX).contains(&tried), "{tried} trials");
}

/// Nothing tells that the endpoint crashed, or it did not run the request.
#[test]
fn a_trial_without_a_known_end_is_repeated_ever_less_often() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[SOUND], at(id));
    }
    let tried = (4..1_300).filter(|second| table.grant_trial(&suspects(SOUND, V1), at(*second)));
    assert_eq!(tried.collect::<Vec<_>>(), [4, 10, 610, 1_210]);
}

/// No endpoint was up when the trials were granted.
#[test]
fn a_trial_that_is_given_back_unused_does_not_count() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[SOUND], at(id));
    }
    for second in 4..9 {
        assert!(table.grant_trial(&suspects(SOUND, V1), at(second)));
        table.return_trial(&suspects(SOUND, V1));
    }
    assert!(table.grant_trial(&suspects(SOUND, V1), at(9)));
    assert!(!table.grant_trial(&suspects(SOUND, V1), at(10)));
}

#[test]
fn requests_are_tried_one_after_the_other() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD, SOUND], at(id));
    }
    assert!(table.grant_trial(&suspects(BAD, V1), at(5)));
    assert!(!table.grant_trial(&suspects(SOUND, V1), at(5)));
    assert!(table.grant_trial(&suspects(SOUND, V1), at(6)));
}

/// The parts of its prompt were in all crashes too.
#[test]
fn a_request_is_refused_rather_than_the_prompt_parts_that_others_share() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash_with_part(&mut table, id, BAD, false, at(id));
    }
    assert!(trial_in(&table, &with_part(BAD), at(3)).is_some());
    assert_eq!(trial_in(&table, &with_part(SOUND), at(3)), None);
    crash_with_part(&mut table, 4, 0x11, false, at(4));
    assert!(
        trial_in(&table, &with_part(SOUND), at(4)).is_some(),
        "it is the part"
    );
}

/// The part is refused in its place, and tried far more often than a request may be.
#[test]
fn a_request_whose_prompt_part_is_refused_is_tried_three_times_a_day_at_most() {
    let mut table = CrashTable::default();
    refuse_part(&mut table, at(3), at(4));
    let mut tried = 0;
    for second in 5..24 * 3_600 {
        let now = at(second);
        if table.grant_trial(&with_part(BAD), now) {
            tried += 1;
            crash_with_part(&mut table, 100 + second, BAD, true, now);
        }
    }
    assert!((1..=RETRIES_A_DAY_MAX).contains(&tried), "{tried} trials");
}

/// Other requests with the part go on to be tried, so that a sound part is found to be sound.
#[test]
fn a_prompt_part_is_tried_by_a_request_that_has_crashed_nothing() {
    let mut table = CrashTable::default();
    refuse_part(&mut table, at(3), at(4));
    assert!(table.grant_trial(&with_part(BAD), at(40)));
    crash_with_part(&mut table, 5, BAD, true, at(40));
    assert!(!table.grant_trial(&with_part(BAD), at(80)));
    assert!(table.grant_trial(&with_part(SOUND), at(80)));
}

/// Holds crashes of three endpoints against a request and the part of its prompt, and then one against
/// another request with the part, so that the part is refused in the place of the request.
fn refuse_part(table: &mut CrashTable, request_at: Duration, other_at: Duration) {
    for id in 1..=3 {
        crash_with_part(table, id, BAD, false, request_at);
    }
    crash_with_part(table, 4, 0x11, false, other_at);
    assert_eq!(table.refused().first(), Some(&Suspect::PromptPart(PART)));
}

/// The version of an endpoint that restarted since it was listed is not known; it may be the same.
#[test]
fn a_request_has_no_more_trials_at_endpoints_of_unknown_version() {
    let mut table = CrashTable::default();
    refuse_part(&mut table, at(1), at(1));
    assert!(table.grant_trial(&with_part(BAD), at(2)));
    crash_with_part(&mut table, 5, BAD, true, at(2));
    let parts: SharedParts = [PART].into_iter().collect();
    let unknown = endpoint_variant("drafts", None);
    let at_unknown = Suspects::new(&parts, Some(BAD), unknown);
    assert!(!table.grant_trial(&at_unknown, at(4)));
    let at_next = Suspects::new(&parts, Some(BAD), V2);
    assert!(
        table.grant_trial(&at_next, at(4)),
        "the next version has one"
    );
}

/// An endpoint crashed under a trial of the request for the second time, and its new start is not known yet.
#[test]
fn a_prompt_part_stays_refused_when_an_endpoint_crashes_again_under_the_same_listed_start() {
    let mut table = CrashTable::default();
    refuse_part(&mut table, at(1), at(1));
    crash_with_part(&mut table, 1, BAD, true, at(3));
    assert_eq!(table.count(Suspect::Request(BAD)), 4);
    assert!(trial_in(&table, &with_part(SOUND), at(3)).is_some());
}

/// Only a crash that is not under the request tells that the part is to blame.
#[test]
fn a_prompt_part_is_to_blame_once_a_trial_without_the_request_crashed_an_endpoint() {
    let mut table = CrashTable::default();
    refuse_part(&mut table, at(1), at(2));
    assert!(table.grant_trial(&with_part(0x12), at(3)));
    crash_with_part(&mut table, 5, 0x12, true, at(3));
    assert!(!table.grant_trial(&with_part(0x13), at(5)));
}

/// A rack was lost, so that many endpoints crashed with one cause.
#[test]
fn a_sound_prompt_part_is_tried_soon_after_a_rack_was_lost_beside_a_request_that_crashes_endpoints()
{
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash_with_part(&mut table, id, BAD, false, at(id));
    }
    for id in 11..=15 {
        crash_with_part(&mut table, id, SOUND + id, false, at(5));
    }
    assert!(trial_in(&table, &with_part(SOUND), at(5)).is_some());
    assert!(table.grant_trial(&with_part(SOUND), at(6)));
}

/// Endpoints whose entry does not tell when they started crash again under the same id.
#[test]
fn two_crashes_of_one_endpoint_are_told_from_one_that_two_gateways_saw() {
    let mut table = CrashTable::default();
    crash(&mut table, 1, &[BAD], at(1));
    crash(&mut table, 1, &[BAD], at(1) + Duration::from_millis(300));
    assert_eq!(table.count(Suspect::Request(BAD)), 1);
    crash(&mut table, 1, &[BAD], at(2));
    crash(&mut table, 1, &[BAD], at(3));
    assert_eq!(table.count(Suspect::Request(BAD)), 3);
    let mut other = CrashTable::default();
    crash(&mut other, 1, &[BAD], at(3));
    for _ in 0..3 {
        other.merge(table.messages_since(0, at(4)), at(4));
        table.merge(other.messages_since(0, at(4)), at(4));
    }
    assert_eq!(other.count(Suspect::Request(BAD)), 3);
    assert_eq!(table.count(Suspect::Request(BAD)), 3);
}

/// Its caller invents new requests, each of which crashes an endpoint or two.
#[test]
fn invented_requests_do_not_push_one_that_crashes_endpoints_out() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD], at(id));
    }
    for n in 0..4 * SUSPECTS_MAX as u64 {
        crash(&mut table, 1_000 + n, &[10_000 + n], at(10 + n));
        crash(&mut table, 2_000 + n, &[10_000 + n], at(10 + n));
    }
    let now = at(10 + 4 * SUSPECTS_MAX as u64);
    assert!(trial_in(&table, &suspects(BAD, V1), now).is_some());
    assert_eq!(table.len(), SUSPECTS_MAX);
    let bytes = serde_json::to_vec(&table.messages_since(0, now))
        .unwrap()
        .len();
    assert!(bytes <= 1024 * 1024, "{bytes} bytes");
}

#[test]
fn a_refused_request_is_remembered_for_a_day_and_others_for_an_hour() {
    let mut table = CrashTable::default();
    for id in 1..=3 {
        crash(&mut table, id, &[BAD], at(id));
    }
    crash(&mut table, 9, &[SOUND], at(3));
    table.merge(Vec::new(), at(3) + CRASH_LIFETIME);
    assert_eq!(table.count(Suspect::Request(SOUND)), 0);
    assert_eq!(table.count(Suspect::Request(BAD)), 3);
    table.merge(Vec::new(), at(3) + CRASH_LIFETIME_MAX);
    assert!(table.is_empty());
}

#[test]
fn crashes_are_understood_by_and_from_earlier_releases() {
    let earlier = r#"[{"part":170,"crashes":[{"crash":1,"age_ms":0,"cleared":false}]}]"#;
    let read: Vec<SuspectCrashes> = serde_json::from_str(earlier).unwrap();
    assert_eq!(
        read,
        [held(
            Suspect::PromptPart(PART),
            CrashRecord {
                crash: 1,
                ..CrashRecord::default()
            }
        )]
    );
    let sent = serde_json::to_value(held(Suspect::Request(BAD), CrashRecord::default())).unwrap();
    assert_eq!(sent["part"], BAD);
    let back: SuspectCrashes = serde_json::from_value(sent).unwrap();
    assert_eq!(back.suspect, Suspect::Request(BAD));
}
