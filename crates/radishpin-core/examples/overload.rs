//! Simulates overload: how many calls are still served, and how soon the others are refused.
//!
//! `cargo run --release -p radishpin-core --example overload -- [SEED]`
//!
//! Time is simulated. Nodes choose endpoints and admit calls with the functions of the library;
//! agents queue with [`WorkQueue`]. Not modelled: model loads, lost messages, CPU time.

#[path = "support/events.rs"]
mod events;
#[path = "support/overload_totals.rs"]
mod totals;

use events::{EventQueue, exponential};
use radishpin_core::request::{
    AttemptOutcome, Candidate, Popped, QueueLimits, QueueRefusal, ReplicaReadiness, RetryBudget,
    RetryContext, RetryDecision, WorkQueue, admit, choose_endpoint, decide_retry, estimate_wait,
    queue_wait,
};
use radishpin_protocol::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use totals::Totals;

const NODES: usize = 3;
const ENDPOINTS: usize = 20;
const CONCURRENCY: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_secs(2);
const HOP_LATENCY: Duration = Duration::from_millis(1);
const WARM_UP: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(360);
const QUEUE_LIMITS: QueueLimits = QueueLimits {
    capacity: 64,
    per_service: 48,
};

/// Queueing discipline under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discipline {
    /// One unbounded queue in order of arrival; no call is refused.
    Queue,
    /// Bounded queues; calls are refused at their deadline.
    Deadline,
    /// As `Deadline`, and calls are refused at once if by estimate they cannot meet it.
    Estimate,
}

/// The callers of one service; `share` is their fraction of all calls.
struct Callers {
    service: &'static str,
    priority: u32,
    patience: Duration,
    share: f64,
}

const CALLERS: [Callers; 2] = [
    Callers {
        service: "drafts",
        priority: 7,
        patience: Duration::from_secs(5),
        share: 0.6,
    },
    Callers {
        service: "summaries",
        priority: 2,
        patience: Duration::from_secs(20),
        share: 0.4,
    },
];

#[derive(Clone, Copy)]
struct Call {
    node: usize,
    callers: usize,
    arrived: Duration,
    attempts: u32,
}

impl Call {
    fn deadline(self) -> Duration {
        self.arrived + CALLERS[self.callers].patience
    }
}

enum Event {
    Arrival,
    ArrivedAtAgent(usize, Call),
    Completed(usize, Call, Duration),
    Deadline(usize),
    ReplyAtNode(usize, Call, Reply, u32, Duration),
}

#[derive(Clone, Copy)]
enum Reply {
    Started,
    Completed,
    Refused(ResultCode),
}

struct Endpoint {
    queue: WorkQueue<Call>,
    running: u32,
    service_time: Duration,
}

impl Endpoint {
    /// Calls that are running or served before a new call of `callers`.
    fn load_for(&self, callers: &Callers, now: Duration) -> u32 {
        let completion_interval = self.service_time / CONCURRENCY;
        let before =
            self.queue
                .served_before(callers.service, callers.priority, completion_interval, now);
        self.running + before as u32
    }
}

/// Load of one endpoint as known to one node, for one group of callers.
#[derive(Clone, Copy)]
struct KnownLoad {
    reported: u32,
    sent_since: u32,
    service_time: Duration,
    reported_at: Duration,
}

struct Simulation {
    discipline: Discipline,
    arrival_interval: Duration,
    rng: ChaCha8Rng,
    events: EventQueue<Event>,
    endpoints: Vec<Endpoint>,
    // Indexed by node, callers and endpoint: agents report the queue position that a service gets.
    known_load: Vec<[Vec<KnownLoad>; 2]>,
    budgets: Vec<RetryBudget>,
    totals: Totals,
}

impl Simulation {
    fn new(discipline: Discipline, load: f64, seed: u64) -> Self {
        let capacity = (ENDPOINTS as f64) * f64::from(CONCURRENCY) / SERVICE_TIME.as_secs_f64();
        let limits = match discipline {
            Discipline::Queue => QueueLimits {
                capacity: usize::MAX,
                per_service: usize::MAX,
            },
            Discipline::Deadline | Discipline::Estimate => QUEUE_LIMITS,
        };
        let endpoint = || Endpoint {
            queue: WorkQueue::new(limits),
            running: 0,
            service_time: SERVICE_TIME,
        };
        let idle = KnownLoad {
            reported: 0,
            sent_since: 0,
            service_time: SERVICE_TIME,
            reported_at: Duration::ZERO,
        };
        Self {
            discipline,
            arrival_interval: Duration::from_secs_f64(1.0 / (capacity * load)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: EventQueue::new(),
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            known_load: vec![[vec![idle; ENDPOINTS], vec![idle; ENDPOINTS]]; NODES],
            budgets: vec![RetryBudget::new(10); NODES],
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        self.events.schedule(Duration::ZERO, Event::Arrival);
        while let Some(event) = self.events.next_before(END) {
            match event {
                Event::Arrival => self.on_arrival(),
                Event::ArrivedAtAgent(endpoint, call) => self.on_arrived_at_agent(endpoint, call),
                Event::Completed(endpoint, call, took) => self.on_completed(endpoint, call, took),
                Event::Deadline(endpoint) => self.on_deadline(endpoint),
                Event::ReplyAtNode(endpoint, call, reply, load, service_time) => {
                    self.on_reply(endpoint, call, reply, load, service_time);
                }
            }
        }
        self.totals
    }

    fn on_arrival(&mut self) {
        let arrival_interval = exponential(&mut self.rng, self.arrival_interval);
        self.events.schedule(arrival_interval, Event::Arrival);
        let is_first = self.rng.random_bool(CALLERS[0].share);
        let call = Call {
            node: self.rng.random_range(0..NODES),
            callers: usize::from(!is_first),
            arrived: self.events.now(),
            attempts: 0,
        };
        self.budgets[call.node].record_request();
        self.dispatch(call);
    }

    fn dispatch(&mut self, mut call: Call) {
        let candidates = self.candidates(call);
        let Some(chosen) = choose_endpoint(&candidates, self.rng.random()) else {
            return self.refuse(call);
        };
        let remaining = call.deadline().saturating_sub(self.events.now());
        let wait = estimate_wait(&candidates[chosen]);
        let too_late = admit(wait, remaining, 0).is_err();
        if self.discipline == Discipline::Estimate && too_late {
            return self.refuse(call);
        }
        call.attempts += 1;
        self.known_load[call.node][call.callers][chosen].sent_since += 1;
        self.events
            .schedule(HOP_LATENCY, Event::ArrivedAtAgent(chosen, call));
    }

    fn candidates(&self, call: Call) -> Vec<Candidate> {
        let now = self.events.now();
        let candidate = |(index, known_load): (usize, &KnownLoad)| Candidate {
            endpoint: format!("runner-{index}"),
            availability_zone_local: index % NODES == call.node,
            replica: ReplicaReadiness::Loaded,
            outstanding: known_load.reported + known_load.sent_since,
            concurrency: CONCURRENCY,
            service_time: known_load.service_time,
            load_time: Duration::ZERO,
            suspected: false,
            leaving: false,
            affinity: false,
            report_age: now - known_load.reported_at,
        };
        let known_load = &self.known_load[call.node][call.callers];
        known_load.iter().enumerate().map(candidate).collect()
    }

    fn on_arrived_at_agent(&mut self, index: usize, call: Call) {
        let now = self.events.now();
        let callers = &CALLERS[call.callers];
        let endpoint = &mut self.endpoints[index];
        if self.discipline == Discipline::Estimate {
            let wait = queue_wait(
                endpoint.load_for(callers, now),
                CONCURRENCY,
                endpoint.service_time,
            );
            if admit(wait, call.deadline().saturating_sub(now), 0).is_err() {
                return self.reply(index, call, Reply::Refused(ResultCode::DeadlineUnreachable));
            }
        }
        let (service, deadline) = match self.discipline {
            Discipline::Queue => ("all", Duration::MAX),
            Discipline::Deadline | Discipline::Estimate => (callers.service, call.deadline()),
        };
        match endpoint
            .queue
            .push(call, service, callers.priority, deadline, now)
        {
            Ok(()) => {
                let left = call.deadline().saturating_sub(now);
                self.events.schedule(left, Event::Deadline(index));
                self.start_next(index);
            }
            Err(QueueRefusal::Full) => {
                self.reply(index, call, Reply::Refused(ResultCode::QueueFull))
            }
            Err(QueueRefusal::ServiceLimit) => {
                self.reply(index, call, Reply::Refused(ResultCode::ServiceLimit));
            }
        }
    }

    fn start_next(&mut self, index: usize) {
        let now = self.events.now();
        while self.endpoints[index].running < CONCURRENCY {
            match self.endpoints[index].queue.pop(now) {
                Some(Popped::Ready(call)) => {
                    self.endpoints[index].running += 1;
                    self.count_start(call);
                    let took = exponential(&mut self.rng, SERVICE_TIME);
                    self.events
                        .schedule(took, Event::Completed(index, call, took));
                    self.reply(index, call, Reply::Started);
                }
                Some(Popped::Expired(call)) => self.refuse(call),
                None => return,
            }
        }
    }

    fn on_completed(&mut self, index: usize, call: Call, took: Duration) {
        let endpoint = &mut self.endpoints[index];
        endpoint.running -= 1;
        endpoint.service_time = (endpoint.service_time * 31 + took) / 32;
        self.reply(index, call, Reply::Completed);
        self.start_next(index);
    }

    fn on_deadline(&mut self, index: usize) {
        let now = self.events.now();
        while let Some(call) = self.endpoints[index].queue.pop_expired(now) {
            self.refuse(call);
        }
    }

    fn reply(&mut self, index: usize, call: Call, reply: Reply) {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load_for(&CALLERS[call.callers], self.events.now());
        let event = Event::ReplyAtNode(index, call, reply, load, endpoint.service_time);
        self.events.schedule(HOP_LATENCY, event);
    }

    fn on_reply(&mut self, index: usize, call: Call, reply: Reply, load: u32, service: Duration) {
        self.known_load[call.node][call.callers][index] = KnownLoad {
            reported: load,
            sent_since: 0,
            service_time: service,
            reported_at: self.events.now(),
        };
        let Reply::Refused(code) = reply else {
            return;
        };
        let facts = RetryContext {
            idempotent: true,
            remaining: call.deadline().saturating_sub(self.events.now()),
            estimated_duration: Duration::ZERO,
            attempts: call.attempts,
            another_endpoint: true,
        };
        let outcome = AttemptOutcome::Refused {
            code,
            not_run: true,
        };
        let budget = &mut self.budgets[call.node];
        match decide_retry(outcome, facts, || budget.try_take()) {
            RetryDecision::Retry(_) => self.dispatch(call),
            RetryDecision::Tombstone | RetryDecision::Refuse(_) | RetryDecision::Unknown(_) => {
                self.refuse(call)
            }
        }
    }

    fn count_start(&mut self, call: Call) {
        let wait = self.events.now() - call.arrived;
        if self.events.now() < WARM_UP {
            return;
        }
        if wait > CALLERS[call.callers].patience + HOP_LATENCY {
            self.totals.late += 1;
        } else {
            self.totals.served += 1;
            self.totals.served_by_callers[call.callers] += 1;
            self.totals.waits.push(wait);
        }
    }

    fn refuse(&mut self, call: Call) {
        if self.events.now() >= WARM_UP {
            self.totals.refusals.push(self.events.now() - call.arrived);
        }
    }
}

fn main() {
    let seed = std::env::args()
        .nth(1)
        .and_then(|arg| arg.parse().ok())
        .unwrap_or(4819);
    println!("seed {seed}, {NODES} nodes, {ENDPOINTS} endpoints of {CONCURRENCY} places");
    println!("{}", totals::HEADER);
    for discipline in [
        Discipline::Queue,
        Discipline::Deadline,
        Discipline::Estimate,
    ] {
        let mut peak = 0.0_f64;
        for load in [0.5, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0, 5.0] {
            let totals = Simulation::new(discipline, load, seed).run();
            peak = peak.max(totals.served_per_second(END - WARM_UP));
            let name = format!("{discipline:?}");
            println!("{}", totals.row(&name, load, peak, END - WARM_UP));
        }
    }
}
