//! Randomized: endpoints drain, ask for backoffs and crash, and a request crashes them, while callers call
//! at three gateways and sidecars restart.

use super::{
    caller::CallerRequest,
    cluster::TestCluster,
    endpoint::{Behavior, Endpoint, ReceivedRequest},
};
use http::HeaderValue;
use parking_lot::Mutex;
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of seeds from 1; more than the default by hand.
const SEEDS_VARIABLE: &str = "RADISHPIN_TEST_SEEDS";
const SEEDS_DEFAULT: u64 = 1;
/// Body of the request under which endpoints crash.
const BAD_BODY: &str = "crash";
/// A request to the first path runs once at most, one to the second may be repeated.
const PATHS: [&str; 2] = ["/order/2f", "/lookup/2f"];
const ENDPOINTS: usize = 5;
const ENGINES: usize = 3;
const GATEWAYS: usize = 3;
const SOUND_CALLERS: u64 = 6;
const TROUBLE: Duration = Duration::from_secs(9);
const CALM: Duration = Duration::from_secs(4);
/// Longest time until endpoints and gateways have recovered from the last trouble.
const RECOVERY: Duration = Duration::from_secs(4);
/// Time after the third crash under the bad request from which few of these may reach endpoints.
const CONTACT: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;
/// Time after the first answer that says so from which a draining endpoint may get no requests.
const DRAIN_TIME: Duration = Duration::from_millis(2_300);
/// Time for which a draining endpoint goes on.
const DRAIN_LIFE: Duration = Duration::from_millis(3_500);
const BACKOFF: Duration = Duration::from_millis(1_500);
/// Time after the answer that asks for a backoff in which requests may still be on their way.
const TRANSIT: Duration = Duration::from_millis(500);
const BACKOFF_REQUESTS_MAX: usize = 2;

/// An endpoint that said it drained from one time to another.
struct Drain {
    endpoint: usize,
    from: Instant,
    to: Instant,
}

struct Run {
    cluster: TestCluster,
    gateways: Vec<GatewayProcess>,
    endpoints: Vec<Arc<Endpoint>>,
    engines: Vec<Arc<Endpoint>>,
    sidecars: Mutex<Vec<SidecarProcess>>,
    drains: Mutex<Vec<Drain>>,
    /// Id under which each endpoint is listed.
    listed: Mutex<Vec<String>>,
    calm: AtomicBool,
    ended: AtomicBool,
    sent_in_calm: AtomicUsize,
    served_in_calm: AtomicUsize,
}

impl Run {
    fn start() -> Self {
        let cluster = TestCluster::start();
        let engines = (0..ENGINES).map(|n| cluster.start_engine(&format!("e{n}"), &["m0"]));
        let (engines, sidecars): (Vec<_>, Vec<_>) = engines.unzip();
        let endpoints = (0..ENDPOINTS).map(|n| cluster.start_plain_endpoint(&format!("p{n}")));
        let endpoints: Vec<Arc<Endpoint>> = endpoints.collect();
        for endpoint in &endpoints {
            endpoint.crash_on_body(Some(BAD_BODY));
        }
        let hosts = (0..GATEWAYS).map(|n| cluster.start_gateway_on(&format!("host-{}", n + 2)));
        let gateways = hosts.collect();
        cluster.wait_until_ready();
        Self {
            listed: Mutex::new(endpoints.iter().map(|one| one.id.clone()).collect()),
            cluster,
            gateways,
            endpoints,
            engines,
            sidecars: Mutex::new(sidecars),
            drains: Mutex::default(),
            calm: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            sent_in_calm: AtomicUsize::new(0),
            served_in_calm: AtomicUsize::new(0),
        }
    }

    /// Sends a request to a random gateway, whose number is the last of its id.
    fn ask(&self, random: &mut SmallRng, id: &str, path: &str, body: &str) -> bool {
        let gateway = random.random_range(0..GATEWAYS);
        let request = CallerRequest::new(path, &format!("{id}-{gateway}"));
        let request = request.body(body).deadline_ms(1_000);
        let got = self.cluster.ask_at(&self.gateways[gateway], &request);
        got.status == 200 && got.complete
    }

    fn call_soundly(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        for n in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let counted = self.calm.load(Ordering::Relaxed);
            let path = PATHS[random.random_range(0..2)];
            let body = ["question", "another"][random.random_range(0..2)];
            let served = self.ask(&mut random, &format!("sound{seed}-{n}"), path, body);
            if counted {
                self.sent_in_calm.fetch_add(1, Ordering::Relaxed);
                let served = usize::from(served);
                self.served_in_calm.fetch_add(served, Ordering::Relaxed);
            }
            thread::sleep(Duration::from_millis(random.random_range(5..40)));
        }
    }

    /// Sends one request again and again.
    fn call_badly(&self, seed: u64) {
        let path = PATHS[(seed / 100 % 2) as usize];
        let mut random = SmallRng::seed_from_u64(seed);
        for n in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            self.ask(&mut random, &format!("bad{seed}-{n}"), path, BAD_BODY);
            thread::sleep(Duration::from_millis(random.random_range(100..600)));
        }
    }

    fn make_trouble(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let until = Instant::now() + TROUBLE;
        thread::scope(|scope| {
            while Instant::now() < until {
                let endpoint = random.random_range(0..ENDPOINTS);
                match random.random_range(0..5) {
                    0 => self.endpoints[endpoint].crash(),
                    1 => self.restart_sidecar(random.random_range(0..ENGINES)),
                    2 => {
                        scope.spawn(move || self.drain(endpoint));
                    }
                    _ => self.ask_for_backoff(endpoint, random.random_range(1..4)),
                }
                thread::sleep(Duration::from_millis(random.random_range(100..900)));
            }
        });
    }

    fn restart_sidecar(&self, n: usize) {
        let mut sidecars = self.sidecars.lock();
        sidecars[n] = self.cluster.restart_sidecar(&sidecars[n], &self.engines[n]);
    }

    fn ask_for_backoff(&self, endpoint: usize, answers: usize) {
        let endpoint = &self.endpoints[endpoint];
        let seconds = BACKOFF.as_secs_f64().to_string();
        endpoint.state_retry_after(Some(&seconds));
        endpoint.script(&vec![Behavior::Full; answers]);
    }

    /// Lets an endpoint drain for a while and start again under another id.
    fn drain(&self, number: usize) {
        let endpoint = &self.endpoints[number];
        let from = Instant::now();
        {
            let drains = self.drains.lock();
            let mut of_endpoint = drains.iter().filter(|drain| drain.endpoint == number);
            if of_endpoint.any(|drain| from < drain.to + CONTACT) {
                return;
            }
        }
        self.drains.lock().push(Drain {
            endpoint: number,
            from,
            to: from + DRAIN_LIFE,
        });
        endpoint.state_draining(Some("1"));
        thread::sleep(DRAIN_LIFE);
        endpoint.state_draining(None);
        let mut listed = self.listed.lock();
        self.cluster.store.remove("servers", &listed[number]);
        listed[number].push('n');
        endpoint.restart_as(&listed[number]);
        let entry = endpoint.entry("shop", "ready");
        self.cluster.store.put("servers", &listed[number], entry);
    }

    fn bad_arrivals(&self) -> usize {
        let arrivals = self.endpoints.iter().map(|endpoint| {
            endpoint.with_received(|received| {
                let bad = received.iter().filter(|one| one.body == BAD_BODY);
                bad.count()
            })
        });
        arrivals.sum()
    }

    /// Waits until the bad request has crashed three endpoints; returns the arrivals that count from
    /// [`CONTACT`] after.
    fn late_arrivals(&self) -> usize {
        let wait = || thread::sleep(Duration::from_millis(10));
        while self.bad_arrivals() < 3 && !self.ended.load(Ordering::Relaxed) {
            wait();
        }
        thread::sleep(CONTACT);
        let early = self.bad_arrivals();
        while !self.ended.load(Ordering::Relaxed) {
            wait();
        }
        self.bad_arrivals() - early
    }

    /// Requests that a gateway sent to a draining endpoint too late.
    fn sent_to_draining(&self) -> usize {
        let drains = self.drains.lock();
        let late = drains.iter().map(|drain| {
            self.endpoints[drain.endpoint].with_received(|received| {
                let late_from = |gateway: usize| {
                    let of_gateway = received.iter().filter(|one| {
                        (drain.from..drain.to).contains(&one.at) && gateway_of(&one.id) == gateway
                    });
                    let of_gateway: Vec<_> = of_gateway.collect();
                    let answered = of_gateway.iter().find(|one| is_answered(one));
                    let told_at = answered.map(|one| one.at);
                    let is_late = |at: Instant| told_at.is_some_and(|told| at > told + DRAIN_TIME);
                    of_gateway.iter().filter(|one| is_late(one.at)).count()
                };
                (0..GATEWAYS).map(late_from).sum::<usize>()
            })
        });
        late.sum()
    }

    /// Most requests that a gateway sent to an endpoint within a backoff that it had asked it for, and most
    /// that it sent to a later endpoint at the same address meanwhile.
    fn sent_in_backoff(&self) -> (usize, usize) {
        let counts = self.endpoints.iter().map(|endpoint| {
            endpoint.with_received(|received| {
                let refused = received
                    .iter()
                    .filter(|one| one.behavior == Behavior::Full && is_answered(one));
                let counts = refused.map(|asked| {
                    let span = asked.at + TRANSIT..asked.at + BACKOFF;
                    let of_gateway = received.iter().filter(|one| {
                        gateway_of(&one.id) == gateway_of(&asked.id) && span.contains(&one.at)
                    });
                    let (same, later): (Vec<_>, Vec<_>) =
                        of_gateway.partition(|one| instance_of(one) == instance_of(asked));
                    (same.len(), later.len())
                });
                counts.fold((0, 0), most_of_each)
            })
        });
        counts.fold((0, 0), most_of_each)
    }
}

fn most_of_each(a: (usize, usize), b: (usize, usize)) -> (usize, usize) {
    (a.0.max(b.0), a.1.max(b.1))
}

/// Id of the endpoint that a request was addressed to.
fn instance_of(received: &ReceivedRequest) -> Option<&HeaderValue> {
    received.headers.get("radishpin-expected-instance")
}

/// Whether an endpoint answered a request, so that it told the gateway what its headers say.
fn is_answered(received: &ReceivedRequest) -> bool {
    received.body != BAD_BODY
}

/// Number of the gateway that a request was sent to, as its id tells.
fn gateway_of(id: &str) -> usize {
    let number = id
        .rsplit_once('-')
        .and_then(|(_, number)| number.parse().ok());
    number.expect("ids end with the number of the gateway")
}

#[test]
fn endpoints_that_drain_back_off_and_crash_under_a_request_are_spared_amid_other_trouble() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS_DEFAULT) {
        let run = Run::start();
        let late = thread::scope(|scope| {
            for n in 0..SOUND_CALLERS {
                let run = &run;
                scope.spawn(move || run.call_soundly(seed * 100 + n));
            }
            scope.spawn(|| run.call_badly(seed * 100 + 50));
            let late = scope.spawn(|| run.late_arrivals());
            run.make_trouble(seed);
            for endpoint in &run.endpoints {
                endpoint.script(&[]);
            }
            thread::sleep(RECOVERY);
            run.calm.store(true, Ordering::Relaxed);
            thread::sleep(CALM);
            run.ended.store(true, Ordering::Relaxed);
            late.join().unwrap()
        });
        let sent = run.sent_in_calm.load(Ordering::Relaxed);
        let served = run.served_in_calm.load(Ordering::Relaxed);
        let drained = run.sent_to_draining();
        let (backed_off, later) = run.sent_in_backoff();
        let (bad, drains) = (run.bad_arrivals(), run.drains.lock().len());
        println!(
            "seed {seed}: {late} of {bad} bad requests late; {drained} late in {drains} drains; \
             {backed_off} in a backoff, {later} to a later endpoint there; {served} of {sent} sound ones served"
        );
        assert!(late <= LATE_MAX, "seed {seed}: {late} late");
        assert_eq!(drained, 0, "seed {seed}");
        assert!(
            backed_off <= BACKOFF_REQUESTS_MAX,
            "seed {seed}: {backed_off}"
        );
        assert!(served * 10 >= sent * 9, "seed {seed}: {served} of {sent}");
        assert!(sent >= 20, "seed {seed}: {sent} sent");
    }
}
