//! Processor time and memory of a cluster without callers.

use super::{cluster, machine};
use crate::Outcome;
use radishpin_protocol::prelude::*;
use radishpin_runtime::Runtime;

/// Time for start-up work to end.
const SETTLE: Duration = Duration::from_secs(3);

/// Prints one row of a table; the slopes are the differences of rows.
pub fn measure(nodes: usize, agents: usize, seconds: usize) -> Outcome {
    smol::block_on(async {
        let before_bytes = machine::resident_bytes()?;
        let cluster = cluster::start(nodes, agents).await?;
        Runtime::sleep(SETTLE).await;
        let before = machine::processor_time()?;
        let seconds = u32::try_from(seconds)?;
        Runtime::sleep(Duration::from_secs(1) * seconds).await;
        let spent = machine::processor_time()? - before;
        let resident = machine::resident_bytes()?.saturating_sub(before_bytes);
        println!("| nodes | agents | processor ms a second | resident KB |");
        println!("|---|---|---|---|");
        let per_second_ms = spent.as_secs_f64() * 1_000.0 / f64::from(seconds);
        println!(
            "| {nodes} | {agents} | {per_second_ms:.1} | {} |",
            resident / 1_024
        );
        cluster::stop(cluster).await?;
        Ok(())
    })
}
