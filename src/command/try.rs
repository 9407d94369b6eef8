//! `radishpin try`: runs the complete system in one process, over loopback sockets.

use super::{CommandSpec, reject_operands};
use crate::{
    CommandError,
    settings::{
        Fault, Kind, Setting, Values,
        common::{LOG_LEVEL, SEED, THREADS},
    },
};
use futures_lite::future::or;
use radishpin_local::{ClusterPlan, LocalCluster};
use radishpin_runtime::{Runtime, StopSignals};
use std::{
    io::{self, Write},
    net::SocketAddr,
};

static LISTEN: Setting = Setting::with_default(
    "listen",
    Kind::Address,
    "127.0.0.1:8080",
    "Address at which the first node serves callers; port 0 takes a free one.",
)
.env("RADISHPIN_LISTEN");

/// Validated settings of `radishpin try`.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrySettings {
    /// Address at which the first node serves callers; port 0 takes a free one.
    pub(super) listen: SocketAddr,
    /// Seed of the random number generators of the stand-ins.
    pub(super) seed: u64,
    /// Number of worker threads of the runtime.
    pub(super) threads: usize,
}

pub(super) static SPEC: CommandSpec = CommandSpec {
    name: "try",
    summary: "Run nodes, agents and stand-ins in one process, with a seeded service to call.",
    usages: &["[FLAGS]"],
    settings: &[&LISTEN, &SEED, &THREADS, &LOG_LEVEL],
    examples: &[
        "radishpin try",
        "radishpin try --listen 127.0.0.1:0 --seed 7",
    ],
    notes: "",
    check: reject_operands,
};

pub(super) fn run(values: &Values) -> Result<(), CommandError> {
    start(try_settings(values)?)
}

/// Runs the system until a stop signal arrives, then drains it.
fn start(settings: TrySettings) -> Result<(), CommandError> {
    let runtime = Runtime::start(settings.threads)?;
    smol::block_on(async {
        let mut stop_signals = StopSignals::register()?;
        let plan = ClusterPlan::small(settings.listen, settings.seed);
        let cluster = LocalCluster::start(plan, runtime).await?;
        let ready = async {
            cluster.ready().await;
            print_ready(&cluster)
        };
        let stop = async { stop_signals.wait().await.map(|()| false) };
        if or(stop, async { ready.await.map(|()| true) }).await? {
            stop_signals.wait().await?;
        }
        println!("draining");
        cluster.stop().await;
        println!("stopped");
        Ok(())
    })
}

/// Prints the `ready` line that scripts wait for, then example commands.
fn print_ready(cluster: &LocalCluster) -> io::Result<()> {
    let addresses = cluster.addresses();
    let Some(first) = addresses.first() else {
        return Ok(());
    };
    let mut text = format!("ready http://{first}\n\n");
    let completion = r#"{"model":"repair-notes","prompt":"Roof of the Geech hut"}"#;
    let streamed = r#"{"model":"log-tags","prompt":"Snow at Chennek","stream":true}"#;
    let json = "-H 'content-type: application/json'";
    let lines = [
        format!("curl -s http://{first}/v1/models"),
        format!("curl -s http://{first}/v1/completions {json} -d '{completion}'"),
        format!("curl -sN http://{first}/v1/completions {json} -d '{streamed}'"),
        format!("curl -s http://{first}/services/booking/appointments -d 'tuner at nine'"),
        format!("curl -si http://{first}/v1/completions -d '{{\"model\":\"no-such\"}}'"),
        format!("curl -si http://{first}/v1/completions -H 'x-deadline-ms: 1' -d '{completion}'"),
        format!("curl -s http://{first}/metrics"),
    ];
    for line in lines {
        text.push_str(&line);
        text.push('\n');
    }
    if let Some(node) = cluster.nodes.values().next() {
        let token = cluster.operator_token();
        text.push_str(&format!(
            "RADISHPIN_TOKEN={token} radishpin status --server {}\n",
            node.running.operator_address
        ));
    }
    for address in &addresses[1..] {
        text.push_str(&format!("also http://{address}\n"));
    }
    io::stdout().write_all(text.as_bytes())?;
    io::stdout().flush()
}

fn try_settings(values: &Values) -> Result<TrySettings, Vec<Fault>> {
    Ok(TrySettings {
        listen: values.address(&LISTEN)?,
        seed: values.number(&SEED)?,
        threads: values.number(&THREADS)?,
    })
}
