//! Starts an embedded cluster, sends requests to it, and runs the binary against its nodes.

use http_types::{Method, Request, Url};
use radishpin_http::{Client, ClientLimits};
use radishpin_local::{ClusterPlan, LocalCluster};
use radishpin_runtime::Runtime;
use radishpin_server::operator::document::{Accepted, StatusReport};
use radishpin_standin::{Faults, Outage};
use std::{
    net::{Ipv4Addr, SocketAddr},
    process::Command,
    time::Duration,
};

/// Number of polls for an expected state, 20 ms apart, before a test fails.
const MAX_POLLS: u32 = 1_000;

pub struct System {
    pub cluster: LocalCluster,
    client: Client,
}

/// Status and body of a response.
#[derive(Debug)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

impl System {
    pub fn start() -> Self {
        let runtime = Runtime::start(4).expect("threads");
        let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let plan = ClusterPlan::small(listen, 1);
        let cluster = smol::block_on(async {
            let cluster = LocalCluster::start(plan, runtime).await.expect("a system");
            cluster.ready().await;
            cluster
        });
        Self {
            cluster,
            client: Client::new(ClientLimits::default()),
        }
    }

    /// Sends a caller's request to the first node, with an idempotency key if `key` is given.
    pub fn call(&self, path: &str, key: Option<&str>, body: &str) -> Answer {
        let address = self.cluster.addresses()[0];
        let url = Url::parse(&format!("http://{address}{path}")).expect("a URL");
        let mut request = Request::new(Method::Post, url);
        request.set_body(body);
        request.insert_header("content-type", "application/json");
        if let Some(key) = key {
            request.insert_header("idempotency-key", key);
        }
        smol::block_on(async {
            let mut response = self.client.send(address, request).await.expect("an answer");
            Answer {
                status: u16::from(response.status()),
                body: response.body_string().await.expect("a body"),
            }
        })
    }

    /// Requests a completion from a model.
    pub fn complete(&self, model: &str) -> Answer {
        let body = format!(r#"{{"model":"{model}","prompt":"Roof of the Geech hut"}}"#);
        self.call("/v1/completions", None, &body)
    }

    /// Makes the platform refuse every call, or serve calls again.
    pub fn set_platform_down(&self, down: bool) {
        let outage = if down { Outage::Refusing } else { Outage::None };
        self.cluster.platform.set_faults(Faults {
            outage,
            ..Faults::default()
        });
    }

    /// Runs `radishpin` against the first node; returns its exit code and output.
    pub fn run(&self, args: &str) -> (i32, String) {
        let node = self.cluster.nodes.values().next().expect("a node");
        self.run_at(node.running.operator_address, args)
    }

    pub fn run_at(&self, address: SocketAddr, args: &str) -> (i32, String) {
        let output = Command::new(env!("CARGO_BIN_EXE_radishpin"))
            .args(args.split_whitespace())
            .env("RADISHPIN_SERVER", address.to_string())
            .env("RADISHPIN_TOKEN", self.cluster.operator_token())
            .output()
            .expect("the binary runs");
        let code = output.status.code().unwrap_or(-1);
        let out = String::from_utf8_lossy(&output.stdout);
        let err = String::from_utf8_lossy(&output.stderr);
        (code, format!("{out}{err}"))
    }

    /// Runs a change that must be accepted and returns its version.
    pub fn apply_change(&self, args: &str) -> u64 {
        let (code, text) = self.run(&format!("{args} --json"));
        assert_eq!(code, 0, "{args}: {text}");
        let accepted: Accepted = serde_json::from_str(&text).expect("an accepted change");
        accepted.version
    }

    /// Retries a change while it is refused with `platform_down`, then applies it.
    pub fn retry_until_accepted(&self, args: &str) -> u64 {
        for _ in 0..MAX_POLLS {
            let (code, text) = self.run(args);
            if code == 0 {
                return self.apply_change(args);
            }
            assert!(text.starts_with("refused: platform_down"), "{text}");
            smol::block_on(Runtime::sleep(Duration::from_millis(20)));
        }
        panic!("not accepted after {MAX_POLLS} attempts: {args}");
    }

    /// The status report of the first node.
    pub fn status(&self) -> StatusReport {
        let (code, text) = self.run("status --json");
        assert_eq!(code, 0, "{text}");
        serde_json::from_str(&text).expect("a status report")
    }

    /// Polls the status of the first node until `condition` holds, and returns that report.
    pub fn wait_for(
        &self,
        description: &str,
        condition: impl Fn(&StatusReport) -> bool,
    ) -> StatusReport {
        for _ in 0..MAX_POLLS {
            let report = self.status();
            if condition(&report) {
                return report;
            }
            smol::block_on(Runtime::sleep(Duration::from_millis(20)));
        }
        panic!(
            "{description}: not reached after {MAX_POLLS} polls: {:?}",
            self.status()
        );
    }
}
