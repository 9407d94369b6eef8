//! Randomized: requests under which engines crash come to three gateways among sound ones, while
//! engines crash for other reasons and sidecars restart.

use super::{caller::CallerRequest, cluster::TestCluster, endpoint::Endpoint};
use parking_lot::Mutex;
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicBool, AtomicUsize, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

/// Number of seeds; more than the default by hand.
const SEEDS_VARIABLE: &str = "RADISHPIN_TEST_SEEDS";
/// First seed, 1 by default.
const FIRST_SEED_VARIABLE: &str = "RADISHPIN_TEST_FIRST_SEED";
const SEEDS_DEFAULT: u64 = 1;
const BAD_PART: &str = "bad0bad";
const ENGINES: usize = 6;
const SOUND_CALLERS: u64 = 4;
const BAD_CALLERS: u64 = 2;
/// Time after the fifth crash under the bad part from which few requests with it may reach engines.
const CONTACT: Duration = Duration::from_secs(3);
const LATE_MAX: usize = 3;
/// Time for which engines crash for other reasons and sidecars restart.
const TROUBLE: Duration = Duration::from_secs(6);
/// Time after that in which most sound requests must be served.
const CALM: Duration = Duration::from_secs(4);
/// Longest time until engines and gateways have recovered from the last trouble.
const RECOVERY: Duration = Duration::from_secs(3);

struct Run {
    cluster: TestCluster,
    gateways: Vec<GatewayProcess>,
    engines: Vec<Arc<Endpoint>>,
    sidecars: Mutex<Vec<SidecarProcess>>,
    calm: AtomicBool,
    ended: AtomicBool,
    sent_in_calm: AtomicUsize,
    served_in_calm: AtomicUsize,
    /// Requests of the calm that were not served, by status and body of the answer.
    failed_in_calm: Mutex<BTreeMap<String, usize>>,
}

fn number_from(variable: &str, default: u64) -> u64 {
    let number = std::env::var(variable).ok();
    let number = number.and_then(|number| number.parse().ok());
    number.unwrap_or(default)
}

impl Run {
    fn start() -> Self {
        let cluster = TestCluster::start();
        let started = (0..ENGINES).map(|n| cluster.start_engine(&format!("e{n}"), &["m0"]));
        let (engines, sidecars): (Vec<_>, Vec<_>) = started.unzip();
        for engine in &engines {
            engine.crash_on_part(BAD_PART);
        }
        let gateways = ["host-2", "host-3", "host-4"].map(|host| cluster.start_gateway_on(host));
        cluster.wait_until_ready();
        Self {
            cluster,
            gateways: gateways.into(),
            engines,
            sidecars: Mutex::new(sidecars),
            calm: AtomicBool::new(false),
            ended: AtomicBool::new(false),
            sent_in_calm: AtomicUsize::new(0),
            served_in_calm: AtomicUsize::new(0),
            failed_in_calm: Mutex::default(),
        }
    }

    /// Sends a request with this part to a random gateway; returns whether its answer was whole, or else
    /// its status and body.
    fn ask(&self, random: &mut SmallRng, id: &str, part: &str) -> Result<(), String> {
        let path = ["/dictation/2f", "/summary/2f"][random.random_range(0..2)];
        let request = CallerRequest::new(path, id)
            .model("m0")
            .deadline_ms(1_500)
            .header(
                "Radishpin-Prompt-Prefix",
                &format!("aa:800,{part}:410,{id}:250"),
            );
        let gateway = &self.gateways[random.random_range(0..self.gateways.len())];
        let got = self.cluster.ask_at(gateway, &request);
        match got.status == 200 && got.complete {
            true => Ok(()),
            false => Err(format!("{} {}", got.status, got.body)),
        }
    }

    fn call_soundly(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        for n in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            let counted = self.calm.load(Ordering::Relaxed);
            let part = format!("c{}", random.random_range(0..12));
            let served = self.ask(&mut random, &format!("5{seed}-{n}"), &part);
            if counted {
                self.sent_in_calm.fetch_add(1, Ordering::Relaxed);
                match served {
                    Ok(()) => {
                        self.served_in_calm.fetch_add(1, Ordering::Relaxed);
                    }
                    Err(failure) => {
                        *self.failed_in_calm.lock().entry(failure).or_default() += 1;
                    }
                }
            }
            thread::sleep(Duration::from_millis(random.random_range(5..60)));
        }
    }

    fn call_badly(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        for n in 0.. {
            if self.ended.load(Ordering::Relaxed) {
                return;
            }
            // Whether it is served does not matter.
            let _ = self.ask(&mut random, &format!("bad{seed}-{n}"), BAD_PART);
            thread::sleep(Duration::from_millis(random.random_range(50..400)));
        }
    }

    fn make_trouble(&self, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let until = Instant::now() + TROUBLE;
        while Instant::now() < until {
            let n = random.random_range(0..ENGINES);
            match random.random_range(0..3) {
                0 => self.engines[n].crash(),
                _ => self.restart_sidecar(n),
            }
            thread::sleep(Duration::from_millis(random.random_range(100..900)));
        }
    }

    fn restart_sidecar(&self, n: usize) {
        let mut sidecars = self.sidecars.lock();
        sidecars[n] = self.cluster.restart_sidecar(&sidecars[n], &self.engines[n]);
    }

    fn bad_arrivals(&self) -> usize {
        let arrivals = self.engines.iter().map(|engine| {
            let ids = engine.received_ids();
            ids.iter().filter(|id| id.starts_with("bad")).count()
        });
        arrivals.sum()
    }

    /// Waits until the bad part has crashed five engines, at the longest until the calm ends; returns
    /// the arrivals that count from [`CONTACT`] after.
    fn late_arrivals(&self) -> usize {
        while self.bad_arrivals() < 5 && !self.ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        thread::sleep(CONTACT);
        let early = self.bad_arrivals();
        while !self.ended.load(Ordering::Relaxed) {
            thread::sleep(Duration::from_millis(10));
        }
        self.bad_arrivals() - early
    }
}

#[test]
fn a_crashing_prompt_part_is_kept_from_engines_amid_other_trouble() {
    let first = number_from(FIRST_SEED_VARIABLE, 1);
    let seeds = number_from(SEEDS_VARIABLE, SEEDS_DEFAULT);
    for seed in first..first + seeds {
        let run = Run::start();
        let late = thread::scope(|scope| {
            for n in 0..SOUND_CALLERS {
                let run = &run;
                scope.spawn(move || run.call_soundly(seed * 100 + n));
            }
            for n in 0..BAD_CALLERS {
                let run = &run;
                scope.spawn(move || run.call_badly(seed * 100 + 50 + n));
            }
            let late = scope.spawn(|| run.late_arrivals());
            run.make_trouble(seed);
            thread::sleep(RECOVERY);
            run.calm.store(true, Ordering::Relaxed);
            thread::sleep(CALM);
            run.ended.store(true, Ordering::Relaxed);
            late.join().unwrap()
        });
        let sent = run.sent_in_calm.load(Ordering::Relaxed);
        let served = run.served_in_calm.load(Ordering::Relaxed);
        let all = run.bad_arrivals();
        println!("not served in the calm: {:?}", run.failed_in_calm.lock());
        println!(
            "seed {seed}: {late} of {all} bad requests late; {served} of {sent} sound ones served"
        );
        assert!(late <= LATE_MAX, "seed {seed}: {late} late");
        assert!(served * 2 >= sent, "seed {seed}: {served} of {sent} served");
        assert!(sent >= 20, "seed {seed}: {sent} sent");
    }
}
