//! Simulates routing: how call waits depend on what nodes know of the load, at two cluster sizes.
//!
//! `cargo run --release -p radishpin-core --example routing -- [SEED]`
//!
//! Time is simulated; nodes choose with [`choose_endpoint`]. Not modelled: model loads, deadlines
//! of queued calls, faults.

#[path = "support/events.rs"]
mod events;

use events::{EventQueue, exponential, percentile};
use radishpin_core::request::{Candidate, ReplicaReadiness, choose_endpoint, replica_subset};
use radishpin_protocol::prelude::*;
use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const HOP_LATENCY: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_secs(17);
const CONCURRENCY: u32 = 27;
const UTILISATION: f64 = 0.85;

/// A cluster whose models have Zipf-like popularity and replicas in proportion to it.
struct ClusterSize {
    name: &'static str,
    nodes: usize,
    runners: usize,
    zones: usize,
    models: usize,
    warm_up: Duration,
    end: Duration,
}

const SIZES: [ClusterSize; 2] = [
    ClusterSize {
        name: "today",
        nodes: 3,
        runners: 20,
        zones: 3,
        models: 5,
        warm_up: Duration::from_secs(120),
        end: Duration::from_secs(3_720),
    },
    ClusterSize {
        name: "two years",
        nodes: 410,
        runners: 7_400,
        zones: 20,
        models: 980,
        warm_up: Duration::from_secs(60),
        end: Duration::from_secs(90),
    },
];

/// Source of a node's data on the load of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LoadSource {
    /// None: endpoints are chosen at random.
    Nothing,
    /// The node's own outstanding calls at the endpoint.
    Own,
    /// The load reported in the first and last frame of each reply, plus the calls sent since.
    Replies,
    /// The load reported in every frame of the node's streams, modelled as exact; without a stream,
    /// as `Replies`.
    Frames,
    /// The exact load at all times.
    Exact,
}

const LOAD_SOURCES: [LoadSource; 5] = [
    LoadSource::Nothing,
    LoadSource::Own,
    LoadSource::Replies,
    LoadSource::Frames,
    LoadSource::Exact,
];

/// Load of one endpoint as known to one node.
#[derive(Clone, Copy, Default)]
struct KnownLoad {
    reported: u32,
    sent_since: u32,
    own: u32,
    reported_at: Duration,
}

#[derive(Clone, Copy)]
struct Call {
    node: usize,
    runner: usize,
    arrived: Duration,
}

enum Event {
    Arrival,
    ArrivedAtRunner(Call),
    Completed(Call),
    ReplyAtNode(Call, u32, bool),
}

#[derive(Clone, Default)]
struct Runner {
    running: u32,
    queue: VecDeque<Call>,
}

impl Runner {
    fn load(&self) -> u32 {
        self.running + self.queue.len() as u32
    }
}

struct Simulation<'a> {
    size: &'a ClusterSize,
    load_source: LoadSource,
    // Most replicas of a model that a node considers.
    subset_limit: usize,
    rng: ChaCha8Rng,
    events: EventQueue<Event>,
    replicas: Vec<Vec<usize>>,
    popularity: WeightedIndex<f64>,
    runners: Vec<Runner>,
    known_load: Vec<Vec<KnownLoad>>,
    waits: Vec<Duration>,
    remote: u32,
}

impl<'a> Simulation<'a> {
    fn new(size: &'a ClusterSize, load_source: LoadSource, subset_limit: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas = place_replicas(size, &mut rng);
        // A model's popularity is proportional to the replicas that it was given.
        let weights = replicas.iter().map(|runners| runners.len() as f64);
        Self {
            size,
            load_source,
            subset_limit,
            rng,
            events: EventQueue::new(),
            popularity: WeightedIndex::new(weights).expect("every model has a replica"),
            replicas,
            runners: vec![Runner::default(); size.runners],
            known_load: vec![vec![KnownLoad::default(); size.runners]; size.nodes],
            waits: Vec::new(),
            remote: 0,
        }
    }

    fn run(mut self) -> Self {
        self.events.schedule(Duration::ZERO, Event::Arrival);
        while let Some(event) = self.events.next_before(self.size.end) {
            match event {
                Event::Arrival => self.on_arrival(),
                Event::ArrivedAtRunner(call) => self.on_arrived_at_runner(call),
                Event::Completed(call) => self.on_completed(call),
                Event::ReplyAtNode(call, load, last) => self.on_reply(call, load, last),
            }
        }
        self
    }

    fn on_arrival(&mut self) {
        let replicas: usize = self.replicas.iter().map(Vec::len).sum();
        let places = replicas as f64 * f64::from(CONCURRENCY);
        let arrival_interval = SERVICE_TIME.div_f64(places * UTILISATION);
        let arrival_interval = exponential(&mut self.rng, arrival_interval);
        self.events.schedule(arrival_interval, Event::Arrival);
        let node = self.rng.random_range(0..self.size.nodes);
        let model = self.rng.sample(&self.popularity);
        let runner = self.route(node, model);
        let known_load = &mut self.known_load[node][runner];
        known_load.sent_since += 1;
        known_load.own += 1;
        let arrived = self.events.now();
        let call = Call {
            node,
            runner,
            arrived,
        };
        if arrived >= self.size.warm_up && !self.is_local(node, runner) {
            self.remote += 1;
        }
        self.events
            .schedule(HOP_LATENCY, Event::ArrivedAtRunner(call));
    }

    fn route(&mut self, node: usize, model: usize) -> usize {
        let replicas = &self.replicas[model];
        if self.load_source == LoadSource::Nothing {
            return replicas[self.rng.random_range(0..replicas.len())];
        }
        let considered: Vec<usize> = replica_subset(replicas.len(), self.subset_limit, node)
            .map(|index| replicas[index])
            .collect();
        let candidates: Vec<Candidate> = considered
            .iter()
            .map(|runner| self.candidate(node, *runner))
            .collect();
        let chosen = choose_endpoint(&candidates, self.rng.random());
        considered[chosen.expect("there is a candidate")]
    }

    fn candidate(&self, node: usize, runner: usize) -> Candidate {
        let known_load = self.known_load[node][runner];
        let (outstanding, report_age) = self.outstanding(known_load, runner);
        Candidate {
            endpoint: String::new(),
            availability_zone_local: self.is_local(node, runner),
            replica: ReplicaReadiness::Loaded,
            outstanding,
            concurrency: CONCURRENCY,
            service_time: SERVICE_TIME,
            load_time: Duration::ZERO,
            suspected: false,
            leaving: false,
            affinity: false,
            report_age,
        }
    }

    fn outstanding(&self, known_load: KnownLoad, runner: usize) -> (u32, Duration) {
        let actual = (self.runners[runner].load(), Duration::ZERO);
        let replied = (known_load.reported + known_load.sent_since).max(known_load.own);
        match self.load_source {
            LoadSource::Nothing | LoadSource::Own => (known_load.own, Duration::MAX),
            LoadSource::Frames if known_load.own > 0 => actual,
            LoadSource::Replies | LoadSource::Frames => {
                (replied, self.events.now() - known_load.reported_at)
            }
            LoadSource::Exact => actual,
        }
    }

    fn is_local(&self, node: usize, runner: usize) -> bool {
        node % self.size.zones == runner % self.size.zones
    }

    fn on_arrived_at_runner(&mut self, call: Call) {
        if self.runners[call.runner].running < CONCURRENCY {
            self.start(call);
        } else {
            self.runners[call.runner].queue.push_back(call);
        }
    }

    fn start(&mut self, call: Call) {
        let now = self.events.now();
        if call.arrived >= self.size.warm_up {
            self.waits.push(now - call.arrived);
        }
        let runner = &mut self.runners[call.runner];
        runner.running += 1;
        let load = runner.load();
        self.events
            .schedule(HOP_LATENCY, Event::ReplyAtNode(call, load, false));
        let took = exponential(&mut self.rng, SERVICE_TIME);
        self.events.schedule(took, Event::Completed(call));
    }

    fn on_completed(&mut self, call: Call) {
        let runner = &mut self.runners[call.runner];
        runner.running -= 1;
        let load = runner.load();
        self.events
            .schedule(HOP_LATENCY, Event::ReplyAtNode(call, load, true));
        if let Some(next) = runner.queue.pop_front() {
            self.start(next);
        }
    }

    fn on_reply(&mut self, call: Call, load: u32, last: bool) {
        let known_load = &mut self.known_load[call.node][call.runner];
        known_load.reported = load;
        known_load.sent_since = 0;
        known_load.own -= u32::from(last);
        known_load.reported_at = self.events.now();
    }
}

/// Gives each model at least one replica, and shares the other runners in proportion to 1 / rank.
fn place_replicas(size: &ClusterSize, rng: &mut ChaCha8Rng) -> Vec<Vec<usize>> {
    let harmonic: f64 = (1..=size.models).map(|rank| 1.0 / rank as f64).sum();
    let spare = size.runners - size.models;
    let mut free: Vec<usize> = (0..size.runners).collect();
    let mut replicas = Vec::new();
    for rank in 1..=size.models {
        let share = 1.0 / rank as f64 / harmonic;
        let count = 1 + (share * spare as f64) as usize;
        let mut taken = Vec::new();
        for _ in 0..count {
            taken.push(free.swap_remove(rng.random_range(0..free.len())));
        }
        replicas.push(taken);
    }
    replicas
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(4819);
    println!("seed {seed}, {CONCURRENCY} places, calls of {SERVICE_TIME:?}, {UTILISATION} used");
    println!(
        "size       knowledge  replicas seen  calls    waited  mean wait ms  p95 wait ms  p99 wait ms  remote"
    );
    let [today, later] = &SIZES;
    run_all(today, usize::MAX, seed);
    run_all(later, usize::MAX, seed);
    run_all(later, 16, seed);
}

fn run_all(size: &ClusterSize, subset_limit: usize, seed: u64) {
    for load_source in LOAD_SOURCES {
        print_row(Simulation::new(size, load_source, subset_limit, seed).run());
    }
}

fn print_row(mut run: Simulation) {
    run.waits.sort_unstable();
    let calls = run.waits.len();
    let waited = calls - run.waits.partition_point(|wait| *wait <= HOP_LATENCY);
    let total: Duration = run.waits.iter().sum();
    let seen = if run.subset_limit == usize::MAX {
        "all".to_owned()
    } else {
        run.subset_limit.to_string()
    };
    println!(
        "{:9}  {:9}  {seen:>13}  {calls:7}  {:6.4}  {:12.1}  {:11}  {:11}  {:6.3}",
        run.size.name,
        format!("{:?}", run.load_source),
        waited as f64 / calls as f64,
        total.as_secs_f64() * 1_000.0 / calls as f64,
        percentile(&run.waits, 95).as_millis(),
        percentile(&run.waits, 99).as_millis(),
        f64::from(run.remote) / calls as f64,
    );
}
