//! What a new user sees, and what the callers' API promises.

use crate::support::{Caller, with_cluster};
use http_types::Method;

#[test]
fn answers_cold_warm_streamed_and_refuses_with_codes() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let cold = caller.complete("repair-notes", "roof").await;
        let warm = caller.complete("repair-notes", "roof").await;
        assert_eq!(cold.text(), warm.text());
        let adapter = caller.complete("repair-notes-amharic", "roof").await;
        let streamed = caller.stream("log-tags", "snow", 3).await.rest().await;
        let unknown = caller.complete("no-such", "roof").await;
        let hopeless = caller
            .call(
                Method::Post,
                "/v1/completions",
                &[("x-deadline-ms", "1")],
                r#"{"model":"season-summary","prompt":"x"}"#,
            )
            .await;
        let service = caller.book(&[], "tuner at nine").await;
        let results = format!(
            "{cold}\n{warm}\n{adapter}\n{} events, last {:?}\n{unknown}\n{hopeless} retry-after={}\n{service}",
            streamed.len(),
            streamed.last(),
            hopeless.headers.contains_key("retry-after"),
        );
        insta::assert_snapshot!(results, @r#"
        200 ok
        200 ok
        200 ok
        4 events, last Some("[DONE]")
        404 1005 "unknown_model" ran=no
        503 2001 "deadline_unreachable" ran=no retry-after=true
        200 ok
        "#);
        cluster.stop().await;
    });
}

#[test]
fn refuses_what_it_does_not_understand() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 1);
        let completions = "/v1/completions";
        let long_id = "x".repeat(200);
        let large = "x".repeat(9 * 1024 * 1024);
        let cases = [
            caller.call(Method::Post, completions, &[], "{").await,
            caller
                .call(Method::Post, completions, &[], r#"{"model":7}"#)
                .await,
            caller.call(Method::Get, completions, &[], "").await,
            caller.call(Method::Get, "/nowhere", &[], "").await,
            caller
                .call(Method::Get, "/services/nobody/x", &[], "")
                .await,
            caller.call(Method::Get, "/v1/status", &[], "").await,
            caller.book(&[("x-deadline-ms", "soon")], "x").await,
            caller.book(&[("x-request-id", &long_id)], "x").await,
            caller.call(Method::Post, completions, &[], &large).await,
        ];
        let results: Vec<String> = cases.iter().map(ToString::to_string).collect();
        insta::assert_snapshot!(results.join("\n"), @r#"
        400 1007 "invalid_field" ran=no
        400 1007 "invalid_field" ran=no
        405 1008 "method_not_allowed" ran=no
        404 1009 "unknown_path" ran=no
        404 1006 "unknown_service" ran=no
        404 1009 "unknown_path" ran=no
        400 1007 "invalid_field" ran=no
        400 1007 "invalid_field" ran=no
        413 1003 "body_too_large" ran=no
        "#);
    });
}

#[test]
fn takes_and_returns_request_ids_and_counts_refusals() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 0);
        let given = caller.book(&[("x-request-id", "ridge-7")], "x").await;
        assert_eq!(given.headers["x-request-id"], "ridge-7");
        let made = caller.book(&[], "x").await;
        assert!(made.headers["x-request-id"].starts_with("node-1-"));
        caller.complete("no-such", "x").await;
        let metrics = caller.call(Method::Get, "/metrics", &[], "").await;
        let line = r#"radishpin_refusals_total{code="unknown_model"} 1"#;
        assert!(metrics.body.lines().any(|l| l == line));
        let models = caller.call(Method::Get, "/v1/models", &[], "").await;
        assert_eq!(models.json()["data"].as_array().map(Vec::len), Some(6));
    });
}

#[test]
fn passes_method_path_query_and_body_to_a_plain_service() {
    with_cluster(|cluster| async move {
        let caller = Caller::of(&cluster, 2);
        let path = "/services/booking/visits/7?week=49&team=b";
        let got = caller.call(Method::Put, path, &[], "moved").await;
        let json = got.json();
        let seen = format!("{} {} {}", json["method"], json["path"], json["body"]);
        insta::assert_snapshot!(seen, @r#""PUT" "/visits/7?week=49&team=b" "moved""#);
    });
}
