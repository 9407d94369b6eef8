//! Routing in virtual time: what a node gains from knowing loads, at two sizes.
//!
//! `cargo run --release -p radishpin-core --example routing -- [SEED]`
//!
//! Nodes choose with [`choose_endpoint`]. Not modelled: loads, queues with deadlines, faults.

#[path = "support/events.rs"]
mod events;

use events::{EventQueue, exponential, percentile};
use radishpin_core::request::{Candidate, ReplicaReadiness, choose_endpoint, replica_subset};
use radishpin_protocol::prelude::*;
use rand::{Rng, SeedableRng, distr::weighted::WeightedIndex};
use rand_chacha::ChaCha8Rng;
use std::collections::VecDeque;

const HOP: Duration = Duration::from_millis(1);
const SERVICE_TIME: Duration = Duration::from_secs(17);
const CONCURRENCY: u32 = 27;
const UTILISATION: f64 = 0.85;

/// A cluster with models of Zipf-like popularity, each with replicas in proportion to it.
struct Size {
    name: &'static str,
    nodes: usize,
    runners: usize,
    zones: usize,
    models: usize,
    warm_up: Duration,
    end: Duration,
}

const SIZES: [Size; 2] = [
    Size {
        name: "today",
        nodes: 3,
        runners: 20,
        zones: 3,
        models: 5,
        warm_up: Duration::from_secs(120),
        end: Duration::from_secs(3_720),
    },
    Size {
        name: "two years",
        nodes: 410,
        runners: 7_400,
        zones: 20,
        models: 980,
        warm_up: Duration::from_secs(60),
        end: Duration::from_secs(90),
    },
];

/// What a node knows of an endpoint's load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Knowledge {
    /// Nothing: one random choice.
    Nothing,
    /// The calls that it has there itself.
    Own,
    /// The load on the first and the last frame of each reply, and what it has sent since.
    Replies,
    /// The load on every frame of its streams; after the last, as `Replies`.
    Frames,
    /// The load at that moment.
    Exact,
}

const KNOWLEDGE: [Knowledge; 5] = [
    Knowledge::Nothing,
    Knowledge::Own,
    Knowledge::Replies,
    Knowledge::Frames,
    Knowledge::Exact,
];

#[derive(Clone, Copy, Default)]
struct Known {
    reported: u32,
    sent_since: u32,
    own: u32,
    at: Duration,
}

#[derive(Clone, Copy)]
struct Call {
    node: usize,
    runner: usize,
    arrived: Duration,
}

enum Event {
    Arrival,
    AtRunner(Call),
    Ended(Call),
    AtNode(Call, u32, bool),
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

struct Run<'a> {
    size: &'a Size,
    knowledge: Knowledge,
    // Replicas of a model that a node considers.
    subset: usize,
    rng: ChaCha8Rng,
    events: EventQueue<Event>,
    replicas: Vec<Vec<usize>>,
    popularity: WeightedIndex<f64>,
    runners: Vec<Runner>,
    known: Vec<Vec<Known>>,
    waits: Vec<Duration>,
    remote: u32,
}

impl<'a> Run<'a> {
    fn new(size: &'a Size, knowledge: Knowledge, subset: usize, seed: u64) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let replicas = place(size, &mut rng);
        // Popularity in proportion to the replicas that the model got.
        let weights = replicas.iter().map(|runners| runners.len() as f64);
        Self {
            size,
            knowledge,
            subset,
            rng,
            events: EventQueue::new(),
            popularity: WeightedIndex::new(weights).expect("every model has a replica"),
            replicas,
            runners: vec![Runner::default(); size.runners],
            known: vec![vec![Known::default(); size.runners]; size.nodes],
            waits: Vec::new(),
            remote: 0,
        }
    }

    fn run(mut self) -> Self {
        self.events.schedule(Duration::ZERO, Event::Arrival);
        while let Some(event) = self.events.next_before(self.size.end) {
            match event {
                Event::Arrival => self.arrive(),
                Event::AtRunner(call) => self.at_runner(call),
                Event::Ended(call) => self.ended(call),
                Event::AtNode(call, load, last) => self.at_node(call, load, last),
            }
        }
        self
    }

    fn arrive(&mut self) {
        let replicas: usize = self.replicas.iter().map(Vec::len).sum();
        let places = replicas as f64 * f64::from(CONCURRENCY);
        let gap = SERVICE_TIME.div_f64(places * UTILISATION);
        let gap = exponential(&mut self.rng, gap);
        self.events.schedule(gap, Event::Arrival);
        let node = self.rng.random_range(0..self.size.nodes);
        let model = self.rng.sample(&self.popularity);
        let runner = self.route(node, model);
        let known = &mut self.known[node][runner];
        known.sent_since += 1;
        known.own += 1;
        let arrived = self.events.now();
        let call = Call {
            node,
            runner,
            arrived,
        };
        if arrived >= self.size.warm_up && !self.is_local(node, runner) {
            self.remote += 1;
        }
        self.events.schedule(HOP, Event::AtRunner(call));
    }

    fn route(&mut self, node: usize, model: usize) -> usize {
        let replicas = &self.replicas[model];
        if self.knowledge == Knowledge::Nothing {
            return replicas[self.rng.random_range(0..replicas.len())];
        }
        let considered: Vec<usize> = replica_subset(replicas.len(), self.subset, node)
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
        let known = self.known[node][runner];
        let (outstanding, report_age) = self.outstanding(known, runner);
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

    fn outstanding(&self, known: Known, runner: usize) -> (u32, Duration) {
        let actual = (self.runners[runner].load(), Duration::ZERO);
        let replied = (known.reported + known.sent_since).max(known.own);
        match self.knowledge {
            Knowledge::Nothing | Knowledge::Own => (known.own, Duration::MAX),
            Knowledge::Frames if known.own > 0 => actual,
            Knowledge::Replies | Knowledge::Frames => (replied, self.events.now() - known.at),
            Knowledge::Exact => actual,
        }
    }

    fn is_local(&self, node: usize, runner: usize) -> bool {
        node % self.size.zones == runner % self.size.zones
    }

    fn at_runner(&mut self, call: Call) {
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
        self.events.schedule(HOP, Event::AtNode(call, load, false));
        let took = exponential(&mut self.rng, SERVICE_TIME);
        self.events.schedule(took, Event::Ended(call));
    }

    fn ended(&mut self, call: Call) {
        let runner = &mut self.runners[call.runner];
        runner.running -= 1;
        let load = runner.load();
        self.events.schedule(HOP, Event::AtNode(call, load, true));
        if let Some(next) = runner.queue.pop_front() {
            self.start(next);
        }
    }

    fn at_node(&mut self, call: Call, load: u32, last: bool) {
        let known = &mut self.known[call.node][call.runner];
        known.reported = load;
        known.sent_since = 0;
        known.own -= u32::from(last);
        known.at = self.events.now();
    }
}

/// Gives each model replicas in proportion to 1 / rank, at least one, until the runners are used.
fn place(size: &Size, rng: &mut ChaCha8Rng) -> Vec<Vec<usize>> {
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

fn run_all(size: &Size, subset: usize, seed: u64) {
    for knowledge in KNOWLEDGE {
        print_row(Run::new(size, knowledge, subset, seed).run());
    }
}

fn print_row(mut run: Run) {
    run.waits.sort_unstable();
    let calls = run.waits.len();
    let waited = calls - run.waits.partition_point(|wait| *wait <= HOP);
    let total: Duration = run.waits.iter().sum();
    let seen = if run.subset == usize::MAX {
        "all".to_owned()
    } else {
        run.subset.to_string()
    };
    println!(
        "{:9}  {:9}  {seen:>13}  {calls:7}  {:6.4}  {:12.1}  {:11}  {:11}  {:6.3}",
        run.size.name,
        format!("{:?}", run.knowledge),
        waited as f64 / calls as f64,
        total.as_secs_f64() * 1_000.0 / calls as f64,
        percentile(&run.waits, 95).as_millis(),
        percentile(&run.waits, 99).as_millis(),
        f64::from(run.remote) / calls as f64,
    );
}
