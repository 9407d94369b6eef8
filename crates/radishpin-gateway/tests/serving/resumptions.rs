//! Randomized: engines of two versions break streams off, and callers resume them at two gateways.

use super::{
    caller::CallerRequest,
    cluster::TestCluster,
    endpoint::{Behavior, EVENTS, Endpoint},
};
use radishpin_gateway::{GatewayProcess, SidecarProcess};
use rand::{Rng, SeedableRng, rngs::SmallRng};
use std::{collections::BTreeSet, sync::Arc, thread};

/// Number of seeds from 1; more than the default by hand.
const SEEDS_VARIABLE: &str = "RADISHPIN_TEST_SEEDS";
const SEEDS_DEFAULT: u64 = 2;
const CALLERS: u64 = 6;
const STREAMS_PER_CALLER: u64 = 8;
/// Attempts of a caller at one stream; engines break off most of them.
const ATTEMPTS: usize = 12;
/// Behaviors scripted for each engine, more than the requests that it gets.
const SCRIPT_LENGTH: usize = 2_000;

/// A caller's view of one stream.
#[derive(Default)]
struct Stream {
    ids: Vec<String>,
    events: String,
    /// Id of the attempt that brought the first event.
    began_as: Option<String>,
    complete: bool,
}

fn expected_events(count: u32) -> String {
    let events = (1..=count).map(|n| format!("id: {n}\ndata: t{n}\n\n"));
    events.collect()
}

impl Stream {
    fn event_count(&self) -> u32 {
        u32::try_from(self.events.matches("\n\n").count()).expect("few events")
    }

    /// Makes one attempt: begins the stream, or resumes it after the last event.
    fn attempt(&mut self, cluster: &TestCluster, gateway: &GatewayProcess, id: String) {
        let mut request = CallerRequest::new("/summary/2f", &id).model("m0");
        if let Some(began_as) = &self.began_as {
            let last_id = self.event_count().to_string();
            request = request
                .header("Resumes", began_as)
                .header("Last-Event-Id", &last_id);
        }
        let got = cluster.ask_at(gateway, &request);
        self.ids.push(id.clone());
        if got.status != 200 {
            return;
        }
        self.events.push_str(&got.body);
        self.complete = got.complete;
        if self.began_as.is_none() && !got.body.is_empty() {
            self.began_as = Some(id);
        }
    }
}

fn run_caller(cluster: &TestCluster, gateways: [&GatewayProcess; 2], seed: u64) -> Vec<Stream> {
    let mut random = SmallRng::seed_from_u64(seed);
    let streams = (0..STREAMS_PER_CALLER).map(|n| {
        let mut stream = Stream::default();
        for attempt in 0..ATTEMPTS {
            if stream.complete || stream.event_count() == EVENTS {
                break;
            }
            let gateway = gateways[random.random_range(0..2)];
            let id = format!("s{seed}-{n}-{attempt}");
            stream.attempt(cluster, gateway, id);
        }
        stream
    });
    streams.collect()
}

fn random_script(random: &mut SmallRng) -> Vec<Behavior> {
    let behaviors = (0..SCRIPT_LENGTH).map(|_| match random.random_range(0..8) {
        0..=1 => Behavior::Answer,
        2 => Behavior::Full,
        n => Behavior::BreakAfter(n - 2),
    });
    behaviors.collect()
}

/// Ids of the requests that an engine ran.
fn ids_run(engine: &Endpoint) -> BTreeSet<String> {
    engine.with_received(|received| {
        let run = received.iter().filter(|one| one.behavior != Behavior::Full);
        run.map(|one| one.id.clone()).collect()
    })
}

fn check(streams: &[Stream], engines: &[(Arc<Endpoint>, SidecarProcess)], seed: u64) {
    let received: Vec<(String, BTreeSet<String>)> = engines
        .iter()
        .map(|(engine, _)| (engine.software_version(), ids_run(engine)))
        .collect();
    for stream in streams {
        let count = stream.event_count();
        let ids = &stream.ids;
        assert_eq!(
            stream.events,
            expected_events(count),
            "seed {seed}, {ids:?}"
        );
        let Some(first) = ids
            .iter()
            .position(|id| stream.began_as.as_ref() == Some(id))
        else {
            continue;
        };
        // Attempts before the first event may have met any version.
        let with_events = &ids[first..];
        let versions: BTreeSet<&String> = received
            .iter()
            .filter(|(_, received)| with_events.iter().any(|id| received.contains(id)))
            .map(|(version, _)| version)
            .collect();
        assert_eq!(versions.len(), 1, "seed {seed}, {with_events:?}");
    }
    let whole = streams.iter().filter(|stream| stream.complete).count();
    println!("seed {seed}: {whole} of {} streams whole", streams.len());
    assert!(whole * 2 >= streams.len(), "seed {seed}: {whole} whole");
}

#[test]
fn streams_that_callers_resume_are_whole_and_of_one_software_version() {
    let seeds = std::env::var(SEEDS_VARIABLE).ok();
    let seeds = seeds.and_then(|seeds| seeds.parse().ok());
    for seed in 1..=seeds.unwrap_or(SEEDS_DEFAULT) {
        let cluster = TestCluster::start();
        let engines = ["v1", "v2", "v1", "v2"].into_iter().enumerate();
        let engines: Vec<_> = engines
            .map(|(n, version)| cluster.start_engine_of_version(&format!("e{n}"), &["m0"], version))
            .collect();
        let other = cluster.start_other_gateway();
        cluster.wait_until_ready();
        let mut random = SmallRng::seed_from_u64(seed);
        for (engine, _) in &engines {
            engine.script(&random_script(&mut random));
        }
        let gateways = [&cluster.gateway, &other];
        let streams: Vec<Stream> = thread::scope(|scope| {
            let callers: Vec<_> = (0..CALLERS)
                .map(|n| {
                    let cluster = &cluster;
                    scope.spawn(move || run_caller(cluster, gateways, seed * CALLERS + n))
                })
                .collect();
            let callers = callers.into_iter();
            callers.flat_map(|caller| caller.join().unwrap()).collect()
        });
        check(&streams, &engines, seed);
    }
}
