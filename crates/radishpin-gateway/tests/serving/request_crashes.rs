//! One request crashes each endpoint that runs it; the gateways together keep it from them.

use super::{
    caller::{CallerRequest, CallerResponse},
    cluster::{DOWNTIME, TestCluster},
    endpoint::{Behavior, Endpoint},
};
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Body of the request under which endpoints crash.
const BAD_BODY: &str = "crash";
/// Crashes after which few such requests may reach endpoints, once [`CONTACT`] has passed.
const CRASHES: u32 = 3;
const CONTACT: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;
/// Time for which the request keeps coming after that.
const LATE_TIME: Duration = Duration::from_secs(9);
/// Pause between two such requests.
const PAUSE: Duration = Duration::from_millis(200);

/// Endpoints of a service, and engines whose sidecars hold what gateways share.
struct Fixture {
    cluster: TestCluster,
    endpoints: Vec<Arc<Endpoint>>,
    engines: Vec<Arc<Endpoint>>,
    sidecars: Vec<SidecarProcess>,
}

impl Fixture {
    /// Starts three engines and four endpoints of a service without engines, which crash under the body.
    fn plain() -> Self {
        let mut fixture = Self::engines(3);
        for engine in &fixture.engines {
            engine.crash_on_body(None);
        }
        fixture.endpoints = start_plain_endpoints(&fixture.cluster, 4);
        fixture
    }

    /// Starts engines that crash under the body.
    fn engines(count: usize) -> Self {
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
    fn arrivals(&self) -> usize {
        let arrivals = self.endpoints.iter().map(|endpoint| {
            endpoint.with_received(|received| {
                let bad = received.iter().filter(|one| one.body == BAD_BODY);
                bad.count()
            })
        });
        arrivals.sum()
    }

    fn crashes(&self) -> u32 {
        self.endpoints
            .iter()
            .map(|endpoint| endpoint.crashes())
            .sum()
    }

    /// Sends the request, each time to the next gateway, until endpoints have crashed three times, and
    /// waits for as long as gateways may take to notice.
    fn send_until_noticed(&self, gateways: &[&GatewayProcess], request: &CallerRequest) {
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
    fn late_arrivals(
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
    fn check(&self, request: &CallerRequest, sound: &[CallerRequest]) {
        let others = ["host-2", "host-3", "host-4", "host-5"];
        let others = others.map(|host| self.cluster.start_gateway_on(host));
        let gateways: Vec<_> = others.iter().chain([&self.cluster.gateway]).collect();
        self.cluster.wait_until_ready();
        self.send_until_noticed(&gateways, request);
        let late = self.late_arrivals(&gateways, request, sound);
        assert!(late <= LATE_MAX, "{late} reached endpoints late");
    }
}

fn start_plain_endpoints(cluster: &TestCluster, count: usize) -> Vec<Arc<Endpoint>> {
    let start = |n| {
        let endpoint = cluster.start_plain_endpoint(&format!("p{n}"));
        endpoint.crash_on_body(Some(BAD_BODY));
        endpoint
    };
    (0..count).map(start).collect()
}

/// Sends a request under a new attempt id.
fn send(
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

fn is_whole(response: &CallerResponse) -> bool {
    response.status == 200 && response.complete
}

fn order() -> CallerRequest {
    CallerRequest::new("/order/2f", "").deadline_ms(1_000)
}

fn lookup() -> CallerRequest {
    CallerRequest::new("/lookup/2f", "").deadline_ms(1_000)
}

fn dictation() -> CallerRequest {
    CallerRequest::new("/dictation/2f", "")
        .model("m0")
        .deadline_ms(1_500)
}

/// A request of one caller.
fn of_caller(request: CallerRequest, caller: &str) -> CallerRequest {
    request.header("Authorization", caller)
}

#[test]
fn a_request_that_crashes_plain_endpoints_stops_reaching_them_from_any_gateway() {
    let sound = [order(), lookup(), lookup().body("another")];
    Fixture::plain().check(&order().body(BAD_BODY), &sound);
}

#[test]
fn a_repeatable_request_that_crashes_plain_endpoints_stops_reaching_them() {
    let sound = [order(), lookup(), lookup().body("another")];
    Fixture::plain().check(&lookup().body(BAD_BODY), &sound);
}

#[test]
fn a_request_that_crashes_engines_stops_reaching_them_from_any_gateway() {
    let sound = [dictation(), dictation().body("another")];
    Fixture::engines(5).check(&dictation().body(BAD_BODY), &sound);
}

/// All prompts share parts.
#[test]
fn sound_prompts_with_the_parts_of_a_request_that_crashes_engines_are_served() {
    let prompt = "aa:800,c1:410,5e55:250";
    let with_prompt = |body| {
        let request = dictation().body(body);
        request.header("Radishpin-Prompt-Prefix", prompt)
    };
    let sound = [with_prompt("question"), with_prompt("another")];
    Fixture::engines(5).check(&with_prompt(BAD_BODY), &sound);
}

/// Engines crash under a part of its prompt, so the part is refused in its place once they crash under
/// another request with the part.
#[test]
fn a_request_is_not_tried_each_second_once_a_part_of_its_prompt_is_refused() {
    let fixture = Fixture::engines(6);
    for engine in &fixture.engines {
        engine.crash_on_body(None);
        engine.crash_on_part("c1");
    }
    let others = ["host-2", "host-3"].map(|host| fixture.cluster.start_gateway_on(host));
    let gateways: Vec<_> = others.iter().chain([&fixture.cluster.gateway]).collect();
    fixture.cluster.wait_until_ready();
    let with_part = |body| {
        let request = dictation().body(body);
        request.header("Radishpin-Prompt-Prefix", "aa:800,c1:410,5e55:250")
    };
    let request = with_part(BAD_BODY);
    fixture.send_until_noticed(&gateways, &request);
    send(
        &fixture.cluster,
        gateways[0],
        &with_part("another"),
        "other",
    );
    fixture
        .cluster
        .wait_until("the other request crashed an engine too", || {
            fixture.crashes() > CRASHES
        });
    thread::sleep(DOWNTIME);
    let late = fixture.late_arrivals(&gateways, &request, &[dictation()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn resumed_streams_do_not_carry_a_request_that_crashes_engines_on() {
    let request = CallerRequest::new("/summary/2f", "")
        .model("m0")
        .body(BAD_BODY);
    let sound = [dictation()];
    Fixture::engines(5).check(&request.deadline_ms(1_500), &sound);
}

/// No sidecar holds what gateways share.
#[test]
fn gateways_without_sidecars_notice_a_request_that_crashes_endpoints() {
    let cluster = TestCluster::start();
    let endpoints = start_plain_endpoints(&cluster, 4);
    let fixture = Fixture {
        cluster,
        endpoints,
        engines: Vec::new(),
        sidecars: Vec::new(),
    };
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&gateways, &request);
    let late = fixture.late_arrivals(&gateways, &request, &[lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn another_path_caller_or_body_is_another_request() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    let bad = of_caller(order().body(BAD_BODY), "one");
    fixture.send_until_noticed(&[gateway], &bad);
    send(&fixture.cluster, gateway, &bad, "tried");
    thread::sleep(DOWNTIME);
    for endpoint in &fixture.endpoints {
        endpoint.crash_on_body(None);
    }
    let refused = send(&fixture.cluster, gateway, &bad, "same");
    assert_eq!(refused.status, 503, "{refused}");
    assert!(refused.header("retry-after").is_some(), "{refused}");
    let others = [
        of_caller(order().body(BAD_BODY), "two"),
        of_caller(order().body("another"), "one"),
        of_caller(CallerRequest::new("/order/3", "").body(BAD_BODY), "one"),
        of_caller(
            CallerRequest::new("/order/2f?page=2", "").body(BAD_BODY),
            "one",
        ),
    ];
    for (n, other) in others.iter().enumerate() {
        let got = send(&fixture.cluster, gateway, other, &format!("other{n}"));
        assert!(is_whole(&got), "{n}: {got}");
    }
}

/// Starts gateways in place of the first one, which saw the crashes, and checks that few requests reach
/// endpoints from all of them together.
fn check_new_gateways(fixture: &Fixture, request: &CallerRequest) {
    smol::block_on(fixture.cluster.gateway.stop());
    let new = ["host-2", "host-3", "host-4"].map(|host| fixture.cluster.start_gateway_on(host));
    thread::sleep(Duration::from_millis(1_500));
    let new: Vec<_> = new.iter().collect();
    let late = fixture.late_arrivals(&new, request, &[order(), lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

#[test]
fn gateways_that_have_just_started_refuse_a_request_that_crashed_endpoints_before() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[&fixture.cluster.gateway], &request);
    check_new_gateways(&fixture, &request);
}

/// All sidecars restart, and then all gateways, so that only what the former were told again is left.
#[test]
fn sidecars_that_have_just_started_know_of_a_request_that_crashed_endpoints_before() {
    let mut fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[&fixture.cluster.gateway], &request);
    for (n, engine) in fixture.engines.iter().enumerate() {
        let sidecar = &fixture.sidecars[n];
        fixture.sidecars[n] = fixture.cluster.restart_sidecar(sidecar, engine);
    }
    thread::sleep(Duration::from_secs(2));
    check_new_gateways(&fixture, &request);
}

/// One caller polls with the same request, which runs beside the one that crashes the endpoints.
#[test]
fn a_sound_request_is_served_that_is_polled_while_another_one_crashes_its_endpoints() {
    let fixture = Fixture::plain();
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    let ended = AtomicBool::new(false);
    thread::scope(|scope| {
        for caller in 0..4 {
            let (fixture, ended) = (&fixture, &ended);
            let gateway = gateways[caller % 2];
            scope.spawn(move || {
                for n in 0.. {
                    if ended.load(Ordering::Relaxed) {
                        return;
                    }
                    let id = format!("poll{caller}-{n}");
                    send(&fixture.cluster, gateway, &lookup(), &id);
                    thread::sleep(Duration::from_millis(10));
                }
            });
        }
        fixture.send_until_noticed(&gateways, &order().body(BAD_BODY));
        ended.store(true, Ordering::Relaxed);
    });
    let late = fixture.late_arrivals(&gateways, &order().body(BAD_BODY), &[lookup()]);
    assert!(late <= LATE_MAX, "{late} reached endpoints late");
}

/// Loses all endpoints three times while they run the request, which is never answered before.
fn lose_endpoints_three_times(fixture: &Fixture, gateways: &[&GatewayProcess]) {
    for round in 0..3 {
        for endpoint in &fixture.endpoints {
            endpoint.script(&[Behavior::Hang; 4]);
        }
        thread::scope(|scope| {
            for (n, gateway) in gateways.iter().enumerate() {
                let cluster = &fixture.cluster;
                scope.spawn(move || send(cluster, gateway, &order(), &format!("{round}-{n}")));
            }
            thread::sleep(Duration::from_millis(200));
            for endpoint in &fixture.endpoints {
                endpoint.script(&[]);
                endpoint.crash();
            }
        });
        thread::sleep(DOWNTIME + Duration::from_millis(300));
    }
}

/// No sidecar can permit a trial of the request for a while, as a rack with the holders was lost.
#[test]
fn a_sound_request_is_served_once_sidecars_that_permit_its_trial_are_back() {
    let fixture = Fixture::plain();
    let gateway = &fixture.cluster.gateway;
    fixture.cluster.wait_until_ready();
    lose_endpoints_three_times(&fixture, &[gateway]);
    for engine in &fixture.engines {
        fixture.cluster.store.remove("servers", &engine.id);
    }
    let until = Instant::now() + LATE_TIME;
    for n in 0.. {
        if Instant::now() >= until {
            break;
        }
        send(&fixture.cluster, gateway, &order(), &format!("denied{n}"));
        thread::sleep(PAUSE);
    }
    for engine in &fixture.engines {
        fixture.cluster.list_endpoint(engine, "drafts", "ready");
    }
    thread::sleep(CONTACT);
    let served = (0..10).filter(|n| {
        thread::sleep(PAUSE);
        let got = send(&fixture.cluster, gateway, &order(), &format!("later{n}"));
        is_whole(&got)
    });
    let served = served.count();
    assert!(served >= 9, "{served} of 10 served");
}

#[test]
fn a_sound_request_is_served_that_ran_when_all_endpoints_were_lost_three_times() {
    let fixture = Fixture::plain();
    let second = fixture.cluster.start_gateway_on("host-2");
    let gateways = [&fixture.cluster.gateway, &second];
    fixture.cluster.wait_until_ready();
    lose_endpoints_three_times(&fixture, &gateways);
    thread::sleep(CONTACT);
    let served = (0..20).filter(|n| {
        thread::sleep(PAUSE);
        let got = send(
            &fixture.cluster,
            gateways[n % 2],
            &order(),
            &format!("later{n}"),
        );
        is_whole(&got)
    });
    let served = served.count();
    assert!(served >= 18, "{served} of 20 served");
}

#[test]
fn a_request_that_crashed_endpoints_is_served_by_the_next_software_version() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    let request = order().body(BAD_BODY);
    fixture.send_until_noticed(&[gateway], &request);
    let next = &fixture.endpoints[0];
    next.crash_on_body(None);
    next.restart();
    next.set_software_version("v2");
    fixture.cluster.list_endpoint(next, "shop", "ready");
    thread::sleep(CONTACT);
    let before = fixture.arrivals();
    for n in 0..10 {
        let got = send(&fixture.cluster, gateway, &request, &format!("v2-{n}"));
        assert!(is_whole(&got), "{n}: {got}");
    }
    assert_eq!(
        fixture.arrivals() - before,
        10,
        "others than the new version got it"
    );
}

/// Answers with errors, connections that only break, and silence are no crashes.
#[test]
fn a_request_that_endpoints_fail_without_crashing_keeps_reaching_them() {
    let fixture = Fixture::plain();
    fixture.cluster.wait_until_ready();
    let gateway = &fixture.cluster.gateway;
    for behavior in [Behavior::Fail, Behavior::Close, Behavior::Hang] {
        for endpoint in &fixture.endpoints {
            endpoint.script(&[behavior; 2]);
        }
        for n in 0..8 {
            let request = order().deadline_ms(300);
            send(
                &fixture.cluster,
                gateway,
                &request,
                &format!("{behavior:?}{n}"),
            );
        }
        for endpoint in &fixture.endpoints {
            endpoint.script(&[]);
        }
        thread::sleep(Duration::from_secs(1));
        let got = send(
            &fixture.cluster,
            gateway,
            &order(),
            &format!("{behavior:?}-after"),
        );
        assert!(is_whole(&got), "{behavior:?}: {got}");
    }
}
