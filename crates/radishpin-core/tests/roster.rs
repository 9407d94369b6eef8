//! The list of endpoints through outages of the store.

use insta::assert_debug_snapshot;
use radishpin_core::process::{EndpointEntry, EndpointPhase, Roster};
use radishpin_protocol::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(phase: EndpointPhase, started_unix_ms: u64) -> EndpointEntry {
    EndpointEntry {
        service: "shop".into(),
        address: "10.0.0.1:80".parse().expect("address is valid"),
        zone: "north".into(),
        slots: 8,
        phase,
        started_unix_ms,
        models: BTreeMap::new(),
    }
}

fn list(ids: &[&str]) -> BTreeMap<EndpointId, EndpointEntry> {
    let entries = ids
        .iter()
        .map(|id| ((*id).to_owned(), entry(EndpointPhase::Ready, 1)));
    entries.collect()
}

#[test]
fn an_entry_that_is_missing_is_gone_at_once_while_the_store_is_well() {
    let mut roster = Roster::default();
    roster.read(list(&["a", "b"]), ms(0));
    let changes = roster.read(list(&["a"]), ms(500));
    assert_debug_snapshot!(changes, @r#"
    [
        Gone(
            "b",
        ),
    ]
    "#);
}

#[test]
fn entries_that_lapsed_in_an_outage_have_two_seconds_to_come_back() {
    let mut roster = Roster::default();
    roster.read(list(&["a", "b"]), ms(0));
    roster.read_failed();
    assert!(roster.read(list(&["a"]), ms(5_000)).is_empty());
    assert!(roster.entries().contains_key("b"));
    assert!(roster.read(list(&["a"]), ms(6_900)).is_empty());
    let changes = roster.read(list(&["a"]), ms(7_100));
    assert_debug_snapshot!(changes, @r#"
    [
        Gone(
            "b",
        ),
    ]
    "#);
}

#[test]
fn a_failed_read_changes_nothing_that_is_known() {
    let mut roster = Roster::default();
    roster.read(list(&["a"]), ms(0));
    roster.read_failed();
    assert!(roster.entries().contains_key("a"));
}

#[test]
fn a_restart_under_the_same_id_is_told_and_older_lives_are_passed_over() {
    let mut roster = Roster::default();
    roster.read(list(&["a"]), ms(0));
    let reborn = BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Ready, 9))]);
    let changes = roster.read(reborn, ms(500));
    assert_debug_snapshot!(changes, @r#"
    [
        Restarted(
            "a",
        ),
    ]
    "#);
    let late = BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Draining, 1))]);
    assert!(roster.read(late, ms(1_000)).is_empty());
    assert_eq!(roster.entries()["a"].phase, EndpointPhase::Ready);
}

#[test]
fn draining_is_told_once() {
    let mut roster = Roster::default();
    roster.read(list(&["a"]), ms(0));
    let draining = || BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Draining, 1))]);
    assert_eq!(roster.read(draining(), ms(500)).len(), 1);
    assert!(roster.read(draining(), ms(1_000)).is_empty());
}
