//! Compares what a gateway and a sidecar spend on links for each pair of them and on relays of groups.
//!
//! Run with `cargo run --release -p radishpin-core --example fleet_links`. It drives the deciding code and the
//! encoding of messages alone, without processes and sockets: each engine's load changes at each exchange, and
//! nothing else does.

use radishpin_core::{
    process::{
        EndpointEntry, EndpointPhase, Fleet, GatewayReport, Group, ModelStatus, RELAYS, Relay,
        RelayAnswer, RelayPoll, RelayedState, Status, groups,
    },
    version::{Catalog, EngineSpec, Service},
};
use radishpin_protocol::prelude::*;
use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::Instant,
};

const SERVICE: &str = "drafts";
const ZONES: usize = 6;
const MODELS_PER_ENGINE: usize = 3;
const MODELS_ON_DISK: usize = 12;
/// Exchanges a second of a pair whose status does not change.
const PAIR_EXCHANGES_PER_S: f64 = 2.5;
/// Polls of a relay a second, and exchanges of a relay with a sidecar.
const RELAY_POLLS_PER_S: f64 = 4.0;
const FOLLOWS_PER_S: f64 = 3.6;
/// Polls after which a gateway reports to all engines of a group.
const POLLS_PER_REPORT: usize = 6;
const ROUNDS: usize = 30;

fn main() {
    println!("exchanges, bytes and ms of processor time a second; without HTTP and sockets");
    for size in [10, 30, 100, 300] {
        measure(size);
    }
}

fn address(n: usize) -> SocketAddr {
    SocketAddr::from((
        Ipv4Addr::new(10, 0, (n / 250) as u8, (n % 250) as u8 + 1),
        7_380,
    ))
}

fn fleet(engines: usize) -> (Fleet, BTreeMap<EndpointId, EndpointEntry>) {
    let entry = |n: usize| EndpointEntry {
        service: SERVICE.to_owned(),
        address: address(n),
        zone: format!("zone-{}", n % ZONES),
        slots: 16,
        phase: EndpointPhase::Ready,
        software_version: Some("v1".to_owned()),
        started_unix_ms: 1,
        sequence: 1,
        cold_remaining: Duration::ZERO,
        remaining: None,
        models: BTreeMap::new(),
    };
    let entries: BTreeMap<_, _> = (0..engines)
        .map(|n| (format!("i{n:06}"), entry(n)))
        .collect();
    let engine = EngineSpec {
        slots: 16,
        kv_cache_tokens: 89_000,
        memory_mb: 230_000,
        adapter_slots: 8,
        store_loads_per_s: 52.0,
        models: BTreeMap::new(),
    };
    let service = Service {
        connection_limit: 750,
        engine: Some(engine),
    };
    let mut fleet = Fleet::new("gateway-1".into(), 1, "zone-0".into());
    fleet.configure(Arc::new(Catalog {
        services: [(SERVICE.to_owned(), Arc::new(service))].into(),
        ..Catalog::default()
    }));
    fleet.update_endpoints(&entries, &[]);
    (fleet, entries)
}

fn status(engine: usize, round: usize) -> Status {
    let model = |n: usize| format!("model-{:04}", (engine * MODELS_PER_ENGINE + n) % 1_060);
    let models = (0..MODELS_PER_ENGINE).map(|n| (model(n), ModelStatus::default()));
    Status {
        incarnation: engine as u64 + 1,
        version: 1,
        engine_up: true,
        engine_started_unix_ms: 1,
        running: (round % 16) as u32,
        models: models.collect(),
        on_disk: (0..MODELS_ON_DISK).map(model).collect(),
        gateways: 100,
        ..Status::default()
    }
}

/// Bytes and time of a number of steps.
#[derive(Default)]
struct Cost {
    bytes: usize,
    ms: f64,
}

impl Cost {
    fn add(&mut self, step: impl FnOnce() -> usize) {
        let started = Instant::now();
        self.bytes += step();
        self.ms += started.elapsed().as_secs_f64() * 1_000.0;
    }

    /// Prints what one of `ROUNDS` rounds costs, so many times a second.
    fn print(&self, name: &str, exchanges: f64, rounds_per_s: f64) {
        let per_s = rounds_per_s / ROUNDS as f64;
        let kb = self.bytes as f64 * per_s / 1_000.0;
        println!(
            "  {name}: {exchanges:.0} exchanges, {kb:.1} KB, {:.2} ms",
            self.ms * per_s
        );
    }
}

fn encode(message: &impl serde::Serialize) -> Vec<u8> {
    serde_json::to_vec(message).unwrap_or_default()
}

fn measure(size: usize) {
    println!("{size} gateways, {size} sidecars");
    let (mut fleet, entries) = fleet(size);
    let ids: Vec<EndpointId> = entries.keys().cloned().collect();
    let mut pairs = Cost::default();
    let mut sidecar = Cost::default();
    for round in 0..ROUNDS {
        for (engine, id) in ids.iter().enumerate() {
            let answer = encode(&status(engine, round));
            pairs.add(|| {
                let now = Duration::from_millis(400 * round as u64);
                let report = encode(&fleet.next_report(id, now));
                if let Ok(status) = serde_json::from_slice(&answer) {
                    fleet.update_status(id, status, now);
                }
                report.len() + answer.len()
            });
        }
        let report = encode(&fleet.next_report(&ids[0], Duration::ZERO));
        sidecar.add(|| {
            let read: Option<GatewayReport> = serde_json::from_slice(&report).ok();
            let answer = encode(&status(0, round)).len() + report.len();
            answer * usize::from(read.is_some())
        });
    }
    let pair_rate = size as f64 * PAIR_EXCHANGES_PER_S;
    pairs.print("gateway, pairs", pair_rate, PAIR_EXCHANGES_PER_S);
    sidecar.print("sidecar, pairs", pair_rate, pair_rate);
    measure_relays(&mut fleet, &entries);
}

fn measure_relays(fleet: &mut Fleet, entries: &BTreeMap<EndpointId, EndpointEntry>) {
    let groups = groups(entries, address(0).port());
    let mut gateway = Cost::default();
    let mut relay_cost = Cost::default();
    for group in groups.values() {
        let mut link = GroupPolls::new(group);
        for round in 0..ROUNDS {
            for (n, sidecar) in group.members.keys().enumerate() {
                let state = RelayedState::Up(Box::new(status(n, round)));
                let now = Duration::from_millis(250 * round as u64);
                link.relay.record_state(*sidecar, state, now);
            }
            link.poll(fleet, group, round, &mut gateway, &mut relay_cost);
        }
    }
    let group_count = groups.len() as f64;
    let sidecars = entries.len() as f64;
    gateway.print(
        "gateway, relays",
        group_count * RELAY_POLLS_PER_S,
        RELAY_POLLS_PER_S,
    );
    // As many gateways as sidecars share the relays of each group.
    let polls_per_s = sidecars / RELAYS as f64 * RELAY_POLLS_PER_S;
    relay_cost.print("relay, polls", polls_per_s, polls_per_s / group_count);
    println!("  sidecar, relays: {:.0} exchanges", 3.0 * FOLLOWS_PER_S);
}

struct GroupPolls {
    relay: Relay,
    poll: RelayPoll,
}

impl GroupPolls {
    fn new(group: &Group) -> Self {
        let poll = RelayPoll {
            members: group.members.keys().copied().collect(),
            ..RelayPoll::default()
        };
        let mut relay = Relay::new(1);
        relay.record_poll(&poll, Duration::ZERO);
        Self { relay, poll }
    }

    fn poll(
        &mut self,
        fleet: &mut Fleet,
        group: &Group,
        round: usize,
        gateway: &mut Cost,
        relay_cost: &mut Cost,
    ) {
        let now = Duration::from_millis(250 * round as u64);
        let mut request = Vec::new();
        gateway.add(|| {
            self.poll.reports.clear();
            if round.is_multiple_of(POLLS_PER_REPORT) {
                let members = group.members.iter();
                let reports = members.map(|(sidecar, id)| (*sidecar, fleet.next_report(id, now)));
                self.poll.reports.extend(reports);
            }
            request = encode(&self.poll);
            request.len()
        });
        let mut answer = Vec::new();
        relay_cost.add(|| {
            let Ok(poll) = serde_json::from_slice::<RelayPoll>(&request) else {
                return 0;
            };
            self.relay.record_poll(&poll, now);
            answer = encode(&self.relay.answer_now(&poll));
            request.len() + answer.len()
        });
        gateway.add(|| {
            let Ok(received) = serde_json::from_slice::<RelayAnswer>(&answer) else {
                return 0;
            };
            self.poll.seen_incarnation = received.incarnation;
            self.poll.seen_version = received.version;
            for (sidecar, state) in received.changed {
                let Some(id) = group.members.get(&sidecar) else {
                    continue;
                };
                match state {
                    RelayedState::Up(status) => {
                        fleet.update_status(id, *status, now);
                    }
                    RelayedState::UpWithLoad(load) => fleet.update_status_load(id, load, now),
                    RelayedState::Disconnected | RelayedState::TimedOut => {}
                }
            }
            answer.len()
        });
    }
}
