//! Tests of leases, failure detection and monotone versions.

use radishpin_core::{
    process::{
        LeaseDecision, LeaseRecord, LeaseWatch, ListedHostState, MemberState, Membership,
        candidate_rank,
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

/// First second at which a watch that reads an unchanged row every second takes over the lease;
/// during `outage` it reads nothing.
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
fn an_outage_does_not_count_as_inactivity_of_the_holder() {
    insta::assert_debug_snapshot!(takeover(0, 3..30), @"
    Some(
        40,
    )
    ");
}

#[test]
fn an_expired_lease_has_no_commit_condition_and_a_renewed_one_does() {
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
fn a_write_without_an_answer_is_recognized_by_reading() {
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
fn shards_spread_over_nodes_and_few_move_when_one_leaves() {
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
fn suspicion_needs_two_failures_and_lasts_longer_with_each_flap() {
    let mut membership = Membership::default();
    let mut suspicion_times = Vec::new();
    let mut now = 0;
    for _ in 0..4 {
        membership.call_failed("e", at(now));
        assert_eq!(
            membership.member_state("e", "h", at(now)),
            MemberState::Usable
        );
        membership.call_failed("e", at(now));
        let since = now;
        while membership.member_state("e", "h", at(now)) == MemberState::Suspect {
            now += 1;
            membership.call_succeeded("e", 1, false, at(now));
        }
        suspicion_times.push(now - since);
    }
    insta::assert_compact_debug_snapshot!(suspicion_times, @"[2, 4, 8, 16]");
}

#[test]
fn a_host_is_gone_only_if_missing_and_unresponsive_for_long() {
    let registered_hosts: BTreeSet<HostId> = ["h".to_owned()].into();
    let listed = BTreeMap::from([("h".to_owned(), ListedHostState::Live)]);
    let mut membership = Membership::default();
    let mut states = Vec::new();
    for second in 0..60 {
        let list = if second < 5 {
            listed.clone()
        } else {
            BTreeMap::new()
        };
        membership.observe_hosts(&list, &registered_hosts, at(second));
        match second {
            8 => membership.call_succeeded("e", 1, false, at(second)),
            9.. => membership.call_failed("e", at(second)),
            _ => (),
        }
        let state = membership.member_state("e", "h", at(second));
        if states.last().is_none_or(|(_, last)| *last != state) {
            states.push((second, state));
        }
    }
    insta::assert_compact_debug_snapshot!(states, @"[(0, Usable), (10, Suspect), (28, Gone)]");
    membership.observe_hosts(&listed, &registered_hosts, at(60));
    assert_eq!(
        membership.member_state("e", "h", at(60)),
        MemberState::Suspect
    );
}

#[test]
fn leaving_is_reported_by_the_list_or_the_agent_and_can_be_withdrawn() {
    let registered_hosts: BTreeSet<HostId> = ["h".to_owned()].into();
    let mut membership = Membership::default();
    let mut member_state = |listed, leaving| {
        let list = BTreeMap::from([("h".to_owned(), listed)]);
        membership.observe_hosts(&list, &registered_hosts, at(0));
        membership.call_succeeded("e", 2, leaving, at(0));
        membership.call_succeeded("e", 1, true, at(0));
        membership.member_state("e", "h", at(0))
    };
    assert_eq!(
        member_state(ListedHostState::Live, false),
        MemberState::Usable
    );
    assert_eq!(
        member_state(ListedHostState::Leaving, false),
        MemberState::Leaving
    );
    assert_eq!(
        member_state(ListedHostState::Live, true),
        MemberState::Leaving
    );
    assert_eq!(
        member_state(ListedHostState::Live, false),
        MemberState::Usable
    );
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
fn a_current_version_never_decreases() {
    let mut value = Monotone::new(4, 'a');
    assert!(!value.replace_if_newer(4, 'b'));
    assert!(value.replace_if_newer(6, 'c'));
    assert!(!value.replace_if_newer(5, 'd'));
    assert_eq!((value.version(), *value.value()), (6, 'c'));
}
