//! What refusals say of whether a call ran, after attempts that may have run.

use crate::support::{Caller, loaded_at, with_cluster};
use http_types::Method;

#[test]
fn a_refusal_after_an_attempt_that_ran_does_not_say_not_run() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        caller.complete("repair-notes", "x").await;
        // The only loaded replica runs the call and breaks its answer; the other holder would
        // need longer for a load than the caller waits.
        let holder = loaded_at(&cluster, "repair-notes")[0].clone();
        let engine = cluster.agents[&holder].engine.as_ref().unwrap();
        engine.change_faults(|faults| faults.break_replies = 1);
        let body = r#"{"model":"repair-notes","prompt":"y"}"#;
        let headers = [("x-deadline-ms", "2000")];
        let got = caller
            .call(Method::Post, "/v1/completions", &headers, body)
            .await;
        insta::assert_snapshot!(got, @r#"502 3001 "outcome_unknown" ran=unknown"#);
    });
}

#[test]
fn an_engine_that_fails_a_call_is_a_coded_refusal_or_a_retry() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let body = r#"{"model":"repair-notes","prompt":"long","max_tokens":3000}"#;
        let long = caller.clone();
        let call = cluster
            .runtime
            .spawn(async move { long.call(Method::Post, "/v1/completions", &[], body).await });
        crate::support::eventually("it runs", || running_calls(&cluster) == 1).await;
        for agent in cluster.agents.values() {
            if let Some(engine) = &agent.engine {
                engine.restart();
            }
        }
        let got = call.await;
        assert!(
            got.status == 200 || got.code() > 0,
            "{} {}",
            got.status,
            got.body
        );
    });
}

fn running_calls(cluster: &radishpin_local::LocalCluster) -> u32 {
    let agents = cluster.agents.values();
    let running = agents.filter_map(|agent| agent.running.as_ref());
    running.map(|running| running.agent.running_calls()).sum()
}
