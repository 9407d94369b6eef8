//! A running cluster and a caller.

use futures_lite::{AsyncBufReadExt, AsyncReadExt};
use http_types::{Method, Request, Response, Url};
use radishpin_http::{Client, ClientLimits};
use radishpin_local::{ClusterPlan, LocalCluster};
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;
use serde_json::Value;
use std::{
    fmt,
    future::Future,
    net::{Ipv4Addr, SocketAddr},
};

/// Longest wait for something that must come; a bound on hanging, not on speed.
const EVENTUALLY: Duration = Duration::from_secs(60);

/// Runs a test against a small cluster that is ready.
pub fn with_cluster<F: Future<Output = ()>>(test: impl FnOnce(LocalCluster) -> F) {
    with_plan(small_plan(), test);
}

/// The small plan with quick engines.
pub fn small_plan() -> ClusterPlan {
    let mut plan = ClusterPlan::small((Ipv4Addr::LOCALHOST, 0).into(), 7);
    plan.weight_store.model_load = Duration::from_millis(50);
    plan.weight_store.loads_per_second = 50.0;
    plan.poll_interval = Duration::from_millis(50);
    for endpoint in plan.endpoints.values_mut() {
        endpoint.service_time = Duration::from_millis(5);
        if let Some(engine) = &mut endpoint.engine {
            engine.settings.first_token = Duration::from_millis(2);
            engine.settings.token = Duration::from_millis(1);
            engine.settings.report_lag = Duration::from_millis(10);
        }
    }
    plan
}

/// Runs a test against a cluster of `plan` that is ready.
pub fn with_plan<F: Future<Output = ()>>(plan: ClusterPlan, test: impl FnOnce(LocalCluster) -> F) {
    let runtime = Runtime::start(4).unwrap();
    smol::block_on(async {
        let cluster = LocalCluster::start(plan, runtime).await.unwrap();
        let ready = radishpin_runtime::timeout(EVENTUALLY, cluster.ready()).await;
        assert!(ready.is_some(), "the cluster is not ready");
        test(cluster).await;
    });
}

/// Waits until `holds`.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            Runtime::sleep(Duration::from_millis(10)).await;
        }
    };
    let held = radishpin_runtime::timeout(EVENTUALLY, wait).await;
    assert!(held.is_some(), "never happened: {what}");
}

/// A caller of one node.
#[derive(Clone)]
pub struct Caller {
    client: Client,
    address: SocketAddr,
}

/// What a caller got.
pub struct Got {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: String,
}

impl Got {
    /// Number of the result code; 0 for an answer.
    pub fn code(&self) -> u64 {
        self.json()["error"]["code"].as_u64().unwrap_or(0)
    }

    /// What a refusal says of whether the call ran.
    pub fn ran(&self) -> String {
        self.json()["error"]["ran"]
            .as_str()
            .unwrap_or("")
            .to_owned()
    }

    /// Text of a completion.
    pub fn text(&self) -> String {
        let json = self.json();
        json["choices"][0]["text"].as_str().unwrap_or("").to_owned()
    }

    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or(Value::Null)
    }
}

impl fmt::Display for Got {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let error = &self.json()["error"];
        match error["code"].as_u64() {
            Some(code) => write!(
                f,
                "{} {code} {} ran={}",
                self.status,
                error["name"],
                self.ran()
            ),
            None => write!(f, "{} ok", self.status),
        }
    }
}

impl Caller {
    /// A caller of the node with this index.
    pub fn of(cluster: &LocalCluster, node: usize) -> Self {
        Self {
            client: Client::new(ClientLimits::default()),
            address: cluster.addresses()[node],
        }
    }

    /// An operator at the node with this index.
    pub fn operator(cluster: &LocalCluster, node: usize) -> Self {
        let nodes: Vec<_> = cluster.nodes.values().collect();
        Self {
            client: Client::new(ClientLimits::default()),
            address: nodes[node].running.operator_address,
        }
    }

    /// Whoever monitors the agent of an endpoint.
    pub fn monitor(cluster: &LocalCluster, endpoint: &str) -> Self {
        let running = cluster.agents[endpoint].running.as_ref().unwrap();
        Self {
            client: Client::new(ClientLimits::default()),
            address: running.metrics_address.unwrap(),
        }
    }

    /// Sends a request and returns the response's head.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Response {
        let url = Url::parse(&format!("http://{}{path}", self.address)).unwrap();
        let mut request = Request::new(method, url);
        request.set_body(body);
        for (name, value) in headers {
            request.insert_header(*name, *value);
        }
        self.client.send(self.address, request).await.unwrap()
    }

    /// Sends a request and reads the whole answer.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: &str,
    ) -> Got {
        let mut response = self.send(method, path, headers, body).await;
        let headers = response
            .iter()
            .map(|(name, values)| (name.to_string(), values.last().to_string()))
            .collect();
        Got {
            status: response.status().into(),
            headers,
            body: response.body_string().await.unwrap(),
        }
    }

    /// Asks for a completion.
    pub async fn complete(&self, model: &str, prompt: &str) -> Got {
        let body = serde_json::json!({"model": model, "prompt": prompt, "max_tokens": 8});
        let path = "/v1/completions";
        self.call(Method::Post, path, &[], &body.to_string()).await
    }

    /// Books at the plain service.
    pub async fn book(&self, headers: &[(&str, &str)], body: &str) -> Got {
        let path = "/services/booking/appointments";
        self.call(Method::Post, path, headers, body).await
    }

    /// Starts a streamed completion.
    pub async fn stream(&self, model: &str, prompt: &str, tokens: u32) -> Events {
        let body = serde_json::json!({
            "model": model, "prompt": prompt, "max_tokens": tokens, "stream": true,
        });
        let path = "/v1/completions";
        let response = self.send(Method::Post, path, &[], &body.to_string()).await;
        Events { response }
    }
}

/// A stream of events being read.
pub struct Events {
    response: Response,
}

impl Events {
    /// The payload of the next event; `None` at the end.
    pub async fn next(&mut self) -> Option<String> {
        let mut line = String::new();
        loop {
            line.clear();
            let read = (&mut self.response).take(65_536).read_line(&mut line).await;
            if read.unwrap() == 0 {
                return None;
            }
            if let Some(data) = line.trim_end().strip_prefix("data: ") {
                return Some(data.to_owned());
            }
        }
    }

    /// The text of the next token; the payload itself where it is no token.
    pub async fn next_text(&mut self) -> Option<String> {
        let data = self.next().await?;
        let json: Value = serde_json::from_str(&data).unwrap_or(Value::Null);
        let text = json["choices"][0]["text"].as_str().map(str::to_owned);
        Some(text.unwrap_or(data))
    }

    /// All texts up to the end.
    pub async fn rest(&mut self) -> Vec<String> {
        let mut texts = Vec::new();
        while let Some(text) = self.next_text().await {
            texts.push(text);
        }
        texts
    }
}

/// Endpoints whose engine has the model loaded.
pub fn loaded_at(cluster: &LocalCluster, model: &str) -> Vec<EndpointId> {
    let holds = |(id, agent): (&EndpointId, &radishpin_local::LocalAgent)| {
        let engine = agent.engine.as_ref()?;
        let holds = engine.loaded().iter().any(|target| target.name() == model);
        holds.then(|| id.clone())
    };
    cluster.agents.iter().filter_map(holds).collect()
}

/// Runs of the plain service at all its endpoints.
pub fn bookings(cluster: &LocalCluster) -> usize {
    let plain = cluster
        .agents
        .values()
        .filter_map(|agent| agent.plain.as_ref());
    plain.map(|plain| plain.journal().runs().len()).sum()
}

/// Repeats a keyed booking until it is served, as a caller would after each refusal.
pub async fn eventually_served(caller: &Caller, key: (&str, &str)) {
    for _ in 0..100 {
        let got = caller.book(&[key], "nine").await;
        if got.status == 200 {
            return;
        }
        assert_eq!(got.ran(), "no", "{got}");
        Runtime::sleep(Duration::from_millis(50)).await;
    }
    panic!("never served");
}

/// Kills all agents of the booking service and books until a node knows that none is left.
pub async fn without_booking_agents(cluster: &mut LocalCluster, node: usize) -> Got {
    cluster.kill_agent("booking-1");
    cluster.kill_agent("booking-2");
    let caller = Caller::of(cluster, node);
    loop {
        let got = caller.book(&[], "x").await;
        // On a connection that has just broken the outcome is unknown at first.
        if got.ran() == "no" {
            return got;
        }
        assert_eq!(got.ran(), "unknown", "{got}");
    }
}

/// Runs of the plain service that carried this `Idempotency-Key`.
pub fn bookings_with_key(cluster: &LocalCluster, key: &str) -> usize {
    let agents = cluster.agents.values();
    let plain = agents.filter_map(|agent| agent.plain.as_ref());
    let runs = plain.flat_map(|plain| plain.journal().runs());
    runs.filter(|run| run.idempotency_key.as_deref() == Some(key))
        .count()
}

/// Replaces a profile by the operators' API of the first node.
pub async fn put_profile(cluster: &LocalCluster, name: &str, profile: &Profile) -> Got {
    let operator = Caller::operator(cluster, 0);
    let authorization = format!("Bearer {}", cluster.operator_token());
    let version = cluster.platform.row(&format!("profile/{name}")).version;
    let headers = [
        ("authorization", authorization.as_str()),
        ("if-match", &version.to_string()),
    ];
    let document = serde_json::to_string(profile).unwrap();
    let path = format!("/v1/profiles/{name}");
    operator.call(Method::Put, &path, &headers, &document).await
}
