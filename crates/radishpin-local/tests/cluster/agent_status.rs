//! What an agent shows to whoever monitors it.

use crate::support::{Caller, with_cluster};
use http_types::Method;

#[test]
fn an_agent_shows_its_counters_and_whether_it_is_ready() {
    with_cluster(|cluster| async move {
        Caller::of(&cluster, 0).complete("repair-notes", "x").await;
        let agents = cluster
            .agents
            .keys()
            .map(|name| Caller::monitor(&cluster, name));
        let mut loads = 0;
        for monitor in agents {
            let ready = monitor.call(Method::Get, "/readyz", &[], "").await;
            assert_eq!((ready.status, ready.body.as_str()), (200, "ready\n"));
            let metrics = monitor.call(Method::Get, "/metrics", &[], "").await;
            let line = r#"radishpin_agent_orders_total{kind="load",outcome="done"} "#;
            let count = metrics.body.lines().find_map(|l| l.strip_prefix(line));
            loads += count.map_or(0, |count| count.parse::<u32>().unwrap());
        }
        assert!(loads >= 1);
    });
}

#[test]
fn an_agent_refuses_other_paths_and_methods_by_code() {
    with_cluster(|cluster| async move {
        let monitor = Caller::monitor(&cluster, "booking-1");
        let large = "x".repeat(2_000);
        let cases = [
            monitor.call(Method::Get, "/healthz", &[], "").await,
            monitor.call(Method::Get, "/", &[], "").await,
            monitor.call(Method::Post, "/metrics", &[], "").await,
            monitor.call(Method::Post, "/metrics", &[], &large).await,
        ];
        let results: Vec<String> = cases.iter().map(ToString::to_string).collect();
        insta::assert_snapshot!(results.join("\n"), @r#"
        200 ok
        404 1009 "unknown_path" ran=no
        405 1008 "method_not_allowed" ran=no
        413 1003 "body_too_large" ran=no
        "#);
    });
}

#[test]
fn a_leaving_agent_is_not_ready_and_still_shows_its_counters() {
    with_cluster(|cluster| async move {
        let monitor = Caller::monitor(&cluster, "booking-1");
        let agent = &cluster.agents["booking-1"];
        agent.begin_stop();
        let ready = monitor.call(Method::Get, "/readyz", &[], "").await;
        insta::assert_snapshot!(ready, @r#"503 2009 "endpoint_leaving" ran=no"#);
        let metrics = monitor.call(Method::Get, "/metrics", &[], "").await;
        assert_eq!(metrics.status, 200);
    });
}
