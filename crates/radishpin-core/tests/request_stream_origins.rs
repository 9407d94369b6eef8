//! Origins of streams that callers resume.

use radishpin_core::{
    process::choose_holders,
    request::{ORIGIN_LIFETIME, ORIGINS_MAX, StreamOrigin, StreamOrigins},
};
use std::{net::SocketAddr, time::Duration};

fn origin(attempt: &str, send: u32, version: Option<&str>) -> StreamOrigin {
    StreamOrigin {
        attempt: attempt.to_owned(),
        send,
        software_version: version.map(str::to_owned),
    }
}

fn found(origins: &StreamOrigins, attempt: &str, now: Duration) -> Option<StreamOrigin> {
    origins.find(attempt, now).cloned()
}

#[test]
fn a_later_send_replaces_the_origin_and_an_earlier_one_does_not() {
    let mut origins = StreamOrigins::default();
    let now = Duration::from_secs(1);
    origins.record(origin("a", 2, Some("v2")), now);
    origins.record(origin("a", 1, Some("v1")), now);
    assert_eq!(found(&origins, "a", now), Some(origin("a", 2, Some("v2"))));
    origins.record(origin("a", 3, None), now);
    assert_eq!(found(&origins, "a", now), Some(origin("a", 3, None)));
    assert_eq!(found(&origins, "b", now), None);
}

#[test]
fn an_origin_is_forgotten_after_its_lifetime() {
    let mut origins = StreamOrigins::default();
    origins.record(origin("a", 1, Some("v1")), Duration::ZERO);
    let renewed_at = ORIGIN_LIFETIME / 2;
    origins.record(origin("b", 1, Some("v1")), Duration::ZERO);
    origins.record(origin("b", 1, Some("v1")), renewed_at);
    assert!(found(&origins, "a", ORIGIN_LIFETIME).is_none());
    assert!(found(&origins, "b", ORIGIN_LIFETIME).is_some());
    origins.record(origin("c", 1, Some("v1")), ORIGIN_LIFETIME);
    assert_eq!(origins.len(), 2, "the record of `a` is dropped");
    origins.record(origin("d", 1, Some("v1")), renewed_at + ORIGIN_LIFETIME);
    assert_eq!(origins.len(), 2, "the record of `b` is dropped");
}

#[test]
fn the_oldest_origins_make_room_for_new_ones() {
    let mut origins = StreamOrigins::default();
    for n in 0..ORIGINS_MAX + 100 {
        origins.record(origin(&format!("a{n}"), 1, Some("v1")), Duration::ZERO);
    }
    assert_eq!(origins.len(), ORIGINS_MAX);
    assert!(found(&origins, "a99", Duration::ZERO).is_none());
    assert!(found(&origins, "a100", Duration::ZERO).is_some());
}

#[test]
fn holders_of_copies_differ_by_attempt_and_hardly_by_the_list() {
    let sidecar = |n: usize| SocketAddr::from(([10, 0, 0, n as u8], 7_380));
    let all: Vec<SocketAddr> = (0..40).map(sidecar).collect();
    let mut copies_by_sidecar = [0_usize; 40];
    for n in 0..1_000 {
        let attempt = format!("attempt-{n}");
        let holders = choose_holders(&attempt, all.iter().map(|one| (*one, *one)), 3);
        assert_eq!(holders.len(), 3);
        for holder in &holders {
            copies_by_sidecar[all.iter().position(|one| one == holder).unwrap()] += 1;
        }
        let left = all.iter().filter(|one| !holders[..2].contains(one));
        let asked = choose_holders(&attempt, left.map(|one| (*one, *one)), 5);
        assert!(asked.contains(&holders[2]), "a list without two of them");
    }
    let even = 1_000 * 3 / 40;
    let spread = copies_by_sidecar
        .iter()
        .all(|copies| (even / 2..=even * 2).contains(copies));
    assert!(spread, "{copies_by_sidecar:?}");
}

/// While an engine restarts under a new id, its sidecar's address is listed twice.
#[test]
fn a_sidecar_that_is_listed_twice_holds_one_copy() {
    let listed = [1, 1, 2, 2, 3].map(|n| (SocketAddr::from(([10, 0, 0, n], 7_380)), n));
    for n in 0..100 {
        let mut holders = choose_holders(&format!("attempt-{n}"), listed, 3);
        holders.sort_unstable();
        assert_eq!(holders, [1, 2, 3]);
    }
}
