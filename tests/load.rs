//! `radishpin load` tells kept promises from broken ones.

#![allow(clippy::unwrap_used, reason = "a failed test tells where")]

use http_types::{Body, Response, StatusCode};
use insta::assert_snapshot;
use parking_lot::Mutex;
use radishpin_http::{Handler, HttpFault, ReceivedRequest, Server, ServerLimits, Shutdown};
use radishpin_protocol::{ErrorBody, ResultCode, engine::CompletionRequest};
use radishpin_runtime::Runtime;
use radishpin_standin::{Journal, RunEnd, token};
use serde_json::{Value, json};
use smol::net::TcpListener;
use std::{
    net::SocketAddr,
    process::Command,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
};

/// What a fake node does with its next call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Deed {
    Serve,
    Refuse,
    RefuseButRun,
    Unknown,
    Cross,
    CutShort,
    EndWithError,
    NeverAnswer,
    RunTwice,
    AnswerUnrun,
}

/// A node, its endpoints and their journal in one, which does as told, then serves.
struct FakeNode {
    deeds: Mutex<Vec<Deed>>,
    journal: Journal,
    calls: AtomicU64,
}

/// Texts of one answer.
struct Answer {
    whole: Value,
    events: Vec<Value>,
    stream: bool,
}

impl FakeNode {
    fn next_deed(&self) -> Deed {
        let mut deeds = self.deeds.lock();
        match deeds.is_empty() {
            true => Deed::Serve,
            false => deeds.remove(0),
        }
    }

    fn run(&self, request_id: &str, key: Option<&str>) {
        let attempt = format!("{request_id}/1");
        self.journal.start(&attempt, "m", key).end(RunEnd::Finished);
    }

    async fn call(&self, received: &ReceivedRequest) -> Response {
        let deed = self.next_deed();
        let request_id = format!("r{}", self.calls.fetch_add(1, Ordering::Relaxed));
        let key = received.request.header("idempotency-key");
        let key = key.map(|values| values.last().as_str());
        match deed {
            Deed::Refuse | Deed::Unknown | Deed::AnswerUnrun => {}
            Deed::RunTwice => {
                self.run(&request_id, key);
                self.run(&request_id, key);
            }
            _ => self.run(&request_id, key),
        }
        match deed {
            Deed::Refuse | Deed::RefuseButRun => refusal(ResultCode::QueueFull, &request_id),
            Deed::Unknown => refusal(ResultCode::OutcomeUnknown, &request_id),
            Deed::NeverAnswer => std::future::pending().await,
            _ => answer(received, deed).response(deed),
        }
    }
}

impl Handler for FakeNode {
    async fn handle(&self, received: ReceivedRequest) -> Response {
        match received.request.url().path() {
            "/v1/models" => json_response(&json!({"data": [{"id": "m"}]})),
            "/control/report" => {
                let resident = json!({"target": {"model": "m"}, "size_mb": 1});
                let mut report = json!(radishpin_protocol::engine::EngineReport::default());
                report["loaded"] = json!([resident]);
                json_response(&report)
            }
            "/journal" => json_response(&json!(self.journal.snapshot())),
            _ => self.call(&received).await,
        }
    }

    fn refuse(&self, _fault: HttpFault) -> Response {
        Response::new(StatusCode::BadRequest)
    }
}

fn answer(received: &ReceivedRequest, deed: Deed) -> Answer {
    let body = String::from_utf8_lossy(&received.body);
    let Ok(asked) = serde_json::from_str::<CompletionRequest>(&body) else {
        let body = match deed {
            Deed::Cross => "another caller's order",
            _ => &body,
        };
        let whole =
            json!({"service": "s", "method": "POST", "path": "/", "body": body, "effect": 1});
        return Answer {
            whole,
            events: Vec::new(),
            stream: false,
        };
    };
    let prompt = match deed {
        Deed::Cross => "another caller's prompt".to_owned(),
        _ => asked.prompt_text(),
    };
    let tokens: Vec<String> = (0..asked.max_output_tokens())
        .map(|index| token(&asked.model, &prompt, index))
        .collect();
    let choice = |text: &str| json!({"choices": [{"index": 0, "text": text}]});
    Answer {
        whole: choice(&tokens.concat()),
        events: tokens.iter().map(|text| choice(text)).collect(),
        stream: asked.stream,
    }
}

impl Answer {
    fn response(mut self, deed: Deed) -> Response {
        if !self.stream {
            return json_response(&self.whole);
        }
        let mut end = "data: [DONE]\n\n".to_owned();
        match deed {
            Deed::CutShort => end.clear(),
            Deed::EndWithError => {
                let body = ErrorBody::new(ResultCode::AnswerBroken, "lost", "r");
                end = format!("data: {}\n\n", body.to_json());
            }
            _ => {}
        }
        if deed == Deed::CutShort || deed == Deed::EndWithError {
            self.events.truncate(2);
        }
        let events = self.events.iter().map(|event| format!("data: {event}\n\n"));
        let text = events.collect::<String>() + &end;
        let mut response = Response::new(StatusCode::Ok);
        response.set_body(Body::from_reader(futures_lite::io::Cursor::new(text), None));
        response.insert_header("content-type", "text/event-stream");
        response
    }
}

fn json_response(document: &Value) -> Response {
    let mut response = Response::new(StatusCode::Ok);
    response.set_body(Body::from_string(document.to_string()));
    response
}

fn refusal(code: ResultCode, request_id: &str) -> Response {
    let status = StatusCode::try_from(code.status()).unwrap();
    let mut response = Response::new(status);
    response.set_body(ErrorBody::new(code, "as told", request_id).to_json());
    response
}

fn serve(runtime: &Runtime, deeds: &[Deed]) -> SocketAddr {
    let listener = smol::block_on(TcpListener::bind("127.0.0.1:0")).unwrap();
    let address = listener.local_addr().unwrap();
    let node = Arc::new(FakeNode {
        deeds: Mutex::new(deeds.to_vec()),
        journal: Journal::default(),
        calls: AtomicU64::new(0),
    });
    let limits = ServerLimits::default();
    let serve = Server::serve(runtime.clone(), listener, node, limits, Shutdown::default());
    runtime.spawn(serve).detach();
    address
}

/// Runs the tool against a fake node; exit code, counts that are not zero, and the last words.
fn load(deeds: &[Deed], args: &str) -> String {
    let runtime = Runtime::start(2).unwrap();
    let address = serve(&runtime, deeds).to_string();
    let args = args.replace("ADDRESS", &address);
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args([
            "load",
            "--json",
            "--target",
            &address,
            "--journal",
            &address,
        ])
        .args(["--max-tokens", "4", "--wait", "300ms"])
        .args(args.split_whitespace())
        .output()
        .unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap_or_default();
    let mut lines = vec![format!("exit {}", output.status.code().unwrap())];
    for part in ["direct", "target", "truth"] {
        lines.extend(counts(part, &report[part]));
    }
    lines.push(String::from_utf8_lossy(&output.stderr).trim().to_owned());
    lines.join("\n")
}

fn counts(part: &str, report: &Value) -> Vec<String> {
    let fields = report.as_object().into_iter().flatten();
    fields
        .filter(|(name, _)| !["took_ms", "answered_per_second"].contains(&name.as_str()))
        .flat_map(|(name, value)| match value {
            Value::Number(number) if number.as_u64() != Some(0) => {
                vec![format!("{part} {name}: {number}")]
            }
            Value::Object(codes) if name == "refused" => codes
                .iter()
                .map(|(code, count)| format!("{part} refused {code}: {count}"))
                .collect(),
            _ => Vec::new(),
        })
        .collect()
}

#[test]
fn kept_promises() {
    let args = "--concurrency 1 --requests 20 --services s --direct ADDRESS";
    assert_snapshot!(load(&[Deed::Refuse, Deed::Unknown], args));
}

#[test]
fn an_open_loop_sends_what_is_due() {
    assert_snapshot!(load(
        &[],
        "--concurrency 64 --requests 20 --rate 200 --services s --seed 3"
    ));
}

#[test]
fn broken_promises_about_completions() {
    let deeds = [
        Deed::Cross,
        Deed::CutShort,
        Deed::EndWithError,
        Deed::NeverAnswer,
        Deed::RefuseButRun,
    ];
    assert_snapshot!(load(
        &deeds,
        "--concurrency 1 --requests 8 --stream-percent 100"
    ));
    assert_snapshot!(load(
        &[Deed::Cross],
        "--concurrency 1 --requests 2 --stream-percent 0"
    ));
}

#[test]
fn broken_promises_about_keyed_calls() {
    let deeds = [
        Deed::Cross,
        Deed::RunTwice,
        Deed::RefuseButRun,
        Deed::AnswerUnrun,
        // Sent again with the same key, and run again.
        Deed::NeverAnswer,
        Deed::Serve,
    ];
    let args = "--concurrency 1 --requests 6 --services s --service-percent 100";
    assert_snapshot!(load(&deeds, args));
}

#[test]
fn a_target_that_is_not_there() {
    let args = "--requests 2 --models m --target";
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(["load"])
        .args(args.split_whitespace())
        .args(["127.0.0.1:1", "--json"])
        .output()
        .unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    assert_snapshot!(counts("target", &report["target"]).join("\n"));
}

#[test]
fn the_embedded_system_keeps_its_promises() {
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(["load", "--embedded", "--services", "booking", "--json"])
        .args([
            "--requests",
            "60",
            "--concurrency",
            "8",
            "--log-level",
            "off",
        ])
        .output()
        .unwrap();
    let report: Value = serde_json::from_slice(&output.stdout).unwrap();
    let mut lines = counts("target", &report["target"]);
    lines.retain(|line| !line.contains("processor"));
    lines.extend(counts("truth", &report["truth"]));
    assert_snapshot!(lines.join("\n"));
}

#[test]
fn faults_are_for_an_embedded_system() {
    let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(["load", "--faults", "kill-agent,earthquake", "--instant"])
        .output()
        .unwrap();
    assert_eq!(output.status.code(), Some(2));
    assert_snapshot!(String::from_utf8_lossy(&output.stderr));
}
