//! Calls with an `Idempotency-Key`, across nodes, retries and outages of the platform.

use crate::support::{Caller, bookings, bookings_with_key, with_cluster, without_booking_agents};
use radishpin_standin::Outage;

const KEY: (&str, &str) = ("idempotency-key", "visit-4711");

#[test]
fn a_repeated_call_gets_the_stored_answer_at_any_node() {
    with_cluster(|cluster| async move {
        let first = Caller::of(&cluster, 0).book(&[KEY], "nine").await;
        let again = Caller::of(&cluster, 1).book(&[KEY], "nine").await;
        assert_eq!(first.to_string(), "200 ok");
        assert_eq!(again.body, first.body);
        assert_eq!(again.headers["idempotent-replayed"], "true");
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn the_same_key_with_another_body_is_refused() {
    with_cluster(|cluster| async move {
        Caller::of(&cluster, 0).book(&[KEY], "nine").await;
        let other = Caller::of(&cluster, 2).book(&[KEY], "ten").await;
        insta::assert_snapshot!(other, @r#"422 1010 "key_reused" ran=no"#);
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn a_key_that_cannot_be_checked_is_never_said_not_to_have_run() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        caller.book(&[KEY], "nine").await;
        cluster
            .platform
            .change_faults(|faults| faults.outage = Outage::Refusing);
        let during = caller.book(&[KEY], "nine").await;
        insta::assert_snapshot!(during, @r#"503 3003 "key_unchecked" ran=unknown"#);
        cluster
            .platform
            .change_faults(|faults| faults.outage = Outage::None);
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn a_lost_reply_of_the_platform_does_not_run_the_call_twice() {
    with_cluster(|cluster| async move {
        cluster
            .platform
            .change_faults(|faults| faults.lose_commit_replies = 1);
        let first = Caller::of(&cluster, 0).book(&[KEY], "nine").await;
        let again = Caller::of(&cluster, 1).book(&[KEY], "nine").await;
        assert_eq!(again.status, 200, "{first} then {again}");
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn calls_with_one_key_at_all_nodes_at_once_run_once() {
    with_cluster(|cluster| async move {
        let runtime = cluster.runtime.clone();
        let calls: Vec<_> = (0..12)
            .map(|i| {
                let caller = Caller::of(&cluster, i % 3);
                runtime.spawn(async move { caller.book(&[KEY], "nine").await })
            })
            .collect();
        let mut served = 0;
        for call in calls {
            let got = call.await;
            assert!(got.status == 200 || got.code() == 3004, "{got}");
            served += usize::from(got.status == 200);
        }
        assert!(served >= 1);
        assert_eq!(bookings(&cluster), 1);
    });
}

#[test]
fn a_key_is_free_again_after_a_call_that_did_not_run() {
    with_cluster(|mut cluster| async move {
        without_booking_agents(&mut cluster, 0).await;
        let refused = Caller::of(&cluster, 0).book(&[KEY], "nine").await;
        assert_eq!(refused.ran(), "no", "{refused}");
        cluster.start_agent("booking-1").await.unwrap();
        cluster.start_agent("booking-2").await.unwrap();
        cluster.ready().await;
        crate::support::eventually_served(&Caller::of(&cluster, 1), KEY).await;
        assert_eq!(bookings_with_key(&cluster, KEY.1), 1);
    });
}

#[test]
fn a_node_killed_during_a_call_leaves_the_key_in_progress() {
    with_cluster(|mut cluster| async move {
        for agent in cluster.agents.values() {
            if let Some(plain) = &agent.plain {
                plain.set_faults(radishpin_standin::PlainServiceFaults {
                    lose_replies: 10,
                    ..Default::default()
                });
            }
        }
        let caller = Caller::of(&cluster, 0);
        let call = cluster
            .runtime
            .spawn(async move { caller.book(&[KEY], "nine").await });
        crate::support::eventually("the booking ran", || bookings(&cluster) == 1).await;
        cluster.kill_node("node-1");
        drop(call);
        let again = Caller::of(&cluster, 0).book(&[KEY], "nine").await;
        insta::assert_snapshot!(again, @r#"409 3004 "key_in_progress" ran=unknown"#);
        assert_eq!(bookings(&cluster), 1);
    });
}
