//! Memory of the rows of a view.

use super::machine::resident_bytes;
use crate::Outcome;
use radishpin_protocol::prelude::*;
use std::{error::Error, time::Instant};

/// Grants of each model.
const GRANTS: usize = 3;
/// Models of the target size.
pub const MODELS: usize = 980;
/// Endpoints of the target size.
pub const ENDPOINTS: usize = 7_400;
/// Address of the agents.
pub const AGENT_ADDRESS: &str = "10.0.0.1:9000";
const ADAPTERS: usize = 19_000;
/// Rows of the larger sample, in multiples of the smaller.
const GROWTH: usize = 4;

/// Makes the key and value of the row with an index.
type MakeRow = fn(usize) -> (String, String);

/// Prints the memory of a row of each kind and of the whole, and the time of an agent's part.
pub fn measure() -> Outcome {
    println!("| row | rows | resident bytes a row |");
    println!("|---|---|---|");
    // Kept to the end, so that no memory is taken twice.
    let mut kept = Vec::new();
    let kinds: [(&str, usize, MakeRow); 4] = [
        ("model with 3 grants", MODELS, model),
        ("adapter", ADAPTERS, adapter),
        ("endpoint", ENDPOINTS, endpoint),
        ("profile", MODELS, profile),
    ];
    for (name, count, row) in kinds {
        for rows in [count, count * GROWTH] {
            let before = resident_bytes()?;
            kept.push(view_of(rows, row)?);
            let bytes = resident_bytes()?.saturating_sub(before);
            println!("| {name} | {rows} | {} |", bytes / rows as u64);
        }
    }
    let before = resident_bytes()?;
    let view = whole()?;
    let whole_bytes = resident_bytes()?.saturating_sub(before);
    println!("whole view {} KB", whole_bytes / 1_024);
    let start = Instant::now();
    let copy = view.clone();
    println!("a copy of the whole view {:?}", start.elapsed());
    drop(copy);
    time_of_part(&view);
    drop(kept);
    Ok(())
}

fn time_of_part(view: &ClusterView) {
    let rounds = 1_000;
    let start = Instant::now();
    let mut grants = 0;
    for index in 0..rounds {
        grants += view.for_agent(&format!("drafting-{index}")).grants.len();
    }
    let each = start.elapsed() / rounds;
    println!("an agent's part of the view {each:?}, mean of {rounds}, {grants} grants in all");
}

/// A view of the target size.
pub fn whole() -> Result<ClusterView, Box<dyn Error>> {
    let mut view = ClusterView::default();
    for (key, value) in rows() {
        view.apply_row(&key, 1, Some(&value))?;
    }
    view.version = 1;
    Ok(view)
}

/// Keys and values of the rows of such a view.
pub fn rows() -> impl Iterator<Item = (String, String)> {
    let service = r#"{"kind":"models","profile":"profile-0"}"#;
    let service = ("service/drafting".to_owned(), service.to_owned());
    let models = (0..MODELS).map(model);
    let adapters = (0..ADAPTERS).map(adapter);
    let endpoints = (0..ENDPOINTS).map(endpoint);
    let others = [profile(0), service].into_iter();
    models.chain(adapters).chain(endpoints).chain(others)
}

fn view_of(rows: usize, row: MakeRow) -> Result<ClusterView, Box<dyn Error>> {
    let mut view = ClusterView::default();
    add(&mut view, rows, row)?;
    Ok(view)
}

fn add(view: &mut ClusterView, rows: usize, row: MakeRow) -> Outcome {
    for index in 0..rows {
        let (key, value) = row(index);
        view.apply_row(&key, 1, Some(&value))?;
    }
    Ok(())
}

fn model(index: usize) -> (String, String) {
    let grants: Vec<String> = (0..GRANTS)
        .map(|grant| (index * GRANTS + grant) % ENDPOINTS)
        .map(|endpoint| format!(r#""drafting-{endpoint}":{{"state":"held","since_version":1}}"#))
        .collect();
    let grants = grants.join(",");
    let value = format!(
        r#"{{"service":"drafting","size_mb":8000,"replicas":{GRANTS},"grants":{{{grants}}}}}"#
    );
    (format!("model/model-{index}"), value)
}

fn adapter(index: usize) -> (String, String) {
    let model = index % MODELS;
    let value = format!(r#"{{"model":"model-{model}","size_mb":40}}"#);
    (format!("adapter/adapter-{index}"), value)
}

fn endpoint(index: usize) -> (String, String) {
    let zone = index % 20;
    let value = format!(
        r#"{{"host":"host-{index}","availability_zone":"zone-{zone}","agent_address":"{AGENT_ADDRESS}","service":"drafting","memory_mb":24000,"concurrency":16,"incarnation":1}}"#
    );
    (format!("endpoint/drafting-{index}"), value)
}

fn profile(index: usize) -> (String, String) {
    let value = format!(
        r#"{{"format":{},"min_loaded":0,"max_replicas":{GRANTS},"idle_unload_ms":60000,"patience_ms":10000,"priority":7,"class":"interactive","idempotent":true}}"#,
        radishpin_protocol::PROFILE_FORMAT
    );
    (format!("profile/profile-{index}"), value)
}
