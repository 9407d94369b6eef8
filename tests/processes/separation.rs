//! The listener for callers does not serve the operator API, and the operator listener does not
//! serve callers.

use crate::{
    process::{Process, send, send_until_served},
    roles::{free_address, node},
};
use http_types::Method;

#[test]
fn each_listener_serves_only_its_own_paths() {
    let platform = Process::start("standin --listen 127.0.0.1:0");
    let operators = free_address();
    let node = node(&platform, operators);
    send_until_served(node.address, Method::Get, "/readyz", "");
    for path in [
        "/v1/status",
        "/v1/profiles",
        "/v1/profiles/drafting",
        "/v1/stops",
    ] {
        let answer = send(node.address, Method::Get, path, "").unwrap();
        assert!(
            answer.body.contains("\"unknown_path\""),
            "{path}: {answer:?}"
        );
    }
    let status = send(operators, Method::Get, "/v1/status", "").unwrap();
    assert_eq!(status.status, 200, "{status:?}");
    for path in [
        "/v1/models",
        "/v1/completions",
        "/metrics",
        "/services/booking/x",
    ] {
        let answer = send(operators, Method::Post, path, "{}").unwrap();
        assert!(
            answer.body.contains("\"unknown_path\""),
            "{path}: {answer:?}"
        );
    }
}
