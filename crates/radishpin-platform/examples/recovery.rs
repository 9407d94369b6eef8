//! Measures the load on the platform when it comes back after an outage.
//!
//! Many clients, one for each node of a large deployment, poll the view and renew one lease row
//! each. The platform has an outage during which the view changes, and then comes back with its
//! rate limits.
//!
//! `cargo run --release -p radishpin-platform --example recovery --
//! [CLIENTS] [MODE] [OUTAGE] [WRITES]`, MODE `guarded` (the default settings) or `eager` (no
//! breaker, and hardly any retry limit or backoff), OUTAGE `refusing` or `silent`, WRITES the
//! limit of writes per second.

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
const TIME_BEFORE_OUTAGE: Duration = Duration::from_secs(8);
const OUTAGE_DURATION: Duration = Duration::from_secs(20);
const TIME_AFTER_OUTAGE: Duration = Duration::from_secs(20);
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
        smol::Timer::after(TIME_BEFORE_OUTAGE).await;
        platform.set_faults(limits(outage, writes_per_second));
        smol::Timer::after(OUTAGE_DURATION).await;
        write_models(&platform, 1, MODELS_CHANGED);
        platform.set_faults(limits(Outage::None, writes_per_second));
        let returned_at = start.elapsed();
        let at_return = platform.counts().seconds.last().copied();
        let caught_up = time_to_catch_up(&platform, &views).await;
        smol::Timer::after((returned_at + TIME_AFTER_OUTAGE).saturating_sub(start.elapsed())).await;
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
    // The head of the kind is written last: a newer head row would make the reader list all kinds.
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
        runtime.spawn_detached(poll_view(client.clone(), reader));
        runtime.spawn_detached(renew_lease(client, format!("lease/{number}")));
    }
    Ok(views)
}

async fn poll_view(client: PlatformClient, mut reader: ViewReader) {
    loop {
        smol::Timer::after(jittered(POLL_INTERVAL, client.random())).await;
        // The next poll continues where a failed one stopped.
        let _ = reader.poll().await;
    }
}

async fn renew_lease(client: PlatformClient, key: String) {
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

/// Waits until every client has the newest view, and returns the time that this took.
async fn time_to_catch_up(platform: &MemoryPlatform, views: &[ViewHandle]) -> Duration {
    let returned_at = Instant::now();
    let newest = platform.row("head").version;
    while views.iter().any(|view| view.current().version < newest) {
        if returned_at.elapsed() > TIME_AFTER_OUTAGE {
            break;
        }
        smol::Timer::after(Duration::from_millis(20)).await;
    }
    returned_at.elapsed()
}

/// Prints the arrivals of each second. The maximum after the outage leaves out arrivals before the
/// return within the second in which the platform came back.
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
        .map(|second| arrivals_after_return(second, &at_return));
    let (reads, writes): (Vec<u64>, Vec<u64>) = after.unzip();
    let reads = reads.into_iter().max();
    let writes = writes.into_iter().max();
    println!("most in a second after the outage: reads {reads:?} writes {writes:?}");
    println!("refused by the rate limits in all: {}", counts.rate_limited);
    println!("writes served in all: {}", counts.writes);
    println!("every view caught up after {caught_up:.1?}");
}

fn arrivals_after_return(second: &SecondCounts, at_return: &SecondCounts) -> (u64, u64) {
    if second.second != at_return.second {
        return (second.reads, second.writes);
    }
    let reads = second.reads - at_return.reads;
    let writes = second.writes - at_return.writes;
    (reads, writes)
}
