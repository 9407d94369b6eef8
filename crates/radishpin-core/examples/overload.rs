//! Overload in virtual time: how much work is still served, and how soon the rest is refused.
//!
//! `cargo run --release -p radishpin-core --example overload -- [SEED]`
//!
//! Nodes choose and admit with the functions of the library; agents queue with [`WorkQueue`].
//! Not modelled: loads, lost messages, processor time.

#[path = "support/events.rs"]
mod events;
#[path = "support/overload_totals.rs"]
mod totals;

use events::{Events, exponential};
use radishpin_core::request::{
    AttemptOutcome, Candidate, Popped, QueueLimits, QueueRefusal, ReplicaReadiness, RetryBudget,
    RetryContext, RetryDecision, WorkQueue, admit, choose, decide_retry, estimate_wait, queue_wait,
};
use radishpin_protocol::prelude::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use totals::Totals;

const NODES: usize = 3;
const ENDPOINTS: usize = 20;
const CONCURRENCY: u32 = 8;
const SERVICE_TIME: Duration = Duration::from_secs(2);
const HOP: Duration = Duration::from_millis(1);
const WARM_UP: Duration = Duration::from_secs(60);
const END: Duration = Duration::from_secs(360);
const LIMITS: QueueLimits = QueueLimits {
    capacity: 64,
    per_service: 48,
};

/// How the system deals with more work than it can serve.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Discipline {
    /// Every request is queued, in order, and never given up.
    Queue,
    /// Requests are queued within bounds and given up at their deadline.
    Deadline,
    /// As `Deadline`, and requests are refused at once where the estimate is hopeless.
    Estimate,
}

/// Callers of one service.
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
    AtAgent(usize, Call),
    Ended(usize, Call, Duration),
    Deadline(usize),
    AtNode(usize, Call, Reply, u32, Duration),
}

#[derive(Clone, Copy)]
enum Reply {
    Started,
    Ended,
    Refused(ResultCode),
}

struct Endpoint {
    queue: WorkQueue<Call>,
    running: u32,
    service_time: Duration,
}

impl Endpoint {
    /// Calls that a new one of `callers` finds before it.
    fn load_for(&self, callers: &Callers, now: Duration) -> u32 {
        let pace = self.service_time / CONCURRENCY;
        let before = self
            .queue
            .served_before(callers.service, callers.priority, pace, now);
        self.running + before as u32
    }
}

#[derive(Clone, Copy)]
struct Known {
    reported: u32,
    sent_since: u32,
    service_time: Duration,
    at: Duration,
}

struct Run {
    discipline: Discipline,
    gap: Duration,
    rng: ChaCha8Rng,
    events: Events<Event>,
    endpoints: Vec<Endpoint>,
    // By node, callers and endpoint: an agent reports the queue as the caller's service meets it.
    known: Vec<[Vec<Known>; 2]>,
    budgets: Vec<RetryBudget>,
    totals: Totals,
}

impl Run {
    fn new(discipline: Discipline, load: f64, seed: u64) -> Self {
        let capacity = (ENDPOINTS as f64) * f64::from(CONCURRENCY) / SERVICE_TIME.as_secs_f64();
        let limits = match discipline {
            Discipline::Queue => QueueLimits {
                capacity: usize::MAX,
                per_service: usize::MAX,
            },
            Discipline::Deadline | Discipline::Estimate => LIMITS,
        };
        let endpoint = || Endpoint {
            queue: WorkQueue::new(limits),
            running: 0,
            service_time: SERVICE_TIME,
        };
        let unknown = Known {
            reported: 0,
            sent_since: 0,
            service_time: SERVICE_TIME,
            at: Duration::ZERO,
        };
        Self {
            discipline,
            gap: Duration::from_secs_f64(1.0 / (capacity * load)),
            rng: ChaCha8Rng::seed_from_u64(seed),
            events: Events::new(),
            endpoints: (0..ENDPOINTS).map(|_| endpoint()).collect(),
            known: vec![[vec![unknown; ENDPOINTS], vec![unknown; ENDPOINTS]]; NODES],
            budgets: vec![RetryBudget::new(10); NODES],
            totals: Totals::default(),
        }
    }

    fn run(mut self) -> Totals {
        self.events.after(Duration::ZERO, Event::Arrival);
        while let Some(event) = self.events.next_before(END) {
            match event {
                Event::Arrival => self.arrive(),
                Event::AtAgent(endpoint, call) => self.at_agent(endpoint, call),
                Event::Ended(endpoint, call, took) => self.ended(endpoint, call, took),
                Event::Deadline(endpoint) => self.expire(endpoint),
                Event::AtNode(endpoint, call, reply, load, service_time) => {
                    self.at_node(endpoint, call, reply, load, service_time);
                }
            }
        }
        self.totals
    }

    fn arrive(&mut self) {
        let gap = exponential(&mut self.rng, self.gap);
        self.events.after(gap, Event::Arrival);
        let first = self.rng.random_bool(CALLERS[0].share);
        let call = Call {
            node: self.rng.random_range(0..NODES),
            callers: usize::from(!first),
            arrived: self.events.now(),
            attempts: 0,
        };
        self.budgets[call.node].record_request();
        self.dispatch(call);
    }

    fn dispatch(&mut self, mut call: Call) {
        let candidates = self.candidates(call);
        let Some(chosen) = choose(&candidates, self.rng.random()) else {
            return self.refuse(call);
        };
        let remaining = call.deadline().saturating_sub(self.events.now());
        let wait = estimate_wait(&candidates[chosen]);
        let hopeless = admit(wait, remaining, 0).is_err();
        if self.discipline == Discipline::Estimate && hopeless {
            return self.refuse(call);
        }
        call.attempts += 1;
        self.known[call.node][call.callers][chosen].sent_since += 1;
        self.events.after(HOP, Event::AtAgent(chosen, call));
    }

    fn candidates(&self, call: Call) -> Vec<Candidate> {
        let now = self.events.now();
        let candidate = |(index, known): (usize, &Known)| Candidate {
            endpoint: format!("runner-{index}"),
            availability_zone_local: index % NODES == call.node,
            replica: ReplicaReadiness::Loaded,
            outstanding: known.reported + known.sent_since,
            concurrency: CONCURRENCY,
            service_time: known.service_time,
            load_time: Duration::ZERO,
            suspected: false,
            leaving: false,
            affinity: false,
            load_age: now - known.at,
        };
        let known = &self.known[call.node][call.callers];
        known.iter().enumerate().map(candidate).collect()
    }

    fn at_agent(&mut self, index: usize, call: Call) {
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
                self.events.after(left, Event::Deadline(index));
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
                    self.events.after(took, Event::Ended(index, call, took));
                    self.reply(index, call, Reply::Started);
                }
                Some(Popped::Expired(call)) => self.refuse(call),
                None => return,
            }
        }
    }

    fn ended(&mut self, index: usize, call: Call, took: Duration) {
        let endpoint = &mut self.endpoints[index];
        endpoint.running -= 1;
        endpoint.service_time = (endpoint.service_time * 31 + took) / 32;
        self.reply(index, call, Reply::Ended);
        self.start_next(index);
    }

    fn expire(&mut self, index: usize) {
        let now = self.events.now();
        while let Some(call) = self.endpoints[index].queue.pop_expired(now) {
            self.refuse(call);
        }
    }

    fn reply(&mut self, index: usize, call: Call, reply: Reply) {
        let endpoint = &self.endpoints[index];
        let load = endpoint.load_for(&CALLERS[call.callers], self.events.now());
        let event = Event::AtNode(index, call, reply, load, endpoint.service_time);
        self.events.after(HOP, event);
    }

    fn at_node(&mut self, index: usize, call: Call, reply: Reply, load: u32, service: Duration) {
        self.known[call.node][call.callers][index] = Known {
            reported: load,
            sent_since: 0,
            service_time: service,
            at: self.events.now(),
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
        if wait > CALLERS[call.callers].patience + HOP {
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
            let totals = Run::new(discipline, load, seed).run();
            peak = peak.max(totals.served_per_second(END - WARM_UP));
            let name = format!("{discipline:?}");
            println!("{}", totals.row(&name, load, peak, END - WARM_UP));
        }
    }
}
