//! The list of endpoints through outages of the store.

use insta::assert_debug_snapshot;
use radishpin_core::process::{EndpointEntry, EndpointList, EndpointPhase};
use radishpin_protocol::prelude::*;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn entry(phase: EndpointPhase, started_unix_ms: u64) -> EndpointEntry {
    entry_at("10.0.0.1:80", phase, started_unix_ms)
}

fn entry_at(address: &str, phase: EndpointPhase, started_unix_ms: u64) -> EndpointEntry {
    EndpointEntry {
        service: "shop".into(),
        address: address.parse().expect("address is valid"),
        zone: "north".into(),
        slots: 8,
        phase,
        started_unix_ms,
        models: BTreeMap::new(),
    }
}

fn list(ids: &[&str]) -> BTreeMap<EndpointId, EndpointEntry> {
    let entries = ids.iter().enumerate().map(|(index, id)| {
        let address = format!("10.0.0.{index}:80");
        (
            (*id).to_owned(),
            entry_at(&address, EndpointPhase::Ready, 1),
        )
    });
    entries.collect()
}

/// Endpoints at one address, by id and start.
fn list_at_one_address(starts: &[(&str, u64)]) -> BTreeMap<EndpointId, EndpointEntry> {
    let entries = starts.iter().map(|(id, started_unix_ms)| {
        (
            (*id).to_owned(),
            entry(EndpointPhase::Ready, *started_unix_ms),
        )
    });
    entries.collect()
}

#[test]
fn an_entry_that_is_missing_is_gone_at_once_while_the_store_is_well() {
    let mut roster = EndpointList::default();
    roster.apply(list(&["a", "b"]), ms(0));
    let changes = roster.apply(list(&["a"]), ms(500));
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
    let mut roster = EndpointList::default();
    roster.apply(list(&["a", "b"]), ms(0));
    roster.record_read_failure();
    assert!(roster.apply(list(&["a"]), ms(5_000)).is_empty());
    assert!(roster.entries().contains_key("b"));
    assert!(roster.apply(list(&["a"]), ms(6_900)).is_empty());
    let changes = roster.apply(list(&["a"]), ms(7_100));
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
    let mut roster = EndpointList::default();
    roster.apply(list(&["a"]), ms(0));
    roster.record_read_failure();
    assert!(roster.entries().contains_key("a"));
}

#[test]
fn a_restart_under_the_same_id_is_told_and_older_lives_are_passed_over() {
    let mut roster = EndpointList::default();
    roster.apply(list(&["a"]), ms(0));
    let reborn = BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Ready, 9))]);
    let changes = roster.apply(reborn, ms(500));
    assert_debug_snapshot!(changes, @r#"
    [
        Restarted(
            "a",
        ),
    ]
    "#);
    let late = BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Draining, 1))]);
    assert!(roster.apply(late, ms(1_000)).is_empty());
    assert_eq!(roster.entries()["a"].phase, EndpointPhase::Ready);
}

#[test]
fn draining_is_told_once() {
    let mut roster = EndpointList::default();
    roster.apply(list(&["a"]), ms(0));
    let draining = || BTreeMap::from([("a".to_owned(), entry(EndpointPhase::Draining, 1))]);
    assert_eq!(roster.apply(draining(), ms(500)).len(), 1);
    assert!(roster.apply(draining(), ms(1_000)).is_empty());
}

/// Load pattern: all hosts lose power; engines come back under new ids while their old entries are
/// still listed, and requests that are sent by these are refused.
#[test]
fn of_two_entries_with_one_address_the_newer_one_is_in_force() {
    let mut roster = EndpointList::default();
    roster.apply(list_at_one_address(&[("old", 100)]), ms(0));
    let changes = roster.apply(list_at_one_address(&[("new", 200), ("old", 100)]), ms(500));
    assert_debug_snapshot!(changes, @r#"
    [
        Gone(
            "old",
        ),
        Joined(
            "new",
        ),
    ]
    "#);
    // It stays out of force for as long as it is listed.
    let changes = roster.apply(
        list_at_one_address(&[("new", 200), ("old", 100)]),
        ms(1_000),
    );
    assert!(changes.is_empty());
    assert!(!roster.entries().contains_key("old"));
}

#[test]
fn the_entry_that_came_later_is_the_newer_one_whatever_the_clock_said() {
    let mut roster = EndpointList::default();
    roster.apply(list_at_one_address(&[("old", 9_000)]), ms(0));
    roster.apply(
        list_at_one_address(&[("new", 200), ("old", 9_000)]),
        ms(500),
    );
    assert!(roster.entries().contains_key("new"));
    assert!(!roster.entries().contains_key("old"));
}

#[test]
fn of_two_entries_read_first_together_the_start_decides() {
    let mut roster = EndpointList::default();
    roster.apply(list_at_one_address(&[("a", 200), ("b", 100)]), ms(0));
    assert!(roster.entries().keys().eq(["a"]));
}

#[test]
fn an_entry_kept_through_an_outage_gives_way_to_a_new_one_at_its_address() {
    let mut roster = EndpointList::default();
    roster.apply(list_at_one_address(&[("old", 100)]), ms(0));
    roster.record_read_failure();
    roster.apply(list_at_one_address(&[("new", 200)]), ms(5_000));
    assert!(roster.entries().keys().eq(["new"]));
}
