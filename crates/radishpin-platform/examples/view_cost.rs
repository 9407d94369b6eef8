//! Measures the cost of the view for a node: time and memory of the first read, and time to read
//! each change.
//!
//! `cargo run --release -p radishpin-platform --example view_cost -- [MODELS] [ADAPTERS]
//! [ENDPOINTS] [CHANGES]`.

use radishpin_platform::{
    ChangeOutcome, ClientSettings, PlatformClient, PlatformMetrics, RowChange, ViewChange,
    ViewReader, ViewWriter,
};
use radishpin_standin::MemoryPlatform;
use std::{
    error::Error,
    sync::Arc,
    time::{Duration, Instant},
};

const SEED: u64 = 980;
/// Endpoints that hold a grant of each model.
const GRANTS: usize = 3;

fn main() -> Result<(), Box<dyn Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let argument = |index: usize, default: usize| {
        arguments
            .get(index)
            .map_or(Ok(default), |text| text.parse::<usize>())
    };
    let (models, adapters) = (argument(0, 980)?, argument(1, 19_000)?);
    let (endpoints, changes) = (argument(2, 7_400)?, argument(3, 200)?);
    let platform = MemoryPlatform::new(SEED);
    write_rows(&platform, models, adapters, endpoints);
    let metrics = PlatformMetrics::unregistered()?;
    let settings = ClientSettings::default();
    let client = PlatformClient::new(Arc::new(platform.clone()), settings, metrics, SEED);
    let writer = ViewWriter::new(client.clone());
    let mut reader = ViewReader::new(client);
    let before_kb = resident_kb()?;
    let start = Instant::now();
    let first = smol::block_on(reader.poll())?.ok_or("no view")?;
    println!(
        "first read {:?}, {} rows",
        start.elapsed(),
        first.row_versions.len()
    );
    drop(first);
    println!(
        "resident memory of the view {} KB",
        resident_kb()? - before_kb
    );
    let mut times = Vec::new();
    for index in 0..changes {
        let key = format!("model/m{}", index % models.max(1));
        change(&writer, &platform, &key)?;
        let start = Instant::now();
        smol::block_on(reader.poll())?.ok_or("no view")?;
        times.push(start.elapsed());
    }
    times.sort_unstable();
    let median = times.get(times.len() / 2).copied().unwrap_or_default();
    let total: Duration = times.iter().sum();
    println!(
        "a change: median {median:?}, mean {:?}",
        total / u32::try_from(changes.max(1))?
    );
    println!(
        "resident memory after the changes {} KB more",
        resident_kb()? - before_kb
    );
    Ok(())
}

fn write_rows(platform: &MemoryPlatform, models: usize, adapters: usize, endpoints: usize) {
    for index in 0..models {
        platform.put_row(&format!("model/m{index}"), Some(&model(index, endpoints)));
    }
    for index in 0..adapters {
        let model = index % models.max(1);
        let value = format!(r#"{{"model":"m{model}","size_mb":40}}"#);
        platform.put_row(&format!("adapter/a{index}"), Some(&value));
    }
    for index in 0..endpoints {
        let zone = index % 20;
        let value = format!(
            r#"{{"host":"host-{index}","availability_zone":"zone-{zone}","agent_address":"10.0.0.1:9000","service":"drafting","memory_mb":24000,"concurrency":16,"incarnation":1}}"#
        );
        platform.put_row(&format!("endpoint/drafting-{index}"), Some(&value));
    }
    platform.put_row("head", Some("{}"));
}

fn model(index: usize, endpoints: usize) -> String {
    let grants: Vec<String> = (0..GRANTS)
        .map(|grant| (index * GRANTS + grant) % endpoints.max(1))
        .map(|endpoint| format!(r#""drafting-{endpoint}":{{"state":"held","since_version":1}}"#))
        .collect();
    let grants = grants.join(",");
    format!(r#"{{"service":"drafting","size_mb":8000,"replicas":{GRANTS},"grants":{{{grants}}}}}"#)
}

fn change(writer: &ViewWriter, platform: &MemoryPlatform, key: &str) -> Result<(), Box<dyn Error>> {
    let row = platform.row(key);
    let change = ViewChange {
        rows: vec![RowChange {
            key: key.to_owned(),
            expected_version: row.version,
            value: row.value,
        }],
        ..ViewChange::default()
    };
    match smol::block_on(writer.commit(&change))? {
        ChangeOutcome::Accepted(_) => Ok(()),
        ChangeOutcome::Conflict { key, .. } => Err(format!("conflict on {key}").into()),
    }
}

fn resident_kb() -> Result<u64, Box<dyn Error>> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(number.ok_or("no VmRSS")?.parse()?)
}
