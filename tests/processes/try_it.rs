//! `radishpin try`: responses of the example commands, and the output at shutdown.

use crate::process::{Process, send};
use http_types::Method;

#[test]
fn try_serves_requests_and_stops_cleanly() {
    let mut process = Process::start("try --listen 127.0.0.1:0 --seed 7");
    let address = process.address;
    assert!(process.paragraph().is_empty(), "a blank line after `ready`");
    let post = |path, body| send(address, Method::Post, path, body).unwrap();
    let models = send(address, Method::Get, "/v1/models", "").unwrap();
    assert!(models.body.contains("repair-notes"), "{models:?}");
    let prompt = r#"{"model":"repair-notes","prompt":"Roof of the Geech hut"}"#;
    let cold = post("/v1/completions", prompt);
    let warm = post("/v1/completions", prompt);
    assert_eq!((cold.status, warm.status), (200, 200), "{cold:?} {warm:?}");
    let prompt = r#"{"model":"log-tags","prompt":"Snow at Chennek","stream":true}"#;
    let streamed = post("/v1/completions", prompt);
    assert!(
        streamed.body.trim_end().ends_with("data: [DONE]"),
        "{streamed:?}"
    );
    let unknown = post("/v1/completions", r#"{"model":"no-such"}"#);
    assert_eq!(unknown.status, 404, "{unknown:?}");
    assert!(unknown.body.contains("\"code\":1005"), "{unknown:?}");
    let booked = post("/services/booking/appointments", "tuner at nine");
    assert_eq!(booked.status, 200, "{booked:?}");
    let (code, rest) = process.terminate();
    assert_eq!(code, Some(0));
    assert!(rest.ends_with("draining\nstopped\n"), "{rest:?}");
}
