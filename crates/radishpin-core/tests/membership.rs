//! Leases, suspicion and versions that only grow.

use radishpin_core::{
    process::{
        LeaseDecision, LeaseRecord, LeaseWatch, Listed, Membership, Standing, candidate_rank,
    },
    version::{Monotone, StartDecision, decide_start},
};
use radishpin_protocol::prelude::*;

const fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn held_by(node: &str, epoch: u64) -> LeaseRecord {
    LeaseRecord {
        holder: Some(node.into()),
        epoch,
        renewal: 0,
    }
}

/// First second at which the watch, reading an unchanged row every second, takes over.
fn takeover(rank: usize, outage: std::ops::Range<u64>) -> Option<u64> {
    let mut watch = LeaseWatch::new("b".into());
    (0..60).find(|second| {
        if !outage.contains(second) {
            watch.observe(7, Some(held_by("a", 3)), at(*second));
        }
        watch.decide(rank, at(*second)) != LeaseDecision::Wait
    })
}

#[test]
fn a_dead_holder_is_replaced_within_fifteen_seconds() {
    let seconds: Vec<_> = (0..4).map(|rank| takeover(rank, 0..0)).collect();
    insta::assert_debug_snapshot!(seconds, @"
    [
        Some(
            10,
        ),
        Some(
            12,
        ),
        Some(
            13,
        ),
        None,
    ]
    ");
}

#[test]
fn the_time_of_an_outage_does_not_count_against_the_holder() {
    insta::assert_debug_snapshot!(takeover(0, 3..30), @"
    Some(
        40,
    )
    ");
}

#[test]
fn a_lapsed_holder_names_no_condition_and_a_renewed_one_does() {
    let mut watch = LeaseWatch::new("a".into());
    watch.observe(0, None, at(0));
    let LeaseDecision::Write { record, version } = watch.decide(0, at(0)) else {
        panic!("a free lease is not taken");
    };
    assert_eq!((record.epoch, version), (1, 0));
    watch.record_write(5, record, at(0), at(1));
    assert_eq!(watch.decide(0, at(2)), LeaseDecision::Wait);
    assert_eq!(watch.fencing_version(at(2)), Some(5));
    assert_eq!(watch.fencing_version(at(8)), None);
    let LeaseDecision::Write { record, .. } = watch.decide(0, at(3)) else {
        panic!("the lease is not renewed");
    };
    watch.record_write(6, record, at(3), at(4));
    assert_eq!(watch.fencing_version(at(8)), Some(6));
    watch.observe(9, Some(held_by("b", 2)), at(5));
    assert_eq!((watch.fencing_version(at(5)), watch.epoch()), (None, 2));
    assert_eq!(watch.release(), LeaseDecision::Wait);
}

#[test]
fn a_write_without_an_answer_is_found_by_reading() {
    let mut watch = LeaseWatch::new("a".into());
    watch.observe(5, Some(held_by("a", 1)), at(0));
    assert_eq!(watch.fencing_version(at(0)), None);
    assert!(matches!(
        watch.decide(2, at(0)),
        LeaseDecision::Write { version: 5, .. }
    ));
    assert!(matches!(
        watch.release(),
        LeaseDecision::Write { version: 5, .. }
    ));
}

#[test]
fn shards_spread_over_nodes_and_few_move_with_one() {
    let all: BTreeSet<NodeId> = (0..10).map(|n| format!("node{n}")).collect();
    let mut fewer = all.clone();
    fewer.remove("node3");
    let first = |shard, nodes: &BTreeSet<NodeId>| {
        let first = nodes
            .iter()
            .find(|n| candidate_rank(shard, n, nodes) == Some(0));
        first.cloned().unwrap()
    };
    let count = |node: &NodeId| (0..200).filter(|s| first(*s, &all) == **node).count();
    let counts: Vec<_> = all.iter().map(count).collect();
    let moved = (0..200)
        .filter(|s| first(*s, &all) != first(*s, &fewer))
        .count();
    insta::assert_compact_debug_snapshot!((counts, moved), @"([25, 25, 21, 20, 18, 7, 21, 22, 22, 19], 20)");
}

#[test]
fn suspicion_needs_two_failures_and_lasts_longer_after_each_relapse() {
    let mut membership = Membership::default();
    let mut trusted = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        membership.call_failed("e", at(now));
        assert_eq!(membership.standing("e", "h", at(now)), Standing::Usable);
        membership.call_failed("e", at(now));
        let since = now;
        while membership.standing("e", "h", at(now)) == Standing::Suspect {
            now += 1;
            membership.call_succeeded("e", 1, false, at(now));
        }
        trusted.push(now - since);
    }
    insta::assert_compact_debug_snapshot!(trusted, @"[2, 4, 8, 16]");
}

#[test]
fn a_host_is_gone_only_when_missing_and_silent_for_long() {
    let known: BTreeSet<HostId> = ["h".to_owned()].into();
    let listed = BTreeMap::from([("h".to_owned(), Listed::Live)]);
    let mut membership = Membership::default();
    let mut seen = Vec::new();
    for second in 0..60 {
        let list = if second < 5 {
            listed.clone()
        } else {
            BTreeMap::new()
        };
        membership.observe_hosts(&list, &known, at(second));
        match second {
            8 => membership.call_succeeded("e", 1, false, at(second)),
            9.. => membership.call_failed("e", at(second)),
            _ => (),
        }
        let standing = membership.standing("e", "h", at(second));
        if seen.last().is_none_or(|(_, last)| *last != standing) {
            seen.push((second, standing));
        }
    }
    insta::assert_compact_debug_snapshot!(seen, @"[(0, Usable), (10, Suspect), (28, Gone)]");
    membership.observe_hosts(&listed, &known, at(60));
    assert_eq!(membership.standing("e", "h", at(60)), Standing::Suspect);
}

#[test]
fn leaving_is_known_from_the_list_or_the_agent_and_can_be_taken_back() {
    let known: BTreeSet<HostId> = ["h".to_owned()].into();
    let mut membership = Membership::default();
    let mut standing = |listed, word| {
        let list = BTreeMap::from([("h".to_owned(), listed)]);
        membership.observe_hosts(&list, &known, at(0));
        membership.call_succeeded("e", 2, word, at(0));
        membership.call_succeeded("e", 1, true, at(0));
        membership.standing("e", "h", at(0))
    };
    assert_eq!(standing(Listed::Live, false), Standing::Usable);
    assert_eq!(standing(Listed::Leaving, false), Standing::Leaving);
    assert_eq!(standing(Listed::Live, true), Standing::Leaving);
    assert_eq!(standing(Listed::Live, false), Standing::Usable);
}

#[test]
fn a_start_without_the_platform_takes_the_newest_version_of_all_peers() {
    let peers = |a, b| BTreeMap::from([("a".to_owned(), a), ("b".to_owned(), b)]);
    assert_eq!(
        decide_start(true, &peers(None, None), 9),
        StartDecision::FromPlatform
    );
    assert_eq!(
        decide_start(false, &peers(Some(8), None), 0),
        StartDecision::Wait
    );
    assert_eq!(
        decide_start(false, &peers(Some(8), Some(7)), 9),
        StartDecision::Wait
    );
    let from_a = StartDecision::FromPeer("a".into());
    assert_eq!(decide_start(false, &peers(Some(8), Some(7)), 8), from_a);
    assert_eq!(
        decide_start(false, &BTreeMap::<NodeId, _>::new(), 0),
        StartDecision::Wait
    );
}

#[test]
fn a_version_in_force_never_falls() {
    let mut value = Monotone::new(4, 'a');
    assert!(!value.replace_if_newer(4, 'b'));
    assert!(value.replace_if_newer(6, 'c'));
    assert!(!value.replace_if_newer(5, 'd'));
    assert_eq!((value.version(), *value.value()), (6, 'c'));
}
