//! The engine over HTTP: answers, streams, orders, and each fault as a peer meets it.

#[path = "support/served.rs"]
mod served;

use futures_lite::AsyncReadExt;
use http_types::{Method, Request};
use radishpin_standin::{
    Engine, EngineFaults, EngineSettings, RunEnd, WeightStore, WeightStoreSettings,
};
use served::{Served, eventually, stays_open, text};
use std::time::Duration;

const SEED: u64 = 23;
const LOAD: &str = r#"{"target":{"model":"m"},"size_mb":800,"incarnation":3,"sequence":1}"#;

fn serve(settings: EngineSettings) -> (Engine, Served) {
    let store = WeightStoreSettings {
        model_load: Duration::from_millis(1),
        ..WeightStoreSettings::default()
    };
    let engine = Engine::new(settings, WeightStore::new(store), SEED);
    let serving = engine.clone();
    let served = Served::start(|runtime, listener, shutdown| async move {
        serving.serve(runtime, listener, shutdown).await
    });
    (engine, served)
}

fn serve_loaded(settings: EngineSettings) -> (Engine, Served) {
    let (engine, served) = serve(settings);
    assert_eq!(
        served.ask(Method::Post, "/control/load", LOAD),
        (200, "{}".into())
    );
    (engine, served)
}

fn completion(served: &Served, attempt: &str, tokens: u32, stream: bool) -> Request {
    let body =
        format!(r#"{{"model":"m","prompt":"roof","max_tokens":{tokens},"stream":{stream}}}"#);
    let mut request = served.request(Method::Post, "/v1/completions", &body);
    request.insert_header("x-request-id", attempt);
    request
}

#[test]
fn a_completion_carries_its_attempt_and_usage() {
    let (engine, served) = serve_loaded(EngineSettings::instant());
    let response = served.send(completion(&served, "r/1", 3, false)).unwrap();
    assert_eq!(response.header("x-request-id").unwrap().as_str(), "r/1");
    let (_, body) = text(response);
    insta::assert_snapshot!(body, @r#"{"choices":[{"finish_reason":"length","index":0,"text":"tc611d t405bc tbdd4f "}],"id":"r/1","model":"m","object":"text_completion","usage":{"completion_tokens":3,"prompt_tokens":1,"total_tokens":4}}"#);
    let chat = r#"{"model":"m","messages":[{"role":"user","content":"roof"}],"max_tokens":2}"#;
    let (status, body) = served.ask(Method::Post, "/v1/chat/completions", chat);
    assert_eq!(status, 200);
    insta::assert_snapshot!(body, @r#"{"choices":[{"finish_reason":"length","index":0,"message":{"content":"t9b060 t6ad35 ","role":"assistant"}}],"id":"unnamed/1","model":"m","object":"chat.completion","usage":{"completion_tokens":2,"prompt_tokens":1,"total_tokens":3}}"#);
    let ends: Vec<_> = engine.journal().runs().iter().map(|run| run.end).collect();
    assert_eq!(ends, [RunEnd::Finished, RunEnd::Finished]);
}

#[test]
fn a_stream_resumes_at_its_offset() {
    let (_, served) = serve_loaded(EngineSettings::instant());
    let (_, whole) = text(served.send(completion(&served, "r/1", 4, true)).unwrap());
    insta::assert_snapshot!(whole.trim_end(), @r#"
    data: {"choices":[{"index":0,"text":"tc611d "}],"id":"r/1","model":"m","object":"text_completion"}

    data: {"choices":[{"index":0,"text":"t405bc "}],"id":"r/1","model":"m","object":"text_completion"}

    data: {"choices":[{"index":0,"text":"tbdd4f "}],"id":"r/1","model":"m","object":"text_completion"}

    data: {"choices":[{"index":0,"text":"t71576 "}],"id":"r/1","model":"m","object":"text_completion"}

    data: [DONE]
    "#);
    let mut resumed = completion(&served, "r/1", 4, true);
    resumed.insert_header("x-resume-offset", "3");
    let (_, rest) = text(served.send(resumed).unwrap());
    let events: Vec<&str> = whole.split_inclusive("\n\n").collect();
    assert_eq!(rest, events[3..].concat());
}

#[test]
fn refusals_name_their_kind() {
    let (engine, served) = serve(EngineSettings::instant());
    let ask = |path: &str, body: &str| served.ask(Method::Post, path, body);
    let not_loaded = ask("/v1/completions", r#"{"model":"m","prompt":"x"}"#);
    let malformed = ask("/v1/completions", "{");
    assert_eq!(ask("/control/load", LOAD).0, 200);
    let old = LOAD.replace("3", "2");
    let stale = ask("/control/unload", &old);
    let unknown = ask("/nowhere", "");
    engine.change_faults(|faults| faults.refuse = true);
    let refused = ask("/v1/completions", r#"{"model":"m","prompt":"x"}"#);
    let all = [not_loaded, malformed, stale, unknown, refused];
    let lines: Vec<String> = all
        .iter()
        .map(|(status, body)| format!("{status} {body}"))
        .collect();
    insta::assert_snapshot!(lines.join("\n"), @r#"
    409 {"error":{"type":"model_not_loaded"}}
    400 {"error":{"type":"bad_request"}}
    409 {"error":{"type":"stale_order"}}
    404 {"error":{"type":"unknown_path"}}
    503 {"error":{"type":"refused"}}
    "#);
    assert_eq!(engine.journal().runs(), vec![]);
}

#[test]
fn the_report_shows_what_the_orders_did() {
    let (_, served) = serve_loaded(EngineSettings::instant());
    let adapter =
        r#"{"target":{"adapter":"a","model":"m"},"size_mb":20,"incarnation":3,"sequence":2}"#;
    assert_eq!(served.ask(Method::Post, "/control/load", adapter).0, 200);
    let (_, report) = served.ask(Method::Get, "/control/report", "");
    insta::assert_snapshot!(report, @r#"{"report_sequence":1,"instance":1,"lag_ms":0,"as_of":{"incarnation":3,"sequence":2},"memory_mb":24000,"used_mb":820,"loaded":[{"target":{"model":"m"},"size_mb":800},{"target":{"model":"m","adapter":"a"},"size_mb":20}],"loading":[],"unloading":[],"tiers":{"m":"disk"},"running":0,"queued":0,"cache_events":[]}"#);
}

#[test]
fn a_hang_up_cancels_a_stream_and_a_waiting_answer() {
    let (engine, served) = serve_loaded(EngineSettings {
        token: Duration::from_millis(5),
        ..EngineSettings::instant()
    });
    let mut stream = served
        .send(completion(&served, "s/1", 1_000_000, true))
        .unwrap();
    let mut first = [0; 6];
    smol::block_on(stream.read_exact(&mut first)).unwrap();
    assert_eq!(&first, b"data: ");
    drop(stream);
    let whole = completion(&served, "w/1", 1_000_000, false);
    assert!(stays_open(served.client.send(served.address, whole)).is_none());
    let cancelled = |request: &str| engine.journal().runs_of(request)[0].end == RunEnd::Cancelled;
    eventually(|| cancelled("s"));
    eventually(|| cancelled("w"));
}

#[test]
fn an_order_stands_when_its_sender_hangs_up() {
    let (engine, served) = serve(EngineSettings::instant());
    engine.change_faults(|faults| faults.lose_order_replies = 1);
    let load = served.request(Method::Post, "/control/load", LOAD);
    assert!(stays_open(served.client.send(served.address, load)).is_none());
    eventually(|| engine.loaded().len() == 1);
}

#[test]
fn an_unload_cuts_the_stream_that_runs_on_it() {
    let (engine, served) = serve_loaded(EngineSettings {
        token: Duration::from_millis(5),
        ..EngineSettings::instant()
    });
    let mut stream = served
        .send(completion(&served, "s/1", 1_000_000, true))
        .unwrap();
    let unload = LOAD.replace(r#""sequence":1"#, r#""sequence":2"#);
    assert_eq!(served.ask(Method::Post, "/control/unload", &unload).0, 200);
    let whole = smol::block_on(stream.body_string());
    assert!(!whole.is_ok_and(|text| text.contains("[DONE]")));
    assert_eq!(engine.journal().runs_of("s")[0].end, RunEnd::Cut);
}

#[test]
fn lost_broken_and_crossed_answers_have_run() {
    let (engine, served) = serve_loaded(EngineSettings::instant());
    engine.set_faults(EngineFaults {
        lose_replies: 1,
        break_replies: 2,
        cross_answers: 1,
        ..EngineFaults::default()
    });
    let lost = completion(&served, "lost/1", 2, false);
    assert!(stays_open(served.client.send(served.address, lost)).is_none());
    for (attempt, stream) in [("broken/1", false), ("broken/2", true)] {
        let broken = served.send(completion(&served, attempt, 4, stream));
        let whole = broken.map(|mut response| smol::block_on(response.body_string()));
        let whole = whole.ok().and_then(Result::ok).unwrap_or_default();
        assert!(
            !whole.contains("[DONE]") && !whole.contains("usage"),
            "{whole}"
        );
    }
    let crossed = served
        .send(completion(&served, "crossed/1", 2, false))
        .unwrap();
    let header = crossed.header("x-request-id").unwrap().as_str().to_owned();
    let (_, body) = text(crossed);
    assert_eq!(header, "other-request/1");
    assert!(body.contains(r#""id":"other-request/1""#), "{body}");
    let runs = engine.journal().runs();
    let attempts: Vec<&str> = runs.iter().map(|run| run.attempt.as_str()).collect();
    assert_eq!(attempts, ["lost/1", "broken/1", "broken/2", "crossed/1"]);
}

#[test]
fn a_lost_stream_stops_halfway_until_the_peer_hangs_up() {
    let (engine, served) = serve_loaded(EngineSettings::instant());
    engine.change_faults(|faults| faults.lose_replies = 1);
    let mut stream = served
        .send(completion(&served, "s/1", 4, true))
        .expect("a head");
    let mut received = Vec::new();
    assert!(stays_open(stream.read_to_end(&mut received)).is_none());
    let received = String::from_utf8_lossy(&received);
    assert_eq!(received.matches("data: ").count(), 2, "{received}");
    drop(stream);
    eventually(|| engine.journal().runs_of("s")[0].end == RunEnd::Cancelled);
}

#[test]
fn a_frozen_engine_answers_when_it_thaws() {
    let (engine, served) = serve_loaded(EngineSettings::instant());
    assert_eq!(
        served.ask(Method::Post, "/faults", r#"{"frozen":true}"#).0,
        204
    );
    let request = completion(&served, "r/1", 2, false);
    assert!(stays_open(served.client.send(served.address, request)).is_none());
    assert_eq!(served.ask(Method::Post, "/faults", "{}").0, 204);
    let response = served.send(completion(&served, "r/2", 2, false)).unwrap();
    assert_eq!(text(response).0, 200);
    assert_eq!(engine.journal().runs_of("r").last().unwrap().attempt, "r/2");
}
