//! A node, agents and stand-ins as separate processes that communicate over loopback.

use crate::process::{Process, TOKEN, send_until_served};
use http_types::Method;
use std::{
    net::{Ipv4Addr, SocketAddr, TcpListener},
    process::Command,
};

/// Returns an address with a port that was just free; another process may take it before use.
pub fn free_address() -> SocketAddr {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a port");
    listener.local_addr().expect("its address")
}

/// Starts an agent for an endpoint of a service that the stand-in platform is seeded with.
pub fn agent(
    name: &str,
    service: &str,
    flags: &str,
    platform: &Process,
    endpoint: &Process,
) -> Process {
    Process::start(&format!(
        "agent --name {name} --host host-{name} --availability-zone gondar --listen 127.0.0.1:0 \
         --service {service} --platform {} --endpoint {} {flags}",
        platform.address, endpoint.address
    ))
}

/// Starts a node that serves its operator API at `operators`.
pub fn node(platform: &Process, operators: SocketAddr) -> Process {
    Process::start(&format!(
        "node --name node-1 --host node-1 --availability-zone gondar --listen 127.0.0.1:0 \
         --operator-listen {operators} --peer-listen 127.0.0.1:0 --platform {} \
         --poll-interval 200ms",
        platform.address
    ))
}

#[test]
fn roles_run_as_processes_of_their_own() {
    let platform = Process::start("standin --listen 127.0.0.1:0");
    let engine = Process::start("standin --kind engine --listen 127.0.0.1:0");
    let plain = Process::start("standin --kind plain --listen 127.0.0.1:0");
    let runner = "--memory-mb 24000 --fencing checked --metrics-listen 127.0.0.1:0";
    let mut runner = agent("runner-1", "drafting", runner, &platform, &engine);
    let booking = agent("booking-1", "booking", "--kind plain", &platform, &plain);
    let operators = free_address();
    let node = node(&platform, operators);

    let prompt = r#"{"model":"repair-notes","prompt":"Roof of the Geech hut"}"#;
    let path = "/v1/completions";
    let answer = send_until_served(node.address, Method::Post, path, prompt);
    assert!(answer.body.contains("\"text\":"), "{answer:?}");
    let path = "/services/booking/appointments";
    send_until_served(node.address, Method::Post, path, "tuner at nine");

    let line = runner.line();
    let monitor = line.strip_prefix("metrics http://").unwrap();
    let metrics = send_until_served(monitor.parse().unwrap(), Method::Get, "/metrics", "");
    let load = r#"radishpin_agent_orders_total{kind="load",outcome="done"} 1"#;
    assert!(metrics.body.contains(load), "{metrics:?}");

    let status = Command::new(env!("CARGO_BIN_EXE_radishpin"))
        .args(["status", "--server", &operators.to_string()])
        .env("RADISHPIN_TOKEN", TOKEN)
        .output()
        .unwrap();
    let status = String::from_utf8_lossy(&status.stdout).into_owned();
    assert!(status.contains("runner-1"), "{status}");
    assert!(status.contains("booking-1"), "{status}");

    for process in [node, runner, booking, engine, plain, platform] {
        assert_eq!(process.terminate().0, Some(0));
    }
}
