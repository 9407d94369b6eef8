//! Endpoints that crash under one request, and gateways that get it.

use super::super::{
    caller::{CallerRequest, CallerResponse},
    cluster::TestCluster,
    endpoint::Endpoint,
};
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// Body of the request under which endpoints crash.
pub(super) const BAD_BODY: &str = "crash";
/// Crashes after which few such requests may reach endpoints, once [`CONTACT`] has passed.
pub(super) const CRASHES: u32 = 3;
pub(super) const CONTACT: Duration = Duration::from_secs(3);
pub(super) const LATE_MAX: usize = 3;
/// Time for which the request keeps coming after that.
pub(super) const LATE_TIME: Duration = Duration::from_secs(9);
/// Pause between two such requests.
pub(super) const PAUSE: Duration = Duration::from_millis(200);

/// Endpoints of a service, and engines whose sidecars hold what gateways share.
pub(super) struct Fixture {
    pub(super) cluster: TestCluster,
    pub(super) endpoints: Vec<Arc<Endpoint>>,
    pub(super) engines: Vec<Arc<Endpoint>>,
    pub(super) sidecars: Vec<SidecarProcess>,
}

impl Fixture {
    /// Starts three engines and four endpoints of a service without engines, which crash under the body.
    pub(super) fn plain() -> Self {
        let mut fixture = Self::engines(3);
        for engine in &fixture.engines {
            engine.crash_on_body(None);
        }
        fixture.endpoints = start_plain_endpoints(&fixture.cluster, 4);
        fixture
    }

    /// Starts engines that crash under the body.
    pub(super) fn engines(count: usize) -> Self {
        let cluster = TestCluster::start();
        let engines = (0..count).map(|n| cluster.start_engine(&format!("e{n}"), &["m0"]));
        let (engines, sidecars): (Vec<_>, Vec<_>) = engines.unzip();
        for engine in &engines {
            engine.crash_on_body(Some(BAD_BODY));
        }
        Self {
            cluster,
            endpoints: engines.clone(),
            engines,
            sidecars,
        }
    }

    /// Requests with the body that have reached endpoints, repeats counted.
    pub(super) fn arrivals(&self) -> usize {
        let arrivals = self.endpoints.iter().map(|endpoint| {
            endpoint.with_received(|received| {
                let bad = received.iter().filter(|one| one.body == BAD_BODY);
                bad.count()
            })
        });
        arrivals.sum()
    }

    pub(super) fn crashes(&self) -> u32 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.crashes())
            .sum()
    }

    /// Sends the request, each time to the next gateway, until endpoints have crashed three times, and
    /// waits for as long as gateways may take to notice.
    pub(super) fn send_until_noticed(&self, gateways: &[&GatewayProcess], request: &CallerRequest) {
        for n in 0..60 {
            let gateway = gateways[n % gateways.len()];
            send(&self.cluster, gateway, request, &format!("bad{n}"));
            thread::sleep(PAUSE);
            if self.crashes() >= CRASHES {
                break;
            }
        }
        assert!(self.crashes() >= CRASHES, "{} crashes", self.crashes());
        thread::sleep(CONTACT);
    }

    /// Sends the request, each time to the next gateway, among sound ones; returns how often it reached
    /// endpoints, and panics if more than a tenth of the sound ones is not served.
    pub(super) fn late_arrivals(
        &self,
        gateways: &[&GatewayProcess],
        request: &CallerRequest,
        sound: &[CallerRequest],
    ) -> usize {
        let before = self.arrivals();
        let until = Instant::now() + LATE_TIME;
        let (mut sent, mut served) = (0, 0);
        for n in 0.. {
            if Instant::now() >= until {
                break;
            }
            let gateway = gateways[n % gateways.len()];
            send(&self.cluster, gateway, request, &format!("late{n}"));
            for (k, sound) in sound.iter().enumerate() {
                sent += 1;
                let got = send(&self.cluster, gateway, sound, &format!("sound{n}-{k}"));
                served += usize::from(is_whole(&got));
            }
            thread::sleep(PAUSE);
        }
        assert!(
            served * 10 >= sent * 9,
            "{served} of {sent} sound requests served"
        );
        self.arrivals() - before
    }

    /// Checks that the request is kept from endpoints and the sound ones are not.
    pub(super) fn check(&self, request: &CallerRequest, sound: &[CallerRequest]) {
        let others = ["host-2", "host-3", "host-4", "host-5"];
        let others = others.map(|host| self.cluster.start_gateway_on(host));
        let gateways: Vec<_> = others.iter().chain([&self.cluster.gateway]).collect();
        self.cluster.wait_until_ready();
        self.send_until_noticed(&gateways, request);
        let late = self.late_arrivals(&gateways, request, sound);
        assert!(late <= LATE_MAX, "{late} reached endpoints late");
    }
}

pub(super) fn start_plain_endpoints(cluster: &TestCluster, count: usize) -> Vec<Arc<Endpoint>> {
    let start = |n| {
        let endpoint = cluster.start_plain_endpoint(&format!("p{n}"));
        endpoint.crash_on_body(Some(BAD_BODY));
        endpoint
    };
    (0..count).map(start).collect()
}

/// Sends a request under a new attempt id.
pub(super) fn send(
    cluster: &TestCluster,
    gateway: &GatewayProcess,
    request: &CallerRequest,
    id: &str,
) -> CallerResponse {
    let request = CallerRequest {
        id: id.to_owned(),
        ..request.clone()
    };
    cluster.ask_at(gateway, &request)
}

pub(super) fn is_whole(response: &CallerResponse) -> bool {
    response.status == 200 && response.complete
}

pub(super) fn order() -> CallerRequest {
    CallerRequest::new("/order/2f", "").deadline_ms(1_000)
}

pub(super) fn lookup() -> CallerRequest {
    CallerRequest::new("/lookup/2f", "").deadline_ms(1_000)
}

pub(super) fn dictation() -> CallerRequest {
    CallerRequest::new("/dictation/2f", "")
        .model("m0")
        .deadline_ms(1_500)
}

/// A request of one caller.
pub(super) fn of_caller(request: CallerRequest, caller: &str) -> CallerRequest {
    request.header("Authorization", caller)
}
