//! Measures the load on the platform when it comes back after an outage.
//!
//! Many clients, as many nodes would be, poll the view and renew a row each; the platform goes
//! out, the view changes meanwhile, and the platform comes back with its rate limits.
//!
//! `cargo run --release -p radishpin-platform --example recovery --
//! [CLIENTS] [MODE] [OUTAGE] [WRITES]`, MODE `guarded` (the default settings) or `eager` (no
//! breaker, budget or backoff), OUTAGE `refusing` or `silent`, WRITES the limit a second.

use radishpin_platform::{
    Backoff, BreakerSettings, BudgetSettings, ClientSettings, Commit, CommitOutcome, Condition,
    PlatformClient, PlatformMetrics, ViewHandle, ViewReader, Write, jittered,
};
use radishpin_runtime::Runtime;
use radishpin_standin::{Faults, MemoryPlatform, Outage, SecondCounts};
use std::{
    sync::Arc,
    time::{Duration, Instant},
};

const SEED: u64 = 410;
const POLL_INTERVAL: Duration = Duration::from_secs(2);
const RENEW_INTERVAL: Duration = Duration::from_secs(5);
const BEFORE: Duration = Duration::from_secs(8);
const DOWN: Duration = Duration::from_secs(20);
const AFTER: Duration = Duration::from_secs(20);
const READS_PER_SECOND: u32 = 2_000;
const DEFAULT_WRITES_PER_SECOND: u32 = 300;
const MODELS: u32 = 980;
const MODELS_CHANGED: u32 = 50;

fn main() -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let clients = arguments.first().map_or(Ok(410), |text| text.parse())?;
    let eager = arguments.get(1).is_some_and(|mode| mode == "eager");
    let silent = arguments.get(2).is_some_and(|outage| outage == "silent");
    let writes_per_second = match arguments.get(3) {
        Some(text) => text.parse()?,
        None => DEFAULT_WRITES_PER_SECOND,
    };
    let settings = if eager {
        eager_settings()
    } else {
        ClientSettings::default()
    };
    let outage = if silent {
        Outage::Silent
    } else {
        Outage::Refusing
    };
    let runtime = Runtime::start(4)?;
    let platform = MemoryPlatform::new(SEED);
    write_models(&platform, 0, MODELS);
    platform.set_faults(limits(Outage::None, writes_per_second));
    let start = Instant::now();
    let views = start_clients(&runtime, &platform, settings, clients)?;
    smol::block_on(async {
        smol::Timer::after(BEFORE).await;
        platform.set_faults(limits(outage, writes_per_second));
        smol::Timer::after(DOWN).await;
        write_models(&platform, 1, MODELS_CHANGED);
        platform.set_faults(limits(Outage::None, writes_per_second));
        let back = start.elapsed();
        let at_return = platform.counts().seconds.last().copied();
        let caught_up = caught_up(&platform, &views).await;
        smol::Timer::after((back + AFTER).saturating_sub(start.elapsed())).await;
        report(&platform, at_return.unwrap_or_default(), caught_up);
    });
    Ok(())
}

fn eager_settings() -> ClientSettings {
    ClientSettings {
        max_attempts: 1_000,
        backoff: Backoff {
            base: Duration::from_millis(10),
            cap: Duration::from_millis(10),
        },
        budget: BudgetSettings {
            per_call: 1_000.0,
            per_second: 1_000.0,
            max_balance: 1_000.0,
        },
        breaker: BreakerSettings {
            failures: u32::MAX,
            ..BreakerSettings::default()
        },
        ..ClientSettings::default()
    }
}

fn limits(outage: Outage, writes_per_second: u32) -> Faults {
    Faults {
        outage,
        reads_per_second: Some(READS_PER_SECOND),
        writes_per_second: Some(writes_per_second),
        ..Faults::default()
    }
}

fn write_models(platform: &MemoryPlatform, replicas: u32, count: u32) {
    for index in 0..count {
        let value = format!(
            r#"{{"service":"drafting","size_mb":8000,"replicas":{replicas},"grants":{{}}}}"#
        );
        platform.put_row(&format!("model/m{index}"), Some(&value));
    }
    // The head of the kind comes last, so that the reader takes its word for what has changed.
    platform.put_row("head", Some("{}"));
    platform.put_row("head/model", Some("{}"));
}

fn start_clients(
    runtime: &Runtime,
    platform: &MemoryPlatform,
    settings: ClientSettings,
    clients: u64,
) -> Result<Vec<ViewHandle>, prometheus::Error> {
    let mut views = Vec::new();
    for number in 0..clients {
        let metrics = PlatformMetrics::unregistered()?;
        let platform = Arc::new(platform.clone());
        let client = PlatformClient::new(platform, settings, metrics, SEED + number);
        let reader = ViewReader::new(client.clone());
        views.push(reader.handle());
        runtime.spawn_detached(poll(client.clone(), reader));
        runtime.spawn_detached(renew(client, format!("lease/{number}")));
    }
    Ok(views)
}

async fn poll(client: PlatformClient, mut reader: ViewReader) {
    loop {
        smol::Timer::after(jittered(POLL_INTERVAL, client.random())).await;
        // A failed poll is repeated by the next one.
        let _ = reader.poll().await;
    }
}

async fn renew(client: PlatformClient, key: String) {
    let mut version = 0;
    loop {
        smol::Timer::after(jittered(RENEW_INTERVAL, client.random())).await;
        let commit = Commit {
            conditions: vec![Condition {
                key: key.clone(),
                version,
            }],
            writes: vec![Write {
                key: key.clone(),
                value: Some("\"holder\"".into()),
            }],
        };
        match client.commit_once(&commit).await {
            Ok(CommitOutcome::Committed(written)) => version = written,
            Ok(CommitOutcome::Conflict(condition)) => version = condition.version,
            Err(_) => {}
        }
    }
}

/// Time until every client has the newest view.
async fn caught_up(platform: &MemoryPlatform, views: &[ViewHandle]) -> Duration {
    let back = Instant::now();
    let newest = platform.row("head").version;
    while views.iter().any(|view| view.current().version < newest) {
        if back.elapsed() > AFTER {
            break;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    back.elapsed()
}

/// Prints the arrivals; those of the second of the return count from the return on.
fn report(platform: &MemoryPlatform, at_return: SecondCounts, caught_up: Duration) {
    let counts = platform.counts();
    println!(
        "second reads writes  (arrivals; the platform is back within {})",
        at_return.second
    );
    for second in &counts.seconds {
        println!("{:6} {:5} {:6}", second.second, second.reads, second.writes);
    }
    let after = counts
        .seconds
        .iter()
        .filter(|second| second.second >= at_return.second)
        .map(|second| since(second, &at_return));
    let (reads, writes): (Vec<u64>, Vec<u64>) = after.unzip();
    let reads = reads.into_iter().max();
    let writes = writes.into_iter().max();
    println!("most in a second after the outage: reads {reads:?} writes {writes:?}");
    println!("refused by the rate limits in all: {}", counts.rate_limited);
    println!("writes served in all: {}", counts.writes);
    println!("every view caught up after {caught_up:.1?}");
}

fn since(second: &SecondCounts, at_return: &SecondCounts) -> (u64, u64) {
    if second.second != at_return.second {
        return (second.reads, second.writes);
    }
    let reads = second.reads - at_return.reads;
    let writes = second.writes - at_return.writes;
    (reads, writes)
}
